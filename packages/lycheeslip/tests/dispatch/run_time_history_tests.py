"""Tests of the run times learned across jobs."""

import math
import random
from statistics import fmean

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lycheeslip.dispatch import run_time_history
from lycheeslip.dispatch.run_time_history import (
    MAX_KINDS,
    MIN_COMPARED,
    History,
    KindOfStep,
    RunSample,
)
from lycheeslip_common.utils.quantile_sketch import MAX_RUN_MS, QuantileSketch
from lycheeslip_common.workload.jobs import Demand

DEMAND = Demand(1_000, 1_000, 1)
KIND = KindOfStep("q", "a", DEMAND, False, False)


def sample_of(declared_ms: float, run_ms: float, kind: KindOfStep = KIND, **fields) -> RunSample:
    return RunSample(*kind, declared_ms, run_ms, **fields)


def learn(history: History, declared_ms: float, run_ms: float, kind: KindOfStep = KIND) -> float:
    """Record a finished sample; return the estimate that was made before."""
    estimate_ms = history.estimate(kind, declared_ms).median_ms
    history.record(sample_of(declared_ms, run_ms, kind))
    history.compare(kind, declared_ms, estimate_ms, run_ms)
    return estimate_ms


def errors_of(seed: int, ratio: tuple[float, float], run_sd: float, correlates: bool):
    """Return mean squared errors of late estimates and of declarations, for drawn run times."""
    chance, history = random.Random(seed), History()
    errors = []
    for _ in range(60):
        run_ms = 10_000 * math.exp(chance.gauss(0, run_sd))
        base_ms = run_ms if correlates else 10_000
        declared_ms = base_ms / math.exp(chance.gauss(*ratio))
        estimate_ms = learn(history, declared_ms, run_ms)
        errors.append((math.log(estimate_ms / run_ms) ** 2, math.log(declared_ms / run_ms) ** 2))
    return [fmean(column) for column in zip(*errors[10:], strict=True)], history


@pytest.mark.parametrize("seed", range(4))
def test_biased_declarations_that_follow_the_run_times_are_corrected(seed: int):
    (estimate, declared), history = errors_of(seed, (0.5, 0.2), 0.5, True)
    assert estimate < 0.5 * declared
    assert history.is_proven("q")


@pytest.mark.parametrize("seed", range(4))
def test_declarations_that_are_noise_give_way_to_the_usual_run_time(seed: int):
    (estimate, declared), history = errors_of(seed, (0.57, 0.57), 0.24, False)
    assert estimate < 0.25 * declared
    assert history.is_proven("q")


@pytest.mark.parametrize("seed", range(4))
def test_estimates_do_not_replace_declarations_that_are_accurate(seed: int):
    _, history = errors_of(seed, (0.0, 0.05), 0.5, True)
    assert not history.is_proven("q")


def test_estimates_count_only_after_enough_finished_samples():
    history = History()
    for number in range(MIN_COMPARED):
        assert not history.is_proven("q")
        learn(history, 1_000, 5_000)
        assert history.queues["q"].compared == number + 1
    assert history.is_proven("q")
    assert not history.is_proven("other")


def test_without_samples_the_declaration_counts():
    estimate = History().estimate(KIND, 3_000)
    assert (estimate.median_ms, estimate.samples, estimate.source) == (3_000, 0, "declared")
    assert estimate.low_ms < 3_000 < estimate.high_ms


def test_kind_with_few_samples_is_estimated_from_a_wider_one():
    history = History()
    for _ in range(8):
        history.record(sample_of(2_000, 2_000))
    wide = KIND._replace(demand=Demand(8_000, 1_000, 8))
    other = KIND._replace(account="b")
    assert [history.estimate(kind, 0).source for kind in (KIND, other, wide)] == [
        "account",
        "shape",
        "queue",
    ]
    for _ in range(4):
        history.record(sample_of(9_000, 9_000, wide))
    assert history.estimate(wide, 0).source == "account"
    assert history.estimate(wide, 0).median_ms == pytest.approx(9_000, rel=0.02)


