import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from lycheeslip_agent.grants import GrantTable, MemberKey
from lycheeslip_common.structure.fleet import GrantState, WorkerInfo
from lycheeslip_common.structure.jobs import AttemptRef, JobKind, MemberPlacement
from lycheeslip_common.wire.messages import Directive, FenceStatus, Prepare, Reserve

INFO = WorkerInfo("w1", "r1", "z1", "k1", "", 4, 8, 1_000, 3)
DIRECTIVE = Directive(1, 1, True, ("home", "", "", ""), 10_000, 1_000)
REF = AttemptRef("j1", 2, 1)


def reserve(ref=REF, accelerators=(1,), member=0, members=1, **changes):
    message = Reserve(
        1, ref, member, members, "e1", "i1", "acct", JobKind.BULK, accelerators, 1, 100, True, 100
    )
    return message._replace(**changes)


def prepare(ref=REF, member=0, members=1, incarnation="i1"):
    placement = (MemberPlacement("w1", "i1", (1,)),) * members
    return Prepare(1, ref, member, incarnation, placement, "", "", 100)


def table():
    grants = GrantTable("i1")
    grants.info = INFO
    return grants


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        (reserve(), ""),
        (reserve(incarnation="i0"), "other_incarnation"),
        (reserve(accelerators=(4,)), "no_such_accelerator"),
        (reserve(accelerators=(-1,)), "no_such_accelerator"),
        (reserve(accelerators=(1, 1)), "no_such_accelerator"),
        (reserve(accelerators=(2, 3)), "accelerators_taken"),
        (reserve(processors=8), "processors_taken"),
        (reserve(memory_mb=1_000), "memory_taken"),
        (reserve(accelerators=(0,), interruptible=False), "home_of_other_account"),
        (reserve(accelerators=(0,), interruptible=False, account="home"), ""),
        (reserve(accelerators=(0,)), ""),
        (reserve(accelerators=(1,), interruptible=False), ""),
        (reserve(AttemptRef("old", 4, 1)), "fenced_epoch"),
        (reserve(AttemptRef("old", 5, 1)), ""),
        (reserve(AttemptRef("taken", 1, 1), accelerators=(1,)), "already_granted"),
    ],
)
def test_reserve_is_granted_or_refused_for_a_reason(message, reason):
    grants = table()
    assert grants.reserve(reserve(AttemptRef("taken", 1, 1), (3,)), DIRECTIVE, 0) == ""
    grants.fence("old", 5)
    assert grants.reserve(message, DIRECTIVE, 0) == reason


def test_no_more_members_are_granted_than_there_are_slots():
    grants = table()
    refs = [AttemptRef(f"j{number}", 1, 1) for number in range(4)]
    reasons = [grants.reserve(reserve(ref, ()), DIRECTIVE, 0) for ref in refs]
    assert reasons == ["", "", "", "slots_taken"]


def test_a_leaving_worker_refuses_to_reserve_prepare_and_start():
    grants = table()
    for job in ("j1", "j2"):
        assert grants.reserve(reserve(AttemptRef(job, 2, 1), ()), DIRECTIVE, 0) == ""
    assert grants.prepare(prepare(), 0) == ""
    grants.leaving = True
    assert grants.reserve(reserve(AttemptRef("j3", 1, 1), ()), DIRECTIVE, 0) == "leaving"
    assert grants.prepare(prepare(AttemptRef("j2", 2, 1)), 0) == "leaving"
    assert grants.start(MemberKey("j1", 1, 0), 1, 1, DIRECTIVE) == "leaving"


def test_a_member_armed_before_its_worker_leaves_may_start():
    grants = table()
    assert grants.reserve(reserve(AttemptRef("j1", 2, 1), ()), DIRECTIVE, 0) == ""
    assert grants.prepare(prepare(), 0) == ""
    grants.leaving = True
    grants.armed_before_leaving.add(MemberKey("j1", 1, 0))
    assert grants.start(MemberKey("j1", 1, 0), 1, 1, DIRECTIVE) == ""


@pytest.mark.parametrize(
    ("message", "now_ms", "reason"),
    [
        (prepare(), 0, ""),
        (prepare(incarnation="i0"), 0, "other_incarnation"),
        (prepare(AttemptRef("j1", 1, 1)), 0, "fenced_epoch"),
        (prepare(AttemptRef("j1", 3, 1)), 0, "not_reserved"),
        (prepare(AttemptRef("j1", 2, 2)), 0, "not_reserved"),
        (prepare(members=2), 0, "bad_placement"),
        (prepare(), 100, "hold_expired"),
    ],
)
def test_prepare_needs_a_valid_reservation(message, now_ms, reason):
    grants = table()
    grants.reserve(reserve(), DIRECTIVE, 0)
    assert grants.prepare(message, now_ms) == reason


