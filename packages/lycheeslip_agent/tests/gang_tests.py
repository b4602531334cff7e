from itertools import product

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from lycheeslip_agent.gang import Anchor, GangCause, Member
from lycheeslip_common.structure.jobs import AttemptRef
from lycheeslip_common.wire.messages import GangLease, GangPhase, GangPing

REF = AttemptRef("j1", 1, 1)
LEASE_MS = 1_000
START_BY_MS = 5_000


def ping(member, sent_ms, phase, reason=""):
    return GangPing(REF, member, sent_ms, GangPhase(phase), reason)


def running_anchor(members=2):
    anchor = Anchor(REF, members, LEASE_MS, START_BY_MS)
    for phase in ("prepared", "armed"):
        for member in range(members):
            anchor.on_ping(ping(member, 0, phase), 0)
    assert anchor.phase is GangPhase.RUNNING
    return anchor


@pytest.mark.parametrize(
    ("pings", "phase"),
    [
        ([(0, 0, "prepared")], GangPhase.PREPARED),
        ([(0, 0, "prepared"), (0, 9, "prepared")], GangPhase.PREPARED),
        ([(0, 0, "prepared"), (1, 0, "prepared")], GangPhase.ARMED),
        ([(0, 0, "prepared"), (1, 0, "prepared"), (0, 1, "armed")], GangPhase.ARMED),
        (
            [(0, 0, "prepared"), (1, 0, "prepared"), (0, 1, "armed"), (1, 2, "armed")],
            GangPhase.RUNNING,
        ),
        (
            [(0, 0, "prepared"), (1, 0, "prepared"), (0, 1, "armed"), (1, 502, "armed")],
            GangPhase.ARMED,
        ),
        (
            [(0, 0, "prepared"), (1, 0, "prepared"), (0, 1, "armed"), (0, 2, "prepared"),
             (1, 3, "armed")],
            GangPhase.ARMED,
        ),
        ([(0, 0, "prepared"), (1, 0, "failed")], GangPhase.STOP),
        ([(0, 0, "prepared"), (1, 5_000, "prepared")], GangPhase.STOP),
    ],
)  # fmt: skip
def test_the_anchor_orders_the_start_once_all_members_are_armed(pings, phase):
    anchor = Anchor(REF, 2, LEASE_MS, START_BY_MS)
    for member, sent_ms, member_phase in pings:
        lease = anchor.on_ping(ping(member, sent_ms, member_phase), sent_ms)
    assert (lease.phase, anchor.phase) == (phase, phase)


def test_a_gang_stopped_before_the_start_order_is_reported_as_not_started():
    anchor = Anchor(REF, 2, LEASE_MS, START_BY_MS)
    anchor.on_ping(ping(0, 0, "prepared"), 0)
    anchor.on_ping(ping(1, 0, "failed", "task_failed"), 0)
    assert not anchor.decided_to_run
    assert anchor.outcome.cause is GangCause.NOT_STARTED


@pytest.mark.parametrize(
    ("reason", "cause"),
    [
        ("task_failed", GangCause.TASK_FAILED),
        ("interrupted:reclaim", GangCause.INTERRUPTED),
        ("lease_lapsed", GangCause.LOST),
    ],
)
def test_one_failed_member_stops_the_gang_for_good(reason, cause):
    anchor = running_anchor()
    assert anchor.on_ping(ping(1, 10, "failed", reason), 10).phase is GangPhase.STOP
    assert (anchor.outcome.cause, anchor.outcome.member) == (cause, 1)
    for member in (0, 1):
        lease = anchor.on_ping(ping(member, 20, "running"), 20)
        assert (lease.phase, lease.remaining_ms) == (GangPhase.STOP, 0)


def test_all_leases_end_one_lease_after_the_last_ping_of_the_longest_silent_member():
    anchor = running_anchor()
    anchor.on_ping(ping(0, 100, "running"), 100)
    anchor.on_ping(ping(1, 100, "running"), 100)
    assert anchor.all_started
    for now_ms in (300, 600, 900, 1_099):
        assert anchor.on_ping(ping(0, now_ms, "running"), now_ms).remaining_ms == 1_100 - now_ms
    assert anchor.on_ping(ping(0, 1_100, "running"), 1_100).phase is GangPhase.STOP
    assert anchor.outcome.cause is GangCause.LOST
    assert anchor.outcome.member == 1


def test_a_delayed_ping_counts_from_when_it_was_sent():
    anchor = running_anchor()
    for member in (0, 1):
        anchor.on_ping(ping(member, 100, "running"), 100)
    anchor.on_ping(ping(1, 200, "running"), 900)
    assert anchor.on_ping(ping(0, 900, "running"), 900).remaining_ms <= 301


def test_a_member_that_pings_but_never_starts_stops_the_gang():
    anchor = running_anchor()
    anchor.on_ping(ping(0, 100, "running"), 100)
    for now_ms in (400, 700, 999):
        assert anchor.on_ping(ping(0, now_ms, "running"), now_ms).remaining_ms <= 1_000 - now_ms
        anchor.on_ping(ping(1, now_ms, "armed"), now_ms)
    assert anchor.on_ping(ping(0, 1_000, "running"), 1_000).phase is GangPhase.STOP


