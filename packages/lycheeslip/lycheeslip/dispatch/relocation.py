"""Decides which runs are stopped to start again on another worker: pure functions.

A run on a worker that leaves before it is done is lost, and one on a slow worker is late. Workers
report the progress of their runs, so that both are known while another worker can still do better.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lycheeslip.dispatch.approval import with_ticket
from lycheeslip.dispatch.packing import choose_workers, is_remote
from lycheeslip.dispatch.placement_model import URGENT_PRIORITY, Plan, Unit, WorkerCapacity
from lycheeslip.dispatch.reclaim import reclaim

__all__ = ["RunningUnit", "relocate"]

RESTART_MS = 300  # to stop a run, to have its end reported and recorded, and to start the next
# Errors of a measured remaining time, which is that of an earlier report.
ERROR_RATIO = 1.15
ERROR_MS = 100
SLOW_RATIO = 2.0  # of the time elsewhere; run times of a step's tasks differ by up to 1.8
CERTAIN_RATIO = 1.5  # beyond this even bulk work is stopped; a leaving worker may stay for longer


class RunningUnit(NamedTuple):
    """A gang or a task at work; all times in ms from now.

    It is done in `remaining_ms` where it is, and its workers may leave in `leaves_in_ms`. A run of
    it takes `run_ms` elsewhere, and it has to be done in `due_in_ms` to meet its objective. `unit`
    is what would start again.
    """

    unit: Unit
    nodes: frozenset[str]
    remaining_ms: float
    leaves_in_ms: float
    run_ms: float
    due_in_ms: float

    @property
    def is_slow(self) -> bool:
        """Whether it takes much longer where it is than it would if it started again elsewhere."""
        return self.remaining_ms > (RESTART_MS + self.run_ms) * SLOW_RATIO


def relocate(
    running_units: Iterable[RunningUnit], workers: Sequence[WorkerCapacity], plan: Plan
) -> list[RunningUnit]:
    """Return the units that do better elsewhere, and allocate capacity for them in `workers`.

    Where none is free, an urgent unit may preempt runs, which are added to `plan`.
    """
    result = []
    for running in sorted(running_units, key=lambda running: running.unit.latest_start_ms):
        if not _is_better_elsewhere(running):
            continue
        others = [worker for worker in workers if _may_take(worker, running)]
        others = with_ticket(running.unit, others)
        chosen = choose_workers(running.unit, others)
        if chosen is None:
            is_urgent = running.unit.priority == URGENT_PRIORITY
            if is_urgent and reclaim(running.unit, others, plan):
                result.append(running)
        elif not is_remote(running.unit, chosen):
            for worker in chosen:
                worker.claim(running.unit)
            result.append(running)
    return result


def _is_better_elsewhere(running: RunningUnit) -> bool:
    # once the notice is over, the worker may still stay for long
    notice_ms = running.leaves_in_ms
    if notice_ms > 0 and notice_ms * CERTAIN_RATIO + RESTART_MS < running.remaining_ms:
        return True
    if running.unit.priority != URGENT_PRIORITY:
        return False
    may_be_lost = running.remaining_ms * ERROR_RATIO + ERROR_MS > notice_ms
    is_late_here = running.is_slow and running.remaining_ms > running.due_in_ms
    is_in_time_elsewhere = RESTART_MS + running.run_ms <= running.due_in_ms
    return is_in_time_elsewhere and (may_be_lost or is_late_here)


def _may_take(worker: WorkerCapacity, running: RunningUnit) -> bool:
    unit = running.unit
    if worker.service != unit.service or (unit.label and unit.label not in worker.labels):
        return False
    if unit.advice is not None and worker.lifetime in unit.advice.denied:
        return False
    has_failed = worker.lifetime.worker_id in unit.avoided_workers
    return not (worker.is_slow or has_failed or worker.node in running.nodes)
