import asyncio

from lycheeslip.entry import lifecycle
from lycheeslip.entry.history import History
from lycheeslip.entry.job_table import JobTable
from lycheeslip.policy.run_times import MIN_SAMPLES
from lycheeslip_common.structure.jobs import AttemptSummary, JobKind, JobSpec, Shape
from lycheeslip_common.utils.metrics import Metrics

SPEC = JobSpec("a", JobKind.BULK, Shape(accelerators=2), "", True, 0, 999)
RUN_MS = 400


def make_record(job_id, *outcomes):
    record = lifecycle.new_record(job_id, SPEC, "", "e1", 1)
    summaries = [
        AttemptSummary(number, ("w1",), 1_000, 1_000 + RUN_MS, outcome, "w1")
        for number, outcome in enumerate(outcomes, start=1)
    ]
    record["attempts"] = tuple(summaries)
    return record


def observed_history(*outcomes):
    history = History(Metrics())
    for number in range(MIN_SAMPLES):
        history.observe(make_record(f"job-{number}", *outcomes))
    return history


def test_run_times_exclude_resumed_attempts():
    assert abs(observed_history("answered").run_times.expected_ms(SPEC) - RUN_MS) < RUN_MS // 50
    resumed = observed_history("interrupted:reclaimed", "answered")
    assert resumed.run_times.expected_ms(SPEC) == SPEC.expected_run_ms


def test_usage_counts_each_attempt_once():
    history = observed_history("interrupted:reclaimed", "answered")
    history.observe(make_record("job-0", "interrupted:reclaimed", "answered"))
    used = history.usage.by_account(1_000 + RUN_MS)["a"]
    assert used == MIN_SAMPLES * 2 * RUN_MS * SPEC.shape.total_accelerators


def test_a_worker_whose_tasks_all_fail_is_quarantined():
    assert set(observed_history("task_failed").health.by_worker()) == {"w1"}
    assert not observed_history("answered").health.by_worker()


def test_a_removed_job_leaves_no_bookkeeping():
    table = JobTable(asyncio.Event())
    history = History(Metrics())
    table.observers.append(history)
    table.put(make_record("job", "answered"), 1)
    assert history.observed_job_count() == 1
    table.remove("job")
    assert history.observed_job_count() == 0
