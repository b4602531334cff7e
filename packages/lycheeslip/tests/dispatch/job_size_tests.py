"""Tests of how the work of a planning round grows with the size of a job."""

from collections import Counter

from lycheeslip.dispatch import objective
from lycheeslip.dispatch.placement import plan_round
from lycheeslip.dispatch.slices import run_at_once
from lycheeslip.dispatch.stops import RunStopper
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import RunningRun
from lycheeslip_common.workload.jobs import MAX_TASKS, StepSpec
from lycheeslip_common.workload.progress import (
    begin_runs,
    decode_progress,
    encode_progress,
    waiting_units,
)

from .builders import JOB, board_with, dispatcher_of, job_of, leaders_board, lifetime, unit, worker

STEPS = 200
STEP = StepSpec(1, 1_000, 1_000, 1, 60_000)


class CountedTasks(dict):
    """The tasks of a job, which counts how often one is looked up."""

    lookups = 0

    def __getitem__(self, key: object) -> object:
        self.lookups += 1
        return super().__getitem__(key)


def test_round_looks_at_each_step_a_few_times_however_many_there_are(monkeypatch):
    # Guards against rounds that take time with the square of a job's steps and outlast the lease.
    counted: Counter[str] = Counter()

    def waves(*arguments: object) -> float:
        counted["steps"] += 1
        return 1.0

    monkeypatch.setattr(objective, "_waves", waves)
    board = leaders_board()
    board.jobs[JOB] = job_of((STEP,) * STEPS)
    dispatcher_of(board).plan()
    assert 0 < counted["steps"] <= 6 * STEPS


def test_steps_after_a_wide_one_do_not_look_at_all_of_its_tasks_each():
    # Guards against rounds that take time with the product of a job's steps and tasks.
    job = job_of((STEP._replace(task_count=STEPS), *(STEP._replace(after=(0, 0)),) * STEPS))
    for key, task in job.progress.tasks.items():
        task.is_done = key[1] == 0
    job.progress.tasks = CountedTasks(job.progress.tasks)
    assert len(list(waiting_units(job.progress))) == STEPS
    assert job.progress.tasks.lookups <= 4 * STEPS


def test_placed_members_of_a_wide_gang_are_not_each_compared_with_all_others():
    # Guards against rounds that take time with the square of a gang's size.
    board = leaders_board()
    job = board.jobs[JOB] = job_of((STEP._replace(task_count=STEPS, gang=True),))
    placement = dict.fromkeys(job.progress.tasks, ("n0", lifetime("n0")))
    begin_runs(job.progress, placement, True, wall_ms())
    job.progress.tasks = CountedTasks(job.progress.tasks)
    run_at_once(RunStopper(board).stop_obsolete())
    assert job.progress.tasks.lookups <= 4 * STEPS


def test_repeated_steps_without_tasks_cost_nothing():
    # Guards against a small body whose steps and occurrences multiply to millions.
    empty = StepSpec(0, 1_000, 1_000, 1, 60_000)
    steps = (STEP, *(empty,) * 20_000)
    began_at_ms = steady_ms()
    job = job_of(steps, occurrences=5_000)
    assert len(list(waiting_units(job.progress))) == 5_000
    decoded = decode_progress(job.progress.spec, encode_progress(job.progress))
    assert decoded == job.progress
    assert steady_ms() - began_at_ms < board_with().times.leader_lease_ms


def test_blocked_tasks_of_other_steps_are_not_tried_again_one_by_one(monkeypatch):
    # Guards against rounds that take time with the product of waiting steps and workers.
    tried: Counter[str] = Counter()
    choose = plan_round.__globals__["choose_workers"]

    def counting(*arguments: object) -> object:
        tried["units"] += 1
        return choose(*arguments)

    monkeypatch.setitem(plan_round.__globals__, "choose_workers", counting)
    units = [unit(step=step, accelerators=8) for step in range(STEPS)]
    other = unit("small", accelerators=1, waiting_since_ms=1)
    plan = plan_round([*units, other], [worker("n1", free=4)])
    assert [started.job_id for started, _ in plan.starts] == ["small"]
    assert len(plan.blocked) == STEPS
    assert tried["units"] <= 3


def test_report_of_many_measured_runs_takes_less_than_the_lease():
    # Guards against reports that take time with the square of a job's tasks and hold up the lease.
    board = leaders_board()
    tasks = MAX_TASKS
    job = board.jobs[JOB] = job_of((STEP._replace(task_count=tasks),))
    begin_runs(
        job.progress, dict.fromkeys(job.progress.tasks, ("n0", lifetime("n0"))), False, wall_ms()
    )
    running = tuple(
        RunningRun(job.task_name(key), 1, "", 10, 0, 50_000, 60_000 + number)
        for number, key in enumerate(job.progress.tasks)
    )
    view = board.workers["n0"]
    began_at_ms = steady_ms()
    dispatcher_of(board).handle_report("n0", view.link, view.report._replace(running=running))
    assert steady_ms() - began_at_ms < board.times.leader_lease_ms
    assert job.run_times.median(0) == 60_000 + (tasks - 1) // 2
