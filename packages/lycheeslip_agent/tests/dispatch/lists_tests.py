"""What the agent believes of its worker: which ends of its process are crashes."""

import asyncio

import pytest
from lycheeslip_agent.dispatch import lists
from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.lists import HeartbeatOutcome, WorkerLists
from lycheeslip_agent.dispatch.worker_port import (
    NoAnswer,
    NoWorker,
    OrderOutcome,
    OtherLifetime,
    Rejected,
    RunLists,
    Taken,
    WorkerStatus,
)
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.fleet import EndCause, EndedRun, Lifetime, RunningRun
from lycheeslip_common.workload.times import DispatchTimes

LIFETIME = Lifetime("i-1", 5)
STATUS = WorkerStatus(LIFETIME, 1, "s", "z", ("a", "r"), 1, 1, 1, True, 0)


class PolledWorker:
    """Answers polls from a script of outcomes and the seconds that each takes."""

    max_crash_silence_ms = 400
    max_order_delay_ms = 0

    def __init__(self, *script: tuple[object, float]) -> None:
        self._script = list(script)
        self.confirmation: OrderOutcome = Taken(1)

    async def confirm_lifetime(self, *_: object) -> OrderOutcome:
        return self.confirmation

    async def hold(self, *_: object) -> object:
        outcome, after_s = self._script.pop(0) if len(self._script) > 1 else self._script[0]
        await asyncio.sleep(after_s)
        return outcome


async def poll_until_gone(board: Board, worker_lists: WorkerLists) -> None:
    polling = asyncio.create_task(worker_lists.run())
    async with asyncio.timeout(5):
        while not board.is_worker_gone:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    polling.cancel()


async def crashes_seen(worker: PolledWorker, status: WorkerStatus = STATUS) -> list[Lifetime]:
    """Poll `worker` until it is gone and return the lifetimes that count as crashed."""
    board = Board("agent-1", DispatchTimes())
    board.epoch = 1
    worker_lists = WorkerLists(board, worker)
    await worker_lists.handle_heartbeat(status)
    await poll_until_gone(board, worker_lists)
    return list(board.crash_by_lifetime)


@pytest.fixture(autouse=True)
def _short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lists, "RETRY_S", 0.02)
    monkeypatch.setattr(lists, "CONFIRM_LIMIT_MS", 100)
    monkeypatch.setattr(lists, "CONFIRM_RETRY_S", 0.02)


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


async def working_agent() -> tuple[Board, PolledWorker, WorkerLists]:
    """Return an agent whose worker runs a task and has an end to report."""
    board = Board("agent-1", DispatchTimes())
    board.epoch = 1
    worker = PolledWorker((RunLists(1, 5, (), ()), 0.0))
    worker_lists = WorkerLists(board, worker)
    await worker_lists.handle_heartbeat(STATUS)
    board.running["task"] = RunningRun("task", 1, "", 0)
    board.ended = (EndedRun(1, "other", 1, EndCause.DONE, ""),)
    board.has_run_lists = True
    return board, worker, worker_lists


@pytest.mark.parametrize(
    ("confirmation", "outcome"),
    [
        (OtherLifetime(), HeartbeatOutcome.OTHER_LIFETIME),
        (NoAnswer("timeout"), HeartbeatOutcome.UNCONFIRMED),
        (NoWorker(), HeartbeatOutcome.UNCONFIRMED),
        (Rejected("unhealthy"), HeartbeatOutcome.UNCONFIRMED),
        (Rejected("fence"), HeartbeatOutcome.UNCONFIRMED),
    ],
)
@pytest.mark.parametrize("lifetime", [Lifetime("i-2", 9), Lifetime("i-1", 4), Lifetime("i-1", 6)])
async def test_lifetime_that_the_worker_does_not_confirm_changes_nothing(
    confirmation, outcome, lifetime
):
    """Its runs would be given up and started again elsewhere while they go on."""
    board, worker, worker_lists = await working_agent()
    worker.confirmation = confirmation
    assert await worker_lists.handle_heartbeat(STATUS._replace(lifetime=lifetime)) is outcome
    assert (board.lifetime, list(board.running), len(board.ended)) == (LIFETIME, ["task"], 1)
    assert not board.crash_by_lifetime


@pytest.mark.parametrize("lifetime", [Lifetime("i-2", 9), Lifetime("i-1", 4), Lifetime("i-1", 6)])
async def test_lifetime_that_the_worker_confirms_is_a_new_one(lifetime):
    """Also one whose start, by the time of day, is before that of the lifetime before."""
    board, _, worker_lists = await working_agent()
    status = STATUS._replace(lifetime=lifetime)
    assert await worker_lists.handle_heartbeat(status) is HeartbeatOutcome.ACCEPTED
    assert (board.lifetime, board.running, board.ended) == (lifetime, {}, ())
    assert list(board.crash_by_lifetime) == [LIFETIME]


