"""Finds started jobs whose attempt has gone missing, fences it and decides what it means."""

import asyncio
from functools import partial

from lycheeslip_common.structure.jobs import (
    AttemptRef,
    JobRecord,
    JobState,
    MemberPlacement,
)
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.wire.messages import (
    ControlAction,
    Fence,
    FenceReply,
    Message,
)

from lycheeslip.entry import lifecycle
from lycheeslip.entry.attempts import Attempts
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.controls import attempt_ref, control_members
from lycheeslip.entry.job_store import JobStore, Updated
from lycheeslip.entry.job_table import JobEntry
from lycheeslip.entry.loss import is_member_lost, proves_no_start
from lycheeslip.entry.planner import is_planner
from lycheeslip.entry.router import Router

__all__ = ["Recovery"]

CHECK_EVERY_S = 0.5
FENCE_TIMEOUT_S = 1.0
ABSENT_BEFORE_FENCE_MS = 2_000
STOP_GRACE_MS = 500
MAX_SETTLED_PER_STEP = 50


class Recovery:
    """Looks after started jobs that nobody else does; each check is repeated until settled."""

    def __init__(
        self,
        board: Blackboard,
        router: Router,
        jobs: JobStore,
        attempts: Attempts,
        worker_lost_after_ms: int,
    ) -> None:
        """Give up on a worker that has been gone for `worker_lost_after_ms` and its lease."""
        self._board = board
        self._router = router
        self._jobs = jobs
        self._attempts = attempts
        self._worker_lost_after_ms = worker_lost_after_ms
        self._absent_since_by_attempt: dict[str, int] = {}
        self._taken_over: set[AttemptRef] = set()

    async def run(self) -> None:
        """Check for ever."""
        while True:
            await self.step()
            await asyncio.sleep(CHECK_EVERY_S)

    async def step(self) -> None:
        """Check each job that this entry answers for."""
        for job in self._board.jobs.in_state(JobState.PENDING):
            if self._is_mine(job):
                await self._expire(job)
        missing: list[JobRecord] = []
        for job in self._board.jobs.in_state(JobState.STARTED):
            under_way = job.record["job_id"] in self._attempts.placement_by_job
            if not under_way and self._is_mine(job) and await self._is_missing(job.record):
                missing.append(job.record)
        batch = missing[:MAX_SETTLED_PER_STEP]
        await asyncio.gather(*(self._settle(record) for record in batch))

    def _is_mine(self, job: JobEntry) -> bool:
        if not job.is_recorded:
            return True
        if not self._board.store_reachable:
            return False
        if job.record["owner"] == self._board.info.entry_id:
            return True
        owner_lives = job.record["owner"] in self._board.reachable_entries()
        if job.record["state"] is JobState.STARTED and owner_lives:
            return False
        return is_planner(self._board)

    async def _expire(self, job: JobEntry) -> None:
        if lifecycle.expire(job.record, wall_ms()) is not None:
            await self._jobs.update(
                job.record["job_id"], partial(lifecycle.expire, now_ms=wall_ms())
            )
            self._board.metrics.count("refuse.deadline_passed")

    async def _is_missing(self, record: JobRecord) -> bool:
        """Return whether some member has been held by no live worker for a while."""
        if record["cancel_requested"]:
            await self._stop_members(record, "cancelled")
        key = attempt_ref(record).key
        if all(self._holds(place, record) for place in record["placement"]):
            self._absent_since_by_attempt.pop(key, None)
            return False
        since_ms = self._absent_since_by_attempt.setdefault(key, monotonic_ms())
        return monotonic_ms() - since_ms >= ABSENT_BEFORE_FENCE_MS

    def _holds(self, place: MemberPlacement, record: JobRecord) -> bool:
        """Return whether a live worker says that it holds this member of the attempt."""
        view = self._board.workers_by_id.get(place.worker_id)
        if view is None or view.gone_at_ms:
            return False
        return any(
            grant.job_id == record["job_id"] and grant.attempt == record["attempt"]
            for grant in view.state.grants
        )

    async def _settle(self, record: JobRecord) -> None:
        """Fence the attempt under a higher epoch, and end it unless it runs or reports."""
        if attempt_ref(record) not in self._taken_over:
            own_id = self._board.info.entry_id
            taken = await self._jobs.update(
                record["job_id"], partial(lifecycle.take_over, owner=own_id)
            )
            if not isinstance(taken, Updated) or taken.record["attempt"] != record["attempt"]:
                return
            record = taken.record
            self._taken_over.add(attempt_ref(record))
        replies = await self._fence_all(record)
        log_event("attempt_fenced", job=record["job_id"], attempt=record["attempt"])
        if proves_no_start(record, replies):
            await self._end(record, proven_not_started=True)
        elif self._is_lost(record, replies):
            await self._stop_members(record, "attempt_lost")
            await self._end(record, proven_not_started=False)

    async def _fence_all(self, record: JobRecord) -> list[FenceReply | None]:
        def build(request_id: int) -> Message:
            return Fence(request_id, record["job_id"], record["epoch"], record["attempt"])

        replies = await asyncio.gather(
            *(
                self._router.request(place.worker_id, build, FENCE_TIMEOUT_S)
                for place in record["placement"]
            )
        )
        return [reply if isinstance(reply, FenceReply) else None for reply in replies]

    def _is_lost(self, record: JobRecord, replies: list[FenceReply | None]) -> bool:
        """Return whether some member has gone for good, so that the gang can't go on."""
        now_ms = monotonic_ms()
        since_ms = self._absent_since_by_attempt.get(attempt_ref(record).key, now_ms)
        return any(
            is_member_lost(
                self._board, record, place, reply, since_ms, self._worker_lost_after_ms, now_ms
            )
            for place, reply in zip(record["placement"], replies, strict=True)
        )

    async def _end(self, record: JobRecord, proven_not_started: bool) -> None:
        attempt = record["attempt"]
        self._absent_since_by_attempt.pop(attempt_ref(record).key, None)
        self._taken_over.discard(attempt_ref(record))
        if proven_not_started:
            self._board.metrics.count("retry.attempt.not_started")
            transition = partial(
                lifecycle.back_to_pending,
                attempt=attempt,
                outcome="not_started:fenced",
                now_ms=wall_ms(),
                ran=False,
            )
        else:
            self._board.metrics.count("retry.attempt.worker_lost")
            transition = partial(
                lifecycle.after_loss,
                attempt=attempt,
                limits=self._board.config.limits,
                now_ms=wall_ms(),
                reason="worker_lost",
            )
        await self._jobs.update(record["job_id"], transition)

    async def _stop_members(self, record: JobRecord, reason: str) -> None:
        await control_members(self._router, record, ControlAction.STOP, STOP_GRACE_MS, reason)
