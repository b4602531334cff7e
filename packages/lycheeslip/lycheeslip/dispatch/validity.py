"""Checks whether decisions still hold, since the board changes while a round is paused.

Recorded starts are checked as well: they may have been decided by an earlier leader.
"""

from collections import Counter
from collections.abc import Container, Sequence

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.jobs import Demand
from lycheeslip_common.workload.progress import TaskKey

from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip.dispatch.placement_model import Preemption, Unit, WorkerCapacity

__all__ = ["find_whole_gangs", "may_begin", "may_preempt", "may_start"]


def may_start(board: Board, unit: Unit, chosen: Sequence[WorkerCapacity]) -> bool:
    """Return whether all tasks of `unit` still wait, and `chosen` may still get them."""
    job = board.jobs.get(unit.job_id)
    if job is None or job.progress.has_ended:
        return False
    tasks = [job.progress.tasks[(unit.occurrence, unit.step, index)] for index in unit.indexes]
    if any(task.is_placed or task.is_done for task in tasks):
        return False
    worker_by_node = {worker.node: worker for worker in chosen}
    return all(_may_get_tasks(board, worker) for worker in worker_by_node.values())


def _may_get_tasks(board: Board, worker: WorkerCapacity) -> bool:
    """Return whether a worker is in service as it was when the round began, and no smaller."""
    view = board.workers.get(worker.node)
    if view is None or view.link is None or view.lifetime != worker.lifetime:
        return False
    report = view.report
    if not report.is_ready or report.zone in board.evacuated_zones:
        return False
    capacity = Demand(report.cpu_milli, report.memory_mb, report.accelerators)
    is_as_large = all(now >= then for now, then in zip(capacity, worker.total, strict=True))
    return is_as_large and steady_ms() >= view.backoff_until_ms


def may_preempt(board: Board, preemption: Preemption) -> bool:
    """Return whether the run is still placed and the unit that it gives way to still waits."""
    _, placed_run, unit = preemption
    found = board.find_task(placed_run.task)
    if found is None or found.task is None or not found.task.is_placed:
        return False
    waiting = board.jobs.get(unit.job_id)
    is_waiting = waiting is not None and not waiting.progress.has_ended
    return is_waiting and found.task.run == placed_run.run


def find_whole_gangs(job: StoredJob) -> set[tuple[int, int]]:
    """Return the gangs all of whose members are placed, by occurrence and step."""
    placed = Counter(key[:2] for key in job.progress.placed_keys)
    steps = job.progress.spec.steps
    return {unit for unit, count in placed.items() if count == steps[unit[1]].task_count}


def may_begin(
    job: StoredJob, key: TaskKey, run: int, whole_gangs: Container[tuple[int, int]]
) -> bool:
    """Return whether a recorded run may begin, rather than having ended or having to stop.

    `whole_gangs` are those of the job.
    """
    task = job.progress.tasks.get(key)
    if task is None or not task.is_placed or task.run != run:
        return False
    if job.progress.has_ended or task.is_done or (job.task_name(key), run) in job.stopping:
        return False
    return not job.progress.spec.steps[key[1]].gang or key[:2] in whole_gangs
