"""For how long a task that may crash its worker keeps other work away, or waits to do so."""

import pytest
from lycheeslip.dispatch.board import StoredJob
from lycheeslip.dispatch.isolation import (
    ISOLATION_MS,
    MAX_IDLE_ISOLATION_WAIT_MS,
    MAX_ISOLATION_WAIT_MS,
)
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip.dispatch.placement import plan_round
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.progress import EARLY_CRASH_MS, begin_runs

from .builders import JOB, add_job, board_with, lifetime

KEY = (0, 0, 0)
MARGIN_MS = 500  # below a limit, for the time that a test takes


def suspect(job: StoredJob, crashes: int, started_ms_ago: int) -> None:
    """Make the job's task a suspect that was last started `started_ms_ago`."""
    task = job.progress.tasks[KEY]
    task.crash_weight, task.is_suspect = crashes, True
    task.started_at_ms = wall_ms() - started_ms_ago


@pytest.mark.parametrize("crashes", [1, 2, 5])
@pytest.mark.parametrize(
    ("busy_nodes", "limit_ms"), [(1, MAX_IDLE_ISOLATION_WAIT_MS), (3, MAX_ISOLATION_WAIT_MS)]
)
def test_suspect_does_not_wait_for_ever_for_a_worker_without_other_work(
    crashes: int, busy_nodes: int, limit_ms: int
):
    board = board_with()
    other = add_job(board, "b" * 16, task_count=busy_nodes).progress
    placement = {(0, 0, n): (f"n{n}", lifetime(f"n{n}")) for n in range(busy_nodes)}
    begin_runs(other, placement, False, wall_ms())
    job = add_job(board, accelerators=1)
    suspect(job, crashes, limit_ms - MARGIN_MS)
    (unit,) = build_units(board, build_worker_capacities(board), {})
    assert unit.is_isolated
    suspect(job, crashes, limit_ms)
    (unit,) = build_units(board, build_worker_capacities(board), {})
    assert not unit.is_isolated
    assert unit.starts_apart
    suspect(job, crashes, 2 * limit_ms)
    (unit,) = build_units(board, build_worker_capacities(board), {})
    assert not unit.starts_apart


@pytest.mark.parametrize("crashes", [1, 2, 5])
def test_suspect_that_outlived_its_start_does_not_keep_its_worker_from_others(crashes: int):
    board = board_with(1)
    job = add_job(board, accelerators=1)
    begin_runs(job.progress, {KEY: ("n0", lifetime("n0"))}, False, wall_ms())
    suspect(job, crashes, ISOLATION_MS - MARGIN_MS)
    (worker,) = build_worker_capacities(board)
    assert worker.free_accelerators == 0
    suspect(job, crashes, ISOLATION_MS)
    (worker,) = build_worker_capacities(board)
    assert worker.free_accelerators == 7


def test_suspects_do_not_start_beside_each_other():
    """Their workers' crashes would not tell which of them was the cause."""
    board = board_with(2)
    for node in range(2):
        other = add_job(board, f"{node:016x}", accelerators=1).progress
        started_ms = wall_ms() - EARLY_CRASH_MS
        begin_runs(other, {KEY: (f"n{node}", lifetime(f"n{node}"))}, False, started_ms)
    job = add_job(board, task_count=3, accelerators=1)
    for task in job.progress.tasks.values():
        task.crash_weight, task.is_suspect = 1, True
        task.started_at_ms = wall_ms() - MAX_IDLE_ISOLATION_WAIT_MS
    workers = build_worker_capacities(board)
    plan = plan_round(build_units(board, workers, {}), workers)
    suspects = [chosen[0].node for unit, chosen in plan.starts if unit.job_id == JOB]
    assert len(suspects) == len(set(suspects))
    assert len(suspects) == 2


@pytest.mark.parametrize(("ago_ms", "starts"), [(0, False), (EARLY_CRASH_MS, True)])
def test_suspect_starts_only_where_nothing_else_has_just_started(ago_ms: int, starts: bool):
    board = board_with(1)
    other = add_job(board, "b" * 16, accelerators=1).progress
    begin_runs(other, {KEY: ("n0", lifetime("n0"))}, False, wall_ms() - ago_ms)
    suspect(add_job(board, accelerators=1), 1, MAX_IDLE_ISOLATION_WAIT_MS)
    workers = build_worker_capacities(board)
    assert bool(plan_round(build_units(board, workers, {}), workers).starts) is starts
