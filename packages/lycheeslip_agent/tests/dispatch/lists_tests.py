"""What the agent believes of its worker: which ends of its process are crashes."""

import asyncio

import pytest
from lycheeslip_agent.dispatch import lists
from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.lists import WorkerLists
from lycheeslip_agent.dispatch.worker_port import NoAnswer, NoWorker, RunLists, WorkerStatus
from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.times import DispatchTimes

LIFETIME = Lifetime("i-1", 5)
STATUS = WorkerStatus(LIFETIME, 1, "s", "z", ("a", "r"), 1, 1, 1, True, 0)


class PolledWorker:
    """Answers polls from a script of outcomes and the seconds that each takes."""

    max_crash_silence_ms = 400

    def __init__(self, *script: tuple[object, float]) -> None:
        self._script = list(script)

    async def hold(self, *_: object) -> object:
        outcome, after_s = self._script.pop(0) if len(self._script) > 1 else self._script[0]
        await asyncio.sleep(after_s)
        return outcome


async def crashes_seen(worker: PolledWorker, status: WorkerStatus = STATUS) -> list[Lifetime]:
    """Poll `worker` until it is gone and return the lifetimes that count as crashed."""
    board = Board("agent-1", DispatchTimes())
    board.epoch = 1
    worker_lists = WorkerLists(board, worker)
    worker_lists.handle_heartbeat(status)
    polling = asyncio.create_task(worker_lists.run())
    async with asyncio.timeout(5):
        while not board.is_worker_gone:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    polling.cancel()
    return list(board.crashed_at_ms)


@pytest.fixture(autouse=True)
def _short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lists, "RETRY_S", 0.02)


async def test_crash_after_a_long_poll_is_not_taken_for_the_end_of_a_silence():
    listed = RunLists(1, 5, (), ())
    worker = PolledWorker((listed, 0.3), (NoAnswer("reset"), 0.25), (NoWorker(), 0.0))
    assert await crashes_seen(worker) == [LIFETIME]


async def test_end_after_a_long_silence_is_no_crash():
    listed = RunLists(1, 5, (), ())
    worker = PolledWorker((listed, 0.0), (NoAnswer("timeout"), 0.6), (NoWorker(), 0.0))
    assert await crashes_seen(worker) == []


async def test_end_of_a_draining_worker_is_no_crash():
    worker = PolledWorker((RunLists(1, 5, (), ()), 0.0), (NoWorker(), 0.0))
    assert await crashes_seen(worker, STATUS._replace(is_ready=False)) == []
