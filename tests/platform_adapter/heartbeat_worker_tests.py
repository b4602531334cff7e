"""Delivery of orders in responses to heartbeats, with a fake worker driven step by step."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest
from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.lists import WorkerLists
from lycheeslip_agent.dispatch.worker_port import (
    NoAnswer,
    NoWorker,
    OtherLifetime,
    Rejected,
    Taken,
    WorkerStatus,
)
from lycheeslip_common.workload.fleet import EndCause, Lifetime, StartOrder
from lycheeslip_common.workload.times import DispatchTimes
from lycheeslip_platform import heartbeat_worker
from lycheeslip_platform.heartbeat_worker import MAX_START_DELIVERIES, HeartbeatWorker
from lycheeslip_platform.worker import parse_heartbeat

TASK = "a" * 16 + ".0.0.0"
LEASE_MS = 10_000


class FakeWorker:
    """Sends one heartbeat per call and returns the response."""

    def __init__(self) -> None:
        self.port = HeartbeatWorker(LEASE_MS)
        self.running: list[list[Any]] = []
        self.ended: list[list[Any]] = []
        self.sequence = 0
        self.born = 5

    async def send_heartbeat(self, **changes: Any) -> dict[str, Any]:
        """Send a heartbeat and let the tasks that wait for it continue."""
        self.sequence += 1
        fields = {
            "service": "s1",
            "address": "10.0.0.1:1",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 1},
            "labels": ["a", "r1"],
            "sequence": self.sequence,
            "born": self.born,
            "clock_ms": 50_000,
            "running": self.running,
            "ended": self.ended,
            **changes,
        }
        content = msgspec.json.encode(fields)
        response = self.port.handle_heartbeat(parse_heartbeat("i-1", content), content)
        for _ in range(5):
            await asyncio.sleep(0)
        return response

    def lifetime(self):
        return self.port._lifetime

    def schedule(self, call: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        return asyncio.create_task(call)

    def start(self, run: int = 1, ticket: str = "") -> asyncio.Task[Any]:
        order = StartOrder(7, self.lifetime(), TASK, run, "x", "saved", ticket)
        return self.schedule(self.port.start(order, 60_000, 7))


@pytest.fixture
async def worker() -> FakeWorker:
    fake = FakeWorker()
    await fake.send_heartbeat()
    return fake


async def run_pending_tasks() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def test_start_is_repeated_in_each_response_until_the_run_is_listed(worker: FakeWorker):
    outcome = worker.start()
    await run_pending_tasks()
    for _ in range(2):
        response = await worker.send_heartbeat()
        assert response["start"] == [[TASK, 1, "x", "saved"]]
        assert not outcome.done()
    worker.running = [[TASK, 1, "saved", 0]]
    await worker.send_heartbeat()
    assert await outcome == Taken(50_000)
    assert (await worker.send_heartbeat())["start"] == []


async def test_start_of_a_run_listed_as_ended_counts_as_carried_out(worker: FakeWorker):
    outcome = worker.start()
    await run_pending_tasks()
    worker.ended = [[1, TASK, 1, "done", ""]]
    await worker.send_heartbeat()
    assert isinstance(await outcome, Taken)


async def test_stop_replaces_pending_start_and_is_delivered_twice(worker: FakeWorker):
    start = worker.start()
    await run_pending_tasks()
    await worker.send_heartbeat()
    stop = worker.schedule(worker.port.stop(worker.lifetime(), TASK, 1, 7))
    await run_pending_tasks()
    responses = [await worker.send_heartbeat() for _ in range(3)]
    assert isinstance(await start, NoAnswer)
    assert await stop == Taken(50_000)
    assert [response["start"] for response in responses] == [[], [], []]
    assert [response["stop"] for response in responses] == [[[TASK, 1]], [[TASK, 1]], []]


async def test_stop_is_not_confirmed_while_the_run_is_listed(worker: FakeWorker):
    worker.running = [[TASK, 1, "", 0]]
    stop = worker.schedule(worker.port.stop(worker.lifetime(), TASK, 1, 7))
    await run_pending_tasks()
    for _ in range(4):
        await worker.send_heartbeat()
    assert not stop.done()
    worker.running = []
    await worker.send_heartbeat()
    assert isinstance(await stop, Taken)


async def test_start_never_listed_is_rejected_after_max_deliveries(
    worker: FakeWorker, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(heartbeat_worker, "ORDER_TIMEOUT_S", 0.02)
    outcomes = []
    for _ in range(MAX_START_DELIVERIES):
        start = worker.start()
        await run_pending_tasks()
        await worker.send_heartbeat()
        outcomes.append(await start)
    assert all(isinstance(outcome, NoAnswer) for outcome in outcomes[:-1])
    assert outcomes[-1] == Rejected("not_listed")


async def test_lease_is_shortened_by_max_response_delay(worker: FakeWorker):
    hold = worker.schedule(worker.port.hold(worker.lifetime(), 58_000, 7, 3, 1_500))
    await run_pending_tasks()
    response = await worker.send_heartbeat()
    assert (response["hold_ms"], response["last_seen"], response["fencing_token"]) == (7_000, 3, 7)
    assert (await hold).clock_ms == 50_000


async def test_hold_returns_lists_of_the_next_heartbeat(worker: FakeWorker):
    hold = worker.schedule(worker.port.hold(worker.lifetime(), 0, 7, 0, 1_500))
    await run_pending_tasks()
    worker.running, worker.ended = [[TASK, 2, "", 3, 44]], [[9, TASK, 1, "failed", "c"]]
    await worker.send_heartbeat()
    lists = await hold
    assert [(run.run, run.load) for run in lists.running] == [(2, 44)]
    assert [(end.number, end.cause) for end in lists.ended] == [(9, EndCause.FAILED)]


async def test_orders_for_an_earlier_lifetime_are_dropped(worker: FakeWorker):
    outcome = worker.start()
    await run_pending_tasks()
    worker.born, worker.sequence = 6, 0
    response = await worker.send_heartbeat()
    assert response["start"] == []
    assert await outcome == OtherLifetime()


async def test_outdated_heartbeat_is_ignored(worker: FakeWorker):
    worker.sequence = 9
    await worker.send_heartbeat()
    worker.sequence = 3
    assert await worker.send_heartbeat(running=[[TASK, 1, "", 0]]) == {}
    assert worker.port._lists.running == ()


async def test_malformed_lists_do_not_count_as_empty(worker: FakeWorker):
    worker.running = [[TASK, 1, "", 0]]
    await worker.send_heartbeat()
    assert await worker.send_heartbeat(running="none") == {}
    assert len(worker.port._lists.running) == 1


async def test_worker_silent_past_its_lease_is_gone(
    worker: FakeWorker, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(heartbeat_worker, "HEARTBEAT_TIMEOUT_S", 0.01)
    worker.port._last_heartbeat_at_ms -= 5_000
    assert isinstance(await worker.port.hold(worker.lifetime(), 0, 7, 0, 0), NoAnswer)
    worker.port._last_heartbeat_at_ms -= LEASE_MS
    assert await worker.port.hold(worker.lifetime(), 0, 7, 0, 0) == NoWorker()


async def test_start_that_was_delivered_to_a_worker_that_crashed_may_have_run(worker: FakeWorker):
    outcome = worker.start()
    await run_pending_tasks()
    await worker.send_heartbeat()
    worker.born, worker.sequence = 6, 0
    await worker.send_heartbeat()
    assert isinstance(await outcome, NoAnswer)


async def test_crash_is_told_by_the_next_lifetime_where_orders_go_in_heartbeats():
    """Such a worker can't be seen to refuse connections; it is silent until it is back."""
    worker = FakeWorker()
    worker.port.max_crash_silence_ms = 400
    board = Board("agent-1", DispatchTimes())
    lists = WorkerLists(board, worker.port)
    for silence_s, crashes in ((0.2, 1), (0.6, 1)):
        status = WorkerStatus(Lifetime("i-1", worker.born), 1, "s", "z", (), 1, 1, 1, True, 0)
        await lists.handle_heartbeat(status)
        await asyncio.sleep(silence_s)
        worker.born += 1
        await lists.handle_heartbeat(status._replace(lifetime=Lifetime("i-1", worker.born)))
        assert len(board.crash_by_lifetime) == crashes
