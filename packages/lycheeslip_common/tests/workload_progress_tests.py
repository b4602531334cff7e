"""State transitions of a job's progress: examples and random sequences."""

import cbor2
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from lycheeslip_common.workload.fleet import EndCause, Lifetime
from lycheeslip_common.workload.jobs import JobSpec, StepSpec, parse_task_name
from lycheeslip_common.workload.progress import (
    HEALTHY_RUN_MS,
    LATE_CRASH_MS,
    MAX_CRASH_WEIGHT,
    CrashEvidence,
    JobProgress,
    JobState,
    apply_crash,
    apply_end,
    begin_runs,
    cancel,
    decode_progress,
    decode_spec,
    encode_progress,
    encode_spec,
    open_occurrences,
    settle_crash,
    waiting_units,
)

LIFETIME = Lifetime("worker-1", 5)
NOW_MS = 1_000
AT_START, LATE = CrashEvidence(10, False), CrashEvidence(10_000, False)
AT_START_BESIDE, LATE_BESIDE = CrashEvidence(10, True), CrashEvidence(10_000, True)
SOON = CrashEvidence(LATE_CRASH_MS - 1, False)
MAX_STARTS = 5  # of a task that crashes each worker when it starts


def make_job(*steps: StepSpec, attempts: int = 2, **fields: int) -> JobProgress:
    spec = JobSpec("a" * 16, "queue", "account", "service", 1, attempts, "x", steps, 0, **fields)
    job = JobProgress(spec)
    open_occurrences(job, NOW_MS)
    return job


def begin(job: JobProgress, *keys: tuple[int, int, int]) -> int:
    gang = job.spec.steps[keys[0][1]].gang
    return begin_runs(job, dict.fromkeys(keys, ("node-1", LIFETIME)), gang, NOW_MS)


def crash(
    job: JobProgress, key: tuple[int, int, int], evidence: CrashEvidence, explained: bool = False
) -> None:
    """Crash the worker of a placed task, and settle whether that counts."""
    assert apply_crash(job, key, job.tasks[key].run, evidence, NOW_MS)
    for open_crash in job.tasks[key].open_crashes:
        settle_crash(job, key, open_crash, explained, NOW_MS)


def test_step_waits_for_all_tasks_of_preceding_steps():
    job = make_job(StepSpec(2), StepSpec(1, after=(0,)))
    assert [members for _, members in waiting_units(job)] == [[(0, 0, 0)], [(0, 0, 1)]]
    begin(job, (0, 0, 0))
    begin(job, (0, 0, 1))
    apply_end(job, (0, 0, 0), 1, EndCause.DONE, "", NOW_MS)
    assert list(waiting_units(job)) == []
    apply_end(job, (0, 0, 1), 1, EndCause.DONE, "", NOW_MS)
    assert [members for _, members in waiting_units(job)] == [[(0, 1, 0)]]


def test_gang_members_share_run_number_and_checkpoint():
    job = make_job(StepSpec(2, gang=True))
    job.tasks[(0, 0, 1)].checkpoint = "00000002"
    job.tasks[(0, 0, 0)].run = 4
    begin(job, (0, 0, 0), (0, 0, 1))
    assert {(task.run, task.checkpoint) for task in job.tasks.values()} == {(5, "00000002")}


def test_gang_is_done_when_one_member_is_done():
    job = make_job(StepSpec(2, gang=True))
    begin(job, (0, 0, 0), (0, 0, 1))
    apply_end(job, (0, 0, 1), 1, EndCause.DONE, "", NOW_MS)
    assert job.state == JobState.COMPLETED


def test_gang_restarts_only_after_every_member_has_ended():
    job = make_job(StepSpec(2, gang=True))
    begin(job, (0, 0, 0), (0, 0, 1))
    apply_end(job, (0, 0, 0), 1, EndCause.LOST, "", NOW_MS)
    assert list(waiting_units(job)) == []
    apply_end(job, (0, 0, 1), 1, EndCause.BROKEN, "", NOW_MS)
    assert len(list(waiting_units(job))) == 1


def test_failures_of_members_in_one_run_count_as_one_attempt():
    job = make_job(StepSpec(2, gang=True), attempts=2)
    begin(job, (0, 0, 0), (0, 0, 1))
    apply_end(job, (0, 0, 0), 1, EndCause.FAILED, "", NOW_MS)
    apply_end(job, (0, 0, 1), 1, EndCause.FAILED, "", NOW_MS)
    assert job.state == JobState.ACTIVE


