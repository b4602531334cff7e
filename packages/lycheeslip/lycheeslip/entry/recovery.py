"""Detects started jobs whose attempt is no longer reported, fences the attempt and ends it."""

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
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.entry.loss import confirms_never_started, is_member_lost
from lycheeslip.entry.planner import is_planner
from lycheeslip.entry.router import Router

__all__ = ["Recovery"]

CHECK_EVERY_S = 0.5
FENCE_TIMEOUT_S = 1.0
ABSENCE_BEFORE_FENCE_MS = 2_000
STOP_GRACE_MS = 500
MAX_RESOLVED_PER_STEP = 50


class Recovery:
    """Recovers jobs that this entry is responsible for; checks are repeated until resolved."""

    def __init__(
        self,
        board: Blackboard,
        router: Router,
        jobs: JobStore,
        attempts: Attempts,
        worker_lost_after_ms: int,
    ) -> None:
        """Treat a worker as lost `worker_lost_after_ms` plus the lease after it disconnects."""
        self._board = board
        self._router = router
        self._jobs = jobs
        self._attempts = attempts
        self._worker_lost_after_ms = worker_lost_after_ms
        self._absent_since_by_attempt: dict[str, int] = {}
        self._taken_over_attempts: set[AttemptRef] = set()

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(CHECK_EVERY_S)

    async def step(self) -> None:
        """Check each job that this entry is responsible for."""
        for job in self._board.jobs.in_state(JobState.PENDING):
            if self._is_responsible(job):
                await self._expire(job)
        missing: list[JobRecord] = []
        for job in self._board.jobs.in_state(JobState.STARTED):
            in_progress = job.record["job_id"] in self._attempts.placement_by_job
            if not in_progress and self._is_responsible(job) and await self._is_missing(job.record):
                missing.append(job.record)
        batch = missing[:MAX_RESOLVED_PER_STEP]
        await asyncio.gather(*(self._resolve(record) for record in batch))

    def _is_responsible(self, job: TrackedJob) -> bool:
        if not job.is_recorded:
            return True
        if not self._board.store_reachable:
            return False
        if job.record["owner"] == self._board.info.entry_id:
            return True
        is_owner_reachable = job.record["owner"] in self._board.reachable_entries()
        if job.record["state"] is JobState.STARTED and is_owner_reachable:
            return False
        return is_planner(self._board)

    async def _expire(self, job: TrackedJob) -> None:
        if lifecycle.expire(job.record, wall_ms()) is not None:
            await self._jobs.update(
                job.record["job_id"], partial(lifecycle.expire, now_ms=wall_ms())
            )
            self._board.metrics.count("refuse.deadline_passed")

    async def _is_missing(self, record: JobRecord) -> bool:
        """Return whether any member has been without a grant for ABSENCE_BEFORE_FENCE_MS.

        Stops the members of a cancelled job first, so that the stop is repeated.
        """
        if record["cancel_requested"]:
            await self._stop_members(record, "cancelled")
        key = attempt_ref(record).key
        if all(self._is_member_held(place, record) for place in record["placement"]):
            self._absent_since_by_attempt.pop(key, None)
            return False
        since_ms = self._absent_since_by_attempt.setdefault(key, monotonic_ms())
        return monotonic_ms() - since_ms >= ABSENCE_BEFORE_FENCE_MS

    def _is_member_held(self, place: MemberPlacement, record: JobRecord) -> bool:
        """Return whether the member's worker is connected and reports a grant of the attempt."""
        view = self._board.workers_by_id.get(place.worker_id)
        if view is None or view.disconnected_at_ms:
            return False
        return any(
            grant.job_id == record["job_id"] and grant.attempt == record["attempt"]
            for grant in view.state.grants
        )

    async def _resolve(self, record: JobRecord) -> None:
        """Fence the attempt under a higher epoch, and end it if it never started or is lost."""
        if attempt_ref(record) not in self._taken_over_attempts:
            own_id = self._board.info.entry_id
            taken = await self._jobs.update(
                record["job_id"], partial(lifecycle.take_over, owner=own_id)
            )
            if not isinstance(taken, Updated) or taken.record["attempt"] != record["attempt"]:
                return
            record = taken.record
            self._taken_over_attempts.add(attempt_ref(record))
        replies = await self._fence_all(record)
        log_event("attempt_fenced", job=record["job_id"], attempt=record["attempt"])
        if confirms_never_started(record, replies):
            await self._end_attempt(record, proven_not_started=True)
        elif self._is_lost(record, replies):
            await self._stop_members(record, "attempt_lost")
            await self._end_attempt(record, proven_not_started=False)

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
        """Return whether any member is lost; a gang cannot continue without all its members."""
        now_ms = monotonic_ms()
        since_ms = self._absent_since_by_attempt.get(attempt_ref(record).key, now_ms)
        return any(
            is_member_lost(
                self._board, record, place, reply, since_ms, self._worker_lost_after_ms, now_ms
            )
            for place, reply in zip(record["placement"], replies, strict=True)
        )

    async def _end_attempt(self, record: JobRecord, proven_not_started: bool) -> None:
        attempt = record["attempt"]
        self._absent_since_by_attempt.pop(attempt_ref(record).key, None)
        self._taken_over_attempts.discard(attempt_ref(record))
        if proven_not_started:
            self._board.metrics.count("retry.attempt.not_started")
            transition = partial(
                lifecycle.requeue,
                attempt=attempt,
                outcome="not_started:fenced",
                now_ms=wall_ms(),
                ran=False,
            )
        else:
            self._board.metrics.count("retry.attempt.worker_lost")
            transition = partial(
                lifecycle.apply_loss,
                attempt=attempt,
                limits=self._board.config.limits,
                now_ms=wall_ms(),
                reason="worker_lost",
            )
        await self._jobs.update(record["job_id"], transition)

    async def _stop_members(self, record: JobRecord, reason: str) -> None:
        await control_members(self._router, record, ControlAction.STOP, STOP_GRACE_MS, reason)
