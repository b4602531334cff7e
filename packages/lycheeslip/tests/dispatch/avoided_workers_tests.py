"""For how long a unit avoids the workers on which it has failed."""

import pytest
from lycheeslip.dispatch.board import StoredJob
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip.dispatch.placement import plan_round
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.progress import begin_runs

from .builders import JOB, add_job, board_with, lifetime

KEY = (0, 0, 0)
BUSY_NODES, FAILED_NODES = ("n0", "n1"), ("n2", "n3")


def starts_after(waited_ms: int, busy_accelerators: int, is_lasting: bool) -> bool:
    """Return whether a task starts that failed on idle workers and doesn't fit onto the others.

    `waited_ms` is for how long it has waited since its last run ended.
    """
    board = board_with()
    for number, node in enumerate(BUSY_NODES):
        other = add_job(board, f"{number:016x}", accelerators=busy_accelerators).progress
        begin_runs(other, {KEY: (node, lifetime(node))}, False, wall_ms())
    job: StoredJob = add_job(board, accelerators=4, long_running=is_lasting)
    task = job.progress.tasks[KEY]
    task.run = task.failures = task.failed_run = 1
    task.failed_on = [lifetime(node).worker_id for node in FAILED_NODES]
    job.unit_ended_at_ms[KEY] = steady_ms() - waited_ms
    workers = build_worker_capacities(board)
    plan = plan_round(build_units(board, workers, {}), workers)
    return any(unit.job_id == JOB for unit, _ in plan.starts)


@pytest.mark.parametrize(("waited_ms", "starts"), [(0, False), (2_000, True)])
@pytest.mark.parametrize("is_lasting", [False, True])
def test_unit_does_not_wait_for_ever_beside_idle_workers_that_failed_it(
    waited_ms: int, starts: bool, is_lasting: bool
):
    assert starts_after(waited_ms, 5, is_lasting) is starts


@pytest.mark.parametrize(("waited_ms", "starts"), [(4_000, False), (5_000, True)])
def test_task_that_lasts_does_not_wait_for_ever_on_a_busy_service(waited_ms: int, starts: bool):
    assert starts_after(waited_ms, 8, True) is starts