@pytest.mark.parametrize("cause", [EndCause.STOPPED, EndCause.LAPSED, EndCause.LOST])
def test_stopped_lapsed_and_lost_runs_use_up_no_attempt(cause: EndCause):
    job = make_job(StepSpec(1), attempts=1)
    for run in (1, 2, 3):
        assert begin(job, (0, 0, 0)) == run
        apply_end(job, (0, 0, 0), run, cause, "", NOW_MS)
    assert job.state == JobState.ACTIVE


def test_job_fails_when_attempts_are_used_up():
    job = make_job(StepSpec(1), attempts=2)
    for run in (1, 2):
        begin(job, (0, 0, 0))
        apply_end(job, (0, 0, 0), run, EndCause.FAILED, "", NOW_MS)
    assert job.state == JobState.FAILED
    assert list(waiting_units(job)) == []


def test_end_of_superseded_run_is_ignored():
    job = make_job(StepSpec(1))
    begin(job, (0, 0, 0))
    apply_end(job, (0, 0, 0), 1, EndCause.LOST, "", NOW_MS)
    begin(job, (0, 0, 0))
    assert not apply_end(job, (0, 0, 0), 1, EndCause.DONE, "", NOW_MS)
    assert job.state == JobState.ACTIVE


def test_lost_run_later_reported_as_done_is_not_repeated():
    job = make_job(StepSpec(1))
    begin(job, (0, 0, 0))
    apply_end(job, (0, 0, 0), 1, EndCause.LOST, "", NOW_MS)
    assert apply_end(job, (0, 0, 0), 1, EndCause.DONE, "", NOW_MS)
    assert list(waiting_units(job)) == []
    assert job.state == JobState.COMPLETED


def test_occurrences_are_created_when_due():
    job = make_job(StepSpec(1), first_due_ms=1_000, interval_ms=500, occurrences=3)
    assert job.opened_occurrences == 1
    begin(job, (0, 0, 0))
    apply_end(job, (0, 0, 0), 1, EndCause.DONE, "", NOW_MS)
    assert job.state == JobState.ACTIVE
    assert open_occurrences(job, 2_000)
    assert job.opened_occurrences == 3


def test_long_running_task_restarts_whatever_the_end_cause():
    job = make_job(StepSpec(1, long_running=True), attempts=1)
    for run, cause in enumerate((EndCause.DONE, EndCause.FAILED, EndCause.LAPSED), start=1):
        begin(job, (0, 0, 0))
        apply_end(job, (0, 0, 0), run, cause, "", NOW_MS)
        assert len(list(waiting_units(job))) == 1
    assert cancel(job, NOW_MS)
    assert list(waiting_units(job)) == []


@pytest.mark.parametrize(
    "text", ["", "a.0.0", "a.0.0.x", "a.0.-1.0", "a.0.0.0.0", "a.%s.0.0" % ("9" * 5_000)]
)
def test_malformed_task_name_is_not_parsed(text: str):
    assert parse_task_name(text) is None


@pytest.mark.parametrize("value", [b"", b"\xff", b"\x01", b"\x80"])
def test_malformed_record_raises_value_error(value: bytes):
    with pytest.raises(ValueError, match="not a stored job"):
        decode_spec(value)


