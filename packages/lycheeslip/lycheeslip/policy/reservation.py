"""Reserves workers for the oldest blocked gang until enough jobs on them have ended."""

from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.demand import Demand, may_preempt
from lycheeslip.policy.eviction_trial import EvictionTrial
from lycheeslip.policy.model import RackReservation, RunningJob, WaitingJob
from lycheeslip.policy.placement import groups
from lycheeslip.policy.planning_round import PlanningRound
from lycheeslip.policy.worker_capacity import WorkerCapacity

__all__ = ["reserve_for_gang"]

OVERRUN_RATIO = 2
"""Interruptible jobs are preemptible after more than this multiple of their expected run time."""
MIN_MOVE_GAIN_MS = 1_000


class _FutureFit(NamedTuple):
    """Jobs that must end for the gang to fit on a group of workers.

    `ends_at_ms` is when the last of them is expected to end.
    """

    ends_at_ms: int
    group: list[WorkerCapacity]
    jobs: list[RunningJob]


def reserve_for_gang(round_: PlanningRound, job: WaitingJob, demand: Demand) -> bool:
    """Reserve the workers that are expected to have room first for a blocked gang.

    Once all jobs that must still end there are preemptible, they are stopped and their
    resources are claimed for the gang. Return False if the gang wouldn't fit on usable workers
    even if all running jobs had ended.
    """
    future_fit = _earliest_fit(round_, job, demand)
    if future_fit is None:
        return False
    trial = EvictionTrial(future_fit.group, demand, round_.running_index)
    for occupant in future_fit.jobs:
        trial.release(occupant)
    allocations = trial.allocations()
    for allocation in allocations:
        worker = round_.capacity.by_id[allocation.worker.worker_id]
        worker.reserved_for = job.job_id
        worker.reserved_size = demand.shape.total_accelerators
        worker.reserved_until_ms = future_fit.ends_at_ms
    if allocations:
        key = allocations[0].worker.rack.key
        round_.reservations.append(
            RackReservation(job.job_id, key.zone, key.rack, future_fit.ends_at_ms)
        )
    if all(_is_preemptible(round_, job, occupant) for occupant in future_fit.jobs):
        for occupant in future_fit.jobs:
            round_.stop(occupant, ControlAction.CHECKPOINT, "displaced_by_gang")
        trial.claim()
    return True


def _reservation_of(round_: PlanningRound, job_id: str) -> RackReservation | None:
    """Return the reservation from the previous round if it is for `job_id`."""
    reservation = round_.view.reservation
    if reservation is not None and reservation.job_id == job_id:
        return reservation
    return None


def _earliest_fit(round_: PlanningRound, job: WaitingJob, demand: Demand) -> _FutureFit | None:
    best: _FutureFit | None = None
    best_at_ms = 0
    current = _reservation_of(round_, job.job_id)
    for group in groups(round_.capacity, demand.shape):
        if any(worker.reserved_for for worker in group) and len(group) < len(round_.capacity.by_id):
            continue
        future_fit = _future_fit(round_, job, demand, group)
        if future_fit is None:
            continue
        is_current = current is not None and group[0].rack.key == (current.zone, current.rack)
        at_ms = future_fit.ends_at_ms - (MIN_MOVE_GAIN_MS if is_current else 0)
        if best is None or at_ms < best_at_ms:
            best, best_at_ms = future_fit, at_ms
    return best


def _future_fit(
    round_: PlanningRound, job: WaitingJob, demand: Demand, group: list[WorkerCapacity]
) -> _FutureFit | None:
    trial = EvictionTrial(group, demand, round_.running_index)
    ends = sorted(
        (_estimated_end_at_ms(round_, job, occupant), occupant.ref.job_id, occupant)
        for occupant in round_.running_index.jobs_on(group)
    )
    released = []
    at_ms = round_.view.now_ms
    for ends_at_ms, _, occupant in ends:
        if trial.fits():
            break
        trial.release(occupant)
        released.append(occupant)
        at_ms = ends_at_ms
    return _FutureFit(at_ms, group, released) if trial.fits() else None


def _estimated_end_at_ms(round_: PlanningRound, job: WaitingJob, occupant: RunningJob) -> int:
    """Return when the occupant is expected to end.

    A job that has overrun its expected end is assumed to run on for as long again.
    """
    now_ms = round_.view.now_ms
    if _is_preemptible(round_, job, occupant):
        return now_ms + round_.view.config.limits.reclaim_grace_ms
    if occupant.expected_end_at_ms > now_ms:
        return occupant.expected_end_at_ms
    known_until_ms = max(occupant.started_at_ms, occupant.expected_end_at_ms)
    return now_ms + max(1, now_ms - known_until_ms)


def _is_preemptible(round_: PlanningRound, job: WaitingJob, occupant: RunningJob) -> bool:
    """Return whether the occupant may be stopped for the waiting gang `job`.

    This is always the case for a job that is stopping already. Any other job must be
    interruptible, not urgent, at most half the size of the gang and of a borrower. It must also
    have started after the gang began to wait, or have run for more than `OVERRUN_RATIO` times
    its expected run time.
    """
    if round_.is_stopping(occupant):
        return True
    spec = occupant.spec
    if not spec.interruptible or spec.kind is JobKind.URGENT:
        return False
    size, occupant_size = job.spec.shape.total_accelerators, spec.shape.total_accelerators
    if not may_preempt(size, occupant_size) or not round_.borrows(spec.account):
        return False
    expected_ms = occupant.expected_end_at_ms - occupant.started_at_ms
    run_ms = round_.view.now_ms - occupant.started_at_ms
    is_backfill = occupant.started_at_ms > job.waiting_since_ms
    return is_backfill or 0 < OVERRUN_RATIO * expected_ms < run_ms
