"""Computes run times and latency objectives of jobs, from declarations and measurements.

A job's objective covers its longest chain of steps. A step that is wide for its service counts in
waves, since callers don't expect such a step to get the whole service at once.
"""

import math
from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.jobs import Demand, StepSpec, demand_of
from lycheeslip_common.workload.operator import Queue
from lycheeslip_common.workload.progress import unit_members

from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip.dispatch.placement_model import StepKey
from lycheeslip.dispatch.run_samples import estimated_run_ms

__all__ = ["Objectives", "StepTimes", "expected_run_ms", "waiting_since_ms"]

WAVE_RATIO = 0.25  # of its service's capacity; a step that needs more counts in waves of that size
SHOW_MS = 150  # from the end of a run until it is recorded and a caller asks for the state
LATE_LIMIT_RATIO = 3  # multiple of a job's latency objective up to which a late result has value


class JobTimes(NamedTuple):
    """Times of a job in ms: its objective, and by step number a run and the steps that follow it.

    `tails_ms` are the longest chains of steps from after a step to the end of the job.
    """

    objective_ms: float
    run_ms: list[float]
    tails_ms: list[float]


class StepTimes(NamedTuple):
    """Times of a step in ms, the slack counted from when callers began to wait for the job.

    If the step's waiting tasks start within `slack_ms` the job meets its latency objective. Within
    `late_slack_ms` its result is late, but still of value. A run of the step takes `run_ms`;
    `run_slack_ms` is the slack without the time that a wide step gets for its waves.
    """

    run_ms: float
    slack_ms: float
    late_slack_ms: float
    run_slack_ms: float


def waiting_since_ms(job: StoredJob, occurrence: int) -> int:
    """Return since when callers wait for an occurrence, in Unix ms by this entry's present clock.

    A job's age is kept on the steady clock, so that a step of the wall clock doesn't change it.
    """
    age_ms = steady_ms() - job.loaded_at_ms + job.age_at_load_ms
    return max(wall_ms() - age_ms, job.progress.spec.due_at_ms(occurrence))


def expected_run_ms(board: Board, job: StoredJob, step: int) -> float:
    """Return the run time of a step's tasks: as measured, else as estimated or declared."""
    measured_ms = job.run_times.median(step)
    return float(estimated_run_ms(board, job, step) if measured_ms is None else measured_ms)


class Objectives:
    """The latency objectives of all jobs in one planning round."""

    def __init__(self, board: Board) -> None:
        """Use the configuration, the workers and the run times that `board` holds now."""
        self._board = board
        # with only some of the workers known, every step would seem wide
        self._capacity_by_service = _capacity_by_service(board) if board.is_view_complete else {}
        self._times_by_step: dict[StepKey, StepTimes] = {}
        self._times_by_job: dict[str, JobTimes] = {}

    def step_times(self, job: StoredJob, occurrence: int, step: int) -> StepTimes:
        """Return the times of a step; a long-running step or one without a queue has no slack."""
        key = (job.progress.spec.job_id, occurrence, step)
        if key not in self._times_by_step:
            self._times_by_step[key] = self._step_times(job, occurrence, step)
        return self._times_by_step[key]

    def _step_times(self, job: StoredJob, occurrence: int, step: int) -> StepTimes:
        spec = job.progress.spec
        queue = self._board.queue_of(spec)
        objective_ms, all_run_ms, tails_ms = self._job_times(job, queue)
        run_ms = all_run_ms[step]
        if queue is None or spec.steps[step].long_running:
            return StepTimes(run_ms, 0.0, 0.0, 0.0)
        capacity = self._capacity_by_service.get(self._board.service_of(spec))
        members = unit_members(job.progress, occurrence, step)
        unfinished = sum(not job.progress.tasks[key].is_done for key in members)
        waves = math.ceil(_waves(spec.steps[step], unfinished, capacity))
        rest_ms = run_ms * waves + tails_ms[step] + SHOW_MS
        # whole waves of a few tasks may exceed the share of them that the objective counts
        run_slack_ms = (queue.stretch - 1) * run_ms + queue.objective_ms - SHOW_MS
        slack_ms = max(objective_ms - rest_ms, run_slack_ms)
        late_slack_ms = slack_ms + (LATE_LIMIT_RATIO - 1) * objective_ms
        return StepTimes(run_ms, slack_ms, late_slack_ms, run_slack_ms)

    def _job_times(self, job: StoredJob, queue: Queue | None) -> JobTimes:
        """Return the times of a job, computed once for all of its steps."""
        spec = job.progress.spec
        known = self._times_by_job.get(spec.job_id)
        if known is not None:
            return known
        run_ms = [expected_run_ms(self._board, job, number) for number in range(len(spec.steps))]
        service = self._board.service_of(spec)
        capacity = self._capacity_by_service.get(service) if queue else None
        lengths_ms = [
            run_ms[i] * _waves(step, step.task_count, capacity) for i, step in enumerate(spec.steps)
        ]
        tails_ms = _tails_ms(job, lengths_ms)
        longest_ms = max(a + b for a, b in zip(lengths_ms, tails_ms, strict=True))
        objective_ms = queue.stretch * longest_ms + queue.objective_ms if queue else 0.0
        times = self._times_by_job[spec.job_id] = JobTimes(objective_ms, run_ms, tails_ms)
        return times


def _capacity_by_service(board: Board) -> dict[str, Demand]:
    result: dict[str, Demand] = {}
    for view in board.workers.values():
        report = view.report
        if view.lifetime is not None:
            total = result.get(report.service, Demand(0, 0, 0))
            worker = Demand(report.cpu_milli, report.memory_mb, report.accelerators)
            result[report.service] = Demand(*(a + b for a, b in zip(total, worker, strict=True)))
    return result


def _waves(step: StepSpec, tasks: int, capacity: Demand | None) -> float:
    """Return in how many waves `tasks` tasks of a step run: at least 1, and 1 for a gang."""
    if capacity is None or step.gang:
        return 1.0
    demand = demand_of(step)
    shares = [a * tasks / b for a, b in zip(demand, capacity, strict=True) if b]
    return max(1.0, min(tasks, max(shares, default=0.0) / WAVE_RATIO))


def _tails_ms(job: StoredJob, lengths_ms: list[float]) -> list[float]:
    """Return the longest chain of the steps that follow each step; steps follow earlier ones."""
    steps = job.progress.spec.steps
    tails_ms = [0.0] * len(steps)
    for later in range(len(steps) - 1, -1, -1):
        chain_ms = lengths_ms[later] + tails_ms[later]
        for earlier in steps[later].after:
            tails_ms[earlier] = max(tails_ms[earlier], chain_ms)
    return tails_ms
