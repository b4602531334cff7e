"""End-to-end tests of jobs whose queue gets another name or another URL after their acceptance."""

from collections.abc import Callable

import pytest

from tests.harness.platform_cell import Cell

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}
WORK_MS = 20_000
JOB = f"{1:016x}"


def _rename(cell: Cell) -> None:
    cell.queue_name_suffix = "-new"


def _exchange_names(cell: Cell) -> None:
    """Give two queues each other's prefix, as if each had the other's name."""
    prefixes = cell.prefix_by_priority
    prefixes[1], prefixes[2] = prefixes[2], prefixes[1]


CHANGES = pytest.mark.parametrize("change", [_rename, _exchange_names])


async def _configure(cell: Cell) -> None:
    version = cell.configure()
    await cell.until(lambda: all(e.board.config.version == version for e in cell.entries))


@CHANGES
async def test_job_of_a_replaced_queue_can_be_cancelled(cell: Cell, change: Callable[[Cell], None]):
    # Guards against work that goes on for ever: the cancelling was answered 410 at every entry.
    path = await cell.submit(1, ONE, work_ms=WORK_MS)
    await cell.until(lambda: cell.running() == 1)
    change(cell)
    await _configure(cell)
    assert (await cell.call("DELETE", path))[0] == 200
    await cell.until(lambda: cell.running() == 0)
    assert [await cell.state(path, entry) for entry in (0, 1)] == ["cancelled"] * 2


@CHANGES
async def test_job_of_a_replaced_queue_is_shown_without_a_leader(
    cell: Cell, change: Callable[[Cell], None]
):
    # Guards against accepted jobs that are answered 410 until the next leader is elected.
    path = await cell.submit(1, ONE, work_ms=WORK_MS)
    await cell.until_state(path, "active")
    change(cell)
    await _configure(cell)
    for entry in cell.entries:
        await entry.entry.release_leadership()
    assert [await cell.state(path, entry) for entry in (0, 1)] == ["active"] * 2


async def test_job_is_found_under_the_new_prefix_of_its_queue(cell: Cell):
    # Guards against jobs that no path leads to once their queue has moved.
    path = await cell.submit(1, ONE, work_ms=WORK_MS)
    await cell.until(lambda: cell.running() == 1)
    cell.prefix_by_priority[1] = "/moved/"
    cell.queue_name_suffix = "-new"
    await _configure(cell)
    assert (await cell.call("DELETE", path))[0] == 404
    assert (await cell.call("DELETE", f"/moved/{JOB}"))[0] == 200
    await cell.until(lambda: cell.running() == 0)


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


async def test_call_without_a_key_cancels_only_jobs_of_public_queues(cell: Cell):
    # Guards against strangers who reach other queues' jobs through a public one, as ids suffice.
    cell.public_priorities = {2}
    await _configure(cell)
    private = await cell.submit(1, ONE, work_ms=WORK_MS)
    public = await cell.submit(2, ONE, work_ms=WORK_MS, priority=2, key="")
    await cell.until(lambda: cell.running() == 2)
    assert (await cell.call("DELETE", f"/bulk/{JOB}", key=""))[0] == 410
    assert (await cell.call("DELETE", public, key=""))[0] == 200
    await cell.until(lambda: cell.running() == 1)
    assert await cell.state(private) == "active"
