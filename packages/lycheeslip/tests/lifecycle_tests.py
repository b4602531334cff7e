from hashlib import sha256

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from lycheeslip.config.model import Limits
from lycheeslip.entry import lifecycle
from lycheeslip.policy.model import WorkerHealth
from lycheeslip_common.structure.jobs import (
    AttemptRef,
    JobKind,
    JobSpec,
    JobState,
    MemberPlacement,
    Shape,
)
from lycheeslip_common.wire.messages import AttemptReport, ReportState

LIMITS = Limits(max_attempts=3)
DEADLINE_MS = 1_000


def make_record(repeatable=True, deadline_at_ms=0):
    spec = JobSpec("a", JobKind.BULK, Shape(), "x", repeatable, deadline_at_ms)
    return lifecycle.new_record("job", spec, "digest", "e1", 1)


def make_placement(worker="w1"):
    return (MemberPlacement(worker, "i1", (0,)),)


def make_report(attempt, state, answer=b"answer"):
    digest = sha256(answer).hexdigest()
    return AttemptReport(
        AttemptRef("job", 1, attempt), "e1", "w1", state, answer, digest, "", "", 5
    )


def start(record, worker="w1"):
    return lifecycle.begin_attempt(record, "e1", make_placement(worker), 1)


def test_a_job_cancelled_while_pending_did_not_run():
    record = lifecycle.request_cancel(make_record(), 5)
    assert record["verdict"]["tag"] == "cancelled"
    assert not record["verdict"]["may_have_run"]


def test_a_job_abandoned_after_an_interrupted_attempt_may_have_run():
    interrupted = make_report(1, ReportState.INTERRUPTED)
    waiting = lifecycle.apply_report(start(make_record()), interrupted, LIMITS, 5, 0)
    assert waiting["state"] is JobState.PENDING
    assert lifecycle.abandon(waiting, "wait_expired", 9)["verdict"]["may_have_run"]
    assert not lifecycle.abandon(make_record(), "wait_expired", 9)["verdict"]["may_have_run"]
    assert lifecycle.abandon(start(make_record()), "wait_expired", 9)["verdict"]["may_have_run"]


def test_a_lost_attempt_of_a_non_repeatable_job_is_unknown():
    record = lifecycle.apply_loss(start(make_record(repeatable=False)), 1, LIMITS, 5, "gone")
    assert record["verdict"]["tag"] == "unknown"


def test_a_repeatable_job_that_fails_on_three_workers_cannot_run():
    record = make_record()
    for attempt, worker in enumerate(("w1", "w2", "w3"), start=1):
        failed = make_report(attempt, ReportState.TASK_FAILED)._replace(blamed=worker)
        record = lifecycle.apply_report(start(record, worker), failed, LIMITS, 5, 0)
    assert record["verdict"]["tag"] == "cannot_run"


def test_failures_on_unhealthy_workers_do_not_count_against_a_job():
    record = make_record()
    limits = LIMITS._replace(max_attempts=5)
    health = {"w1": WorkerHealth(quarantined_until_ms=9, probation=True)}
    for attempt, worker in enumerate(("w1", "w2", "w3", "w4"), start=1):
        assert record["verdict"] is None
        failed = make_report(attempt, ReportState.TASK_FAILED)._replace(blamed=worker)
        record = lifecycle.apply_report(start(record, worker), failed, limits, 5, 0, health)
    assert record["verdict"]["tag"] == "cannot_run"


def test_unrecorded_jobs_have_distinct_attempt_numbers_and_the_same_attempt_limit():
    first, second = (lifecycle.as_unrecorded(make_record()) for _ in range(2))
    assert first["attempt"] != second["attempt"]
    for attempts in range(1, LIMITS.max_attempts + 1):
        first = start(first)
        lost = lifecycle.apply_loss(first, first["attempt"], LIMITS, 5, "gone")
        assert (lost["state"] is JobState.DONE) == (attempts == LIMITS.max_attempts)
        first = lost


def test_an_answer_with_a_wrong_digest_is_rejected():
    wrong = make_report(1, ReportState.ANSWERED)._replace(digest="0" * 64)
    assert lifecycle.apply_report(start(make_record()), wrong, LIMITS, 5, 1) is None


