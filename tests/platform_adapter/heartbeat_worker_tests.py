"""Orders in the answers to heartbeats, by a worker that is played step by step."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest
from lycheeslip_agent.dispatch.worker_port import NoAnswer, NoWorker, OtherLifetime, Rejected, Taken
from lycheeslip_common.workload.fleet import EndCause, StartOrder
from lycheeslip_platform import heartbeat_worker
from lycheeslip_platform.heartbeat_worker import HOPELESS_DELIVERIES, HeartbeatWorker
from lycheeslip_platform.worker import announced_in

TASK = "a" * 16 + ".0.0.0"
LEASE_MS = 10_000


class PlayedWorker:
    """Sends heartbeats when told to and keeps the answers."""

    def __init__(self) -> None:
        self.port = HeartbeatWorker(LEASE_MS)
        self.running: list[list[Any]] = []
        self.ended: list[list[Any]] = []
        self.sequence = 0
        self.born = 5

    async def beat(self, **changes: Any) -> dict[str, Any]:
        """Send a heartbeat and let what waits for it go on."""
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
        answer = self.port.answer(announced_in("i-1", content), content)
        for _ in range(5):
            await asyncio.sleep(0)
        return answer

    def lifetime(self):
        return self.port._lifetime

    def order(self, call: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        return asyncio.create_task(call)

    def start(self, run: int = 1, ticket: str = "") -> asyncio.Task[Any]:
        order = StartOrder(7, self.lifetime(), TASK, run, "x", "saved", ticket)
        return self.order(self.port.start(order, 60_000, 7))


@pytest.fixture
async def worker() -> PlayedWorker:
    played = PlayedWorker()
    await played.beat()
    return played


async def settle() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def test_a_start_goes_into_each_answer_until_it_is_listed(worker: PlayedWorker):
    outcome = worker.start()
    await settle()
    for _ in range(2):
        answer = await worker.beat()
        assert answer["start"] == [[TASK, 1, "x", "saved"]]
        assert not outcome.done()
    worker.running = [[TASK, 1, "saved", 0]]
    await worker.beat()
    assert await outcome == Taken(50_000)
    assert (await worker.beat())["start"] == []


async def test_a_start_that_has_ended_already_counts_as_carried_out(worker: PlayedWorker):
    outcome = worker.start()
    await settle()
    worker.ended = [[1, TASK, 1, "done", ""]]
    await worker.beat()
    assert isinstance(await outcome, Taken)


async def test_a_stop_replaces_a_start_and_is_delivered_twice(worker: PlayedWorker):
    start = worker.start()
    await settle()
    await worker.beat()
    stop = worker.order(worker.port.stop(worker.lifetime(), TASK, 1, 7))
    await settle()
    answers = [await worker.beat() for _ in range(3)]
    assert isinstance(await start, NoAnswer)
    assert await stop == Taken(50_000)
    assert [answer["start"] for answer in answers] == [[], [], []]
    assert [answer["stop"] for answer in answers] == [[[TASK, 1]], [[TASK, 1]], []]


async def test_a_stop_is_not_confirmed_while_the_run_is_listed(worker: PlayedWorker):
    worker.running = [[TASK, 1, "", 0]]
    stop = worker.order(worker.port.stop(worker.lifetime(), TASK, 1, 7))
    await settle()
    for _ in range(4):
        await worker.beat()
    assert not stop.done()
    worker.running = []
    await worker.beat()
    assert isinstance(await stop, Taken)


async def test_a_start_that_is_never_listed_is_given_up(
    worker: PlayedWorker, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(heartbeat_worker, "ORDER_WAIT_S", 0.02)
    outcomes = []
    for _ in range(HOPELESS_DELIVERIES):
        start = worker.start()
        await settle()
        await worker.beat()
        outcomes.append(await start)
    assert all(isinstance(outcome, NoAnswer) for outcome in outcomes[:-1])
    assert outcomes[-1] == Rejected("not_listed")


async def test_a_lease_is_shorter_by_what_an_answer_may_be_late(worker: PlayedWorker):
    hold = worker.order(worker.port.hold(worker.lifetime(), 58_000, 7, 3, 1_500))
    await settle()
    answer = await worker.beat()
    assert (answer["hold_ms"], answer["last_seen"], answer["fencing_token"]) == (7_000, 3, 7)
    assert (await hold).clock_ms == 50_000


async def test_lists_are_those_of_the_next_heartbeat(worker: PlayedWorker):
    hold = worker.order(worker.port.hold(worker.lifetime(), 0, 7, 0, 1_500))
    await settle()
    worker.running, worker.ended = [[TASK, 2, "", 3, 44]], [[9, TASK, 1, "failed", "c"]]
    await worker.beat()
    held = await hold
    assert [(run.run, run.load) for run in held.running] == [(2, 44)]
    assert [(end.number, end.cause) for end in held.ended] == [(9, EndCause.FAILED)]


async def test_orders_of_an_earlier_life_are_dropped(worker: PlayedWorker):
    outcome = worker.start()
    await settle()
    worker.born, worker.sequence = 6, 0
    answer = await worker.beat()
    assert answer["start"] == []
    assert await outcome == OtherLifetime()


async def test_a_late_heartbeat_changes_nothing(worker: PlayedWorker):
    worker.sequence = 9
    await worker.beat()
    worker.sequence = 3
    assert await worker.beat(running=[[TASK, 1, "", 0]]) == {}
    assert worker.port._lists.running == ()


async def test_unreadable_lists_are_not_taken_for_empty_ones(worker: PlayedWorker):
    worker.running = [[TASK, 1, "", 0]]
    await worker.beat()
    assert await worker.beat(running="none") == {}
    assert len(worker.port._lists.running) == 1


async def test_a_worker_silent_past_its_lease_is_gone(
    worker: PlayedWorker, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(heartbeat_worker, "LISTS_WAIT_S", 0.01)
    worker.port._heard_at_ms -= 5_000
    assert isinstance(await worker.port.hold(worker.lifetime(), 0, 7, 0, 0), NoAnswer)
    worker.port._heard_at_ms -= LEASE_MS
    assert await worker.port.hold(worker.lifetime(), 0, 7, 0, 0) == NoWorker()
