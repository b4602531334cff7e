"""Carries out a placement: reserve all members, record the intent, prepare all members."""

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
from lycheeslip.entry.job_table import JobEntry
from lycheeslip.entry.router import Reply, Router
from lycheeslip.policy.model import Place

__all__ = ["Attempts"]

RESERVE_TIMEOUT_S = 1.0
PREPARE_TIMEOUT_S = 2.0
HOLD_MS = 5_000
START_WITHIN_MS = 4_000
RETRY_PLACEMENT_MS = 150
NO_REPLY = "no_reply"


class Attempts:
    """Runs the attempts of this entry, one task each."""

    def __init__(self, board: Blackboard, router: Router, jobs: JobStore) -> None:
        """Talk to agents through `router` and record intents through `jobs`."""
        self._board = board
        self._router = router
        self._jobs = jobs
        self.placement_by_job: dict[str, tuple[MemberPlacement, ...]] = {}
        self._not_before_by_job: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def is_held_back(self, job_id: str, now_ms: int) -> bool:
        """Return whether an attempt is under way, or one failed too recently to try again."""
        if job_id in self.placement_by_job:
            return True
        return self._not_before_by_job.get(job_id, 0) > now_ms

    def forget(self, job_id: str) -> None:
        """Drop the delay of a job that waits no more."""
        self._not_before_by_job.pop(job_id, None)

    async def finish(self) -> None:
        """Return when no attempt is between its reservation and its preparation."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start(self, place: Place) -> None:
        """Begin an attempt unless one is under way for the job."""
        if place.job_id in self.placement_by_job:
            return
        job = self._board.jobs.by_id.get(place.job_id)
        if job is None:
            return
        self.placement_by_job[place.job_id] = place.placement
        task = asyncio.create_task(self._run(place, job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, place: Place, job: JobEntry) -> None:
        try:
            refused = await self._attempt(place, job)
        finally:
            del self.placement_by_job[place.job_id]
        if refused:
            self._board.metrics.count(f"retry.placement.{refused}")
            self._board.wait_reason_by_job[place.job_id] = WaitReason(refused, "will be retried")
            self._not_before_by_job[place.job_id] = monotonic_ms() + RETRY_PLACEMENT_MS
        else:
            self._not_before_by_job.pop(place.job_id, None)
        self._board.plan_wanted.set()

    async def _attempt(self, place: Place, job: JobEntry) -> str:
        """Return "" once all members are prepared, else the reason for giving up."""
        record = job.record
        ref = AttemptRef(place.job_id, record["epoch"], record["attempt"] + 1)
        reason = await self._reserve_all(ref, record, place.placement)
        if reason:
            await self._release(ref, place.placement)
            return reason
        owner = self._board.info.entry_id
        intent = partial(
            lifecycle.start_intent, owner=owner, placement=place.placement, now_ms=wall_ms()
        )
        outcome = await self._jobs.update(place.job_id, intent)
        match outcome:
            case Updated(record):
                if record["attempt"] != ref.attempt or record["epoch"] != ref.epoch:
                    await self._give_up(ref, place.placement, "superseded")
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
                hold_ms=HOLD_MS,
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
                start_within_ms=START_WITHIN_MS,
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
            # A gang starts only when all are prepared, so one refusal proves that none has run.
            await self._give_up(ref, placement, reason)
            return reason
        log_event("attempt_prepared", job=ref.job_id, attempt=ref.attempt, members=len(placement))
        return ""

    async def _give_up(
        self, ref: AttemptRef, placement: tuple[MemberPlacement, ...], reason: str
    ) -> None:
        await self._release(ref, placement)
        not_started = partial(
            lifecycle.back_to_pending,
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
