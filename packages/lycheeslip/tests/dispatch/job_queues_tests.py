"""Tests of which queue an accepted job belongs to after a change of the configuration."""

import pytest
from lycheeslip.dispatch.advice import Advisor
from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.objective import Objectives
from lycheeslip.dispatch.placement_model import Advice
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.workload.jobs import JobSpec
from lycheeslip_common.workload.operator import AdviceTiming, Queue
from lycheeslip_common.workload.progress import decode_spec, encode_spec

from .builders import JOB, add_job, board_with

ADVICE = AdviceTiming(20, 1)


def _board_with_job() -> Board:
    """Return a board with a job that was accepted by its only queue, which needs advice."""
    board = board_with(1, ADVICE)
    job = add_job(board)
    queue = board.config.queues[0]
    job.progress.spec = job.progress.spec._replace(host=queue.host, prefix=queue.prefix)
    return board


def _spec(board: Board) -> JobSpec:
    return board.jobs[JOB].progress.spec


def _replace_queues(board: Board, *queues: Queue) -> None:
    board.config = board.config._replace(version=2, queues=queues)


def test_queue_of_another_name_at_the_same_url_takes_the_jobs_over():
    # Guards against jobs that wait for ever, without the ticket that their queue needs, and that
    # are planned as if they had no latency objective.
    board = _board_with_job()
    slack_ms = Objectives(board).step_times(board.jobs[JOB], 0, 0).slack_ms
    queue = board.config.queues[0]._replace(name="q-new")
    _replace_queues(board, queue, queue._replace(name="q-other", prefix="/o/"))
    assert board.queue_of(_spec(board)) == queue
    assert Advisor(board, None)._advice_timing((JOB, 0, 0)) == ADVICE
    assert Objectives(board).step_times(board.jobs[JOB], 0, 0).slack_ms == slack_ms > 0
    (unit,) = build_units(board, [], {})
    assert isinstance(unit.advice, Advice)
    assert unit.service == "s"


def test_queue_keeps_its_jobs_under_another_url():
    board = _board_with_job()
    queue = board.config.queues[0]
    moved, other = queue._replace(prefix="/moved/"), queue._replace(name="q-other")
    _replace_queues(board, other, moved)
    assert board.queue_of(_spec(board)) == moved


@pytest.mark.parametrize("is_replaced", [True, False])
def test_job_keeps_its_service_once_its_queue_was_removed(is_replaced: bool):
    # Guards against starts on workers that its queue was never sent to.
    board = _board_with_job()
    queue = board.config.queues[0]._replace(name="q-new", service="s-new")
    _replace_queues(board, *([queue] if is_replaced else []))
    assert board.service_of(_spec(board)) == "s"


def test_record_of_an_earlier_version_belongs_to_the_queue_of_its_name_only():
    board = _board_with_job()
    old = _spec(board)._replace(host="", prefix="")
    assert board.queue_of(old) == board.config.queues[0]
    _replace_queues(board, board.config.queues[0]._replace(name="q-new"))
    assert board.queue_of(old) is None


def test_record_keeps_the_url_of_its_queue():
    board = _board_with_job()
    assert decode_spec(encode_spec(_spec(board))) == _spec(board)
