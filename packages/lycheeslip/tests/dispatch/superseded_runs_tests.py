"""Runs that a worker carries out late, when their task has already been started elsewhere."""

from types import SimpleNamespace

import pytest
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import RunningRun, StopOrder
from lycheeslip_common.workload.progress import begin_runs

from .builders import add_job, dispatcher_of, leaders_board, lifetime

KEY = (0, 0, 0)


@pytest.mark.parametrize("lease_ms", [60_000, -100])
def test_superseded_run_is_stopped_once_the_lease_holds_again(lease_ms: int):
    """Also if its worker listed it while the leader's lease was in doubt, and reports no more."""
    board = leaders_board()
    dispatcher = dispatcher_of(board)
    job = add_job(board, accelerators=4)
    for node in ("n0", "n1"):
        begin_runs(job.progress, {KEY: (node, lifetime(node))}, False, wall_ms())
    posted: list[object] = []
    view = board.workers["n0"]
    view.link = SimpleNamespace(post=posted.append)
    dispatcher.handle_report("n0", view.link, view.report)
    late_run = RunningRun(job.task_name(KEY), 1, "", 1)
    board.leadership.valid_until_ms = steady_ms() + lease_ms
    dispatcher.handle_report("n0", view.link, view.report._replace(running=(late_run,)))
    board.leadership.valid_until_ms = steady_ms() + 60_000
    for _ in range(3):
        dispatcher.plan()
    assert any(isinstance(message, StopOrder) for message in posted)