def test_a_finished_member_need_not_ping_again():
    anchor = running_anchor()
    for member in (0, 1):
        anchor.on_ping(ping(member, 100, "running"), 100)
    anchor.on_ping(ping(1, 200, "finished"), 200)
    for now_ms in range(400, 3_000, 400):
        assert anchor.on_ping(ping(0, now_ms, "running"), now_ms).phase is GangPhase.RUNNING
    assert anchor.on_ping(ping(0, 3_100, "finished"), 3_100).phase is GangPhase.FINISHED
    assert anchor.outcome.cause is None


@pytest.mark.parametrize(
    "lease",
    [
        GangLease(REF, 1, 0, GangPhase.RUNNING, 100),
        GangLease(AttemptRef("j1", 2, 1), 0, 0, GangPhase.RUNNING, 100),
        GangLease(REF, 0, 99, GangPhase.RUNNING, 100),
        GangLease(REF, 0, 0, GangPhase.RUNNING, 10),
        GangLease(REF, 0, 0, GangPhase.ARMED, 100),
    ],
)
def test_a_member_does_not_start_on_a_lease_that_is_late_or_not_its_own(lease):
    member = Member(REF, 0, START_BY_MS)
    member.on_lease(lease, 50)
    assert not member.may_start(50)


def test_a_member_whose_lease_lapsed_fails_and_accepts_no_other():
    member = Member(REF, 0, START_BY_MS)
    member.on_lease(GangLease(REF, 0, 0, GangPhase.RUNNING, 100), 50)
    assert member.may_start(50)
    member.mark_started()
    member.step(100)
    assert (member.phase, member.reason) == (GangPhase.FAILED, "lease_lapsed")
    member.on_lease(GangLease(REF, 0, 100, GangPhase.RUNNING, 100), 101)
    assert not member.may_start(101)
    assert member.phase is GangPhase.FAILED


class _Worker:
    """A member's agent and its backend server, which ends the task when its lease ends."""

    def __init__(self, number, offset_ms):
        self.member = Member(REF, number, START_BY_MS)
        self.offset_ms = offset_ms
        self.agent_alive = True
        self.state = "loaded"
        self.lease_until_ms = 0
        self.starts = 0

    def advance(self, clock_ms):
        if self.state == "running" and clock_ms >= self.lease_until_ms:
            self.state = "lapsed"


