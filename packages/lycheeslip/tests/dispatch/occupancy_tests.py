"""Tests of the workers and the units that are built for a planning round."""

import pytest
from lycheeslip.dispatch import waiting
from lycheeslip.dispatch.board import Board, StepAdvice, Ticket
from lycheeslip.dispatch.objective import SHOW_MS
from lycheeslip.dispatch.occupancy import (
    QUARANTINE_FAILURES,
    RECENT_CRASH_MS,
    build_worker_capacities,
)
from lycheeslip.dispatch.placement import plan_round
from lycheeslip.dispatch.placement_model import cores_of
from lycheeslip.dispatch.waiting import (
    EARLY_MAX_LOSS_RATIO,
    LATE_MAX_LOSS_RATIO,
    MAX_IDLE_WAIT_MS,
    MAX_WAIT_MS,
    build_units,
)
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import RunningRun
from lycheeslip_common.workload.operator import AdviceTiming
from lycheeslip_common.workload.progress import begin_runs

from .builders import JOB, add_job, board_with, lifetime


def occupy(board: Board, nodes: list[str]) -> None:
    job = add_job(board, "b" * 16, task_count=len(nodes))
    placement = {(0, 0, i): (node, lifetime(node)) for i, node in enumerate(nodes)}
    begin_runs(job.progress, placement, False, wall_ms())


def only_unit(board: Board):
    (unit,) = build_units(board, build_worker_capacities(board), {})
    return unit


@pytest.mark.parametrize(
    ("busy", "limit_ms"), [([], MAX_IDLE_WAIT_MS), (["n0", "n1"], MAX_WAIT_MS)]
)
def test_wait_for_an_unreserved_worker_is_shorter_at_low_utilization(
    busy: list[str], limit_ms: int
):
    for waited_ms, may_wait in ((limit_ms - 500, True), (limit_ms + 500, False)):
        board = board_with()
        if busy:
            occupy(board, busy)
        add_job(board, waited_ms=waited_ms)
        assert only_unit(board).may_wait is may_wait


def test_unit_just_known_has_not_waited_a_negative_time(monkeypatch: pytest.MonkeyPatch):
    ticks = iter(range(steady_ms(), steady_ms() + 10_000))
    monkeypatch.setattr(waiting, "steady_ms", lambda: next(ticks))  # each reading is later
    board = board_with()
    add_job(board)
    assert only_unit(board).wait_budget_ms <= board.times.reclaim_wait_ms


@pytest.mark.parametrize("estimate_ms", [100, 1_600, 60_000])
def test_urgent_unit_is_not_made_to_wait_past_its_latency_objective(estimate_ms: int):
    board = board_with()
    board.config = board.config._replace(
        queues=(board.config.queues[0]._replace(stretch=1.5, objective_ms=250),)
    )
    add_job(board, estimate_ms=estimate_ms)
    unit = only_unit(board)
    assert unit.wait_budget_ms < unit.slack_ms
    assert unit.wait_budget_ms <= board.times.reclaim_wait_ms


def test_urgent_unit_that_is_late_already_waits_for_workers_that_connect_after_an_election():
    board = board_with()
    add_job(board, waited_ms=30_000, priority=0, estimate_ms=1_600)
    assert only_unit(board).wait_budget_ms > 0


def test_urgent_unit_with_much_slack_does_not_stop_costly_work_as_if_it_were_late():
    board = board_with()
    job = add_job(board, priority=0, estimate_ms=20_000)  # slack of 41 s
    assert only_unit(board).max_loss_ratio == EARLY_MAX_LOSS_RATIO
    job.ready_at_ms[(0, 0)] -= 10_000
    assert only_unit(board).max_loss_ratio == EARLY_MAX_LOSS_RATIO
    assert only_unit(board).wait_budget_ms == 0
    job.ready_at_ms[(0, 0)] -= 20_000
    assert only_unit(board).max_loss_ratio == LATE_MAX_LOSS_RATIO


def test_short_urgent_unit_does_not_wait_behind_an_older_one_that_could_wait_longer():
    board = board_with(1)
    board.config = board.config._replace(
        queues=(board.config.queues[0]._replace(stretch=1.5, objective_ms=250),), accounts=()
    )
    add_job(board, "b" * 16, waited_ms=980, priority=0, estimate_ms=8_459)
    short = add_job(board, "c" * 16, waited_ms=0, priority=0, estimate_ms=1_771)
    workers = build_worker_capacities(board)
    plan = plan_round(build_units(board, workers, {}), workers)
    assert [unit.job_id for unit, _ in plan.starts] == [short.progress.spec.job_id]


@pytest.mark.parametrize(("waited_ms", "is_stopped"), [(980, True), (3_000, False)])
def test_short_urgent_job_is_not_late_behind_an_urgent_run_that_can_still_start_later(
    waited_ms: int, is_stopped: bool
):
    board = board_with(1)
    board.config = board.config._replace(
        queues=(board.config.queues[0]._replace(stretch=1.5, objective_ms=250),), accounts=()
    )
    older = add_job(board, "b" * 16, waited_ms=waited_ms, priority=0, estimate_ms=8_459)
    begin_runs(older.progress, {(0, 0, 0): ("n0", lifetime("n0"))}, False, wall_ms())
    add_job(board, "c" * 16, priority=0, estimate_ms=1_771)
    workers = build_worker_capacities(board)
    plan = plan_round(build_units(board, workers, {}), workers)
    assert [stop.placed_run.job_id for stop in plan.stops] == ["b" * 16] * is_stopped