def test_older_run_times_count_less():
    history = History()
    for run_ms in [1_000] * 200 + [4_000] * 80:
        history.record(sample_of(0, run_ms))
    assert history.estimate(KIND, 0).median_ms == pytest.approx(4_000, rel=0.02)


def test_replaced_sample_counts_once_with_its_new_value():
    history = History()
    first = sample_of(1_000, 1_000)
    history.record(first)
    history.replace(first, 3_000)
    assert history.queues["q"].kind.run_ms.samples == 1
    assert history.estimate(KIND, 0).median_ms == pytest.approx(3_000, rel=0.02)


def test_least_recently_used_kinds_are_evicted():
    history = History()
    for number in range(MAX_KINDS):
        history.record(sample_of(1, 1, KIND._replace(account=f"a{number}")))
    assert len(history.kinds) == MAX_KINDS
    accounts = {key.account for _, key in history.kinds}
    assert "a0" not in accounts
    assert "" in accounts


def test_queues_are_evicted_with_their_kinds(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(run_time_history, "MAX_QUEUES", 2)
    history = History()
    for name in ("p", "q", "r"):
        history.record(sample_of(1, 1, KIND._replace(queue=name)))
    assert set(history.queues) == {queue for queue, _ in history.kinds} == {"q", "r"}


def test_speed_of_a_worker_is_learned_and_forgotten():
    history = History()
    for _ in range(60):
        history.record_worker("slow", 1_250, 1_000)
        history.record_worker("fast", 800, 1_000)
    assert history.worker_speed("slow") == pytest.approx(0.8, abs=0.05)
    assert history.worker_speed("fast") == pytest.approx(1.25, abs=0.05)
    history.forget_worker("slow")
    assert history.worker_speed("slow") == history.worker_speed("unknown") == 1


def test_failures_are_counted_with_the_share_of_the_run_that_they_took():
    history = History()
    history.record(sample_of(1_000, 1_000))
    for _ in range(3):
        history.record_end(KIND, False)
    history.record(sample_of(1_000, 0, has_failed=True, failed_at_ms=500))
    assert history.failure_chance(KIND) == pytest.approx(0.25, abs=0.02)
    assert history.failure_share(KIND) == pytest.approx(0.5, abs=0.02)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.integers(1, 10**6), min_size=1, max_size=40))
def test_sketch_is_within_its_resolution_of_the_samples(values: list[int]):
    sketch = QuantileSketch(MAX_RUN_MS)
    for value in values:
        sketch.add(value)
    median = sorted(values)[(len(values) + 1) // 2 - 1]
    assert sketch.quantile(50.0) == pytest.approx(median, rel=0.01)


TIMES = st.floats(0, 10**12)
KINDS = st.builds(
    KindOfStep,
    st.sampled_from("pqr"),
    st.sampled_from("ab"),
    st.builds(Demand, st.integers(0, 9), st.integers(0, 9), st.integers(0, 8)),
    st.booleans(),
    st.booleans(),
)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(KINDS, TIMES, TIMES, st.booleans(), TIMES)), KINDS, TIMES)
def test_any_history_gives_a_usable_estimate(recorded, kind: KindOfStep, declared_ms: float):
    """A zero, infinite or undefined run time would break the order of the planner."""
    history = History()
    for each, declared, run_ms, has_failed, at_ms in recorded:
        found = sample_of(declared, run_ms, each, worker_id="w", has_failed=has_failed)
        history.record(found._replace(failed_at_ms=at_ms))
        history.replace(found, at_ms)
        history.compare(each, declared, run_ms, at_ms)
    estimate = history.estimate(kind, declared_ms)
    assert 0 <= estimate.low_ms <= estimate.median_ms <= estimate.high_ms < math.inf
    assert estimate.median_ms > 0 or estimate.source == "declared"
    assert 0.5 < history.worker_speed("w") < 2.1
    assert 0 <= history.failure_chance(kind) <= 1
