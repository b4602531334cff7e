"""End-to-end tests of jobs whose queue gets another name or another URL after their acceptance."""

from tests.harness.platform_cell import Cell

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}


def _rename(cell: Cell) -> None:
    cell.queue_name_suffix = "-new"


async def _configure(cell: Cell) -> None:
    version = cell.configure()
    await cell.until(lambda: all(e.board.config.version == version for e in cell.entries))


async def test_waiting_jobs_of_a_replaced_queue_are_counted(cell: Cell):
    # Guards against waiting jobs that no count shows any more.
    for agent in cell.agents:
        agent.worker.state = "draining"
    await cell.until(lambda: not any(a.agent.board.worker_status.is_ready for a in cell.agents))
    await cell.submit(1, ONE)
    _rename(cell)
    await _configure(cell)
    follower = next(entry for entry in cell.entries if entry is not cell.leader())
    await cell.until(lambda: follower.entry._leader_link._link is not None)
    for entry in (0, 1):
        assert await cell.call("GET", "/normal/", entry=entry) == (200, {"pending": 1})
        assert await cell.call("GET", "/bulk/", entry=entry) == (200, {"pending": 0})
