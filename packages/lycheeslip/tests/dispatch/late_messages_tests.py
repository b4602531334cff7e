"""Tests of messages that arrive late, on a link that its agent has given up for a newer one."""

import asyncio
from types import SimpleNamespace

import pytest
from lycheeslip.dispatch.board import Board, Leadership
from lycheeslip.dispatch.dispatcher import Dispatcher
from lycheeslip.dispatch.ends import RunEndProcessor
from lycheeslip.dispatch.links import LinkServer
from lycheeslip.dispatch.slices import run_at_once
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import (
    Heartbeat,
    HeartbeatReply,
    OrderResult,
    WorkerReport,
)
from lycheeslip_common.workload.link import LinkClosedError
from lycheeslip_common.workload.progress import begin_runs

from .builders import JOB, add_job, board_with, lifetime

KEY = (0, 0, 0)
NODE = "n0"
REPORT = WorkerReport(lifetime(NODE), "s", "zone", ("a", "r0"), 64_000, 256_000, 8, True, (), ())
NO_RUN = OrderResult(lifetime(NODE), f"{JOB}.0.0.0", 1, "room")


class AgentLink:
    """A link from the agent of `NODE`, on which messages arrive as the test says."""

    role, node = "agent", NODE

    def __init__(self) -> None:
        self.posted: list[object] = []
        self.is_aborted = False
        self._arriving: asyncio.Queue[object] = asyncio.Queue()

    def post(self, message: object) -> None:
        self.posted.append(message)

    def abort(self) -> None:
        self.is_aborted = True

    async def receive(self, timeout_s: float) -> object:
        message = await self._arriving.get()
        if message is None:
            raise LinkClosedError("closed by the agent")
        return message

    async def arrive(self, *messages: object) -> None:
        """Let messages arrive, the end of the connection for None, and wait until handled."""
        for message in messages:
            self._arriving.put_nowait(message)
        await asyncio.sleep(0.01)


class Leader:
    """The link server of a leader with one worker, on which a job's task is placed."""

    def __init__(self) -> None:
        self.board: Board = board_with(1)
        self.board.workers.clear()
        self.board.leadership = Leadership(1, 1, steady_ms() + 60_000, 0)
        self.board.is_loaded = True
        self.job = add_job(self.board)
        begin_runs(self.job.progress, {KEY: (NODE, lifetime(NODE))}, False, wall_ms())
        self._recorder = SimpleNamespace(schedule_write=lambda job: None)
        advisor = SimpleNamespace(begin_term=lambda: None)
        dispatcher = Dispatcher(self.board, self._recorder, advisor)
        self._links = LinkServer(self.board, dispatcher, None, None, None)
        self._tasks: list[asyncio.Task[None]] = []

    async def open_link(self) -> AgentLink:
        link = AgentLink()
        self._tasks.append(asyncio.create_task(self._links.serve(link)))
        await asyncio.sleep(0)
        return link

    def has_lost_run(self, after_ms: int) -> bool:
        """Return whether the run counts as lost after that time without another message."""
        run_stopper = SimpleNamespace(forget=lambda task, run: None)
        ends = RunEndProcessor(self.board, self._recorder, run_stopper)
        run_at_once(ends.end_lost_runs(steady_ms() + after_ms))
        return not self.job.progress.tasks[KEY].is_placed


@pytest.fixture
async def leader():
    leader = Leader()
    yield leader
    for task in leader._tasks:
        task.cancel()


async def test_late_report_on_an_older_link_does_not_replace_the_newer_link(leader: Leader):
    # Guards against runs that are started twice: the leader lost the link of a worker at work.
    older = await leader.open_link()
    await older.arrive(Heartbeat(1, 1), REPORT)
    newer = await leader.open_link()
    await newer.arrive(Heartbeat(2, 1), REPORT)
    await older.arrive(REPORT, None)
    assert leader.board.workers[NODE].link is newer
    assert older.is_aborted
    assert not newer.is_aborted


async def test_late_order_result_on_an_older_link_is_dropped(leader: Leader):
    # Guards against runs that are started twice: the newer link may have got the order again.
    older = await leader.open_link()
    await older.arrive(REPORT)
    newer = await leader.open_link()
    await newer.arrive(REPORT)
    await older.arrive(NO_RUN)
    assert leader.job.progress.tasks[KEY].is_placed
    await newer.arrive(NO_RUN)
    assert not leader.job.progress.tasks[KEY].is_placed


async def test_late_heartbeat_on_an_older_link_is_not_answered(leader: Leader):
    # Guards against leases that are extended on a link that the leader doesn't take into account.
    older = await leader.open_link()
    await older.arrive(REPORT)
    newer = await leader.open_link()
    await newer.arrive(REPORT)
    await older.arrive(Heartbeat(1, 1))
    assert not any(isinstance(message, HeartbeatReply) for message in older.posted)


async def test_late_opening_of_a_link_leaves_the_link_in_use(leader: Leader):
    # Guards against a lost link: the agent may have given up a link before the leader accepts it.
    in_use = await leader.open_link()
    await in_use.arrive(REPORT)
    given_up = await leader.open_link()
    await in_use.arrive(REPORT)
    await given_up.arrive(None)
    assert leader.board.workers[NODE].link is in_use


@pytest.mark.parametrize("is_known", [False, True])
async def test_lease_extended_before_the_first_report_counts(leader: Leader, is_known: bool):
    # Guards against runs that are started twice: a link may end between heartbeat and report.
    times = leader.board.times
    if is_known:
        older = await leader.open_link()
        await older.arrive(REPORT, None)
        leader.board.workers[NODE].heard_at_ms -= times.run_lease_ms
    newer = await leader.open_link()
    await newer.arrive(Heartbeat(1, 1), None)
    assert not leader.has_lost_run(after_ms=times.run_lease_ms)
    assert leader.has_lost_run(after_ms=times.run_lease_ms * 2)


async def test_agent_that_never_reports_gets_no_lease_without_end(leader: Leader):
    # Guards against jobs that never run again: the worker of such an agent may be gone for good.
    leader.board.times = leader.board.times._replace(link_timeout_ms=100)
    link = await leader.open_link()
    await link.arrive(Heartbeat(7, 1))
    await asyncio.sleep(0.15)
    await link.arrive(Heartbeat(8, 1))
    answers = [message for message in link.posted if isinstance(message, HeartbeatReply)]
    assert [(answer.sent_ms, answer.is_leader) for answer in answers] == [(7, True), (0, True)]
