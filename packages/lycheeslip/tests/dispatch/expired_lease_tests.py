"""Tests of a leader that was paused until its lease had run out and doesn't know of a successor."""

import asyncio
from types import SimpleNamespace

import pytest
from lycheeslip.dispatch.board import Board, Leadership
from lycheeslip.dispatch.dispatcher import Dispatcher
from lycheeslip.dispatch.links import LinkServer
from lycheeslip.dispatch.losses import LossCause
from lycheeslip.dispatch.slices import run_at_once
from lycheeslip.dispatch.stops import RunStopper
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import Redirect
from lycheeslip_common.workload.progress import begin_runs

from .builders import JOB, add_job, board_with, lifetime

KEY = (0, 0, 0)
VALIDITIES = pytest.mark.parametrize(("valid_for_ms", "acts"), [(1_000, True), (-1, False)])


class AgentLink:
    """An agent's link, on which the term ends with the first message."""

    role, node = "agent", "n9"

    def __init__(self, board: Board) -> None:
        self.posted: list[object] = []
        self.is_served = False
        self._board = board

    def post(self, message: object) -> None:
        self.posted.append(message)

    async def receive(self, timeout_s: float) -> object:
        self.is_served, self._board.leadership = True, None
        return None


def board_of_leader(valid_for_ms: int) -> tuple[Board, list[object]]:
    """Return a leader's board with one worker, and the messages that this gets."""
    board, sent = board_with(1), []
    board.leadership = Leadership(1, 1, steady_ms() + valid_for_ms, 0)
    board.workers["n0"].link = SimpleNamespace(post=sent.append)
    board.confirmed_at_ms = steady_ms()
    board.is_loaded = True
    return board, sent


@VALIDITIES
def test_no_run_is_stopped_once_the_lease_has_run_out(valid_for_ms: int, acts: bool):
    board, sent = board_of_leader(valid_for_ms)
    job = add_job(board)
    begin_runs(job.progress, {KEY: ("n0", lifetime("n0"))}, False, wall_ms())
    job.stopping[(job.task_name(KEY), 1)] = LossCause.PREEMPTED
    run_at_once(RunStopper(board).stop_obsolete())
    assert len(sent) == acts


@VALIDITIES
def test_nothing_is_placed_once_the_lease_has_run_out(valid_for_ms: int, acts: bool):
    board, _ = board_of_leader(valid_for_ms)
    add_job(board, checkpointing=True)
    recorder = SimpleNamespace(schedule_write=lambda job: None)
    advisor = SimpleNamespace(begin_term=lambda: None, replace_requests=lambda requests: None)
    dispatcher = Dispatcher(board, recorder, advisor)
    dispatcher.plan()
    assert board.jobs[JOB].progress.tasks[KEY].is_placed == acts


@VALIDITIES
def test_agent_that_connects_is_not_served_once_the_lease_has_run_out(
    valid_for_ms: int, acts: bool
):
    board, _ = board_of_leader(valid_for_ms)
    link = AgentLink(board)
    asyncio.run(LinkServer(board, None, None, None, None).serve(link))
    assert isinstance(link.posted[0], Redirect)
    assert link.is_served == acts
