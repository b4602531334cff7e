"""Tests of decisions by the progress of runs, where declared run times are wrong."""

import asyncio
import time

import pytest

from tests.harness.platform_cell import AgentProcess, Cell

TASK = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 8}
WORK_MS = 2_000
OBJECTIVE_S = 6.25  # stretch of 3, and 0.25 s


async def busy_agent(cell: Cell, others: tuple[AgentProcess, ...] = ()) -> AgentProcess:
    def busy() -> list[AgentProcess]:
        return [agent for agent in cell.agents if agent.worker.runs and agent not in others]

    await cell.until(busy)
    return busy()[0]


@pytest.mark.parametrize("estimate_ms", [200, WORK_MS, 20_000])
async def test_urgent_task_is_not_lost_with_a_worker_that_leaves_before_it_is_done(
    cell: Cell, estimate_ms: int
):
    path = await cell.submit(1, {**TASK, "estimate_ms": estimate_ms}, work_ms=WORK_MS, priority=0)
    began = time.monotonic()
    agent = await busy_agent(cell)
    await asyncio.sleep(0.3)
    agent.worker.state, agent.worker.remaining_ms = "draining", 1_000
    await busy_agent(cell, (agent,))
    assert time.monotonic() - began < 1.3  # before the worker leaves
    await cell.until_state(path, "completed")
    assert time.monotonic() - began < OBJECTIVE_S


async def test_run_that_is_done_before_its_worker_leaves_is_not_stopped(cell: Cell):
    path = await cell.submit(1, {**TASK, "estimate_ms": 20_000}, work_ms=1_000, priority=0)
    agent = await busy_agent(cell)
    agent.worker.state, agent.worker.remaining_ms = "draining", 3_000
    await cell.until_state(path, "completed")
    assert cell.starts() == {f"{1:016x}.0.0.0": [1]}


@pytest.mark.parametrize("estimate_ms", [200, 20_000])
async def test_urgent_task_does_not_stay_on_a_worker_that_becomes_slow(
    cell: Cell, estimate_ms: int
):
    path = await cell.submit(1, {**TASK, "estimate_ms": estimate_ms}, work_ms=WORK_MS, priority=0)
    began = time.monotonic()
    agent = await busy_agent(cell)
    await asyncio.sleep(1.0)
    agent.worker.slow_down(20)
    await busy_agent(cell, (agent,))
    await cell.until_state(path, "completed")
    assert time.monotonic() - began < OBJECTIVE_S


async def test_urgent_task_does_not_stay_on_a_worker_that_is_slower_than_another(cell: Cell):
    cell.agents[0].worker.slow_down(10)
    path = await cell.submit(1, {**TASK, "count": 2, "estimate_ms": 200}, work_ms=1_000, priority=0)
    began = time.monotonic()
    await cell.until_state(path, "completed")
    assert time.monotonic() - began < 3.0 * 2 * 1.0  # two waves


async def test_urgent_task_does_not_wait_for_bulk_work_that_only_claims_to_be_short(cell: Cell):
    bulk = await cell.submit(
        2, {**TASK, "count": 2, "estimate_ms": 500}, work_ms=10_000, priority=2
    )
    await cell.until(lambda: cell.running() == 2)
    began = time.monotonic()
    path = await cell.submit(1, {**TASK, "estimate_ms": 4_000}, work_ms=100, priority=0)
    await cell.until_state(path, "completed")
    assert time.monotonic() - began < 1.0
    assert await cell.state(bulk) == "active"
