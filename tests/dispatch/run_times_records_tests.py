"""Tests of learned run times over a change of leader, with entries, a store and workers."""

from lycheeslip.dispatch.run_samples import MIN_ACCOUNTS

from tests.harness.platform_cell import Cell

TASK = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1, "estimate_ms": 60_000}
JOBS = 4


async def test_new_leader_reads_the_run_times_of_the_last(cell: Cell):
    tenants = [
        {"name": f"t-{number}", "api_keys": [f"key-{number}"], "guaranteed": {"gpu": 0}}
        for number in range(MIN_ACCOUNTS)
    ]
    tenants[0]["api_keys"] = cell.keys
    version = cell.configure(tenants=tenants)
    await cell.until(lambda: all(entry.board.config.version == version for entry in cell.entries))
    for number in range(JOBS):
        await cell.submit(number + 1, TASK)
    leader = cell.leader()
    assert leader is not None
    history = leader.board.history
    await cell.until(lambda: "q-1" in history.queues and history.queues["q-1"].compared == JOBS)
    await cell.until(lambda: not history.changed_queues)
    await leader.stop()
    await cell.until(lambda: cell.leader() not in (None, leader))
    successor = cell.leader()
    assert successor is not None
    await cell.until(lambda: "q-1" in successor.board.history.queues)
    assert successor.board.history.queues["q-1"].compared == JOBS
