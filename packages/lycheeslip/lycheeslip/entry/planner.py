"""Runs the planning policy over the entry's view of the fleet and executes its actions."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind, JobRecord, JobState
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.utils.rendezvous import choose
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.entry.attempts import Attempts
from lycheeslip.entry.blackboard import Blackboard, WaitReason
from lycheeslip.entry.controls import attempt_ref, control_members
from lycheeslip.entry.history import History
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.entry.lifecycle import FAILED_OUTCOME
from lycheeslip.entry.pace import RoundPacer
from lycheeslip.entry.router import Router
from lycheeslip.entry.view import build_view, waiting_job
from lycheeslip.policy.model import (
    Act,
    Action,
    Explain,
    FleetView,
    Hold,
    Place,
    WaitingJob,
)
from lycheeslip.policy.retry_budget import RetryBudget

__all__ = ["Planner", "PlanFunction", "is_planner", "planner_id"]

PlanFunction = Callable[[FleetView], list[Action]]
PLANNER_KEY = "planner"
CONTROL_REPEAT_INTERVAL_MS = 2_000
RETRY_BUDGET_EXHAUSTED = WaitReason(
    "retry_budget", "too many retries in proportion to first attempts"
)


class _IssuedControl(NamedTuple):
    action: ControlAction
    repeat_at_ms: int


def planner_id(board: Blackboard) -> str:
    """Return the entry that plans recorded jobs, chosen among the entries reachable from here.

    Those that reach the store go first, since only they can record a start.
    """
    reachable = board.reachable_entries()
    return choose(PLANNER_KEY, reachable & board.entries_with_store() or reachable)


def is_planner(board: Blackboard) -> bool:
    """Return whether this entry plans the recorded jobs."""
    return planner_id(board) == board.info.entry_id


class Planner:
    """Plans recorded jobs on one entry, and unrecorded jobs on the entry that accepted them."""

    def __init__(
        self,
        board: Blackboard,
        router: Router,
        attempts: Attempts,
        history: History,
        plan: PlanFunction,
        plan_every_ms: int,
    ) -> None:
        """Run `plan` after each change, and after `plan_every_ms` without a change."""
        self._board = board
        self._router = router
        self._attempts = attempts
        self._history = history
        self._retry_budget = RetryBudget(board.config.limits.retry_budget_ratio)
        self._plan = plan
        self._plan_every_s = plan_every_ms / 1000
        self._round_pacer = RoundPacer()
        self._control_by_attempt: dict[str, _IssuedControl] = {}

    async def run(self) -> None:
        """Run planning rounds until cancelled; changes before the next due time share one round."""
        changed = False
        while True:
            remaining_ms = self._due_at_ms() - monotonic_ms()
            if remaining_ms > 0:
                changed |= await self._wait_for_change(remaining_ms / 1000)
            elif not changed and await self._wait_for_change(self._plan_every_s):
                changed = True
            else:
                changed = False
                await self.step()

    def observe(self, record: JobRecord) -> None:
        """Discard data that belongs to a state the job has left."""
        job_id = record["job_id"]
        if record["state"] is not JobState.STARTED:
            self._control_by_attempt.pop(attempt_ref(record).key, None)
        if record["state"] is not JobState.PENDING:
            self.forget(job_id)

    def forget(self, job_id: str) -> None:
        """Discard the wait reason and the retry delay of a job."""
        self._board.wait_reason_by_job.pop(job_id, None)
        self._attempts.forget(job_id)

    async def _wait_for_change(self, timeout_s: float) -> bool:
        """Return whether something has changed within `timeout_s`."""
        try:
            await asyncio.wait_for(self._board.replan_requested.wait(), timeout_s)
        except TimeoutError:
            return False
        self._board.replan_requested.clear()
        return True

    def _due_at_ms(self) -> int:
        waiting = list(self._board.jobs.in_state(JobState.PENDING))
        return self._round_pacer.due_at_ms(bool(waiting), _urgent_ids(waiting))

    async def step(self) -> None:
        """Run one planning round."""
        self._retry_budget.ratio = self._board.config.limits.retry_budget_ratio
        self._retry_budget.refill(monotonic_ms())
        waiting = self._waiting()
        if not waiting and not is_planner(self._board):
            return
        started_ms = monotonic_ms()
        stopping = self._stopping_attempts()
        pending_placements = self._attempts.placement_by_job
        view = build_view(self._board, self._history, waiting, pending_placements, stopping)
        self._board.reservation = None
        actions = self._plan(view)
        ended_at_ms = monotonic_ms()
        self._board.metrics.timing_ms("plan.round", ended_at_ms - started_ms)
        urgent = _urgent_ids(self._board.jobs.in_state(JobState.PENDING))
        self._round_pacer.note_round(ended_at_ms, ended_at_ms - started_ms, urgent)
        for action in actions:
            await self._execute(action)

    async def _execute(self, action: Action) -> None:
        match action:
            case Place():
                self._place(action)
            case Hold(reservation):
                self._board.reservation = reservation
            case Act():
                await self._send_control(action)
            case Explain(job_id, reason, detail):
                self._explain(job_id, WaitReason(reason, detail))

    def _place(self, place: Place) -> None:
        job = self._board.jobs.by_id.get(place.job_id)
        if job is None or not self._consume_retry_token(job):
            return
        self._board.wait_reason_by_job.pop(place.job_id, None)
        self._attempts.start(place)

    def _consume_retry_token(self, job: TrackedJob) -> bool:
        """Return whether the job may start; a retry after a failure takes a retry token.

        A first attempt adds to the retry budgets of its account and of the fleet.
        """
        record = job.record
        account = record["spec"].account
        if not record["attempts"]:
            self._retry_budget.earn(account)
            return True
        return not _has_failed(record) or self._retry_budget.spend(account)

    def _explain(self, job_id: str, reason: WaitReason) -> None:
        if self._board.wait_reason_by_job.get(job_id) != reason:
            self._board.metrics.count(f"wait.{reason.reason}")
        self._board.wait_reason_by_job[job_id] = reason

    async def _send_control(self, act: Act) -> None:
        now_ms = monotonic_ms()
        issued = self._control_by_attempt.get(act.ref.key)
        if issued is not None and issued.action is act.action and now_ms < issued.repeat_at_ms:
            return
        self._control_by_attempt[act.ref.key] = _IssuedControl(
            act.action, now_ms + CONTROL_REPEAT_INTERVAL_MS
        )
        self._board.metrics.count(f"act.{act.action}.{act.reason}")
        log_event("attempt_control", job=act.ref.job_id, action=act.action, reason=act.reason)
        job = self._board.jobs.by_id.get(act.ref.job_id)
        if job is not None and job.record["attempt"] == act.ref.attempt:
            await control_members(self._router, job.record, act.action, act.grace_ms, act.reason)

    def _waiting(self) -> tuple[WaitingJob, ...]:
        now_ms = monotonic_ms()
        plans_recorded = is_planner(self._board) and self._board.store_reachable
        return tuple(
            waiting_job(job, self._history)
            for job in self._board.jobs.in_state(JobState.PENDING)
            if (plans_recorded or not job.is_recorded)
            and not self._attempts.is_deferred(job.record["job_id"], now_ms)
            and self._has_retry_token(job.record)
        )

    def _stopping_attempts(self) -> frozenset[str]:
        return frozenset(
            key
            for key, issued in self._control_by_attempt.items()
            if issued.action in (ControlAction.CHECKPOINT, ControlAction.STOP)
        )

    def _has_retry_token(self, record: JobRecord) -> bool:
        """Return False for a retry without a token, which would be placed but not started."""
        if not _has_failed(record) or self._retry_budget.has_token(record["spec"].account):
            return True
        self._explain(record["job_id"], RETRY_BUDGET_EXHAUSTED)
        return False


def _urgent_ids(waiting: Iterable[TrackedJob]) -> frozenset[str]:
    return frozenset(
        job.record["job_id"] for job in waiting if job.record["spec"].kind is JobKind.URGENT
    )


def _has_failed(record: JobRecord) -> bool:
    return bool(record["attempts"]) and record["attempts"][-1].outcome == FAILED_OUTCOME