class Gang(RuleBasedStateMachine):
    """Three members and an anchor; messages are lost, delayed or repeated; any part may fail."""

    numbers = st.integers(0, 2)

    @initialize(offset_ms=st.integers(0, 100_000), rounds=st.sampled_from([0, 2, 3, 5]))
    def begin(self, offset_ms, rounds):
        offsets = (0, offset_ms, 2 * offset_ms)
        self.now_ms = 0
        self.anchor = Anchor(REF, 3, LEASE_MS, START_BY_MS)
        self.anchor_alive = True
        self.workers = [_Worker(number, offset) for number, offset in enumerate(offsets)]
        for worker in self.workers:
            worker.member.start_by_ms += worker.offset_ms
        self.pings, self.leases = [], []
        self.stopped = False
        self.ordered = False
        self.partial_since_ms = None
        for worker in self.workers:
            self._to_anchor(worker.member.ping(worker.offset_ms))
        self.rounds_of_pings(rounds, 0, "no_fault")

    def _clock(self, worker):
        return self.now_ms + worker.offset_ms

    @rule(number=numbers, is_heard=st.booleans(), is_answered=st.booleans())
    def ping(self, number, is_heard, is_answered):
        worker = self.workers[number]
        if not worker.agent_alive:
            return
        clock_ms = self._clock(worker)
        if worker.state in ("failed", "lapsed"):
            worker.member.fail(f"task_{worker.state}")
        elif worker.state == "finished":
            worker.member.mark_finished()
        worker.member.step(clock_ms)
        message = worker.member.ping(clock_ms)
        self.pings.append(message)
        if is_heard and self.anchor_alive:
            self._to_anchor(message)
            if is_answered:
                self._to_member(self.leases[-1])

    def _to_anchor(self, message):
        if not self.anchor_alive:
            return
        lease = self.anchor.on_ping(message, self.now_ms)
        assert not (self.stopped and lease.phase is GangPhase.RUNNING)
        self.stopped |= lease.phase is GangPhase.STOP
        self.leases.append(lease)

    def _to_member(self, lease):
        worker = self.workers[lease.member]
        if not worker.agent_alive:
            return
        clock_ms = self._clock(worker)
        worker.member.on_lease(lease, clock_ms)
        worker.member.step(clock_ms)
        if worker.member.ended and worker.state in ("loaded", "running"):
            worker.state = "stopped"
        elif worker.member.may_start(clock_ms) and worker.state == "loaded":
            worker.state, worker.starts = "running", worker.starts + 1
            worker.lease_until_ms = worker.member.lease_deadline_ms
            worker.member.mark_started()
            assert self.anchor.decided_to_run
        elif worker.state == "running":
            worker.lease_until_ms = worker.member.lease_deadline_ms

    @rule(choice=st.integers(0, 1_000))
    def deliver_late_ping(self, choice):
        if self.pings:
            self._to_anchor(self.pings[choice % len(self.pings)])

    @rule(choice=st.integers(0, 1_000))
    def deliver_late_lease(self, choice):
        if self.leases:
            self._to_member(self.leases[choice % len(self.leases)])

    @rule(ms=st.sampled_from([1, 50, 250, 400, 1_200]))
    def pass_time(self, ms):
        self.now_ms += ms
        for worker in self.workers:
            worker.advance(self._clock(worker))

    @rule(
        rounds=st.integers(1, 8),
        faulty=numbers,
        fault=st.sampled_from(["no_fault", "unheard", "unanswered"]),
    )
    def rounds_of_pings(self, rounds, faulty, fault):
        for _ in range(rounds):
            for number in range(3):
                is_faulty = number == faulty
                self.ping(
                    number,
                    is_heard=not (is_faulty and fault == "unheard"),
                    is_answered=not (is_faulty and fault == "unanswered"),
                )
            self.pass_time(200)
            self.a_partial_gang_runs_for_at_most_one_lease()

    @rule(
        first=numbers,
        fault=st.sampled_from(["unheard", "unanswered"]),
        rounds=st.integers(2, 5),
        second=numbers,
        is_lost=st.booleans(),
        is_delayed=st.booleans(),
    )
    def one_fault_after_another(self, first, fault, rounds, second, is_lost, is_delayed):
        self.ping(first, is_heard=False, is_answered=False)
        if is_lost:
            self.end_task(first, "failed")
            self.workers[first].agent_alive = False
            self.anchor_alive &= first != 0
        self.rounds_of_pings(rounds, first, fault)
        if is_delayed and is_lost:
            delayed = [message for message in self.pings if message.member == first]
            for message in delayed[-1:]:
                self._to_anchor(message)
        self.rounds_of_pings(rounds, second, "unheard")

    @precondition(lambda self: self.now_ms > 2 * LEASE_MS)
    @rule()
    def stop_anchor(self):
        self.anchor.stop(GangCause.INTERRUPTED, 0, "interrupted")

    @precondition(lambda self: self.anchor.decided_to_run)
    @rule(number=numbers, state=st.sampled_from(["failed", "finished"]))
    def end_task(self, number, state):
        if self.workers[number].state == "running":
            self.workers[number].state = state

    @precondition(lambda self: self.anchor.decided_to_run)
    @rule(number=numbers)
    def kill_agent(self, number):
        self.workers[number].agent_alive = False
        if number == 0:
            self.anchor_alive = False

    @precondition(lambda self: self.anchor.decided_to_run)
    @rule(number=numbers)
    def lose_instance(self, number):
        self.end_task(number, "failed")
        self.kill_agent(number)

    @invariant()
    def an_outcome_is_final(self):
        outcome = self.anchor.outcome if hasattr(self, "anchor") else None
        known = getattr(self, "outcome", None)
        assert known is None or outcome == known
        self.outcome = outcome

    @invariant()
    def no_member_starts_twice(self):
        assert all(worker.starts <= 1 for worker in getattr(self, "workers", ()))

    @invariant()
    def a_partial_gang_runs_for_at_most_one_lease(self):
        workers = getattr(self, "workers", ())
        states = [worker.state for worker in workers]
        is_whole = all(state in ("running", "finished") for state in states)
        if "running" not in states or is_whole:
            self.partial_since_ms = None
            return
        if self.partial_since_ms is None:
            self.partial_since_ms = self.now_ms
        drift_ms = self.now_ms // 1_000 + 1
        assert self.now_ms - self.partial_since_ms <= LEASE_MS + drift_ms

    @invariant()
    def a_gang_reported_as_not_started_never_ran(self):
        outcome = self.anchor.outcome if hasattr(self, "anchor") else None
        if outcome is not None and outcome.cause is GangCause.NOT_STARTED:
            assert not any(worker.starts for worker in self.workers)


Gang.TestCase.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=25, deadline=None
)
TestGang = Gang.TestCase


@pytest.mark.parametrize("rounds_before", [2, 3, 4, 5])
def test_two_faults_in_a_row_leave_no_partial_gang_running_for_long(rounds_before):
    faults, flags, numbers = ("unheard", "unanswered"), (False, True), range(3)
    for scenario in product(numbers, faults, range(1, 6), numbers, flags, flags):
        gang = Gang()
        gang.begin(1_000, rounds_before)
        gang.one_fault_after_another(*scenario)
        gang.rounds_of_pings(6, 0, "no_fault")
        gang.a_gang_reported_as_not_started_never_ran()