def test_repeated_messages_change_nothing():
    grants = table()
    assert grants.reserve(reserve(), DIRECTIVE, 0) == ""
    assert grants.reserve(reserve(), DIRECTIVE, 0) == ""
    assert grants.prepare(prepare(), 0) == grants.prepare(prepare(), 0) == ""
    assert grants.reserve(reserve(), DIRECTIVE, 0) == "already_granted"
    key = MemberKey("j1", 1, 0)
    assert grants.start(key, 1, 1, DIRECTIVE) == ""
    assert grants.start(key, 1, 1, DIRECTIVE) == "already_started"
    assert grants.prepare(prepare(), 0) == ""
    grants.end(key)
    assert grants.reserve(reserve(), DIRECTIVE, 0) == "already_granted"
    assert grants.start(key, 1, 1, DIRECTIVE) == "not_prepared"


def test_a_changed_home_refuses_the_start_of_non_interruptible_work():
    grants = table()
    grants.reserve(reserve(interruptible=False), DIRECTIVE, 0)
    grants.prepare(prepare(), 0)
    changed = DIRECTIVE._replace(version=2, homes=("", "home", "", ""))
    key = MemberKey("j1", 1, 0)
    assert grants.start(key, 1, 1, changed) == "home_of_other_account"


class Grants(RuleBasedStateMachine):
    """Messages of two owners to one incarnation, in any order, repeated and delayed."""

    jobs = st.sampled_from(["j1", "j2", "j3"])
    refs = st.builds(AttemptRef, jobs, st.integers(1, 3), st.integers(1, 2))
    members = st.integers(0, 1)

    def __init__(self):
        super().__init__()
        self.grants = table()
        self.now_ms = 0
        self.starts = []
        self.fenced_by_job = {}
        self.unstarted = []

    @rule(ref=refs, member=members, accelerators=st.sets(st.integers(0, 3), max_size=2))
    def reserve(self, ref, member, accelerators):
        message = reserve(ref, tuple(sorted(accelerators)), member, 2)
        self.grants.reserve(message, DIRECTIVE, self.now_ms)

    @rule(ref=refs, member=members)
    def prepare(self, ref, member):
        self.grants.prepare(prepare(ref, member, 2), self.now_ms)

    @rule(ref=refs, member=members)
    def start(self, ref, member):
        key = MemberKey(ref.job_id, ref.attempt, member)
        held = self.grants.held_by_key.get(key)
        if self.grants.start(key, self.now_ms, 0, DIRECTIVE) == "":
            assert self.now_ms < held.until_ms
            assert not self.grants.leaving
            assert held.grant.epoch >= self.fenced_by_job.get(key.job_id, 0)
            assert key not in self.starts
            self.starts.append(key)

    @rule(ref=refs, member=members)
    def end(self, ref, member):
        key = MemberKey(ref.job_id, ref.attempt, member)
        held = self.grants.held_by_key.get(key)
        if held is not None and held.grant.state is not GrantState.RESERVED:
            self.grants.end(key)

    @rule(ref=refs, member=members)
    def release(self, ref, member):
        running = [h.grant for h in self.grants.held_by_key.values() if h.grant.state == "running"]
        self.grants.release(ref, member)
        assert all(grant in self.grants.grants() for grant in running)

    @rule(job=jobs, epoch=st.integers(1, 4))
    def fence(self, job, epoch):
        status = self.grants.fence(job, epoch)
        self.fenced_by_job[job] = max(epoch, self.fenced_by_job.get(job, 0))
        started = [key for key in self.starts if key.job_id == job]
        running = [g for g in self.grants.grants() if g.job_id == job and g.state == "running"]
        assert (status is FenceStatus.NEVER_STARTED) == (not started)
        assert (status is FenceStatus.RUNNING) == bool(running)

    @rule(ms=st.integers(1, 120))
    def pass_time(self, ms):
        self.now_ms += ms
        self.grants.expire(self.now_ms)

    @rule(leaving=st.booleans())
    def leave(self, leaving):
        self.grants.leaving = leaving

    @invariant()
    def no_resource_is_granted_twice(self):
        held = [index for grant in self.grants.grants() for index in grant.accelerators]
        assert len(held) == len(set(held))
        assert len(self.grants.grants()) <= INFO.slots

    @invariant()
    def an_expired_reservation_is_not_held(self):
        for held in self.grants.held_by_key.values():
            assert held.grant.state != "reserved" or self.now_ms < held.until_ms


Grants.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestGrants = Grants.TestCase
