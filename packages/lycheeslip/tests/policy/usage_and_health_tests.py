import pytest
from hdrh.histogram import HdrHistogram
from lycheeslip.policy.fragmentation import fragmentation
from lycheeslip.policy.health import HealthByWorker, is_job_at_fault
from lycheeslip.policy.order import build_queue
from lycheeslip.policy.retry_budget import RetryBudget
from lycheeslip.policy.run_times import RunTimes
from lycheeslip.policy.usage import FleetTotals, UsageByAccount

from .builders import NOW_MS, Account, config, fleet, place, running, shape, spec, view, waiting


def test_declared_run_time_is_used_until_there_are_enough_samples():
    job = spec(accelerators=4)._replace(expected_run_ms=9000)
    times = RunTimes(min_samples=4)
    for run_ms in (100, 200, 300, 400):
        assert times.expected_ms(job) == 9000
        times.record(job, run_ms)
    assert times.expected_ms(job) == pytest.approx(300, rel=0.02)
    assert times.expected_ms(job._replace(account="other")) == 9000
    assert times.expected_ms(spec(accelerators=8)) == 0


def test_run_time_quantile_is_cached_per_class_until_a_new_sample(monkeypatch):
    calls = []
    quantile = HdrHistogram.get_value_at_percentile

    def counting_quantile(histogram, percentile):
        calls.append(percentile)
        return quantile(histogram, percentile)

    monkeypatch.setattr(HdrHistogram, "get_value_at_percentile", counting_quantile)
    times = RunTimes(min_samples=1)
    times.record(spec(), 100)
    assert len({times.expected_ms(spec()) for _ in range(200)}) == 1
    assert len(calls) == 1
    times.record(spec(), 900)
    assert times.expected_ms(spec()) == pytest.approx(900, rel=0.02)


def test_failing_worker_is_quarantined_for_increasing_periods():
    health = HealthByWorker()
    for worker_id in "abcde":
        health.succeeded(worker_id)
    assert [health.failed("a", NOW_MS) for _ in range(3)] == [False, False, True]
    first = health.by_worker()["a"]
    assert first.probation
    later = first.quarantined_until_ms
    assert not health.failed("a", later - 1)
    assert health.failed("a", later)
    assert health.by_worker()["a"].quarantined_until_ms - later > later - NOW_MS
    health.succeeded("a")
    assert "a" not in health.by_worker()


def test_fleet_wide_failures_quarantine_no_worker():
    health = HealthByWorker()
    for _ in range(9):
        assert not any(health.failed(worker_id, NOW_MS) for worker_id in "abcde")
    assert is_job_at_fault(frozenset("abc"), health.by_worker())
    assert not is_job_at_fault(frozenset("ab"), health.by_worker())


def test_discounted_failures_do_not_put_a_worker_on_probation():
    health = HealthByWorker()
    for _ in range(9):
        health.failed("a", NOW_MS)
        health.discount_failure(frozenset("a"))
    assert not health.by_worker()


def test_retries_are_limited_by_first_attempts():
    budget = RetryBudget(0.5, minimum=2)
    assert [budget.spend("a") for _ in range(3)] == [True, True, False]
    for _ in range(2):
        budget.earn("a")
    assert [budget.spend("a") for _ in range(2)] == [True, False]
    assert not budget.spend("b")


def test_usage_decays_with_its_half_life():
    usage = UsageByAccount(half_life_ms=1000)
    usage.add("a", 800, 0)
    usage.add("a", 100, 1000)
    assert usage.by_account(2000) == {"a": 250}


def test_dominant_accelerators_follow_the_largest_resource_share():
    totals = FleetTotals(80, 600, 1000)
    assert totals.dominant_accelerators(shape(1, 1, processors=60, memory_mb=0)) == 8
    assert totals.dominant_accelerators(shape(2, 4, memory_mb=0)) == 8


def order(*jobs, **of_view):
    fleet_view = view(fleet(), jobs, **of_view)
    return [queued.job.job_id for queued in build_queue(fleet_view, {})]


def test_accounts_are_scheduled_by_weighted_usage():
    jobs = [
        waiting(f"{account}{n}", account=account, run_ms=1000) for account in "ab" for n in "12"
    ]
    assert order(*jobs, used={"a": 500}) == ["b1", "a1", "b2", "a2"]
    heavy = config([], [Account("a", weight=100.0)])
    assert order(*jobs, used={"a": 500}, config=heavy) == ["b1", "a1", "a2", "b2"]


def test_guaranteed_jobs_and_deadlines_at_risk_are_scheduled_before_fair_share():
    accounts = config([], [Account("a", shape(2, 1))])
    jobs = [
        waiting("share", account="b", since_ms=-9),
        waiting("press", account="b", run_ms=1000, deadline_at_ms=NOW_MS + 1200),
        waiting("own1", account="a"),
        waiting("own2", account="a"),
        waiting("over", account="a", since_ms=1),
        waiting("urgent", account="b", kind="urgent"),
    ]
    expected = ["urgent", "own1", "own2", "press"]
    assert order(*jobs, config=accounts)[:4] == expected


def test_fragmentation_counts_free_accelerators_unusable_by_the_largest_shape():
    workers = fleet(workers=2)
    assert fragmentation(view(workers)) == 0
    half = [running("r", place(workers, ("w0", range(4))), accelerators=4)]
    fleet_view = view(workers, [waiting("j", accelerators=8)], half)
    assert fragmentation(fleet_view) == pytest.approx(4 / 12)