def test_unit_that_is_late_gives_way_only_until_its_result_has_no_value():
    board = board_with()
    board.config = board.config._replace(
        queues=(board.config.queues[0]._replace(stretch=1.5, objective_ms=250),)
    )
    slack_ms, objective_ms = 750 - SHOW_MS, 1_750  # of an estimate of 1,000 ms

    def latest_start_after(waited_ms: int) -> float:
        add_job(board, waited_ms=waited_ms, estimate_ms=1_000)
        unit = only_unit(board)
        return unit.latest_start_ms - unit.waiting_since_ms

    assert latest_start_after(slack_ms - 100) == slack_ms
    assert latest_start_after(slack_ms + 100) == 3 * objective_ms - 1_000 - SHOW_MS
    assert latest_start_after(3 * objective_ms) == 0


@pytest.mark.parametrize(("priority", "counts"), [(0, True), (2, False)])
def test_only_the_delay_of_urgent_runs_counts_when_they_are_stopped(priority: int, counts: bool):
    board = board_with()
    occupy(board, ["n0"])
    job = board.jobs["b" * 16]
    job.progress.spec = job.progress.spec._replace(priority=priority)
    (placed_run,) = build_worker_capacities(board)[0].placed_runs
    assert placed_run.delay_cost == (60.0 * cores_of(placed_run.demand) if counts else 0.0)


def test_long_running_units_never_wait_for_an_unreserved_worker():
    board = board_with()
    add_job(board, long_running=True)
    assert only_unit(board).may_wait is False


def test_worker_with_repeated_failures_is_excluded():
    board = board_with()
    board.workers["n0"].failures = QUARANTINE_FAILURES
    board.workers["n0"].last_failure_at_ms = steady_ms()
    assert {worker.node for worker in build_worker_capacities(board)} == {"n1", "n2", "n3"}


def test_no_worker_is_excluded_if_most_workers_fail():
    board = board_with()
    for node in ("n0", "n1", "n2"):
        board.workers[node].failures = QUARANTINE_FAILURES
        board.workers[node].last_failure_at_ms = steady_ms()
    assert len(build_worker_capacities(board)) == 4


@pytest.mark.parametrize("other_services", [0, 2])
def test_workers_of_one_service_are_not_all_excluded(other_services: int):
    board = board_with(2 + other_services)
    for number in range(2, 2 + other_services):
        view = board.workers[f"n{number}"]
        view.report = view.report._replace(service="other")
    for node in ("n0", "n1"):
        board.workers[node].failures = QUARANTINE_FAILURES
        board.workers[node].last_failure_at_ms = steady_ms()
    assert {"n0", "n1"} <= {worker.node for worker in build_worker_capacities(board)}


@pytest.mark.parametrize("accelerators", [8, 0])
def test_unit_that_was_held_up_takes_reserved_capacity_of_a_service_without_accelerators(
    accelerators: int,
):
    """A gang that waits for a run to end reserves all workers of the service."""
    board = board_with()
    board.config = board.config._replace(accounts=())
    for view in board.workers.values():
        view.report = view.report._replace(accelerators=accelerators)
    running = add_job(board, "c" * 16, accelerators=0).progress
    begin_runs(running, {(0, 0, 0): ("n0", lifetime("n0"))}, False, wall_ms())
    gang = {"gang": True, "task_count": 4, "cpu_milli": 64_000, "accelerators": 0}
    add_job(board, "b" * 16, 600_000, **gang)
    add_job(board, JOB, 60_000, accelerators=0)
    workers = build_worker_capacities(board)
    plan = plan_round(build_units(board, workers, {}), workers)
    assert JOB in {unit.job_id for unit, _ in plan.starts}


def test_run_of_an_unknown_job_takes_the_whole_worker():
    board = board_with(1)
    view = board.workers["n0"]
    view.report = view.report._replace(running=(RunningRun("c" * 16 + ".0.0.0", 1, "", 0),))
    (worker,) = build_worker_capacities(board)
    assert worker.free_accelerators == 0


def test_worker_with_an_expired_ticket_stays_approved():
    board = board_with(2, AdviceTiming(10, 1))
    add_job(board)
    now = steady_ms()
    tickets = {lifetime("n0"): Ticket("t0", now - 1), lifetime("n1"): Ticket("t1", now + 5_000)}
    board.advice[(JOB, 0, 0)] = StepAdvice(tickets, {lifetime("n9")})
    advice = only_unit(board).advice
    assert advice is not None
    assert advice.ticketed == {lifetime("n1")}
    assert advice.approved == {lifetime("n0"), lifetime("n1")}
    assert advice.denied == {lifetime("n9")}


def test_recent_crash_counts_as_a_failure():
    board = board_with(2)
    board.workers["n0"].lost_lifetime_at_ms = steady_ms()
    assert [worker.failures for worker in build_worker_capacities(board)] == [1, 0]
    board.workers["n0"].lost_lifetime_at_ms -= RECENT_CRASH_MS
    assert [worker.failures for worker in build_worker_capacities(board)] == [0, 0]
