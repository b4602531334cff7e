"""Decides callers' requests by what this entry itself reaches, with one try at the store.

An outcome `NotRun` or `Undecided` means that this entry can't decide the request now.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from lycheeslip_common.store import Compare, Put
from lycheeslip_common.store.outcomes import KeyValue, ReadResult, Unreachable, Written
from lycheeslip_common.store.port import ConditionFailed, KeyValueStore, LeaseEnded
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.jobs import JobSpec
from lycheeslip_common.workload.operator import OperatorConfig, Queue
from lycheeslip_common.workload.progress import (
    JobState,
    decode_progress,
    decode_spec,
    encode_spec,
)

from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.calls import (
    Accepted,
    Call,
    Cancel,
    Forbidden,
    JobSubmission,
    Missing,
    NotRun,
    Outcome,
    QueryPending,
    QueryState,
    Request,
    Shown,
    Submit,
    Undecided,
    Waiting,
)
from lycheeslip.dispatch.keys import cancel_key, runs_key, spec_key
from lycheeslip.dispatch.links import LeaderLink, pending_jobs
from lycheeslip.dispatch.operator_sync import OperatorSync

__all__ = ["LocalIntake"]

LEADER_TIMEOUT_S = 0.3  # the leader answers within a few ms; after this the store is read
CONFIRM_TIMEOUT_S = 0.6  # the store answers in 4 ms; a slow one takes up to 60 times that

CANCEL_VALUE = b"1"  # the value is not used; the existence of the key is the cancellation

Result = TypeVar("Result")


def _find_spec(record: ReadResult) -> JobSpec | Outcome:
    """Return the job that `record` holds.

    A job is found by its id, whatever queue the call names: the queue that accepted it may have
    another name or URL since.
    """
    if not record.items:
        return Missing(is_job=True)
    try:
        return decode_spec(record.items[0].value)
    except ValueError as error:
        log_event("record_unreadable", reason=error)
        return NotRun("record_unreadable")


def _undecided(outcome: Unreachable) -> Outcome:
    return Undecided("store_silent") if outcome.may_have_run else NotRun("store_unavailable")


class LocalIntake:
    """Serves callers at one entry, whether or not it leads, without help of other entries."""

    def __init__(
        self,
        board: Board,
        store: KeyValueStore,
        operator: OperatorSync,
        leader: LeaderLink,
        on_record_stored: Callable[[KeyValue], None],
    ) -> None:
        """Store jobs, then pass them to `on_record_stored`; read states from `leader` first."""
        self._on_record_stored = on_record_stored
        self._board = board
        self._store = store
        self._operator = operator
        self._leader = leader

    async def answer(self, call: Call, request: Request) -> Outcome:
        """Decide the request if this entry reaches what that takes."""
        match request:
            case Submit(submission):
                return await self._submit(call, submission)
            case Cancel(job_id):
                return await self._cancel(call, job_id)
            case QueryState(job_id):
                return await self._state(call, job_id)
            case QueryPending():
                return await self._pending(call)

    async def _submit(self, call: Call, submission: JobSubmission) -> Outcome:
        """Accept a job: it is stored under the latest configuration or it never runs."""
        while call.remaining_s > 0:
            queue_or_refusal = await self._authorize(call)
            if not isinstance(queue_or_refusal, Queue):
                return queue_or_refusal
            config = self._board.config
            assert config is not None
            value = encode_spec(self._build_spec(call, submission, queue_or_refusal, config))
            outcome = await self._with_deadline(
                call,
                self._store.transact(
                    [
                        Compare(spec_key(submission.job_id), 0),
                        Compare(self._operator.config_key, config.revision),
                    ],
                    [Put(spec_key(submission.job_id), value)],
                ),
            )
            match outcome:
                case Written():
                    self._on_record_stored(KeyValue(spec_key(submission.job_id), value, 0))
                    return Accepted()
                case ConditionFailed(items):
                    if self._is_stored(submission.job_id, items):
                        return Accepted()
                    self._apply_config(items)
                    if self._board.config is config:
                        return NotRun("configuration_unconfirmed")
                case LeaseEnded():
                    return NotRun("store_refused")
                case Unreachable():
                    return _undecided(outcome)
        return NotRun("deadline")

    def _build_spec(
        self, call: Call, submission: JobSubmission, queue: Queue, config: OperatorConfig
    ) -> JobSpec:
        account = config.account_of(call.key)
        return JobSpec(
            submission.job_id,
            queue.name,
            account.name if account else "",
            queue.service,
            queue.priority,
            queue.attempts,
            submission.payload,
            submission.steps,
            wall_ms(),
            submission.first_due_ms,
            submission.interval_ms,
            submission.occurrences,
            queue.host,
            queue.prefix,
        )

    def _is_stored(self, job_id: str, items: tuple[KeyValue, ...]) -> bool:
        return any(item.key == spec_key(job_id) and item.mod_revision for item in items)

    def _apply_config(self, items: tuple[KeyValue, ...]) -> None:
        for item in items:
            if item.key == self._operator.config_key:
                self._operator.apply(item)

    async def _cancel(self, call: Call, job_id: str) -> Outcome:
        """Request a job's cancellation; accepted once the request is in the store."""
        queue_or_refusal = await self._authorize(call)
        if not isinstance(queue_or_refusal, Queue):
            return queue_or_refusal
        spec_record = await self._with_deadline(call, self._store.read(spec_key(job_id)))
        if isinstance(spec_record, Unreachable):
            return NotRun("store_unavailable")
        spec = _find_spec(spec_record)
        if not isinstance(spec, JobSpec):
            return spec
        if not self._may_cancel(call, spec):
            return Missing(is_job=True)
        outcome = await self._with_deadline(
            call,
            self._store.transact(
                [Compare(cancel_key(job_id), 0)], [Put(cancel_key(job_id), CANCEL_VALUE)]
            ),
        )
        match outcome:
            case Written() | ConditionFailed():
                self._on_record_stored(KeyValue(cancel_key(job_id), CANCEL_VALUE, 0))
                return Accepted()
            case LeaseEnded():
                return NotRun("store_refused")
            case Unreachable():
                return _undecided(outcome)

    def _may_cancel(self, call: Call, spec: JobSpec) -> bool:
        """Return whether a call may cancel a job: without a key only what any caller may submit."""
        config = self._board.config
        has_key = config is not None and config.account_of(call.key) is not None
        queue = self._board.queue_of(spec)
        return has_key or not spec.account or (queue is not None and queue.is_public)

    async def _state(self, call: Call, job_id: str) -> Outcome:
        """Return a job's state from the leader, or from the store if the leader returns none."""
        queue_or_refusal = await self._authorize(call)
        if not isinstance(queue_or_refusal, Queue):
            return queue_or_refusal
        if self._board.leadership is not None and self._board.is_loaded:
            job = self._board.jobs.get(job_id)
            shown = job.shown if job is not None else None
        else:
            shown = await self._leader.job_state(job_id, LEADER_TIMEOUT_S)
        return shown or await self._stored_state(call, job_id)

    async def _stored_state(self, call: Call, job_id: str) -> Outcome:
        spec_record = await self._with_deadline(call, self._store.read(spec_key(job_id)))
        if isinstance(spec_record, Unreachable):
            return NotRun("store_unavailable")
        spec = _find_spec(spec_record)
        if not isinstance(spec, JobSpec):
            return spec
        runs = await self._with_deadline(call, self._store.read(runs_key(job_id)))
        if isinstance(runs, Unreachable):
            return NotRun("store_unavailable")
        if not runs.items:
            return Shown(JobState.QUEUED)
        try:
            progress = decode_progress(spec, runs.items[0].value)
        except ValueError as error:
            log_event("record_unreadable", job=job_id, reason=error)
            return NotRun("record_unreadable")
        return Shown(progress.state.value, progress.reason)

    async def _pending(self, call: Call) -> Outcome:
        """Return the number of jobs of the queue that have not started."""
        queue_or_refusal = await self._authorize(call)
        if not isinstance(queue_or_refusal, Queue):
            return queue_or_refusal
        if self._board.leadership is not None and self._board.is_loaded:
            return Waiting(pending_jobs(self._board, queue_or_refusal.name))
        pending = await self._leader.pending(queue_or_refusal.name, LEADER_TIMEOUT_S)
        return NotRun("leader_unknown") if pending is None else Waiting(pending)

    async def _authorize(self, call: Call) -> Queue | Outcome:
        """Return the call's queue if a recently confirmed configuration allows the call."""
        board = self._board
        if board.config is None:
            return NotRun("no_configuration")
        if board.config_age_ms > board.times.config_fresh_ms:
            timeout_s = max(0.05, min(CONFIRM_TIMEOUT_S, call.remaining_s))
            await self._operator.confirm(timeout_s)
        if board.config_age_ms > board.times.config_valid_ms:
            return NotRun("configuration_unconfirmed")
        queue = board.config.queue_for(call.host, call.path)
        if queue is None:
            return Missing(is_job=False)
        if not queue.is_public and board.config.account_of(call.key) is None:
            return Forbidden()
        return queue

    async def _with_deadline(
        self, call: Call, operation: Coroutine[Any, Any, Result]
    ) -> Result | Unreachable:
        try:
            async with asyncio.timeout(max(0.01, call.remaining_s)):
                return await operation
        except TimeoutError:
            return Unreachable(True, "deadline")
