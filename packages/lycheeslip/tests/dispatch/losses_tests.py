"""Tests of the account of work that is lost with runs."""

import pytest
from lycheeslip.dispatch.losses import LossCause, loss_cause, lost_core_s, unsaved_s
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.fleet import EndCause
from lycheeslip_common.workload.progress import begin_runs

from .builders import add_job, board_with, lifetime

KEY = (0, 0, 0)
STARTED_S = 5
SAVE_MS = 1_000
CORES = 1 + 8 * 8  # one core and eight accelerators


def lost(cause: EndCause, **step) -> float:
    """Return what a run of `STARTED_S` loses that ends by `cause`."""
    job = add_job(board_with(), **step).progress
    begin_runs(job, {KEY: ("n0", lifetime("n0"))}, False, wall_ms())
    return lost_core_s(job, KEY, cause, job.tasks[KEY].started_at_ms + STARTED_S * 1_000, SAVE_MS)


@pytest.mark.parametrize(
    ("cause", "step", "seconds"),
    [
        (EndCause.DONE, {}, 0),
        (EndCause.STOPPED, {}, STARTED_S),
        (EndCause.LOST, {}, STARTED_S),
        (EndCause.STOPPED, {"checkpointing": True}, 0),
        (EndCause.LOST, {"checkpointing": True}, 1),
        (EndCause.LOST, {"long_running": True}, 0),
    ],
)
def test_lost_work_is_what_no_checkpoint_saves(cause: EndCause, step: dict, seconds: float):
    assert lost(cause, **step) == pytest.approx(seconds * CORES)


def test_members_of_a_gang_that_is_done_have_lost_nothing():
    job = add_job(board_with(), task_count=2, gang=True).progress
    begin_runs(job, {(0, 0, i): (f"n{i}", lifetime(f"n{i}")) for i in (0, 1)}, True, wall_ms())
    job.tasks[(0, 0, 1)].is_done = True
    assert lost_core_s(job, (0, 0, 1), EndCause.STOPPED, wall_ms() + 9_000, SAVE_MS) == 0


def test_a_stop_is_known_by_its_reason_and_a_lost_worker_by_its_notice():
    assert loss_cause(EndCause.STOPPED, LossCause.PREEMPTED, False) == LossCause.PREEMPTED
    assert loss_cause(EndCause.BROKEN, LossCause.RELOCATED, False) == LossCause.RELOCATED
    assert loss_cause(EndCause.BROKEN, None, False) == LossCause.BROKEN
    assert loss_cause(EndCause.STOPPED, None, False) == LossCause.STOPPED
    assert loss_cause(EndCause.LOST, None, True) == LossCause.WORKER_LEFT
    assert loss_cause(EndCause.LOST, None, False) == LossCause.WORKER_LOST


@pytest.mark.parametrize("cause", EndCause)
def test_every_end_but_done_has_a_cause(cause: EndCause):
    assert (loss_cause(cause, None, False) is None) == (cause == EndCause.DONE)


def test_a_run_that_ended_otherwise_before_its_stop_was_not_stopped():
    assert loss_cause(EndCause.FAILED, LossCause.PREEMPTED, False) == LossCause.FAILED
    assert loss_cause(EndCause.DONE, LossCause.PREEMPTED, False) is None


@pytest.mark.parametrize(("checkpoint_ms", "unsaved"), [(500, 0.5), (1_000, 1.0), (2_000, 2.0)])
def test_unsaved_work_is_bounded_by_the_interval_of_checkpoints(checkpoint_ms, unsaved):
    step = add_job(board_with(), checkpointing=True).progress.spec.steps[0]
    found = [unsaved_s(step, elapsed_s, checkpoint_ms) for elapsed_s in (0.25, 20.0)]
    assert found == [0.25, unsaved]


@pytest.mark.parametrize(("checkpoint_ms", "unsaved"), [(500, 0.5), (2_000, 2.0)])
def test_preemption_of_a_run_costs_what_the_deployment_leaves_unsaved(checkpoint_ms, unsaved):
    """Work would seem cheaper to stop than it is where tasks save less than once a second."""
    board = board_with()
    board.times = board.times._replace(checkpoint_ms=checkpoint_ms)
    job = add_job(board, checkpointing=True).progress
    begin_runs(job, {KEY: ("n0", lifetime("n0"))}, False, wall_ms() - STARTED_S * 1_000)
    (placed_run,) = build_worker_capacities(board)[0].placed_runs
    assert placed_run.loss == pytest.approx(unsaved * CORES)
