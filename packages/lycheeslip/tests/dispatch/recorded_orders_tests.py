"""Tests of the start orders of recorded runs: those that a leader has loaded or written itself."""

from types import SimpleNamespace

import pytest
from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip.dispatch.losses import LossCause
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip.dispatch.starts import RunStarter
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.fleet import EndCause, RunTraits, StartOrder
from lycheeslip_common.workload.progress import (
    CRASHES_WORKERS,
    JobState,
    apply_end,
    begin_runs,
    cancel,
)

from .builders import JOB, add_job, leaders_board, lifetime

NODE = "n0"
KEY, OTHER_KEY = (0, 0, 0), (0, 0, 1)
GANG_STEP = {"task_count": 2, "gang": True, "target_ms": 50}


def _cancel(job: StoredJob) -> None:
    assert cancel(job.progress, wall_ms())


def _fail(job: StoredJob) -> None:
    job.progress.tasks[OTHER_KEY].failures = job.progress.spec.attempts - 1
    assert apply_end(job.progress, OTHER_KEY, 1, EndCause.FAILED, "", wall_ms())
    assert job.progress.state is JobState.FAILED


def _give_up(job: StoredJob) -> None:
    job.progress.state, job.progress.reason = JobState.FAILED, CRASHES_WORKERS


def _stop(job: StoredJob) -> None:
    job.stopping[(job.task_name(KEY), 1)] = LossCause.PREEMPTED


def _lose_member(job: StoredJob) -> None:
    assert apply_end(job.progress, OTHER_KEY, 1, EndCause.LOST, "", wall_ms())


def _finish_member(job: StoredJob) -> None:
    assert apply_end(job.progress, OTHER_KEY, 1, EndCause.DONE, "", wall_ms())


def _place(board: Board, step: dict[str, object]) -> StoredJob:
    """Add a job of two tasks, with a run of each on another worker."""
    job = add_job(board, **step)
    placement = {key: (f"n{key[2]}", lifetime(f"n{key[2]}")) for key in (KEY, OTHER_KEY)}
    begin_runs(job.progress, placement, bool(step.get("gang")), wall_ms())
    return job


class Starts:
    """The run starter of a leader, and what it sends to the agent of `NODE`."""

    def __init__(self, board: Board) -> None:
        self.sent: list[object] = []
        self._view = board.workers[NODE]
        self._view.link = SimpleNamespace(post=self.sent.append)
        self.run_starter = RunStarter(board, SimpleNamespace(schedule_write=lambda job: None))

    def connect(self) -> list[object]:
        """Return what is sent when the agent connects and lists no run."""
        self.run_starter.resend(self._view, self._view.report)
        return self.sent


@pytest.mark.parametrize("step", [{"task_count": 2, "target_ms": 50}, GANG_STEP])
def test_recorded_start_that_an_agent_does_not_list_is_ordered_again(step: dict[str, object]):
    board = leaders_board()
    _place(board, step)
    sent = Starts(board).connect()
    assert [type(message) for message in sent] == [RunTraits, StartOrder]
    assert sent[1].task == f"{JOB}.0.0.0"


@pytest.mark.parametrize("end", [_cancel, _fail, _give_up, _stop])
def test_run_that_has_ended_since_its_record_is_not_ordered_again(end):
    # Guards against starts of cancelled jobs: each leader ordered again what it had loaded.
    board = leaders_board()
    end(_place(board, {"task_count": 2, "target_ms": 50}))
    assert Starts(board).connect() == []


@pytest.mark.parametrize("end", [_lose_member, _finish_member])
def test_member_of_a_gang_that_is_not_whole_is_not_ordered_again(end):
    # Guards against members that wait alone, and against a second run of a gang that is done.
    board = leaders_board()
    end(_place(board, GANG_STEP))
    assert Starts(board).connect() == []


@pytest.mark.parametrize(
    ("end", "is_ordered"), [(lambda job: None, True), (_cancel, False), (_stop, False)]
)
def test_run_that_has_to_stop_before_its_record_is_written_is_not_ordered(end, is_ordered: bool):
    # Guards against starts that are sent after the stop of the same run.
    board = leaders_board()
    job, starts = add_job(board), Starts(board)
    workers = build_worker_capacities(board)
    (unit,) = build_units(board, workers, {})
    starts.run_starter.start_unit(unit, [worker for worker in workers if worker.node == NODE])
    end(job)
    starts.run_starter.send_recorded_orders([JOB])
    assert len(starts.sent) == is_ordered
