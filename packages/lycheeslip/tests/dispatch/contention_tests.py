"""Tests of the decisions that apply where many accounts compete for capacity."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lycheeslip.dispatch.contention import MIN_ACCOUNTS
from lycheeslip.dispatch.placement import plan_units
from lycheeslip.dispatch.placement_model import Plan
from lycheeslip.dispatch.preemption_cost import MAX_PREEMPTIONS
from lycheeslip.dispatch.slices import run_at_once
from lycheeslip.dispatch.urgent_reserve import (
    HALF_LIFE_MS,
    MAX_SHARE,
    Peak,
    decayed_peaks,
    reserves,
    urgent_demand,
)
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.workload.operator import Account

from .builders import add_job, board_with, placed_run, unit, worker


def preempted_tasks(victims, is_guaranteed=False, limits_repeats=True, tasks=1) -> set[str]:
    """Return which of the victims, one on each worker, are preempted for an urgent unit."""
    workers = [worker(run.task, free=0, placed_runs=[run]) for run in victims]
    urgent = unit("u", tasks, 8, priority=0, work=1e6, is_guaranteed=is_guaranteed)
    plan = Plan(limits_repeats=limits_repeats)
    run_at_once(plan_units(plan, [urgent], workers, {}, True))
    return {stop.placed_run.task for stop in plan.stops}


@pytest.mark.parametrize(
    ("times", "is_guaranteed", "expected"),
    [
        (MAX_PREEMPTIONS - 1, False, {"victim"}),
        (MAX_PREEMPTIONS, False, set()),
        (MAX_PREEMPTIONS, True, {"victim"}),  # a guarantee is reclaimed at once
    ],
)
def test_number_of_preemptions_is_limited_except_for_guaranteed_units(
    times, is_guaranteed, expected
):
    victim = placed_run("victim", 8, 2, times_preempted=times)
    assert preempted_tasks([victim], is_guaranteed) == expected


def test_guaranteed_unit_spares_a_task_that_was_preempted_twice_if_it_can():
    """Saved work loses next to nothing by a stop, and was stopped for each guaranteed unit."""
    often = placed_run("often", 8, 2, loss=1.0, times_preempted=MAX_PREEMPTIONS)
    never = placed_run("never", 8, 2, loss=1_000.0)
    assert preempted_tasks([often, never], is_guaranteed=True) == {"never"}
    assert preempted_tasks([often, never], is_guaranteed=True, limits_repeats=False) == {"often"}


def test_run_that_is_stopping_already_counts_as_free_for_any_unit():
    """Its capacity becomes free anyway; another victim would be stopped in vain."""
    stopping = placed_run("stopping", 8, 2, times_preempted=MAX_PREEMPTIONS, is_stopping=True)
    assert preempted_tasks([stopping, placed_run("never", 8, 2)]) == set()


def test_rules_for_contention_change_nothing_where_they_do_not_apply():
    often = placed_run("often", 8, 2, times_preempted=MAX_PREEMPTIONS)
    assert preempted_tasks([often], limits_repeats=False) == {"often"}


@pytest.mark.parametrize(
    ("accounts", "times_preempted", "priority", "expected"),
    [
        (MIN_ACCOUNTS, 1, 2, True),
        (MIN_ACCOUNTS, 0, 2, False),
        (MIN_ACCOUNTS, 1, 0, False),  # urgent units are what the reserve is for
        (MIN_ACCOUNTS - 1, 1, 2, False),
    ],
)
def test_unit_that_was_preempted_is_kept_out_of_the_reserve(
    accounts, times_preempted, priority, expected
):
    """Work that saves its progress prefers the reserve, where the next burst would stop it."""
    board = board_with()
    names = (Account(f"a{n}", frozenset({f"k{n}"}), 0) for n in range(accounts))
    board.config = board.config._replace(accounts=tuple(names))
    job = add_job(board, priority=priority, checkpointing=True)
    job.preemptions[(0, 0, 0)] = times_preempted
    (waiting,) = build_units(board, [], {})
    assert waiting.is_costly_to_stop == expected


def test_urgent_demand_is_what_urgent_units_hold_and_wait_for():
    """Bulk that waits or runs must not enlarge the reserve that keeps bulk out."""
    workers = [
        worker("n1", placed_runs=[placed_run("u", 3, 0), placed_run("b", 4, 2)]),
        worker("n2", service="other", placed_runs=[placed_run("v", 5, 0)]),
    ]
    units = [unit("waiting", 4, 2, priority=0), unit("bulk", 1, 8, priority=2)]
    assert urgent_demand(units, workers) == {"service": 3 + 8, "other": 5}


def peak_after(earlier: dict[str, Peak], demand: int, now_ms: int) -> float:
    return decayed_peaks(earlier, {"service": demand}, now_ms)["service"].accelerators


def test_peak_follows_a_burst_at_once_and_halves_in_its_half_life():
    assert peak_after({"service": Peak(40, 0)}, 100, 1_000) == 100
    assert peak_after({"service": Peak(100, 0)}, 0, HALF_LIFE_MS) == pytest.approx(50)
    assert peak_after({}, 7, 0) == 7


@given(st.lists(st.tuples(st.integers(0, 500), st.integers(1, 5_000)), min_size=1))
def test_peak_is_never_below_the_demand_nor_above_its_maximum(history):
    """A clock or rounding error must not let the reserve grow without demand."""
    peaks, now_ms = {}, 0
    for demand, elapsed_ms in history:
        now_ms += elapsed_ms
        peaks = decayed_peaks(peaks, {"service": demand}, now_ms)
        assert demand <= peaks["service"].accelerators <= max(d for d, _ in history)


@pytest.mark.parametrize(
    ("guarantee", "peak", "expected"),
    [(20, 10, 20), (20, 30, 30), (20, 80, 80 * MAX_SHARE), (60, 80, 60)],
)
def test_reserve_is_the_peak_above_the_guarantee_up_to_a_share(guarantee, peak, expected):
    """The whole fleet in the reserve would leave work that is costly to stop no place."""
    workers = [worker(f"n{n}") for n in range(10)]
    assert reserves(guarantee, {"service": Peak(peak, 0)}, workers) == {"service": expected}
    assert reserves(guarantee, {}, workers) == {"service": guarantee}
