"""Starts an attempt: reserves all members, records the start, then prepares all members."""

import asyncio
from functools import partial

from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.structure.jobs import AttemptRef, JobRecord, MemberPlacement
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.wire.messages import (
    Message,
    Prepare,
    PrepareReply,
    Release,
    Reserve,
    ReserveReply,
)

from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import Blackboard, WaitReason
from lycheeslip.entry.job_store import Declined, JobStore, Updated
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.entry.router import Reply, Router
from lycheeslip.policy.model import Place

__all__ = ["Attempts"]

RESERVE_TIMEOUT_S = 1.0
PREPARE_TIMEOUT_S = 2.0
RESERVATION_HOLD_MS = 5_000
START_TIMEOUT_MS = 4_000
PLACEMENT_RETRY_DELAY_MS = 150
NO_REPLY = "no_reply"


class Attempts:
    """Starts the attempts of this entry, each in its own asyncio task."""

    def __init__(self, board: Blackboard, router: Router, jobs: JobStore) -> None:
        """Reach agents through `router` and record starts through `jobs`."""
        self._board = board
        self._router = router
        self._jobs = jobs
        self.placement_by_job: dict[str, tuple[MemberPlacement, ...]] = {}
        self._not_before_by_job: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def is_deferred(self, job_id: str, now_ms: int) -> bool:
        """Return whether a start is in progress, or failed less than the retry delay ago."""
        if job_id in self.placement_by_job:
            return True
        return self._not_before_by_job.get(job_id, 0) > now_ms

    def forget(self, job_id: str) -> None:
        """Discard the retry delay of a job that is no longer pending."""
        self._not_before_by_job.pop(job_id, None)

    async def wait_until_idle(self) -> None:
        """Wait until no attempt is between its reservation and its preparation."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start(self, place: Place) -> None:
        """Start an attempt unless one is being started for the job."""
        if place.job_id in self.placement_by_job:
            return
        job = self._board.jobs.by_id.get(place.job_id)
        if job is None:
            return
        self.placement_by_job[place.job_id] = place.placement
        task = asyncio.create_task(self._run(place, job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, place: Place, job: TrackedJob) -> None:
        try:
            failure = await self._start_attempt(place, job)
        finally:
            del self.placement_by_job[place.job_id]
        if failure:
            self._board.metrics.count(f"retry.placement.{failure}")
            self._board.wait_reason_by_job[place.job_id] = WaitReason(
                failure, "the placement will be retried"
            )
            self._not_before_by_job[place.job_id] = monotonic_ms() + PLACEMENT_RETRY_DELAY_MS
        else:
            self._not_before_by_job.pop(place.job_id, None)
        self._board.replan_requested.set()

    async def _start_attempt(self, place: Place, job: TrackedJob) -> str:
        """Return "" once all members are prepared, else the reason why the start failed."""
        record = job.record
        ref = AttemptRef(place.job_id, record["epoch"], record["attempt"] + 1)
        reason = await self._reserve_all(ref, record, place.placement)
        if reason:
            await self._release(ref, place.placement)
            return reason
        owner = self._board.info.entry_id
        transition = partial(
            lifecycle.begin_attempt, owner=owner, placement=place.placement, now_ms=wall_ms()
        )
        outcome = await self._jobs.update(place.job_id, transition)
        match outcome:
            case Updated(record):
                if record["attempt"] != ref.attempt or record["epoch"] != ref.epoch:
                    await self._abandon(ref, place.placement, "superseded")
                    return "superseded"
                return await self._prepare_all(ref, record)
            case Declined():
                await self._release(ref, place.placement)
                return "superseded"
            case Unreachable():
                await self._release(ref, place.placement)
                return "store_unreachable"

    async def _reserve_all(
        self, ref: AttemptRef, record: JobRecord, placement: tuple[MemberPlacement, ...]
    ) -> str:
        spec = record["spec"]

        def build(member: int, place: MemberPlacement, request_id: int) -> Message:
            return Reserve(
                request_id=request_id,
                ref=ref,
                member=member,
                members=len(placement),
                owner=self._board.info.entry_id,
                incarnation=place.incarnation,
                account=spec.account,
                kind=spec.kind,
                accelerators=place.accelerators,
                processors=spec.shape.processors,
                memory_mb=spec.shape.memory_mb,
                interruptible=spec.interruptible,
                hold_ms=RESERVATION_HOLD_MS,
            )

        replies = await asyncio.gather(
            *(
                self._router.request(
                    place.worker_id, partial(build, member, place), RESERVE_TIMEOUT_S
                )
                for member, place in enumerate(placement)
            )
        )
        return next((reason for reason in map(_refusal, replies) if reason), "")

    async def _prepare_all(self, ref: AttemptRef, record: JobRecord) -> str:
        placement = record["placement"]

        def build(member: int, place: MemberPlacement, request_id: int) -> Message:
            return Prepare(
                request_id=request_id,
                ref=ref,
                member=member,
                incarnation=place.incarnation,
                placement=placement,
                payload=record["spec"].payload,
                checkpoint=record["checkpoint"],
                start_within_ms=START_TIMEOUT_MS,
            )

        replies = await asyncio.gather(
            *(
                self._router.request(
                    place.worker_id, partial(build, member, place), PREPARE_TIMEOUT_S
                )
                for member, place in enumerate(placement)
            )
        )
        refusals = [reply.reason for reply in replies if isinstance(reply, PrepareReply)]
        reason = next((reason for reason in refusals if reason), "")
        if reason:
            # A gang starts only once all members are prepared, so after one refusal none has run.
            await self._abandon(ref, placement, reason)
            return reason
        log_event("attempt_prepared", job=ref.job_id, attempt=ref.attempt, members=len(placement))
        return ""

    async def _abandon(
        self, ref: AttemptRef, placement: tuple[MemberPlacement, ...], reason: str
    ) -> None:
        await self._release(ref, placement)
        not_started = partial(
            lifecycle.requeue,
            attempt=ref.attempt,
            outcome=f"not_started:{reason}",
            now_ms=wall_ms(),
            ran=False,
        )
        await self._jobs.update(ref.job_id, not_started)

    async def _release(self, ref: AttemptRef, placement: tuple[MemberPlacement, ...]) -> None:
        for member, place in enumerate(placement):
            await self._router.to_worker(place.worker_id, Release(ref, member))


def _refusal(reply: Reply | None) -> str:
    return reply.reason if isinstance(reply, ReserveReply) else NO_REPLY
