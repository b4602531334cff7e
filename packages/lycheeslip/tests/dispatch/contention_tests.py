"""Tests of the decisions that apply where many accounts compete for capacity."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lycheeslip.dispatch.contention import MIN_ACCOUNTS
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
