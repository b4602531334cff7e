"""The worker's resource grants: reserve, prepare, start, release and fence."""

from dataclasses import dataclass
from typing import NamedTuple

from lycheeslip_common.structure.fleet import Grant, GrantState, WorkerInfo
from lycheeslip_common.structure.jobs import AttemptRef
from lycheeslip_common.wire.messages import Directive, FenceStatus, Prepare, Reserve

__all__ = ["GrantTable", "HeldGrant", "MemberKey"]

MAX_TRACKED_JOBS = 50_000


class MemberKey(NamedTuple):
    """Identifies one member of an attempt, independent of its owner's epoch."""

    job_id: str
    attempt: int
    member: int

    @property
    def task_id(self) -> str:
        """Return the member's task id at the backend server."""
        return f"{self.job_id}.{self.attempt}.{self.member}"


@dataclass(slots=True)
class HeldGrant:
    """A grant and the deadline by which it must be prepared or started."""

    grant: Grant
    until_ms: int


class GrantTable:
    """The grants of one incarnation by member, and the jobs that it has started or fenced.

    `armed_before_leaving` holds the members that were armed when the worker began to leave;
    they may still start.
    """

    def __init__(self, incarnation: str) -> None:
        """Create a table without grants and without a worker to grant from."""
        self.incarnation = incarnation
        self.info: WorkerInfo | None = None
        self.leaving = False
        self.armed_before_leaving: set[MemberKey] = set()
        self.held_by_key: dict[MemberKey, HeldGrant] = {}
        self._min_epoch_by_job: dict[str, int] = {}
        self._started: dict[str, set[MemberKey]] = {}
        self._has_evicted_starts = False

    def grants(self) -> tuple[Grant, ...]:
        """Return all grants, as the agent announces them."""
        return tuple(held.grant for held in self.held_by_key.values())

    def reserve(self, message: Reserve, directive: Directive | None, now_ms: int) -> str:
        """Reserve resources for a member; return "" or the reason for a refusal."""
        key = MemberKey(message.ref.job_id, message.ref.attempt, message.member)
        held = self.held_by_key.get(key)
        if held is not None and _is_duplicate(held.grant, message):
            return ""
        reason = self._reserve_refusal_reason(message, key, directive)
        if reason:
            return reason
        self._raise_min_epoch(message.ref)
        self.held_by_key[key] = HeldGrant(_new_grant(message), now_ms + message.hold_ms)
        return ""

    def prepare(self, message: Prepare, now_ms: int) -> str:
        """Turn a reservation into a prepared grant; return "" or the reason for a refusal."""
        key = MemberKey(message.ref.job_id, message.ref.attempt, message.member)
        if message.incarnation != self.incarnation:
            return "other_incarnation"
        if self.has_started(key):
            return ""
        if message.ref.epoch < self._min_epoch_by_job.get(key.job_id, 0):
            return "fenced_epoch"
        held = self.held_by_key.get(key)
        if held is None or held.grant.epoch != message.ref.epoch:
            return "not_reserved"
        if held.grant.state is not GrantState.RESERVED:
            return ""
        if len(message.placement) != held.grant.members:
            return "bad_placement"
        if self.leaving:
            return "leaving"
        if now_ms >= held.until_ms:
            return "hold_expired"
        held.until_ms = now_ms + message.start_within_ms
        held.grant = held.grant._replace(state=GrantState.PREPARED)
        return ""

    def start(self, key: MemberKey, now_ms: int, wall_now_ms: int, directive: Directive) -> str:
        """Record that a prepared member is about to start; return "" or the reason for a refusal.

        A second start of the same member is refused.
        """
        reason = self.start_refusal_reason(key, now_ms, directive)
        if not reason:
            self.record_start(key)
            held = self.held_by_key[key]
            held.grant = held.grant._replace(state=GrantState.RUNNING, started_at_ms=wall_now_ms)
        return reason

    def start_refusal_reason(self, key: MemberKey, now_ms: int, directive: Directive) -> str:
        """Return why a member may not start, or "" if it may."""
        held = self.held_by_key.get(key)
        if held is None:
            return "not_prepared"
        if held.grant.state is not GrantState.PREPARED:
            return "already_started"
        if held.grant.epoch < self._min_epoch_by_job.get(key.job_id, 0):
            return "fenced_epoch"
        if self.leaving and key not in self.armed_before_leaving:
            return "leaving"
        if now_ms >= held.until_ms:
            return "start_expired"
        return _home_refusal_reason(held.grant, directive)

    def adopt(self, grant: Grant) -> None:
        """Take over a task that an earlier incarnation started."""
        key = MemberKey(grant.job_id, grant.attempt, grant.member)
        self._raise_min_epoch(AttemptRef(grant.job_id, grant.epoch, grant.attempt))
        self.record_start(key)
        self.held_by_key[key] = HeldGrant(grant, 0)

    def release(self, ref: AttemptRef, member: int) -> bool:
        """Drop a reservation; return whether one was dropped.

        A prepared member keeps its resources until its task is known to be unloaded.
        """
        key = MemberKey(ref.job_id, ref.attempt, member)
        held = self.held_by_key.get(key)
        if held is None or held.grant.state is not GrantState.RESERVED:
            return False
        if ref.epoch < held.grant.epoch:
            return False
        del self.held_by_key[key]
        return True

    def end(self, key: MemberKey) -> None:
        """Release the resources of a member."""
        self.held_by_key.pop(key, None)
        self.armed_before_leaving.discard(key)

    def set_throttled(self, key: MemberKey, throttled: bool) -> None:
        """Record whether a member runs throttled."""
        held = self.held_by_key.get(key)
        if held is not None:
            held.grant = held.grant._replace(throttled=throttled)

    def fence(self, job_id: str, epoch: int) -> FenceStatus:
        """Refuse all later starts of `job_id` below `epoch`; return what the job has started."""
        self._min_epoch_by_job[job_id] = max(epoch, self._min_epoch_by_job.get(job_id, 0))
        _evict_oldest(self._min_epoch_by_job)
        for key in [key for key in self.held_by_key if key.job_id == job_id]:
            grant = self.held_by_key[key].grant
            if grant.state is GrantState.RUNNING:
                return FenceStatus.RUNNING
            if grant.epoch < epoch and grant.state is GrantState.RESERVED:
                del self.held_by_key[key]
        if self._started.get(job_id) or self._has_evicted_starts:
            return FenceStatus.ENDED
        return FenceStatus.NEVER_STARTED

    def expire(self, now_ms: int) -> list[MemberKey]:
        """Drop reservations whose deadline has passed; return their keys."""
        expired = [
            key
            for key, held in self.held_by_key.items()
            if held.grant.state is GrantState.RESERVED and now_ms >= held.until_ms
        ]
        for key in expired:
            del self.held_by_key[key]
        return expired

    def has_started(self, key: MemberKey) -> bool:
        """Return whether this incarnation has started, or adopted, the member."""
        return key in self._started.get(key.job_id, ())

    def record_start(self, key: MemberKey) -> None:
        """Record a start for the lifetime of the agent, up to MAX_TRACKED_JOBS jobs."""
        self._started.setdefault(key.job_id, set()).add(key)
        self._has_evicted_starts |= _evict_oldest(self._started)

    def _raise_min_epoch(self, ref: AttemptRef) -> None:
        self._min_epoch_by_job[ref.job_id] = max(
            ref.epoch, self._min_epoch_by_job.get(ref.job_id, 0)
        )
        _evict_oldest(self._min_epoch_by_job)

    def _reserve_refusal_reason(
        self, message: Reserve, key: MemberKey, directive: Directive | None
    ) -> str:
        if message.incarnation != self.incarnation:
            return "other_incarnation"
        if self.leaving:
            return "leaving"
        if message.ref.epoch < self._min_epoch_by_job.get(key.job_id, 0):
            return "fenced_epoch"
        if key in self.held_by_key or self.has_started(key):
            return "already_granted"
        if self.info is None or directive is None:
            return "not_ready"
        return self._resource_refusal_reason(message, self.info) or _home_refusal_reason(
            message, directive
        )

    def _resource_refusal_reason(self, message: Reserve, info: WorkerInfo) -> str:
        grants = self.grants()
        wanted = set(message.accelerators)
        if len(wanted) != len(message.accelerators):
            return "no_such_accelerator"
        if any(not 0 <= index < info.accelerators for index in wanted):
            return "no_such_accelerator"
        if wanted & {index for grant in grants for index in grant.accelerators}:
            return "accelerators_taken"
        if len(grants) >= info.slots:
            return "slots_taken"
        if sum(grant.processors for grant in grants) + message.processors > info.processors:
            return "processors_taken"
        if sum(grant.memory_mb for grant in grants) + message.memory_mb > info.memory_mb:
            return "memory_taken"
        return ""


