"""Tests of jobs with very many steps, which must not hold up the jobs of others."""

from collections.abc import Callable

import pytest
from lycheeslip_common.workload.times import DispatchTimes

from tests.harness.platform_cell import Cell

STEP = {"count": 1, "cpu": 5_600, "mem_mb": 23_000, "gpu": 1, "estimate_ms": 12_200}


def elections(cell: Cell) -> int:
    """Return the epoch of the present term, which increases with each election."""
    return max(entry.board.leader_epoch for entry in cell.entries)


@pytest.mark.parametrize(("jobs", "steps"), [(1, 3_000), (3, 1_000)])
async def test_urgent_jobs_start_beside_jobs_of_many_steps(
    free_port: Callable[[], int], jobs: int, steps: int
):
    # Guards against planning rounds that outlast the leader's lease, so that no job ever starts.
    async with Cell(free_port, times=DispatchTimes()) as cell:
        epoch = elections(cell)
        many = [
            await cell.submit(number, *[STEP] * steps, priority=2, work_ms=60_000)
            for number in range(1, jobs + 1)
        ]
        for number in (11, 12, 13):
            path = await cell.submit(number, STEP, priority=0)
            await cell.until_state(path, "completed")
        assert elections(cell) == epoch
        for path in many:
            assert (await cell.call("DELETE", path))[0] == 200


async def test_job_with_a_gang_without_tasks_does_not_hold_up_others(cell: Cell):
    # Guards against planning rounds that all fail on a unit without members.
    with_empty_gang = await cell.submit(1, STEP, {**STEP, "count": 0, "gang": True})
    other = await cell.submit(2, STEP)
    await cell.until_state(with_empty_gang, "completed")
    await cell.until_state(other, "completed")
