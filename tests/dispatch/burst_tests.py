"""Tests of very many tasks that start or stop at once on few workers."""

from collections.abc import AsyncIterator, Callable

import pytest_asyncio
from lycheeslip_common.workload.times import DispatchTimes

from tests.harness.platform_cell import Cell

TINY = {"cpu": 20, "mem_mb": 50, "estimate_ms": 5_000}
TASKS = 600


def results(cell: Cell, reason: str) -> float:
    """Return how many orders led to no run for `reason`, as the leaders counted."""
    name = f'lycheeslip_orders_without_run_total{{reason="{reason}"}} '
    lines = [line for e in cell.entries for line in e.board.counters.text().decode().splitlines()]
    return sum(float(line.removeprefix(name)) for line in lines if line.startswith(name))


@pytest_asyncio.fixture
async def large_cell(free_port: Callable[[], int]) -> AsyncIterator[Cell]:
    """Run a cell with the product's leases, which a busy test process doesn't outlast."""
    async with Cell(free_port, times=DispatchTimes()) as running:
        yield running


async def test_burst_of_tasks_starts_once_on_workers_that_answer(large_cell: Cell):
    # Guards against starts that wait in the agent's own queue and count as the worker's silence.
    cell = large_cell
    for number in (1, 2):
        await cell.submit(number, {**TINY, "count": TASKS}, work_ms=60_000)
    await cell.until(lambda: cell.running() == 2 * TASKS)
    assert results(cell, "silent") == 0
    assert set(map(tuple, cell.starts().values())) == {(1,)}
    for number in (1, 2):
        assert (await cell.call("DELETE", f"/normal/{number:016x}"))[0] == 200
    await cell.until(lambda: cell.running() == 0)


async def test_burst_of_tasks_reaches_its_agent_over_one_link(large_cell: Cell):
    # Guards against a link that is closed by the messages that it has to carry, again and again.
    cell = large_cell
    cell.agents[1].worker.state = "draining"
    await cell.until(lambda: not cell.leader().board.workers["side-1"].report.is_ready)
    link = cell.leader().board.workers["side-0"].link
    await cell.submit(1, {**TINY, "count": 2 * TASKS, "fills": True}, work_ms=60_000)
    await cell.until(lambda: cell.running() == 2 * TASKS)
    assert cell.leader().board.workers["side-0"].link is link
    assert set(map(tuple, cell.starts().values())) == {(1,)}