class ProgressMachine(RuleBasedStateMachine):
    """Invariants of a job hold under starts, ends and reloads in any order."""

    @initialize(
        gang=st.booleans(), width=st.integers(1, 3), attempts=st.integers(1, 3), after=st.booleans()
    )
    def submit(self, gang: bool, width: int, attempts: int, after: bool):
        second = StepSpec(1, after=(0,) if after else ())
        self.job = make_job(StepSpec(width, gang=gang), second, attempts=attempts)
        self.ended_done: set[tuple[int, int, int]] = set()
        self.starts: dict[tuple[int, int, int], int] = {}

    @rule(data=st.data())
    def start(self, data: st.DataObject):
        units = list(waiting_units(self.job))
        if not units:
            return
        step, members = data.draw(st.sampled_from(units))
        for key in members:
            assert key not in self.ended_done
            assert not self.job.tasks[key].is_placed
        begin(self.job, *members)
        for key in members:
            assert self.job.tasks[key].run > self.starts.get(key, 0)
            self.starts[key] = self.job.tasks[key].run
        if step.after:
            assert all(self.job.tasks[(0, 0, i)].is_done for i in range(self._width()))

    @rule(data=st.data(), cause=st.sampled_from(list(EndCause)))
    def end(self, data: st.DataObject, cause: EndCause):
        placed = [key for key, _ in self.job.placed()]
        if not placed:
            return
        key = data.draw(st.sampled_from(placed))
        apply_end(self.job, key, self.job.tasks[key].run, cause, "", NOW_MS)
        if cause == EndCause.DONE:
            self.ended_done.add(key)

    @rule(
        data=st.data(),
        evidence=st.sampled_from([AT_START, LATE, AT_START_BESIDE, LATE_BESIDE]),
    )
    def crash(self, data: st.DataObject, evidence: CrashEvidence):
        placed = [key for key, _ in self.job.placed()]
        if placed:
            key = data.draw(st.sampled_from(placed))
            assert apply_crash(self.job, key, self.job.tasks[key].run, evidence, NOW_MS)

    @rule(data=st.data(), is_explained=st.booleans())
    def settle(self, data: st.DataObject, is_explained: bool):
        if self.job.unsettled_keys:
            key = data.draw(st.sampled_from(sorted(self.job.unsettled_keys)))
            open_crash = data.draw(st.sampled_from(self.job.tasks[key].open_crashes))
            settle_crash(self.job, key, open_crash, is_explained, NOW_MS)

    @rule()
    def reload(self):
        spec = decode_spec(encode_spec(self.job.spec))
        loaded = decode_progress(spec, encode_progress(self.job))
        assert loaded == self.job
        self.job = loaded

    @invariant()
    def completed_job_has_no_open_task(self):
        if hasattr(self, "job") and self.job.state == JobState.COMPLETED:
            assert all(task.is_done for task in self.job.tasks.values())

    @invariant()
    def task_that_keeps_crashing_workers_is_not_started_again(self):
        if hasattr(self, "job") and not self.job.has_ended:
            for task in self.job.tasks.values():
                assert task.crash_weight < MAX_CRASH_WEIGHT
                assert task.crashes_at_start < 3 or task.crashes_as_only_start < 2

    @invariant()
    def open_crash_that_may_be_the_last_is_not_followed_by_a_start(self):
        if hasattr(self, "job") and not self.job.has_ended:
            waiting = {key for _, members in waiting_units(self.job) for key in members}
            for key in waiting:
                task = self.job.tasks[key]
                open_weight = sum(crash.weight for crash in task.open_crashes)
                assert task.crash_weight + open_weight < MAX_CRASH_WEIGHT

    def _width(self) -> int:
        return self.job.spec.steps[0].task_count


ProgressMachine.TestCase.settings = settings(
    max_examples=60, deadline=None, suppress_health_check=list(HealthCheck), derandomize=True
)
TestProgressMachine = ProgressMachine.TestCase


def test_start_time_of_a_run_survives_a_reload():
    job = make_job(StepSpec(1))
    begin(job, (0, 0, 0))
    loaded = decode_progress(job.spec, encode_progress(job))
    assert loaded.tasks[(0, 0, 0)].started_at_ms == NOW_MS


def test_task_is_not_given_up_for_late_crashes_beside_work_that_had_just_started():
    job = make_job(StepSpec(1))
    for _ in range(20):
        begin(job, (0, 0, 0))
        crash(job, (0, 0, 0), LATE_BESIDE)
    assert job.state == JobState.ACTIVE
    assert job.tasks[(0, 0, 0)].crash_weight == 0


