"""Tests of calls to the worker that many orders share, and of bursts of orders."""

import asyncio

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.lists import WorkerLists
from lycheeslip_agent.dispatch.orders import MAX_STARTS_AT_ONCE, MAX_STOPS_AT_ONCE, OrderExecutor
from lycheeslip_agent.dispatch.shared_calls import SharedCall
from lycheeslip_agent.dispatch.worker_port import NoAnswer, RunLists, Taken, WorkerStatus
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.fleet import Lifetime, OrderResult, StartOrder, StopOrder
from lycheeslip_common.workload.times import DispatchTimes

LIFETIME = Lifetime("i-1", 5)
ORDERS = 400
CALL_S = 0.05  # 400 starts take 1.25 s, longer than a silence that counts


def task_name(number: int) -> str:
    return f"{'a' * 16}.0.0.{number}"


class SlowWorker:
    """Takes `CALL_S` for each order, and counts how many are under way at once."""

    def __init__(self, is_silent: bool = False) -> None:
        self.most_at_once = self.starts = self.checks = self.lists = self._at_once = 0
        self._is_silent = is_silent

    async def check_lifetime(self, *arguments: object) -> Taken | NoAnswer:
        self.checks += 1
        await asyncio.sleep(0.01)
        return NoAnswer("late") if self._is_silent else Taken(1)

    async def start(self, *arguments: object) -> Taken:
        self.starts += 1
        return await self._take()

    async def stop(self, *arguments: object) -> Taken:
        return await self._take()

    async def _take(self) -> Taken:
        self._at_once += 1
        self.most_at_once = max(self.most_at_once, self._at_once)
        await asyncio.sleep(CALL_S)
        self._at_once -= 1
        return Taken(1)

    async def hold(self, *arguments: object) -> RunLists:
        self.lists += 1
        return RunLists(1, 5, (), ())


async def results_of(worker: SlowWorker, kind: type[StartOrder] | type[StopOrder]) -> list[str]:
    """Give a burst of orders to an agent; return the reasons of those that led to no run."""
    board = Board("agent-1", DispatchTimes())
    board.worker_status = WorkerStatus(LIFETIME, 1, "s", "z", ("a", "r"), 1, 1, 1, True, 0)
    board.epoch = 3
    board.record_worker_clock(1_000)
    board.lease_until_ms = steady_ms() + 60_000
    reported: list[OrderResult] = []
    board.post = reported.append
    orders = OrderExecutor(board, worker, WorkerLists(board, worker))
    for number in range(ORDERS):
        payload = ("x", "") if kind is StartOrder else ()
        orders.handle(kind(3, LIFETIME, task_name(number), 1, *payload))
    async with asyncio.timeout(20):
        while orders._tasks:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    return [result.reason for result in reported]


async def test_burst_of_starts_does_not_count_as_silence_of_the_worker():
    # Guards against starts that are given up and placed elsewhere since they waited for each other.
    worker = SlowWorker()
    assert await results_of(worker, StartOrder) == []
    assert worker.starts == ORDERS
    assert worker.most_at_once == MAX_STARTS_AT_ONCE
    assert worker.checks < ORDERS


async def test_burst_of_starts_at_a_silent_worker_is_given_up_as_soon_as_one():
    # Guards against jobs that wait for a silent worker since their starts are tried in turn.
    began_at_ms = steady_ms()
    assert await results_of(SlowWorker(is_silent=True), StartOrder) == ["silent"] * ORDERS
    assert steady_ms() - began_at_ms < 2_000  # a single start is given up after 0.7 s


async def test_burst_of_stops_shares_the_reads_of_the_lists():
    # Guards against a wave of cancellations that reads all lists once for each stop.
    worker = SlowWorker()
    assert await results_of(worker, StopOrder) == ["absent"] * ORDERS
    assert worker.most_at_once == MAX_STOPS_AT_ONCE
    assert worker.lists < ORDERS // 2


class GatedCall:
    """A call that ends when the test says so."""

    def __init__(self) -> None:
        self.begun = 0
        self.gate = asyncio.Event()

    async def __call__(self) -> int:
        self.begun += 1
        number = self.begun
        await self.gate.wait()
        return number


async def test_answer_is_shared_only_by_those_who_asked_before_the_call_began():
    # Guards against an order that is decided by what the worker said before the order came.
    call = GatedCall()
    shared = SharedCall(call)
    early = [asyncio.create_task(shared.ask()) for _ in range(3)]
    await asyncio.sleep(0.01)
    late = [asyncio.create_task(shared.ask()) for _ in range(3)]
    await asyncio.sleep(0.01)
    assert call.begun == 1
    call.gate.set()
    assert [answer.outcome for answer in await asyncio.gather(*early)] == [1, 1, 1]
    assert [answer.outcome for answer in await asyncio.gather(*late)] == [2, 2, 2]


async def test_order_that_is_cancelled_does_not_end_the_call_for_others():
    # Guards against one order that takes the answer from all others with it.
    call = GatedCall()
    shared = SharedCall(call)
    first, second = (asyncio.create_task(shared.ask()) for _ in range(2))
    await asyncio.sleep(0.01)
    first.cancel()
    await asyncio.sleep(0.01)
    call.gate.set()
    assert (await second).outcome == 1
