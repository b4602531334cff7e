"""Run leases of a gang: the members, and the anchor that coordinates them on member 0's worker.

Members pull their lease: each sends the anchor pings with the time of its own clock, and the
lease in an answer is relative to the time at which that ping was sent. The leases of all
members end at one common time, one lease period after the last ping of the member that has
been silent for longest, so that the loss of a member stops the others within one lease
period. A job with one member is a gang of one.
"""

import heapq
from dataclasses import dataclass
from enum import StrEnum

from lycheeslip_common.structure.jobs import AttemptRef
from lycheeslip_common.wire.messages import GangLease, GangPhase, GangPing

__all__ = ["Anchor", "GangCause", "GangOutcome", "Member", "STOPPED_BY_ANCHOR"]

CLOCK_DRIFT_DIVISOR = 1_000
STOPPED_BY_ANCHOR = "stopped_by_anchor"
STARTED_PHASES = (GangPhase.RUNNING, GangPhase.FINISHED)
ENDED_PHASES = (GangPhase.FINISHED, GangPhase.FAILED, GangPhase.STOP)


class GangCause(StrEnum):
    """Why a gang was stopped."""

    TASK_FAILED = "task_failed"
    INTERRUPTED = "interrupted"
    LOST = "lost"
    NOT_STARTED = "not_started"


@dataclass(frozen=True, slots=True)
class GangOutcome:
    """How a gang ended; `cause` is None if all members finished, else `member` caused it."""

    cause: GangCause | None
    member: int
    reason: str


@dataclass(slots=True)
class _LastPing:
    """A member's newest ping.

    `at_ms` is when it was sent, on the anchor's clock. `offset_ms` is the anchor's clock minus
    the member's, as estimated at `offset_at_ms`.
    """

    at_ms: int
    phase: GangPhase
    offset_ms: int
    offset_at_ms: int


