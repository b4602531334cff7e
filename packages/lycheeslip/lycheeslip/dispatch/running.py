"""Finds the gangs and tasks at work whose remaining time is measured, and slow workers."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import RunningRun
from lycheeslip_common.workload.progress import TaskKey, unit_members

from lycheeslip.dispatch.board import Board, StoredJob, WorkerView
from lycheeslip.dispatch.objective import Objectives, expected_run_ms, waiting_since_ms
from lycheeslip.dispatch.placement_model import URGENT_PRIORITY
from lycheeslip.dispatch.relocation import RunningUnit
from lycheeslip.dispatch.run_samples import observe_median
from lycheeslip.dispatch.waiting import build_unit
from lycheeslip.dispatch.work import guaranteed_accounts

__all__ = ["record_speed", "running_units", "set_slow_workers_aside"]

FULL_PERCENT = 100
SLOW_RATIO = 2.0  # of the usual time; run times of a step's tasks differ by up to 1.8
SLOW_MARGIN_MS = 1_000  # a listed progress may be that old
SLOW_MEMORY_MS = 6_000  # a slow worker is used again after this; such faults last 5 to 7 s
MAX_RELOCATIONS = 2  # of one task, so that wrong measurements can't keep a job from ending


def record_speed(board: Board, view: WorkerView, run: RunningRun) -> None:
    """Record a run's measured duration, and whether it shows that its worker is slow."""
    found = board.find_task(run.task)
    if found is None or run.remaining_ms < 0:
        return
    if run.whole_run_ms > 0:
        found.job.run_times.record(found.key, run.whole_run_ms)
        observe_median(board, found.job, found.key[1])
    limit_ms = _slow_limit_ms(board, found.job, found.key, run, view)
    if limit_ms is None or run.remaining_ms <= limit_ms:
        return
    if steady_ms() >= view.slow_until_ms:
        log_event(
            "worker_slow",
            node=view.node,
            task=run.task,
            run=run.run,
            progress=run.progress,
            remaining_ms=run.remaining_ms,
            limit_ms=round(limit_ms),
        )
    _mark_slow(view)


def set_slow_workers_aside(board: Board, running: RunningUnit) -> None:
    """Let other workers be preferred for a while to those that a slow unit is moved off.

    Which member of a gang slows down the others is not known. A unit that moves off a worker that
    leaves may be slow as well, because of another worker.
    """
    for node in running.nodes if running.is_slow else ():
        _mark_slow(board.workers[node])


def _mark_slow(view: WorkerView) -> None:
    view.slow_until_ms = steady_ms() + SLOW_MEMORY_MS


def _slow_limit_ms(
    board: Board, job: StoredJob, key: TaskKey, run: RunningRun, view: WorkerView
) -> float | None:
    """Return the remaining time from which a run is slow, None if there is nothing to compare.

    A gang may be waiting for its other members or be split over racks, and a run off its data's
    rack is slow on any worker.
    """
    step = job.progress.spec.steps[key[1]]
    is_measured = job.run_times.median(key[1]) is not None
    is_remote = bool(step.data_rack) and step.data_rack not in view.report.labels
    if not is_measured or is_remote or step.gang:
        return None
    usual_ms = expected_run_ms(board, job, key[1])
    own_ms = run.whole_run_ms if run.whole_run_ms > 0 else usual_ms
    left_ms = min(usual_ms, own_ms) * (FULL_PERCENT - run.progress) / FULL_PERCENT
    return SLOW_RATIO * left_ms + SLOW_MARGIN_MS


def running_units(board: Board) -> list[RunningUnit]:
    """Return the gangs and tasks at work that may start again elsewhere.

    Those are urgent ones, and others on workers that leave, unless their progress is saved.
    """
    objectives = Objectives(board)
    guaranteed = guaranteed_accounts(board)
    remaining_by_run = board.remaining_run_times()
    is_any_leaving = any(not view.report.is_ready for view in board.workers.values())
    found = []
    for job_id, job in board.jobs.items():
        is_urgent = job.progress.spec.priority == URGENT_PRIORITY
        if not is_urgent and not is_any_leaving:
            continue
        for members in _placed_units(job):
            is_saved = job.progress.spec.steps[members[0][1]].checkpointing
            stay = _stay(board, job, members, remaining_by_run)
            if stay is None or not (is_urgent or (stay.is_leaving and not is_saved)):
                continue
            times = objectives.step_times(job, *members[0][:2])
            due_ms = waiting_since_ms(job, members[0][0]) + times.slack_ms + times.run_ms
            unit = build_unit(board, job_id, job, members, times, guaranteed)
            found.append(RunningUnit(unit, *stay, times.run_ms, due_ms - wall_ms()))
    return found


class Stay(NamedTuple):
    """Where a unit runs, when it will be done there, and how long its workers stay, in ms."""

    nodes: frozenset[str]
    remaining_ms: float
    leaves_in_ms: float

    @property
    def is_leaving(self) -> bool:
        """Whether one of the workers leaves."""
        return self.leaves_in_ms < float("inf")


def _placed_units(job: StoredJob) -> Iterator[list[TaskKey]]:
    """Iterate over the units that may be relocated, with all of their tasks placed."""
    if job.progress.has_ended:
        return
    for key, _ in job.progress.placed():
        step = job.progress.spec.steps[key[1]]
        if step.long_running or step.fills_idle or step.max_unavailable or (step.gang and key[2]):
            continue
        members = unit_members(job.progress, *key[:2]) if step.gang else [key]
        tasks = [job.progress.tasks[member] for member in members]
        runs = {(job.task_name(k), task.run) for k, task in zip(members, tasks, strict=True)}
        is_whole = all(task.is_placed for task in tasks) and not runs & job.stopping.keys()
        if is_whole and job.relocations[key] < MAX_RELOCATIONS:
            yield members


def _stay(
    board: Board,
    job: StoredJob,
    members: list[TaskKey],
    remaining_by_run: Mapping[tuple[str, int], float],
) -> Stay | None:
    """Return where and for how long the members run, None if that isn't measured for all."""
    remaining_ms, leaves_in_ms = 0.0, float("inf")
    for key in members:
        task = job.progress.tasks[key]
        view = board.workers.get(task.node)
        measured_ms = remaining_by_run.get((job.task_name(key), task.run))
        if view is None or view.lifetime != task.lifetime or measured_ms is None:
            return None
        remaining_ms = max(remaining_ms, measured_ms)
        if not view.report.is_ready:
            notice_ms = view.report.remaining_ms - (steady_ms() - view.heard_at_ms)
            leaves_in_ms = min(leaves_in_ms, max(0, notice_ms))
    nodes = frozenset(job.progress.tasks[key].node for key in members)
    return Stay(nodes, remaining_ms, leaves_in_ms)
