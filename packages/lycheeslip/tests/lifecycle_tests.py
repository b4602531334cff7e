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


def place(worker="w1"):
    return (MemberPlacement(worker, "i1", (0,)),)


def report(attempt, state, answer=b"answer"):
    digest = sha256(answer).hexdigest()
    return AttemptReport(
        AttemptRef("job", 1, attempt), "e1", "w1", state, answer, digest, "", "", 5
    )


def start(record, worker="w1"):
    return lifecycle.start_intent(record, "e1", place(worker), 1)


def test_a_cancelled_waiting_job_did_not_run():
    record = lifecycle.request_cancel(make_record(), 5)
    assert record["verdict"]["tag"] == "cancelled"
    assert not record["verdict"]["may_have_run"]


def test_giving_up_after_an_interrupted_attempt_does_not_say_not_run():
    interrupted = report(1, ReportState.INTERRUPTED)
    waiting = lifecycle.after_report(start(make_record()), interrupted, LIMITS, 5, 0)
    assert waiting["state"] is JobState.PENDING
    assert lifecycle.give_up(waiting, "wait_expired", 9)["verdict"]["may_have_run"]
    assert not lifecycle.give_up(make_record(), "wait_expired", 9)["verdict"]["may_have_run"]
    assert lifecycle.give_up(start(make_record()), "wait_expired", 9)["verdict"]["may_have_run"]


def test_a_lost_attempt_of_a_job_that_is_not_repeatable_is_unknown():
    record = lifecycle.after_loss(start(make_record(repeatable=False)), 1, LIMITS, 5, "gone")
    assert record["verdict"]["tag"] == "unknown"


def test_a_repeatable_job_that_failed_on_three_workers_cannot_run():
    record = make_record()
    for attempt, worker in enumerate(("w1", "w2", "w3"), start=1):
        failed = report(attempt, ReportState.TASK_FAILED)._replace(blamed=worker)
        record = lifecycle.after_report(start(record, worker), failed, LIMITS, 5, 0)
    assert record["verdict"]["tag"] == "cannot_run"


def test_failures_on_suspected_workers_are_not_held_against_a_job():
    record = make_record()
    limits = LIMITS._replace(max_attempts=5)
    health = {"w1": WorkerHealth(quarantined_until_ms=9, probation=True)}
    for attempt, worker in enumerate(("w1", "w2", "w3", "w4"), start=1):
        assert record["verdict"] is None
        failed = report(attempt, ReportState.TASK_FAILED)._replace(blamed=worker)
        record = lifecycle.after_report(start(record, worker), failed, limits, 5, 0, health)
    assert record["verdict"]["tag"] == "cannot_run"


def test_jobs_without_a_record_share_no_attempt_and_are_tried_as_often():
    first, second = (lifecycle.without_record(make_record()) for _ in range(2))
    assert first["attempt"] != second["attempt"]
    for made in range(1, LIMITS.max_attempts + 1):
        first = start(first)
        lost = lifecycle.after_loss(first, first["attempt"], LIMITS, 5, "gone")
        assert (lost["state"] is JobState.DONE) == (made == LIMITS.max_attempts)
        first = lost


def test_an_answer_with_another_digest_is_not_taken():
    wrong = report(1, ReportState.ANSWERED)._replace(digest="0" * 64)
    assert lifecycle.after_report(start(make_record()), wrong, LIMITS, 5, 1) is None


def test_the_report_of_an_older_attempt_changes_nothing():
    first = start(make_record())
    second = start(lifecycle.back_to_pending(first, 1, "not_started", 5, ran=False))
    assert lifecycle.after_report(second, report(1, ReportState.ANSWERED), LIMITS, 5, 1) is None


def test_an_expired_job_that_never_ran_is_refused_as_not_run():
    record = lifecycle.expire(make_record(deadline_at_ms=DEADLINE_MS), DEADLINE_MS)
    assert record["verdict"]["tag"] == "refused"
    assert not record["verdict"]["may_have_run"]


class JobLifecycle(RuleBasedStateMachine):
    """Reports, losses, cancellations and take-overs in any order, also repeated and late."""

    @initialize(repeatable=st.booleans(), deadline=st.sampled_from([0, DEADLINE_MS]))
    def accept(self, repeatable, deadline):
        self.record = make_record(repeatable, deadline)
        self.now_ms = 1
        self.ran = False
        self.starts = 0
        self.verdicts = []

    def take(self, changed):
        if changed is None:
            return
        assert self.record["state"] is not JobState.DONE, "a job ended twice"
        self.record = changed
        if changed["verdict"] is not None:
            self.verdicts.append(changed["verdict"])

    @rule(step=st.integers(1, 400))
    def time_passes(self, step):
        self.now_ms += step

    @rule(worker=st.sampled_from(["w1", "w2", "w3", "w4"]))
    def intend(self, worker):
        changed = lifecycle.start_intent(self.record, "e1", place(worker), self.now_ms)
        if changed is not None:
            deadline_ms = self.record["spec"].deadline_at_ms
            assert deadline_ms == 0 or self.now_ms < deadline_ms
            self.starts += 1
            assert changed["attempt"] == self.starts
        self.take(changed)

    @rule(state=st.sampled_from(list(ReportState)), back=st.integers(0, 2))
    def hear(self, state, back):
        attempt = self.record["attempt"] - back
        is_current = back == 0 and self.record["state"] is JobState.STARTED
        if is_current and state is ReportState.NOT_STARTED and self.record["started_at_ms"]:
            return
        changed = lifecycle.after_report(
            self.record, report(attempt, state), LIMITS, self.now_ms, 1
        )
        assert changed is None or is_current
        if is_current and state is not ReportState.NOT_STARTED:
            self.ran = True
        self.take(changed)

    @rule()
    def lose(self):
        if self.record["state"] is JobState.STARTED:
            self.ran = True
        attempt = self.record["attempt"]
        self.take(lifecycle.after_loss(self.record, attempt, LIMITS, self.now_ms, "gone"))

    @rule()
    def cancel(self):
        self.take(lifecycle.request_cancel(self.record, self.now_ms))

    @rule()
    def expire(self):
        self.take(lifecycle.expire(self.record, self.now_ms))

    @rule()
    def take_over(self):
        epoch = self.record["epoch"]
        changed = lifecycle.take_over(self.record, "e2")
        assert changed is None or changed["epoch"] == epoch + 1
        self.take(changed)

    @invariant()
    def not_run_is_true(self):
        if getattr(self, "verdicts", None) and not self.verdicts[0]["may_have_run"]:
            assert not self.ran

    @invariant()
    def at_most_one_verdict(self):
        assert len(getattr(self, "verdicts", [])) <= 1

    @invariant()
    def a_job_that_ran_and_is_not_repeatable_never_waits_again(self):
        if getattr(self, "ran", False) and not self.record["spec"].repeatable:
            assert self.record["state"] is not JobState.PENDING


JobLifecycle.TestCase.settings = settings(
    max_examples=150, stateful_step_count=25, derandomize=True, deadline=None
)


def test_only_the_worker_of_the_failed_member_is_blamed():
    gang = (MemberPlacement("w1", "i1", (0,)), MemberPlacement("w2", "i2", (0,)))
    started = lifecycle.start_intent(make_record(), "e1", gang, 1)
    failed = report(1, ReportState.TASK_FAILED)._replace(blamed="w2")
    record = lifecycle.after_report(started, failed, LIMITS, 5, 0)
    assert lifecycle.failed_on(record) == {"w2"}


TestJobLifecycle = JobLifecycle.TestCase