class Anchor:
    """Coordinates the gang's start, leases and end; a stopped or finished gang stays so.

    `decided_to_run` is set once a member may have been told to start, `all_started` once all
    members have started.
    """

    def __init__(self, ref: AttemptRef, members: int, lease_ms: int, start_by_ms: int) -> None:
        """Create the anchor of `members` members, which must start by `start_by_ms`."""
        self.ref = ref
        self.members = members
        self.lease_ms = lease_ms
        self.start_by_ms = start_by_ms
        self.phase = GangPhase.PREPARED
        self.outcome: GangOutcome | None = None
        self.decided_to_run = False
        self.all_started = False
        self._start_deadline_ms = 0
        self._last_ping_by_member: dict[int, _LastPing] = {}
        self._ping_heap: list[tuple[int, int]] = []
        self._finished_count = 0

    def on_ping(self, ping: GangPing, now_ms: int) -> GangLease:
        """Process a member's ping and return the lease that answers it."""
        if not 0 <= ping.member < self.members:
            return GangLease(ping.ref, ping.member, ping.sent_ms, GangPhase.STOP, 0)
        self.step(now_ms)
        if self.phase not in ENDED_PHASES:
            self._record_ping(ping, now_ms)
            self._decide(ping, now_ms)
        remaining_ms = 0
        if self.phase is GangPhase.RUNNING:
            remaining_ms = max(0, self._lease_end_ms(now_ms) - now_ms)
        return GangLease(ping.ref, ping.member, ping.sent_ms, self.phase, remaining_ms)

    def adopt(self, now_ms: int) -> None:
        """Continue as the anchor of a gang of one whose task already runs."""
        self.phase = GangPhase.RUNNING
        self.decided_to_run = self.all_started = True
        self._store_ping(0, _LastPing(now_ms, GangPhase.RUNNING, 0, now_ms))

    def step(self, now_ms: int) -> None:
        """Stop the gang if its start is overdue or a member has been silent for a lease period."""
        if self.phase in (GangPhase.PREPARED, GangPhase.ARMED) and now_ms >= self.start_by_ms:
            self.stop(GangCause.NOT_STARTED, 0, "start_expired")
        if self.phase is not GangPhase.RUNNING:
            return
        oldest_ms, member = self._longest_silent_member(now_ms)
        if now_ms - oldest_ms >= self.lease_ms:
            self.stop(GangCause.LOST, member, "member_not_heard")
        elif not self.all_started and now_ms >= self._start_deadline_ms:
            self.stop(GangCause.LOST, self._first_unstarted(), "member_not_started")

    def stop(self, cause: GangCause, member: int, reason: str) -> None:
        """Stop the gang for good; a stop before the start order proves that it never ran."""
        if self.phase in ENDED_PHASES:
            return
        self.phase = GangPhase.STOP
        self.outcome = GangOutcome(
            cause if self.decided_to_run else GangCause.NOT_STARTED, member, reason
        )

    def _record_ping(self, ping: GangPing, now_ms: int) -> None:
        """Record when the ping was sent, on this clock.

        The clock offset assumes that the ping with the shortest delay took no time, and allows
        for clock drift since then.
        """
        known = self._last_ping_by_member.get(ping.member)
        offset_ms = now_ms - ping.sent_ms
        at_ms = now_ms
        if known is not None:
            drift_ms = (now_ms - known.offset_at_ms) // CLOCK_DRIFT_DIVISOR
            offset_ms = min(offset_ms, known.offset_ms + drift_ms)
            at_ms = max(known.at_ms, ping.sent_ms + offset_ms)
            if known.phase is GangPhase.FINISHED or ping.sent_ms + offset_ms < known.at_ms:
                return
        self._store_ping(ping.member, _LastPing(at_ms, ping.phase, offset_ms, now_ms))

    def _store_ping(self, member: int, last_ping: _LastPing) -> None:
        self._last_ping_by_member[member] = last_ping
        if last_ping.phase is GangPhase.FINISHED:
            self._finished_count += 1
        else:
            heapq.heappush(self._ping_heap, (last_ping.at_ms, member))

    def _longest_silent_member(self, now_ms: int) -> tuple[int, int]:
        """Return the longest silent unfinished member as (time of its last ping, index)."""
        while self._ping_heap:
            at_ms, member = self._ping_heap[0]
            last_ping = self._last_ping_by_member[member]
            if last_ping.at_ms == at_ms and last_ping.phase is not GangPhase.FINISHED:
                return at_ms, member
            heapq.heappop(self._ping_heap)
        return now_ms, 0

    def _first_unstarted(self) -> int:
        for member, last_ping in self._last_ping_by_member.items():
            if last_ping.phase not in STARTED_PHASES:
                return member
        return 0

    def _decide(self, ping: GangPing, now_ms: int) -> None:
        if ping.phase in (GangPhase.FAILED, GangPhase.STOP):
            self.stop(_cause_from_reason(ping.reason), ping.member, ping.reason)
            return
        if len(self._last_ping_by_member) < self.members:
            return
        match self.phase:
            case GangPhase.PREPARED:
                self.phase = GangPhase.ARMED
            case GangPhase.ARMED if self._all_armed_recently(now_ms):
                self.phase = GangPhase.RUNNING
                self.decided_to_run = True
                self._start_deadline_ms = now_ms + self.lease_ms
            case GangPhase.RUNNING:
                self.all_started = self.all_started or self._all_started()
                if self._finished_count == self.members:
                    self.phase = GangPhase.FINISHED
                    self.outcome = GangOutcome(None, 0, "")

    def _all_started(self) -> bool:
        return all(
            last_ping.phase in STARTED_PHASES for last_ping in self._last_ping_by_member.values()
        )

    def _all_armed_recently(self, now_ms: int) -> bool:
        return all(
            last_ping.phase is GangPhase.ARMED and now_ms - last_ping.at_ms < self.lease_ms // 2
            for last_ping in self._last_ping_by_member.values()
        )

    def _lease_end_ms(self, now_ms: int) -> int:
        lease_end_ms = self._longest_silent_member(now_ms)[0] + self.lease_ms
        return lease_end_ms if self.all_started else min(lease_end_ms, self._start_deadline_ms)


