"""Tests of workers whose capacity changes while they run."""

import asyncio

from tests.harness.platform_cell import Cell

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}


def shrink(cell: Cell, agent: int, accelerators: int) -> None:
    """Let a worker say of itself that it has only `accelerators`."""
    cell.agents[agent].worker.capacity["gpu"] = accelerators


async def test_nothing_is_started_over_a_capacity_that_has_shrunk(cell: Cell):
    running = await cell.submit(1, {**ONE, "count": 12}, work_ms=1_000)
    await cell.until(lambda: cell.running() == 12)
    for agent in range(2):
        shrink(cell, agent, 2)
    views = cell.leader().board.workers.values()
    await cell.until(lambda: all(view.report.accelerators == 2 for view in views))
    waiting = await cell.submit(2, {**ONE, "count": 8}, work_ms=100)
    while await cell.state(waiting) != "completed":
        for agent in cell.agents:
            new = [task for task in agent.worker.runs if task.startswith(f"{2:016x}")]
            assert len(agent.worker.runs) <= 2 or not new
    assert await cell.state(running) == "completed"
    assert all(runs == [1] for runs in cell.starts().values())


async def test_capacity_that_has_grown_again_is_used(cell: Cell):
    for agent in range(2):
        shrink(cell, agent, 0)
    views = cell.leader().board.workers.values()
    await cell.until(lambda: all(view.report.accelerators == 0 for view in views))
    path = await cell.submit(1, ONE)
    shrink(cell, 1, 8)
    await cell.until_state(path, "completed")


async def test_start_on_its_way_to_a_worker_that_shrinks_is_withdrawn(cell: Cell):
    first, second = cell.agents
    first.worker.faults.delayed_starts, first.worker.faults.start_delay_s = 1, 3.0
    path = await cell.submit(1, ONE)
    await cell.until(lambda: first.agent.board.pending_starts)
    shrink(cell, 0, 0)
    await cell.until_state(path, "completed")
    assert not first.worker.started.by_task
    assert second.worker.started.by_task


async def test_start_that_waits_for_its_record_is_withdrawn_if_the_worker_shrinks(cell: Cell):
    cell.agents[1].worker.state = "draining"
    await cell.until(lambda: not cell.agents[1].agent.board.worker_status.is_ready)
    board = cell.leader().board
    cell.store.faults.delay_s = 0.2
    path = await cell.submit(1, ONE)
    await cell.until(lambda: any(any(job.progress.placed()) for job in board.jobs.values()))
    shrink(cell, 0, 0)
    await cell.until(lambda: board.workers["side-0"].report.accelerators == 0)
    cell.store.faults.delay_s = 0.0
    await cell.until(lambda: not any(board.jobs[f"{1:016x}"].progress.placed()))
    assert cell.starts() == {}
    shrink(cell, 0, 8)
    await cell.until_state(path, "completed")


async def test_gang_that_lasting_tasks_keep_out_does_not_hold_up_later_jobs(cell: Cell):
    """Reserving workers for it would keep later jobs waiting for as long as those tasks last."""
    lasting = {**ONE, "count": 2, "long_running": True, "anti_affinity": 1}
    await cell.submit(1, lasting, work_ms=600_000)
    await cell.until(lambda: all(len(agent.worker.runs) == 1 for agent in cell.agents))
    gang = await cell.submit(2, {**ONE, "count": 2, "gpu": 8, "gang": True, "estimate_ms": 100})
    await asyncio.sleep(2.0)  # from three times its latency objective on it comes before later jobs
    path = await cell.submit(3, {**ONE, "estimate_ms": 100})
    await cell.until_state(path, "completed")
    assert await cell.state(gang) == "queued"
