"""For how long a task that may crash its worker keeps other work away, or waits to do so."""

import pytest
from lycheeslip.dispatch.isolation import ISOLATION_MS, MAX_ISOLATION_WAIT_MS
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.progress import begin_runs

from .builders import add_job, board_with, lifetime


@pytest.mark.parametrize("crashes", [1, 2, 5])
def test_suspect_does_not_wait_for_ever_for_a_worker_without_other_work(crashes: int):
    board = board_with(1)
    task = add_job(board, accelerators=1).progress.tasks[(0, 0, 0)]
    task.crashes, task.is_suspect = crashes, True
    task.started_at_ms = wall_ms() - MAX_ISOLATION_WAIT_MS
    (unit,) = build_units(board, build_worker_capacities(board), {})
    assert not unit.is_isolated


@pytest.mark.parametrize("crashes", [1, 2, 5])
def test_suspect_that_outlived_its_start_does_not_keep_its_worker_from_others(crashes: int):
    board = board_with(1)
    job = add_job(board, accelerators=1)
    task = job.progress.tasks[(0, 0, 0)]
    task.crashes, task.is_suspect = crashes, True
    started_ms = wall_ms() - ISOLATION_MS
    begin_runs(job.progress, {(0, 0, 0): ("n0", lifetime("n0"))}, False, started_ms)
    (worker,) = build_worker_capacities(board)
    assert worker.free_accelerators == 7