async def test_heartbeat_of_the_known_lifetime_needs_no_confirmation():
    board, worker, worker_lists = await working_agent()
    worker.confirmation = NoAnswer("timeout")
    draining = STATUS._replace(sequence=2, is_ready=False)
    assert await worker_lists.handle_heartbeat(draining) is HeartbeatOutcome.ACCEPTED
    assert not board.worker_status.is_ready
    assert list(board.running) == ["task"]


async def test_delayed_heartbeat_does_not_bring_back_a_worker_that_is_gone():
    board, worker, worker_lists = await working_agent()
    board.is_worker_gone = True
    worker.confirmation = NoWorker()
    delayed = STATUS._replace(sequence=2)
    assert await worker_lists.handle_heartbeat(delayed) is HeartbeatOutcome.UNCONFIRMED
    assert board.is_worker_gone


@pytest.mark.parametrize(
    ("confirmation", "lifetime"),
    [(Rejected("fence"), LIFETIME), (OtherLifetime(), None), (NoAnswer("timeout"), None)],
)
async def test_new_agent_takes_no_other_worker_for_its_own(confirmation, lifetime):
    """It doesn't know the epoch yet, which a worker in use rejects, but only by its own id."""
    board = Board("agent-1", DispatchTimes())
    worker = PolledWorker((RunLists(1, 5, (), ()), 0.0))
    worker.confirmation = confirmation
    await WorkerLists(board, worker).handle_heartbeat(STATUS)
    assert board.lifetime == lifetime


@pytest.mark.parametrize("is_unused", [True, False])
async def test_agent_has_seen_the_whole_lifetime_of_an_unused_worker_and_of_the_next(is_unused):
    board = Board("agent-1", DispatchTimes())
    board.is_worker_unused = is_unused
    worker_lists = WorkerLists(board, PolledWorker((RunLists(1, 5, (), ()), 0.0)))
    await worker_lists.handle_heartbeat(STATUS)
    assert board.has_seen_whole_lifetime is is_unused
    board.record_worker_clock(1)  # as its first lists do
    await worker_lists.handle_heartbeat(STATUS._replace(lifetime=Lifetime("i-1", 6)))
    assert board.has_seen_whole_lifetime


async def test_deregistration_of_another_worker_is_not_confirmed():
    board, _, worker_lists = await working_agent()
    assert not worker_lists.handle_deregistration("i-2")
    assert board.worker_status.is_ready
    assert worker_lists.handle_deregistration("i-1")
    assert not board.worker_status.is_ready


async def test_crash_is_reported_with_the_runs_that_began_last_and_with_unanswered_starts():
    board, _, worker_lists = await working_agent()
    worker_lists.record_run_started("younger", 3, "")
    board.start_sent_at_ms[("unanswered", 2)] = steady_ms()
    await worker_lists.handle_heartbeat(STATUS._replace(lifetime=Lifetime("i-2", 9)))
    (crash,) = board.report().crashes
    begun = {(run.task, run.run): run.has_begun for run in crash.runs}
    assert begun == {("younger", 3): True, ("unanswered", 2): False, ("task", 1): True}
    younger, unanswered, older = sorted(crash.runs, key=lambda run: (run.task == "task", run.run))
    assert max(younger.since_ms, unanswered.since_ms) < 1_000 < older.since_ms


async def test_crash_dates_from_the_first_poll_that_failed():
    worker = PolledWorker(
        (RunLists(1, 5, (), ()), 0.0), (NoAnswer("reset"), 0.0), (NoWorker(), 0.1)
    )
    board = Board("agent-1", DispatchTimes())
    board.epoch = 1
    worker_lists = WorkerLists(board, worker)
    await worker_lists.handle_heartbeat(STATUS)
    await poll_until_gone(board, worker_lists)
    (crash,) = board.report().crashes
    assert crash.ago_ms >= 300  # three refused connections


async def test_crash_does_not_date_from_polls_that_the_worker_rejected():
    listed = RunLists(1, 5, (RunningRun("task", 1, "", 0),), ())
    rejections = [(Rejected("unhealthy"), 0.1)] * 2
    worker = PolledWorker((listed, 0.0), (listed, 0.0), *rejections, (NoWorker(), 0.0))
    board = Board("agent-1", DispatchTimes())
    board.epoch = 1
    worker_lists = WorkerLists(board, worker)
    await worker_lists.handle_heartbeat(STATUS)
    worker_lists.record_run_started("task", 1, "")
    await poll_until_gone(board, worker_lists)
    ((run,),) = [crash.runs for crash in board.report().crashes]
    assert run.since_ms >= 200


async def test_start_that_waited_for_a_heartbeat_may_have_just_begun():
    board, worker, worker_lists = await working_agent()
    worker.max_order_delay_ms = 4_000
    board.start_sent_at_ms[("unanswered", 2)] = steady_ms() - 3_500
    await worker_lists.handle_heartbeat(STATUS._replace(lifetime=Lifetime("i-2", 9)))
    (crash,) = board.report().crashes
    assert [run.since_ms for run in crash.runs if run.task == "unanswered"] == [0]
