"""End-to-end tests of jobs that are cancelled while the leader is replaced."""

from tests.harness.platform_cell import Cell, EntryProcess, assert_stays_true

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}


async def _kill(cell: Cell, entry: EntryProcess) -> None:
    cell.entries.remove(entry)
    await entry.kill()
    await entry.store.close()


async def _submit_without_order(cell: Cell) -> str:
    """Submit a job whose start the leader records and never orders; return the job's path."""
    leader = cell.leader()
    assert leader is not None
    leader.entry._dispatcher.on_records_written = lambda job_ids: None
    path = await cell.submit(1, {**ONE, "count": 3}, work_ms=5_000)
    job = leader.board.jobs[f"{1:016x}"]
    await cell.until(lambda: any(job.progress.placed()) and job.revision and not job.is_dirty)
    return path


async def test_recorded_start_of_a_cancelled_job_is_not_ordered_by_a_later_leader(free_port):
    # Guards against starts long after the cancelling: each leader ordered again what it had loaded.
    async with Cell(free_port, entries=3) as cell:
        path = await _submit_without_order(cell)
        leader = cell.leader()
        other = next(n for n, entry in enumerate(cell.entries) if entry is not leader)
        assert (await cell.call("DELETE", path, entry=other))[0] == 200
        for _ in range(2):
            leader = cell.leader()
            assert leader is not None
            await _kill(cell, leader)
            await cell.until(lambda: cell.leader() is not None)
        await cell.until(cell.known_workers)
        await assert_stays_true(lambda: cell.starts() == {}, 0.5)
        await cell.until_state(path, "cancelled")
        job = cell.leader().board.jobs[f"{1:016x}"]
        await cell.until(lambda: not any(job.progress.placed()))
        assert cell.starts() == {}
