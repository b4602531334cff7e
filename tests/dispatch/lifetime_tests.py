"""Tests of heartbeats that reach an agent and are not of its worker's present lifetime."""

import asyncio

from tests.harness.platform_cell import AgentProcess, Cell, assert_stays_true

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}
TASK = f"{1:016x}.0.0.0"


async def busy_and_idle(cell: Cell) -> tuple[AgentProcess, AgentProcess]:
    """Start a task of 1 s; return the agent whose worker runs it, and the other one."""
    await cell.submit(1, ONE, work_ms=1_000)
    await cell.until(lambda: cell.running() == 1)
    return tuple(sorted(cell.agents, key=lambda agent: not agent.worker.runs))


async def assert_runs_once(cell: Cell, busy: AgentProcess) -> None:
    """Assert that the task goes on where it runs, and counts when it is done there."""
    await assert_stays_true(lambda: cell.starts() == {TASK: [1]}, for_s=0.5)
    await cell.until_state(f"/normal/{1:016x}", "completed")
    assert cell.starts() == {TASK: [1]}
    await cell.until(lambda: [end[2] for end in busy.worker.acknowledged_ends] == ["done"])


async def test_heartbeat_of_another_worker_does_not_end_the_runs_of_its_own(cell: Cell):
    """Its runs were given up as lost in a crash and started again elsewhere, while they went on."""
    busy, idle = await busy_and_idle(cell)
    idle.worker.restart_empty()  # its start is now later than that of the other worker
    idle.worker.announce(busy.address)
    await assert_runs_once(cell, busy)
    assert busy.agent.board.lifetime.worker_id == busy.worker.worker_id


async def test_new_agent_whose_first_heartbeat_is_another_workers_ends_no_run(cell: Cell):
    busy, idle = await busy_and_idle(cell)
    busy.worker.silence()
    await busy.stop_agent()
    idle.worker.announce(busy.address)
    await busy.start_agent()
    await asyncio.sleep(0.3)
    assert busy.agent.board.lifetime is None
    busy.worker.announce(busy.address)
    await assert_runs_once(cell, busy)


async def test_worker_is_used_again_if_its_clock_was_set_back_while_it_restarted(cell: Cell):
    agent = cell.agents[0]
    cell.agents[1].worker.state = "draining"
    await agent.worker.stop()
    agent.worker.restart_empty()
    agent.worker.born_ms -= 60_000
    await agent.worker.start()
    agent.worker.announce(agent.address)
    await cell.until_state(await cell.submit(1, ONE), "completed")
    assert agent.worker.started.by_task == {TASK: [1]}