def _cause_from_reason(reason: str) -> GangCause:
    """Return the cause that a member's reason belongs to, LOST by default."""
    for cause in (GangCause.TASK_FAILED, GangCause.INTERRUPTED):
        if reason.startswith(cause):
            return cause
    return GangCause.LOST


class Member:
    """State of one member, which runs only under a lease and never again after a stop."""

    def __init__(self, ref: AttemptRef, member: int, start_by_ms: int) -> None:
        """Create a prepared member, which fails unless it starts by `start_by_ms`."""
        self.ref = ref
        self.member = member
        self.start_by_ms = start_by_ms
        self.phase = GangPhase.PREPARED
        self.reason = ""
        self.lease_deadline_ms = 0
        self.gang_ended = False
        self._anchor_phase = GangPhase.PREPARED

    @property
    def ended(self) -> bool:
        """Return whether the member has finished or failed."""
        return self.phase in ENDED_PHASES

    def ping(self, now_ms: int, start_refusal: str = "") -> GangPing:
        """Return the ping to send; with a `start_refusal`, an armed member reports prepared."""
        phase = self.phase
        if phase is GangPhase.ARMED and start_refusal:
            phase = GangPhase.PREPARED
        return GangPing(self.ref, self.member, now_ms, phase, self.reason)

    def on_lease(self, lease: GangLease, now_ms: int) -> None:
        """Process the anchor's answer to a ping; ignore an answer to another member."""
        if lease.ref != self.ref or lease.member != self.member or lease.echo_ms > now_ms:
            return
        if lease.phase in ENDED_PHASES:
            self.gang_ended = True
            if lease.phase is not GangPhase.FINISHED:
                self.fail(STOPPED_BY_ANCHOR)
            return
        if self.ended:
            return
        self._anchor_phase = lease.phase
        if self.phase is GangPhase.PREPARED and lease.phase is not GangPhase.PREPARED:
            self.phase = GangPhase.ARMED
        if lease.phase is GangPhase.RUNNING:
            deadline_ms = lease.echo_ms + lease.remaining_ms
            self.lease_deadline_ms = max(self.lease_deadline_ms, deadline_ms)

    def may_start(self, now_ms: int) -> bool:
        """Return whether the anchor has ordered the start and the lease is still valid."""
        is_ordered = self._anchor_phase is GangPhase.RUNNING and not self.gang_ended
        return self.phase is GangPhase.ARMED and is_ordered and now_ms < self.lease_deadline_ms

    def mark_started(self) -> None:
        """Record that the task runs."""
        if not self.ended:
            self.phase = GangPhase.RUNNING

    def mark_finished(self) -> None:
        """Record that the task has ended with an answer."""
        if not self.ended:
            self.phase = GangPhase.FINISHED

    def fail(self, reason: str) -> None:
        """Record that the task can't run any longer; the first reason is kept."""
        if not self.ended:
            self.phase = GangPhase.FAILED
            self.reason = reason

    def step(self, now_ms: int) -> None:
        """Fail the member if its lease has expired or its start is overdue."""
        is_waiting = self.phase in (GangPhase.PREPARED, GangPhase.ARMED)
        if is_waiting and now_ms >= self.start_by_ms:
            self.fail("start_expired")
        if self.phase is GangPhase.RUNNING and now_ms >= self.lease_deadline_ms:
            self.fail("lease_lapsed")

    def adopt(self, lease_deadline_ms: int) -> None:
        """Continue as a member whose task already runs under a lease."""
        self.phase = GangPhase.RUNNING
        self._anchor_phase = GangPhase.RUNNING
        self.lease_deadline_ms = lease_deadline_ms
