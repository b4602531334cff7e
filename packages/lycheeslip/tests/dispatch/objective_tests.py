"""Tests of run times and latency objectives."""

from statistics import median_low

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lycheeslip.dispatch import objective
from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip.dispatch.objective import (
    SHOW_MS,
    Objectives,
    StepTimes,
    expected_run_ms,
    waiting_since_ms,
)
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip.dispatch.run_times import RunTimes
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.jobs import StepSpec
from lycheeslip_common.workload.progress import JobProgress, begin_runs, open_occurrences

from .builders import JOB, add_job, board_with, lifetime

RUN_MS = 1_000
OBJECTIVE_MS = 250 + SHOW_MS


def board_for_urgent_work(nodes: int = 4) -> Board:
    board = board_with(nodes)
    queue = board.config.queues[0]._replace(stretch=1.5, objective_ms=OBJECTIVE_MS)
    board.config = board.config._replace(queues=(queue,))
    return board


def times_of(board: Board, job: StoredJob, step: int = 0) -> StepTimes:
    return Objectives(board).step_times(job, 0, step)


def set_steps(job: StoredJob, *steps: StepSpec) -> None:
    job.progress = JobProgress(job.progress.spec._replace(steps=steps))
    open_occurrences(job.progress, wall_ms())


def test_declared_run_time_is_not_used_once_runs_are_measured():
    board = board_for_urgent_work()
    job = add_job(board, task_count=3, estimate_ms=200)
    assert expected_run_ms(board, job, 0) == 200
    for index, run_ms in enumerate((6_000, 1_100, 1_000)):
        job.run_times.record((0, 0, index), run_ms)
    assert expected_run_ms(board, job, 0) == 1_100


@given(st.lists(st.tuples(st.integers(0, 1), st.integers(0, 3), st.integers(1, 9))))
def test_run_time_of_a_step_is_the_lower_median_of_the_last_ones_of_its_tasks(measured):
    run_times, last = RunTimes(), {}
    for step, index, run_ms in measured:
        run_times.record((0, step, index), run_ms)
        last[(step, index)] = run_ms
    for step in (0, 1):
        of_step = [run_ms for key, run_ms in last.items() if key[0] == step]
        assert run_times.median(step) == (median_low(of_step) if of_step else None)


@pytest.mark.parametrize(("tasks", "waves"), [(1, 1), (2, 2), (4, 4)])
def test_wide_step_does_not_count_as_late_before_its_waves_are_over(tasks: int, waves: int):
    board = board_for_urgent_work()  # a task needs a quarter of it
    job = add_job(board, task_count=tasks, estimate_ms=RUN_MS)
    assert times_of(board, job).slack_ms == 0.5 * waves * RUN_MS + 250


@pytest.mark.parametrize(("nodes", "tasks"), [(7, 2), (11, 3)])
def test_step_of_little_more_than_a_wave_is_not_late_from_the_start(nodes: int, tasks: int):
    board = board_for_urgent_work(nodes)
    job = add_job(board, task_count=tasks, estimate_ms=RUN_MS)
    assert times_of(board, job).slack_ms >= 0.5 * RUN_MS + 250


def test_step_does_not_seem_wide_while_few_workers_are_known():
    board = board_for_urgent_work(1)
    job = add_job(board, task_count=3, estimate_ms=RUN_MS)
    assert times_of(board, job).slack_ms == 0.5 * 3 * RUN_MS + 250
    board.is_view_complete = False
    assert times_of(board, job).slack_ms == 0.5 * RUN_MS + 250


def test_wide_gang_starts_at_once_and_has_no_waves():
    board = board_for_urgent_work()
    job = add_job(board, task_count=4, estimate_ms=RUN_MS, gang=True)
    assert times_of(board, job).slack_ms == 0.5 * RUN_MS + 250


def test_last_tasks_of_a_wide_step_may_start_later():
    board = board_for_urgent_work()
    job = add_job(board, task_count=4, estimate_ms=RUN_MS)
    for index in range(3):
        job.progress.tasks[(0, 0, index)].is_done = True
    assert times_of(board, job).slack_ms == 1.5 * 4 * RUN_MS + 250 - RUN_MS


def test_second_step_does_not_count_as_late_when_the_first_one_is_done():
    board = board_for_urgent_work()
    job = add_job(board)
    first = StepSpec(1, 1_000, 1_000, 1, 4 * RUN_MS)
    second = StepSpec(1, 1_000, 1_000, 1, RUN_MS, after=(0,))
    set_steps(job, first, second)
    assert times_of(board, job, 0).slack_ms == 0.5 * 5 * RUN_MS + 250
    assert times_of(board, job, 1).slack_ms == 1.5 * 5 * RUN_MS + 250 - RUN_MS


def test_bulk_work_of_a_second_step_does_not_take_the_reserve_at_once():
    board = board_with()
    job = add_job(board, waited_ms=30_000)
    set_steps(
        job, StepSpec(1, 1_000, 1_000, 1, 20_000), StepSpec(8, 1_000, 1_000, 1, 5_000, after=(0,))
    )
    job.progress.tasks[(0, 0, 0)].is_done = True
    units = build_units(board, build_worker_capacities(board), {})
    assert len(units) == 8
    assert all(unit.may_wait for unit in units)


@pytest.mark.parametrize("step_ms", [-5_000, 5_000])
def test_step_of_the_clock_does_not_change_how_long_a_job_has_waited(
    monkeypatch: pytest.MonkeyPatch, step_ms: int
):
    board = board_for_urgent_work()
    job = add_job(board, waited_ms=400, estimate_ms=RUN_MS)
    stepped_ms = wall_ms() + step_ms
    monkeypatch.setattr(objective, "wall_ms", lambda: stepped_ms)
    assert abs(stepped_ms - waiting_since_ms(job, 0) - 400) < 100
    assert board.jobs[JOB] is job


def test_run_of_a_wide_step_does_not_give_way_by_the_slack_of_its_waves():
    board = board_for_urgent_work()
    job = add_job(board, task_count=4, priority=0, estimate_ms=RUN_MS)
    placement = {(0, 0, n): (f"n{n}", lifetime(f"n{n}")) for n in range(4)}
    begin_runs(job.progress, placement, False, wall_ms())
    since_ms = waiting_since_ms(job, 0)
    for worker in build_worker_capacities(board):
        (placed_run,) = worker.placed_runs
        assert abs(placed_run.latest_start_ms - since_ms - 0.5 * RUN_MS - 250) < 50
