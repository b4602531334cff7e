"""What the agent says of orders whose outcome was uncertain."""

import asyncio

import pytest
from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.lists import WorkerLists
from lycheeslip_agent.dispatch.orders import Orders
from lycheeslip_agent.dispatch.worker_port import (
    Announced,
    Held,
    NoAnswer,
    NoWorker,
    OtherLifetime,
    Rejected,
    Taken,
)
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.fleet import (
    EndCause,
    EndedRun,
    Lifetime,
    OrderResult,
    RunningRun,
    StartOrder,
    StopOrder,
)
from lycheeslip_common.workload.times import DispatchTimes

LIFE = Lifetime("i-1", 5)
TASK = "a" * 16 + ".0.0.0"
START = StartOrder(3, LIFE, TASK, 1, "x", "")
STOP = StopOrder(3, LIFE, TASK, 1)
CARRIED_OUT = (Taken(1),)
NOTHING_LISTED = (Held(1, 5, (), ()),)


class ScriptedWorker:
    """Answers calls from lists; the last answer repeats."""

    def __init__(self, starts=(), stops=CARRIED_OUT, lists=NOTHING_LISTED):
        self._answers = {"start": list(starts), "stop": list(stops), "hold": list(lists)}
        self.calls: list[str] = []

    def _next(self, name):
        self.calls.append(name)
        answers = self._answers[name]
        return answers.pop(0) if len(answers) > 1 else answers[0]

    async def start(self, *arguments):
        return self._next("start")

    async def stop(self, *arguments):
        return self._next("stop")

    async def hold(self, *arguments):
        return self._next("hold")


async def results(worker, order, **board_fields):
    """Carry out `order` and return what was reported to the leader."""
    board = Board("side-1", DispatchTimes())
    board.announced = Announced(LIFE, 1, "s", "z", ("a", "r"), 1, 1, 1, True, 0)
    board.epoch = 3
    board.note_clock(1_000)
    board.lease_until_ms = steady_ms() + 5_000
    for name, value in board_fields.items():
        setattr(board, name, value)
    reported: list[OrderResult] = []
    board.post = reported.append
    orders = Orders(board, worker, WorkerLists(board, worker))
    orders.take(order)
    async with asyncio.timeout(5):
        while orders._tasks:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    return [result.reason for result in reported]


async def test_an_unanswered_start_is_repeated_until_it_is_there():
    worker = ScriptedWorker([NoAnswer("late"), NoAnswer("late"), Taken(1)])
    assert await results(worker, START) == []
    assert worker.calls == ["start"] * 3


@pytest.mark.parametrize("reason", ["room", "late", "fence", "unhealthy", "ticket"])
async def test_a_rejected_start_is_reported_at_once(reason: str):
    worker = ScriptedWorker([Rejected(reason)])
    assert await results(worker, START) == [reason]
    assert worker.calls == ["start"]


async def test_a_start_rejected_after_one_unanswered_is_stopped_before_it_is_reported():
    worker = ScriptedWorker([NoAnswer("late"), Rejected("room")], [NoAnswer("late"), Taken(1)])
    assert await results(worker, START) == ["room"]
    assert worker.calls == ["start", "start", "stop", "stop", "hold"]


async def test_a_run_that_has_ended_is_left_to_the_lists():
    """A start that is rejected as old may have run and be done: that must not be denied."""
    done = Held(1, 5, (), (EndedRun(1, TASK, 1, EndCause.DONE, ""),))
    assert await results(ScriptedWorker([Rejected("old")], lists=(done,)), START) == []


async def test_a_run_is_not_denied_before_the_worker_has_shown_its_lists():
    running = Held(1, 5, (RunningRun(TASK, 1, "", 0),), ())
    lists = (NoAnswer("late"), Rejected("fence"), running)
    assert await results(ScriptedWorker([Rejected("old")], lists=lists), START) == []


async def test_a_stop_of_a_run_that_never_began_is_reported():
    assert await results(ScriptedWorker(), STOP) == ["absent"]


@pytest.mark.parametrize("gone", [NoWorker(), OtherLifetime()])
async def test_a_worker_that_is_gone_ran_nothing(gone):
    assert await results(ScriptedWorker([gone]), START) == ["worker_gone"]


@pytest.mark.parametrize(
    ("fields", "reason"),
    [({"lease_until_ms": 0}, "no_lease"), ({"is_gone": True}, "worker_gone")],
)
async def test_a_start_without_a_lease_or_a_worker_is_not_sent(fields, reason):
    worker = ScriptedWorker([Taken(1)])
    assert await results(worker, START, **fields) == [reason]
    assert worker.calls == []
