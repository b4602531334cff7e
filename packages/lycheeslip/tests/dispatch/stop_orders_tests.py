"""Tests of when a leader sends the stop of a run that has to end, and when it repeats that."""

from types import SimpleNamespace

from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.slices import run_at_once
from lycheeslip.dispatch.stops import RunStopper
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.fleet import StopOrder
from lycheeslip_common.workload.progress import begin_runs, cancel

from .builders import add_job, leaders_board, lifetime

NODE = "n0"


def _board_with_cancelled_run() -> Board:
    board = leaders_board()
    board.workers[NODE].link = None
    job = add_job(board)
    begin_runs(job.progress, {(0, 0, 0): (NODE, lifetime(NODE))}, False, wall_ms())
    assert cancel(job.progress, wall_ms())
    return board


def _link(board: Board) -> list[object]:
    """Open a new link to the agent of `NODE`; return what is sent over it."""
    sent: list[object] = []
    board.workers[NODE].link = SimpleNamespace(post=sent.append)
    return sent


def test_stop_that_found_no_link_is_sent_once_the_agent_connects():
    # Guards against cancelled runs that go on for a second after an election: the first round, in
    # which no agent had connected yet, counted as the order.
    board = _board_with_cancelled_run()
    run_stopper = RunStopper(board)
    run_at_once(run_stopper.stop_obsolete())
    sent = _link(board)
    run_at_once(run_stopper.stop_obsolete())
    assert [type(message) for message in sent] == [StopOrder]


def test_stop_is_repeated_at_once_on_a_new_link_and_not_on_the_same():
    # Guards against stops that are lost with their link.
    board = _board_with_cancelled_run()
    run_stopper = RunStopper(board)
    for _ in range(2):
        sent = _link(board)
        run_at_once(run_stopper.stop_obsolete())
        run_at_once(run_stopper.stop_obsolete())
        assert [type(message) for message in sent] == [StopOrder]