@pytest.mark.parametrize(
    ("evidences", "state"),
    [
        ([AT_START] * 2, JobState.ACTIVE),
        ([AT_START] * 3, JobState.FAILED),
        ([AT_START_BESIDE, AT_START, AT_START], JobState.FAILED),
        ([AT_START_BESIDE, AT_START_BESIDE, AT_START], JobState.ACTIVE),
        ([AT_START_BESIDE] * 4, JobState.ACTIVE),
        ([AT_START_BESIDE] * 5, JobState.FAILED),
        ([AT_START, AT_START, LATE, AT_START], JobState.ACTIVE),
        ([AT_START, AT_START, LATE_BESIDE, AT_START, AT_START], JobState.ACTIVE),
        ([SOON] * 4, JobState.ACTIVE),
        ([SOON] * 5, JobState.FAILED),
        ([LATE] * 9, JobState.ACTIVE),
        ([LATE] * 10, JobState.FAILED),
        ([AT_START, SOON, SOON, LATE, LATE, LATE], JobState.ACTIVE),
        ([AT_START, SOON, SOON, LATE, LATE, LATE, LATE], JobState.FAILED),
    ],
)
def test_crashes_are_evidence_by_when_they_came(evidences: list[CrashEvidence], state: JobState):
    """Five starts are the most that a task gets that crashes each of its workers."""
    job = make_job(StepSpec(1))
    for evidence in evidences:
        assert job.state != JobState.FAILED
        begin(job, (0, 0, 0))
        crash(job, (0, 0, 0), evidence)
    assert job.state == state


@pytest.mark.parametrize("evidence", [LATE, LATE_BESIDE])
def test_late_crash_with_another_explanation_does_not_count(evidence: CrashEvidence):
    job = make_job(StepSpec(1))
    for _ in range(20):
        begin(job, (0, 0, 0))
        crash(job, (0, 0, 0), evidence, explained=True)
    assert job.state == JobState.ACTIVE
    assert job.tasks[(0, 0, 0)].crash_weight == 0
    assert not job.tasks[(0, 0, 0)].is_suspect


def test_crashes_at_the_start_are_bounded_whatever_else_explains_them():
    """Chance may explain each crash of a task that does crash its workers."""
    job = make_job(StepSpec(1))
    for _ in range(MAX_STARTS):
        assert job.state != JobState.FAILED
        begin(job, (0, 0, 0))
        crash(job, (0, 0, 0), AT_START, explained=True)
        assert not job.tasks[(0, 0, 0)].is_suspect
    assert job.state == JobState.FAILED


@pytest.mark.parametrize("ends", ["failed", "crashed"])
def test_end_of_a_member_of_a_gang_that_is_done_does_not_end_the_job(ends: str):
    job = make_job(StepSpec(2, gang=True), StepSpec(1, after=(0,)), attempts=1)
    for _ in range(2):
        begin(job, (0, 0, 0), (0, 0, 1))
        crash(job, (0, 0, 1), AT_START)
        apply_end(job, (0, 0, 0), job.tasks[(0, 0, 0)].run, EndCause.BROKEN, "", NOW_MS)
    begin(job, (0, 0, 0), (0, 0, 1))
    run = job.tasks[(0, 0, 0)].run
    apply_end(job, (0, 0, 0), run, EndCause.DONE, "", NOW_MS)
    if ends == "failed":
        apply_end(job, (0, 0, 1), run, EndCause.FAILED, "", NOW_MS)
    else:
        crash(job, (0, 0, 1), AT_START)
    assert job.state == JobState.ACTIVE


def test_unit_waits_while_its_last_crash_may_be_explained():
    job = make_job(StepSpec(1))
    for _ in range(2):
        begin(job, (0, 0, 0))
        apply_crash(job, (0, 0, 0), job.tasks[(0, 0, 0)].run, AT_START, NOW_MS)
        assert len(list(waiting_units(job))) == 1
    begin(job, (0, 0, 0))
    apply_crash(job, (0, 0, 0), 3, AT_START, NOW_MS)
    assert not list(waiting_units(job))
    settle_crash(job, (0, 0, 0), job.tasks[(0, 0, 0)].open_crashes[1], True, NOW_MS)
    assert len(list(waiting_units(job))) == 1


def test_crashes_under_members_of_a_gang_are_counted_for_each():
    job = make_job(StepSpec(3, gang=True))
    for run in (1, 2, 3):
        assert job.state != JobState.FAILED
        begin(job, *((0, 0, index) for index in range(3)))
        for index in (2, 1):
            crash(job, (0, 0, index), AT_START)
        apply_end(job, (0, 0, 0), run, EndCause.BROKEN, "", NOW_MS)
    assert [job.tasks[(0, 0, index)].crashes_at_start for index in range(3)] == [0, 3, 3]
    assert job.state == JobState.FAILED
    assert job.reason == "crashes_workers"


