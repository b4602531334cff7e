"""Computes the free capacity and the placed runs of each worker for a planning round."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.jobs import Demand, StepSpec, demand_of, format_task_name
from lycheeslip_common.workload.progress import EARLY_CRASH_MS, TaskKey

from lycheeslip.dispatch.board import Board, StoredJob, WorkerView
from lycheeslip.dispatch.departures import is_exposed
from lycheeslip.dispatch.isolation import must_run_isolated
from lycheeslip.dispatch.losses import unsaved_s
from lycheeslip.dispatch.objective import Objectives, waiting_since_ms
from lycheeslip.dispatch.placement_model import (
    URGENT_PRIORITY,
    PlacedRun,
    StepKey,
    WorkerCapacity,
    cores_of,
)
from lycheeslip.dispatch.work import (
    MAX_OVERRUN_RATIO,
    guaranteed_accounts,
    is_costly_to_stop,
    is_guaranteed,
)

__all__ = ["FAILURE_MEMORY_MS", "build_worker_capacities"]

MAX_COUNTED_FAILURES = 3
QUARANTINE_FAILURES = 2  # in a row; 1 in 50 runs fails on a healthy worker, most on a failing one
QUARANTINE_MS = 6_000  # a failing worker is retried after this; such faults last 5 to 7 s
FAILURE_MEMORY_MS = 10_000  # past this a failed run says nothing about its worker any more
SPEED_STEP = 0.1  # in logarithms; workers that differ by less are packed as if they were alike
RECENT_CRASH_MS = 10_000  # a crash this recent counts as a failure; some workers keep crashing


def build_worker_capacities(board: Board) -> list[WorkerCapacity]:
    """Return all workers that may start tasks, with free capacity and placed runs."""
    placed_runs = _placed_runs_by_lifetime(board)
    workers = []
    for view in board.workers.values():
        if view.link is None or view.lifetime is None:
            continue
        worker = _worker_capacity(board, view, view.lifetime)
        for placed_run in placed_runs.get(view.lifetime, []):
            worker.add_placed_run(placed_run)
        listed = {(run.task, run.run) for run in view.report.running}
        worker.starting = sum((run.task, run.run) not in listed for run in worker.placed_runs)
        _allocate_unrecorded_runs(board, view, worker)
        is_in_service = view.report.is_ready and view.report.zone not in board.evacuated_zones
        if is_in_service and steady_ms() >= view.backoff_until_ms:
            workers.append(worker)
    return _exclude_failing(board, workers)


def _exclude_failing(board: Board, workers: list[WorkerCapacity]) -> list[WorkerCapacity]:
    """Exclude workers whose recent runs failed, unless those are most of a service."""
    now = steady_ms()
    views = {worker.node: board.workers[worker.node] for worker in workers}
    is_failing = {
        worker.node: views[worker.node].failures >= QUARANTINE_FAILURES
        and now - views[worker.node].last_failure_at_ms <= QUARANTINE_MS
        for worker in workers
    }
    total = Counter(worker.service for worker in workers)
    failing = Counter(worker.service for worker in workers if is_failing[worker.node])
    return [
        worker
        for worker in workers
        if not is_failing[worker.node] or 2 * failing[worker.service] > total[worker.service]
    ]


def _worker_capacity(board: Board, view: WorkerView, lifetime: Lifetime) -> WorkerCapacity:
    report = view.report
    departures = board.departures_by_service.get(report.service)
    has_crashed_recently = (
        view.lost_lifetime_at_ms and steady_ms() - view.lost_lifetime_at_ms < RECENT_CRASH_MS
    )
    total = Demand(report.cpu_milli, report.memory_mb, report.accelerators)
    return WorkerCapacity(
        view.node,
        lifetime,
        report.service,
        report.zone,
        report.labels[-1] if report.labels else "",
        frozenset(report.labels),
        total,
        *total,
        failures=min(view.failures + bool(has_crashed_recently), MAX_COUNTED_FAILURES),
        is_slow=steady_ms() < view.slow_until_ms,
        is_suspect=_is_suspect(view),
        is_exposed=is_exposed(departures, lifetime.born_ms),
        slowness=round(-math.log(board.history.worker_speed(lifetime.worker_id)) / SPEED_STEP),
    )


def _is_suspect(view: WorkerView) -> bool:
    """Return whether the last run that tells of the worker's health failed a short while ago."""
    is_recent = steady_ms() - view.last_failure_at_ms <= FAILURE_MEMORY_MS
    return view.failures > 0 and is_recent


