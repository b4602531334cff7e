"""Tests of the choice of runs that are stopped to start again on another worker."""

import pytest
from lycheeslip.dispatch.placement_model import Advice, Plan
from lycheeslip.dispatch.relocation import RESTART_MS, RunningUnit, relocate
from lycheeslip.dispatch.running import set_slow_workers_aside
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.fleet import Lifetime

from .builders import board_with, placed_run, unit, worker

STAYS = float("inf")


def running(remaining_ms: float, leaves_in_ms: float = STAYS, **fields) -> RunningUnit:
    """Return an urgent run of 2 s that was accepted 1 s ago and has 2.5 s left to be in time."""
    values = {"priority": 0, "accelerators": 8, **fields}
    return RunningUnit(unit(**values), frozenset({"n1"}), remaining_ms, leaves_in_ms, 2_000, 2_500)


def moved(run: RunningUnit, *workers) -> list[str]:
    """Return the nodes to which `run` moves."""
    others = workers or (worker("n1"), worker("n2"))
    before = [other.free_accelerators for other in others]
    is_moved = bool(relocate([run], others, Plan()))
    taken = [
        other.node
        for other, free in zip(others, before, strict=True)
        if other.free_accelerators < free
    ]
    assert is_moved == bool(taken)
    return taken


@pytest.mark.parametrize(
    ("remaining_ms", "leaves_in_ms", "is_moved"),
    [
        (1_000, STAYS, False),
        (8_000, STAYS, True),  # slow
        (1_000, 2_000, False),  # done before its worker leaves
        (1_000, 900, True),
        (1_000, 1_100, True),  # too close to rely on the measurement
    ],
)
def test_urgent_run_does_not_stay_where_it_is_lost_or_late(
    remaining_ms: float, leaves_in_ms: float, is_moved: bool
):
    assert moved(running(remaining_ms, leaves_in_ms)) == ["n2"] * is_moved


@pytest.mark.parametrize(
    ("remaining_ms", "leaves_in_ms", "is_set_aside"),
    [(8_000, STAYS, True), (8_000, 900, True), (1_000, 900, False)],
    ids=["slow", "slow and leaving", "leaving"],
)
def test_unit_is_not_moved_back_to_a_slow_worker(remaining_ms, leaves_in_ms, is_set_aside):
    """A gang that was moved since one of its workers left started again on its slow workers."""
    board = board_with(2)
    unit_on_both = running(remaining_ms, leaves_in_ms)._replace(nodes=frozenset({"n0", "n1"}))
    set_slow_workers_aside(board, unit_on_both)
    is_slow = [view.slow_until_ms > steady_ms() for view in board.workers.values()]
    assert is_slow == [is_set_aside] * 2


def test_run_that_would_be_late_elsewhere_too_is_not_stopped():
    late = running(8_000)._replace(due_in_ms=RESTART_MS + 1_900)
    assert moved(late) == []


def test_work_that_is_not_urgent_moves_only_if_it_is_certainly_lost():
    assert moved(running(8_000, priority=2)) == []
    assert moved(running(1_100, 1_000, priority=2)) == []
    assert moved(running(8_000, 1_000, priority=2)) == ["n2"]


def test_work_on_a_worker_that_stays_past_its_notice_is_left_alone():
    assert moved(running(400, 0, priority=2)) == []


def test_run_does_not_move_to_a_worker_that_failed_it():
    failed = running(8_000, avoided_workers=frozenset({"n2"}))
    assert moved(failed) == []
    assert moved(failed, worker("n1"), worker("n2"), worker("n3")) == ["n3"]


def test_run_is_not_stopped_while_no_other_worker_can_take_it():
    slow = worker("n2", is_slow=True)
    other_service = worker("n3")
    other_service.service = "other"
    assert moved(running(8_000), worker("n1"), slow, other_service, worker("n4", free=7)) == []


def test_two_runs_do_not_move_to_the_same_capacity():
    runs = [running(8_000, job_id="a"), running(8_000, job_id="b")]
    assert len(relocate(runs, [worker("n1"), worker("n2")], Plan())) == 1


@pytest.mark.parametrize(("priority", "stops"), [(0, ["bulk"]), (2, [])])
def test_urgent_run_on_a_slow_worker_does_not_wait_for_a_free_one(priority: int, stops: list[str]):
    bulk = worker("n2", free=0, placed_runs=[placed_run("bulk", 8, 2, 5.0)])
    run, plan = running(8_000, 1_000, priority=priority, work=100), Plan()
    assert bool(relocate([run], [worker("n1"), bulk], plan)) == bool(stops)
    assert [stop.placed_run.task for stop in plan.stops] == stops


def test_run_does_not_move_off_the_rack_of_its_data():
    local = running(8_000, data_rack="r1")
    assert moved(local, worker("n1"), worker("n2", "r2")) == []
    assert moved(local, worker("n1"), worker("n2", "r2"), worker("n3", "r1")) == ["n3"]


def test_run_moves_only_to_an_approved_worker():
    def advised(ticketed: set[str]) -> RunningUnit:
        lifetimes = frozenset(Lifetime(node, 1) for node in ticketed)
        return running(8_000, advice=Advice(lifetimes, lifetimes, frozenset()))

    assert moved(advised(set())) == []
    assert moved(advised({"n2"})) == ["n2"]
