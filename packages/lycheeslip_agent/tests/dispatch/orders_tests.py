"""What the agent reports about orders, above all those with an uncertain outcome."""

import asyncio

import pytest
from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.lists import WorkerLists
from lycheeslip_agent.dispatch.orders import CHECK_VALID_MS, OrderExecutor
from lycheeslip_agent.dispatch.worker_port import (
    NoAnswer,
    NoWorker,
    OtherLifetime,
    Rejected,
    RunLists,
    Taken,
    WorkerStatus,
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

LIFETIME = Lifetime("i-1", 5)
TASK = "a" * 16 + ".0.0.0"
START = StartOrder(3, LIFETIME, TASK, 1, "x", "")
STOP = StopOrder(3, LIFETIME, TASK, 1)
EXECUTED = (Taken(1),)
NOTHING_LISTED = (RunLists(1, 5, (), ()),)


class ScriptedWorker:
    """Answers calls from scripted lists; the last answer repeats."""

    def __init__(self, starts=(), stops=EXECUTED, lists=NOTHING_LISTED, checks=EXECUTED):
        self._answers = {
            "check": list(checks),
            "start": list(starts),
            "stop": list(stops),
            "hold": list(lists),
        }
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

    async def check_lifetime(self, *arguments):
        return self._next("check")


async def reported_reasons(worker, order, gone_after_calls=100, **board_fields):
    """Execute `order` and return the reasons that were reported to the leader.

    The agent learns after `gone_after_calls` calls that the worker is gone.
    """
    board = Board("agent-1", DispatchTimes())
    board.worker_status = WorkerStatus(LIFETIME, 1, "s", "z", ("a", "r"), 1, 1, 1, True, 0)
    board.epoch = 3
    board.record_worker_clock(1_000)
    board.lease_until_ms = steady_ms() + 5_000
    for name, value in board_fields.items():
        setattr(board, name, value)
    reported: list[OrderResult] = []
    board.post = reported.append
    orders = OrderExecutor(board, worker, WorkerLists(board, worker))
    orders.handle(order)
    async with asyncio.timeout(5):
        while orders._tasks:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
            board.is_worker_gone |= len(worker.calls) >= gone_after_calls
    return [result.reason for result in reported]


async def test_an_unanswered_start_is_repeated_until_confirmed():
    worker = ScriptedWorker([NoAnswer("late"), NoAnswer("late"), Taken(1)])
    assert await reported_reasons(worker, START) == []
    assert worker.calls == ["check", "start"] * 3


async def test_a_start_is_not_sent_to_a_worker_that_does_not_answer():
    worker = ScriptedWorker(EXECUTED, checks=(NoAnswer("late"),))
    assert await reported_reasons(worker, START) == ["silent"]
    assert set(worker.calls) == {"check"}


async def test_a_worker_is_not_taken_for_silent_after_some_lost_answers():
    worker = ScriptedWorker(EXECUTED, checks=(NoAnswer("late"), NoAnswer("late"), Taken(1)))
    assert await reported_reasons(worker, START) == []
    assert worker.calls == ["check", "check", "check", "start"]


async def test_a_start_is_not_sent_to_a_worker_that_refuses_to_confirm_its_lifetime():
    """It might begin in the next lifetime of a worker that keeps its id, beside the next run."""
    worker = ScriptedWorker(EXECUTED, checks=(Rejected("unhealthy"),))
    assert await reported_reasons(worker, START) == ["unhealthy"]
    assert set(worker.calls) == {"check"}


async def test_a_start_is_sent_once_a_worker_that_refuses_single_calls_has_confirmed_its_lifetime():
    worker = ScriptedWorker(EXECUTED, checks=(Rejected("unhealthy"), Taken(1)))
    assert await reported_reasons(worker, START) == []
    assert worker.calls == ["check", "check", "start"]


async def test_a_start_with_an_outdated_epoch_is_not_sent():
    worker = ScriptedWorker(EXECUTED, checks=(Rejected("fence"),))
    assert await reported_reasons(worker, START) == ["fence"]
    assert worker.calls == ["check"]


async def test_an_unanswered_start_is_not_repeated_before_the_worker_answers():
    """It may have run, so the leader isn't told that it has not."""
    silence = [NoAnswer("late")] * 10
    worker = ScriptedWorker([NoAnswer("late"), Taken(1)], checks=[Taken(1), *silence, Taken(1)])
    assert await reported_reasons(worker, START) == []
    assert worker.calls == ["check", "start", *["check"] * 11, "start"]


async def test_a_start_is_not_sent_after_a_pause_that_the_lifetime_may_not_have_outlasted():
    class PausedAfterCheck(ScriptedWorker):
        async def check_lifetime(self, *arguments):
            if not self.calls:
                await asyncio.sleep(2 * CHECK_VALID_MS / 1_000)
            return self._next("check")

    worker = PausedAfterCheck(EXECUTED)
    assert await reported_reasons(worker, START) == []
    assert worker.calls == ["check", "check", "start"]


async def test_an_unanswered_start_is_not_repeated_to_another_lifetime():
    worker = ScriptedWorker([NoAnswer("late")], checks=(Taken(1), OtherLifetime()))
    assert await reported_reasons(worker, START, gone_after_calls=6) == []
    assert worker.calls.count("start") == 1


@pytest.mark.parametrize("reason", ["room", "late", "fence", "unhealthy", "ticket"])
async def test_a_rejected_start_is_reported_at_once(reason: str):
    worker = ScriptedWorker([Rejected(reason)])
    assert await reported_reasons(worker, START) == [reason]
    assert worker.calls == ["check", "start"]


async def test_a_start_rejected_after_an_unanswered_one_is_stopped_before_it_is_reported():
    worker = ScriptedWorker([NoAnswer("late"), Rejected("room")], [NoAnswer("late"), Taken(1)])
    assert await reported_reasons(worker, START) == ["room"]
    assert worker.calls == ["check", "start", "check", "start", "stop", "stop", "hold"]


@pytest.mark.parametrize("refusal", [Rejected("unhealthy"), Rejected("fence")])
async def test_a_start_is_not_reported_before_a_refused_stop_is_confirmed(refusal):
    """A refused stop fences nothing: the unanswered start may begin beside the next run."""
    worker = ScriptedWorker([NoAnswer("late"), Rejected("unhealthy")], [refusal, refusal, Taken(1)])
    assert await reported_reasons(worker, START) == ["unhealthy"]
    assert worker.calls[4:] == ["stop", "hold", "stop", "hold", "stop", "hold"]


@pytest.mark.parametrize("outcome", [OtherLifetime(), NoWorker()])
async def test_a_start_is_not_reported_while_the_end_of_its_worker_is_in_doubt(outcome):
    """An unanswered start may begin beside the next run as long as the worker may live."""
    worker = ScriptedWorker([NoAnswer("late"), Rejected("unhealthy")], [outcome, Taken(1)])
    assert await reported_reasons(worker, START) == ["unhealthy"]
    assert worker.calls[4:] == ["stop", "stop", "hold"]


async def test_a_refused_stop_order_is_repeated_until_confirmed():
    worker = ScriptedWorker(stops=[Rejected("unhealthy"), Taken(1)])
    assert await reported_reasons(worker, STOP) == ["absent"]
    assert worker.calls == ["stop", "hold", "stop", "hold"]


async def test_a_refused_stop_is_not_repeated_once_the_worker_is_gone():
    worker = ScriptedWorker(stops=[Rejected("unhealthy")])
    assert await reported_reasons(worker, STOP, gone_after_calls=3) == ["worker_gone"]


async def test_a_late_start_that_is_listed_is_not_stopped_after_a_refused_stop():
    running = RunLists(1, 5, (RunningRun(TASK, 1, "", 0),), ())
    worker = ScriptedWorker(
        [NoAnswer("late"), Rejected("unhealthy")], [Rejected("unhealthy")], [running]
    )
    assert await reported_reasons(worker, START) == []
    assert worker.calls.count("stop") == 1


async def test_a_repeated_order_is_fenced_before_it_is_reported_by_a_new_agent():
    """The agent before may have sent it without an answer, and it may begin beside the next run."""
    worker = ScriptedWorker([Rejected("unhealthy")])
    assert await reported_reasons(worker, START._replace(is_repeated=True)) == ["unhealthy"]
    assert worker.calls == ["check", "start", "stop", "hold"]


async def test_a_repeated_order_is_not_given_up_while_the_worker_is_silent():
    worker = ScriptedWorker(EXECUTED, checks=[*[NoAnswer("late")] * 12, Taken(1)])
    assert await reported_reasons(worker, START._replace(is_repeated=True)) == []


async def test_a_repeated_order_is_new_to_an_agent_that_has_seen_the_whole_lifetime():
    worker = ScriptedWorker([Rejected("unhealthy")])
    order = START._replace(is_repeated=True)
    assert await reported_reasons(worker, order, has_seen_whole_lifetime=True) == ["unhealthy"]
    assert worker.calls == ["check", "start"]


@pytest.mark.parametrize("reason", ["old", "not_listed"])
async def test_a_start_that_may_have_begun_is_stopped_before_it_is_reported(reason: str):
    """A start in answers to heartbeats may begin after it was given up, beside the next run."""
    worker = ScriptedWorker([Rejected(reason)])
    assert await reported_reasons(worker, START) == [reason]
    assert worker.calls == ["check", "start", "stop", "hold"]


async def test_a_listed_ended_run_is_not_reported_as_not_started():
    """A start that is rejected as old may already have run to its end."""
    done = RunLists(1, 5, (), (EndedRun(1, TASK, 1, EndCause.DONE, ""),))
    assert await reported_reasons(ScriptedWorker([Rejected("old")], lists=(done,)), START) == []


async def test_a_run_is_not_reported_as_absent_before_the_worker_answers_with_its_lists():
    running = RunLists(1, 5, (RunningRun(TASK, 1, "", 0),), ())
    lists = (NoAnswer("late"), Rejected("fence"), running)
    assert await reported_reasons(ScriptedWorker([Rejected("old")], lists=lists), START) == []


async def test_a_stop_of_a_run_that_never_started_is_reported_as_absent():
    assert await reported_reasons(ScriptedWorker(), STOP) == ["absent"]


async def test_a_start_that_may_have_crashed_its_worker_is_not_reported_as_without_a_run():
    worker = ScriptedWorker([NoAnswer("reset"), NoWorker()])
    assert await reported_reasons(worker, START, gone_after_calls=6) == []
    assert worker.calls == ["check", "start"] * 3


@pytest.mark.parametrize("gone", [NoWorker(), OtherLifetime()])
async def test_a_start_at_a_gone_worker_is_reported(gone):
    assert await reported_reasons(ScriptedWorker([gone]), START) == ["worker_gone"]


@pytest.mark.parametrize(
    ("fields", "reason"),
    [({"lease_until_ms": 0}, "no_lease"), ({"is_worker_gone": True}, "worker_gone")],
)
async def test_a_start_without_a_lease_or_a_worker_is_not_sent(fields, reason):
    worker = ScriptedWorker([Taken(1)])
    assert await reported_reasons(worker, START, **fields) == [reason]
    assert worker.calls == []