def test_crashes_under_different_members_of_a_gang_are_not_added_up():
    job = make_job(StepSpec(3, gang=True))
    for run in range(1, 7):
        begin(job, *((0, 0, index) for index in range(3)))
        for index in range(3):
            if run % 3 == index:
                crash(job, (0, 0, index), AT_START)
            else:
                apply_end(job, (0, 0, index), run, EndCause.BROKEN, "", NOW_MS)
    assert job.state == JobState.ACTIVE
    assert [job.tasks[(0, 0, index)].crashes_at_start for index in range(3)] == [2, 2, 2]


def test_record_without_crashes_is_as_earlier_versions_wrote_it():
    job = make_job(StepSpec(1))
    begin(job, (0, 0, 0))
    state, opened_occurrences, ended_at_ms, (row,) = cbor2.loads(encode_progress(job))
    assert (state, opened_occurrences, ended_at_ms) == ("active", 1, 0)
    assert row == [0, 0, 0, 1, False, "node-1", ["worker-1", 5], "", 0, 0, [], NOW_MS]


@pytest.mark.parametrize(("evidence", "is_suspect"), [(AT_START, True), (LATE, False)])
def test_only_work_that_had_just_started_is_suspected(evidence: CrashEvidence, is_suspect: bool):
    job = make_job(StepSpec(1))
    for _ in range(2):
        begin(job, (0, 0, 0))
        crash(job, (0, 0, 0), evidence)
        assert job.tasks[(0, 0, 0)].is_suspect is is_suspect


def test_gang_is_a_suspect_if_the_crash_under_any_member_has_no_explanation():
    job = make_job(StepSpec(2, gang=True))
    begin(job, (0, 0, 0), (0, 0, 1))
    crash(job, (0, 0, 0), AT_START, explained=True)
    crash(job, (0, 0, 1), AT_START)
    assert job.tasks[(0, 0, 0)].is_suspect


def test_task_that_lasts_is_not_given_up_for_crashes_far_apart():
    job = make_job(StepSpec(1, long_running=True))
    for run in range(1, 10):
        begin(job, (0, 0, 0))
        apply_crash(job, (0, 0, 0), run, CrashEvidence(HEALTHY_RUN_MS, False), NOW_MS)
    assert job.state == JobState.ACTIVE
    assert not job.tasks[(0, 0, 0)].is_suspect


@pytest.mark.parametrize("cause", [EndCause.STOPPED, EndCause.BROKEN, EndCause.FAILED])
@pytest.mark.parametrize(("evidence", "crashes"), [(AT_START, 2), (SOON, 4), (LATE, 9)])
def test_run_that_outlived_its_start_forgives_crashes_however_it_ends(
    evidence: CrashEvidence, crashes: int, cause: EndCause
):
    job = make_job(StepSpec(2, gang=True), attempts=9)
    members = [(0, 0, 0), (0, 0, 1)]
    for _ in range(crashes):
        begin(job, *members)
        crash(job, members[1], evidence)
        apply_end(job, members[0], job.tasks[members[0]].run, EndCause.BROKEN, "", NOW_MS)
    begin(job, *members)
    for key in members:
        apply_end(job, key, job.tasks[key].run, cause, "", NOW_MS + HEALTHY_RUN_MS)
    begin(job, *members)
    crash(job, members[1], evidence)
    assert job.state == JobState.ACTIVE


def test_crashes_counted_by_an_earlier_version_are_not_those_of_the_task():
    """It counted the crashes of all members of a gang under the first."""
    job = make_job(StepSpec(1))
    state, opened, ended_ms, (row,) = cbor2.loads(encode_progress(job))
    value = cbor2.dumps([state, opened, ended_ms, [[*row, 6, 1, 6, True]]])
    task = decode_progress(job.spec, value).tasks[(0, 0, 0)]
    assert (task.crash_weight, task.crashes_at_start, task.crashes_as_only_start) == (0, 0, 0)
    assert (task.crashed_run, task.is_suspect) == (6, True)


def test_long_run_shows_that_the_crashes_before_it_had_other_causes():
    job = make_job(StepSpec(1))
    for _ in range(3):
        for evidence in [LATE] * 4 + [CrashEvidence(HEALTHY_RUN_MS, False)]:
            begin(job, (0, 0, 0))
            crash(job, (0, 0, 0), evidence)
    assert job.state == JobState.ACTIVE
