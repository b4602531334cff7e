"""End-to-end tests of filling tasks that share a worker with latency-bound tasks."""

from tests.harness.platform_cell import Cell

SERVES = {"count": 1, "cpu": 1000, "mem_mb": 100, "long_running": True, "target_ms": 100}
FILLS = {"count": 1, "cpu": 4000, "mem_mb": 100, "fills": True}


def worker_runs_of(cell: Cell, path: str):
    job_id = path.rpartition("/")[2]
    found = [run for agent in cell.agents for run in agent.worker.runs.values()]
    return [run for run in found if run.task.startswith(job_id)]


async def start_both(cell: Cell) -> tuple[str, str]:
    for agent in cell.agents[1:]:
        agent.worker.state = "draining"
    serving = await cell.submit(1, SERVES, work_ms=60_000)
    filling = await cell.submit(2, FILLS, work_ms=60_000, priority=2)
    await cell.until(lambda: cell.running() == 2)
    return serving, filling


async def test_filling_task_is_throttled_under_load_and_recovers(cell: Cell):
    serving, filling = await start_both(cell)
    worker_runs_of(cell, serving)[0].load = 300
    await cell.until(lambda: worker_runs_of(cell, filling)[0].percent == 0)
    assert worker_runs_of(cell, serving)[0].percent == 100
    worker_runs_of(cell, serving)[0].load = 10
    await cell.until(lambda: worker_runs_of(cell, filling)[0].percent > 0)


async def test_restarted_agent_throttles_adopted_runs(cell: Cell):
    serving, filling = await start_both(cell)
    await cell.agents[0].stop_agent()
    await cell.agents[0].start_agent()
    worker_runs_of(cell, serving)[0].load = 300
    await cell.until(lambda: worker_runs_of(cell, filling)[0].percent == 0)


async def test_long_running_task_is_restarted_after_any_end(cell: Cell):
    path = await cell.submit(1, SERVES, work_ms=150)
    await cell.until(lambda: cell.starts().get(f"{1:016x}.0.0.0", [0])[-1] >= 4)
    for agent in cell.agents:
        agent.worker.faults.failing = True
    before = cell.starts()[f"{1:016x}.0.0.0"][-1]
    await cell.until(lambda: cell.starts()[f"{1:016x}.0.0.0"][-1] >= before + 4)
    assert await cell.state(path) == "active"
    assert (await cell.call("DELETE", path))[0] == 200