def _home_refusal_reason(wanted: Reserve | Grant, directive: Directive) -> str:
    """Refuse non-interruptible work on accelerators that are assigned to another account."""
    if wanted.interruptible:
        return ""
    for index in wanted.accelerators:
        home = directive.homes[index] if index < len(directive.homes) else ""
        if home not in ("", wanted.account):
            return "home_of_other_account"
    return ""


def _is_duplicate(grant: Grant, message: Reserve) -> bool:
    return grant.state is GrantState.RESERVED and grant == _new_grant(message)


def _new_grant(message: Reserve) -> Grant:
    return Grant(
        job_id=message.ref.job_id,
        epoch=message.ref.epoch,
        attempt=message.ref.attempt,
        member=message.member,
        owner=message.owner,
        account=message.account,
        kind=message.kind,
        accelerators=message.accelerators,
        processors=message.processors,
        memory_mb=message.memory_mb,
        interruptible=message.interruptible,
        state=GrantState.RESERVED,
        members=message.members,
    )


def _evict_oldest(entries: dict) -> bool:
    """Drop the oldest entries beyond MAX_TRACKED_JOBS; return whether any was dropped."""
    has_dropped = False
    while len(entries) > MAX_TRACKED_JOBS:
        del entries[next(iter(entries))]
        has_dropped = True
    return has_dropped