def test_a_report_of_an_older_attempt_is_ignored():
    first = start(make_record())
    second = start(lifecycle.requeue(first, 1, "not_started", 5, ran=False))
    assert (
        lifecycle.apply_report(second, make_report(1, ReportState.ANSWERED), LIMITS, 5, 1) is None
    )


def test_an_expired_job_that_never_ran_is_refused():
    record = lifecycle.expire(make_record(deadline_at_ms=DEADLINE_MS), DEADLINE_MS)
    assert record["verdict"]["tag"] == "refused"
    assert not record["verdict"]["may_have_run"]


class JobLifecycle(RuleBasedStateMachine):
    """Reports, losses, cancellations and take-overs in any order, also repeated or late."""

    @initialize(repeatable=st.booleans(), deadline=st.sampled_from([0, DEADLINE_MS]))
    def accept(self, repeatable, deadline):
        self.record = make_record(repeatable, deadline)
        self.now_ms = 1
        self.ran = False
        self.starts = 0
        self.verdicts = []

    def apply(self, changed):
        if changed is None:
            return
        assert self.record["state"] is not JobState.DONE, "a job ended twice"
        self.record = changed
        if changed["verdict"] is not None:
            self.verdicts.append(changed["verdict"])

    @rule(step_ms=st.integers(1, 400))
    def advance_time(self, step_ms):
        self.now_ms += step_ms

    @rule(worker=st.sampled_from(["w1", "w2", "w3", "w4"]))
    def begin_attempt(self, worker):
        changed = lifecycle.begin_attempt(self.record, "e1", make_placement(worker), self.now_ms)
        if changed is not None:
            deadline_ms = self.record["spec"].deadline_at_ms
            assert deadline_ms == 0 or self.now_ms < deadline_ms
            self.starts += 1
            assert changed["attempt"] == self.starts
        self.apply(changed)

    @rule(state=st.sampled_from(list(ReportState)), age=st.integers(0, 2))
    def receive_report(self, state, age):
        attempt = self.record["attempt"] - age
        is_current = age == 0 and self.record["state"] is JobState.STARTED
        if is_current and state is ReportState.NOT_STARTED and self.record["started_at_ms"]:
            return
        changed = lifecycle.apply_report(
            self.record, make_report(attempt, state), LIMITS, self.now_ms, 1
        )
        assert changed is None or is_current
        if is_current and state is not ReportState.NOT_STARTED:
            self.ran = True
        self.apply(changed)

    @rule()
    def lose_attempt(self):
        if self.record["state"] is JobState.STARTED:
            self.ran = True
        attempt = self.record["attempt"]
        self.apply(lifecycle.apply_loss(self.record, attempt, LIMITS, self.now_ms, "gone"))

    @rule()
    def cancel(self):
        self.apply(lifecycle.request_cancel(self.record, self.now_ms))

    @rule()
    def expire(self):
        self.apply(lifecycle.expire(self.record, self.now_ms))

    @rule()
    def take_over(self):
        epoch = self.record["epoch"]
        changed = lifecycle.take_over(self.record, "e2")
        assert changed is None or changed["epoch"] == epoch + 1
        self.apply(changed)

    @invariant()
    def a_job_reported_as_not_run_never_ran(self):
        if getattr(self, "verdicts", None) and not self.verdicts[0]["may_have_run"]:
            assert not self.ran

    @invariant()
    def at_most_one_verdict(self):
        assert len(getattr(self, "verdicts", [])) <= 1

    @invariant()
    def a_non_repeatable_job_that_ran_is_never_requeued(self):
        if getattr(self, "ran", False) and not self.record["spec"].repeatable:
            assert self.record["state"] is not JobState.PENDING


JobLifecycle.TestCase.settings = settings(
    max_examples=150, stateful_step_count=25, derandomize=True, deadline=None
)


def test_a_gang_failure_is_attributed_to_the_worker_of_the_failed_member():
    gang = (MemberPlacement("w1", "i1", (0,)), MemberPlacement("w2", "i2", (0,)))
    started = lifecycle.begin_attempt(make_record(), "e1", gang, 1)
    failed = make_report(1, ReportState.TASK_FAILED)._replace(blamed="w2")
    record = lifecycle.apply_report(started, failed, LIMITS, 5, 0)
    assert lifecycle.blamed_workers(record) == {"w2"}


TestJobLifecycle = JobLifecycle.TestCase