class StepTraits(NamedTuple):
    """What all placed runs of a step have in common; costs in core-seconds, times in ms."""

    key: StepKey
    step: StepSpec
    demand: Demand
    cores: float
    run_ms: float
    latest_start_ms: float
    delay_cost: float
    is_guaranteed: bool
    is_costly_to_stop: bool


def _placed_runs_by_lifetime(board: Board) -> dict[Lifetime, list[PlacedRun]]:
    now_ms = wall_ms()
    guaranteed = guaranteed_accounts(board)
    objectives = Objectives(board)
    remaining_by_run = board.remaining_run_times()
    traits_by_step: dict[StepKey, StepTraits] = {}
    result: dict[Lifetime, list[PlacedRun]] = {}
    for job_id, job in board.jobs.items():
        for key, task in job.progress.placed():
            if task.lifetime is None:
                continue
            step_key = (job_id, key[0], key[1])
            traits = traits_by_step.get(step_key)
            if traits is None:
                traits = _step_traits(step_key, job, objectives, guaranteed)
                traits_by_step[step_key] = traits
            placed_run = _placed_run(
                traits, job, key, remaining_by_run, now_ms, board.times.checkpoint_ms
            )
            result.setdefault(task.lifetime, []).append(placed_run)
    return result


def _step_traits(
    key: StepKey, job: StoredJob, objectives: Objectives, guaranteed: frozenset[str]
) -> StepTraits:
    spec = job.progress.spec
    step = spec.steps[key[2]]
    demand = demand_of(step)
    cores = cores_of(demand) * (step.task_count if step.gang else 1)
    times = objectives.step_times(job, key[1], key[2])
    return StepTraits(
        key,
        step,
        demand,
        cores,
        times.run_ms,
        waiting_since_ms(job, key[1]) + times.run_slack_ms,
        # an urgent job that is late counts for as much as its own work
        cores * times.run_ms / 1_000 if spec.priority == URGENT_PRIORITY else 0.0,
        is_guaranteed(job.progress, guaranteed),
        is_costly_to_stop(spec, step),
    )


def _placed_run(
    traits: StepTraits,
    job: StoredJob,
    key: TaskKey,
    remaining_by_run: Mapping[tuple[str, int], float],
    now_ms: int,
    checkpoint_ms: int,
) -> PlacedRun:
    spec, step = job.progress.spec, traits.step
    task = job.progress.tasks[key]
    name = format_task_name(spec.job_id, key)
    elapsed_s = max(0, now_ms - task.started_at_ms) / 1_000
    remaining_ms = remaining_by_run.get((name, task.run))
    if remaining_ms is None:
        remaining_ms = _remaining_ms(step, traits.run_ms, elapsed_s * 1_000)
    return PlacedRun(
        spec.job_id,
        name,
        task.run,
        spec.account,
        spec.priority,
        traits.demand,
        traits.cores * unsaved_s(step, elapsed_s, checkpoint_ms),
        job.progress.has_ended or (name, task.run) in job.stopping,
        traits.key,
        step.gang,
        traits.is_guaranteed,
        traits.is_costly_to_stop,
        remaining_ms,
        step.max_unavailable > 0,
        traits.delay_cost,
        traits.latest_start_ms,
        must_run_isolated(job.progress, key, now_ms),
        job.preemptions[(*key[:2], 0) if step.gang else key],
        step.long_running,
        now_ms - task.started_at_ms < EARLY_CRASH_MS,
    )


def _remaining_ms(step: StepSpec, run_ms: float, elapsed_ms: float) -> float:
    """Estimate the time to completion; infinite for long-running and far overdue runs."""
    if step.long_running or elapsed_ms > run_ms * MAX_OVERRUN_RATIO:
        return float("inf")
    return max(0.0, run_ms - elapsed_ms)


def _allocate_unrecorded_runs(board: Board, view: WorkerView, worker: WorkerCapacity) -> None:
    """Allocate the runs that the worker lists but no record places there.

    The demand of a run whose job is not loaded is unknown, so it takes the whole worker.
    """
    placed = {(placed_run.task, placed_run.run) for placed_run in worker.placed_runs}
    for run in view.report.running:
        if (run.task, run.run) in placed:
            continue
        found = board.find_task(run.task)
        step = found.job.progress.spec.steps[found.key[1]] if found else None
        worker.allocate(demand_of(step) if step else worker.total)
