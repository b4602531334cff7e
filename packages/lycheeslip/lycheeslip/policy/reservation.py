"""Keeps workers for the oldest blocked gang until they have drained."""

from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.demand import Demand, may_displace
from lycheeslip.policy.eviction_trial import EvictionTrial
from lycheeslip.policy.free_worker import FreeWorker
from lycheeslip.policy.model import RackReservation, RunningJob, WaitingJob
from lycheeslip.policy.placement import groups
from lycheeslip.policy.planning_round import PlanningRound

__all__ = ["hold_for"]

OVERSTAY_RATIO = 2
"""Interruptible work is displaced once it has run this many times longer than expected."""
MOVE_GAIN_MS = 1_000


class _Drain(NamedTuple):
    """Jobs whose end empties enough of one group of workers, and when that will be."""

    ends_at_ms: int
    group: list[FreeWorker]
    jobs: list[RunningJob]


def hold_for(round_: PlanningRound, job: WaitingJob, demand: Demand) -> bool:
    """Hold the workers that drain first for a blocked gang.

    Once only work remains there that may be displaced, that work is stopped. Return False
    if the gang doesn't fit on what may run now even when everything has ended.
    """
    drain = _earliest(round_, job, demand)
    if drain is None:
        return False
    trial = EvictionTrial(drain.group, demand, round_.occupants)
    for occupant in drain.jobs:
        trial.release(occupant)
    shares = trial.shares()
    for share in shares:
        worker = round_.capacity.by_id[share.worker.worker_id]
        worker.held_by = job.job_id
        worker.held_size = demand.shape.total_accelerators
        worker.held_until_ms = drain.ends_at_ms
    if shares:
        key = shares[0].worker.rack.key
        round_.reservations.append(
            RackReservation(job.job_id, key.zone, key.rack, drain.ends_at_ms)
        )
    if all(_gives_way(round_, job, occupant) for occupant in drain.jobs):
        for occupant in drain.jobs:
            round_.stop(occupant, ControlAction.CHECKPOINT, "displaced_by_gang")
        trial.claim()
    return True


def _reservation_of(round_: PlanningRound, job_id: str) -> RackReservation | None:
    """Return the reservation with which the round began if it is for `job_id`."""
    reservation = round_.view.reservation
    if reservation is not None and reservation.job_id == job_id:
        return reservation
    return None


def _earliest(round_: PlanningRound, job: WaitingJob, demand: Demand) -> _Drain | None:
    best: _Drain | None = None
    best_at_ms = 0
    held = _reservation_of(round_, job.job_id)
    for group in groups(round_.capacity, demand.shape):
        if any(worker.held_by for worker in group) and len(group) < len(round_.capacity.by_id):
            continue
        drain = _drain(round_, job, demand, group)
        if drain is None:
            continue
        is_kept = held is not None and group[0].rack.key == (held.zone, held.rack)
        at_ms = drain.ends_at_ms - (MOVE_GAIN_MS if is_kept else 0)
        if best is None or at_ms < best_at_ms:
            best, best_at_ms = drain, at_ms
    return best


def _drain(
    round_: PlanningRound, job: WaitingJob, demand: Demand, group: list[FreeWorker]
) -> _Drain | None:
    trial = EvictionTrial(group, demand, round_.occupants)
    ends = sorted(
        (_ends_at_ms(round_, job, occupant), occupant.ref.job_id, occupant)
        for occupant in round_.occupants.of(group)
    )
    released = []
    at_ms = round_.view.now_ms
    for ends_at_ms, _, occupant in ends:
        if trial.fits():
            break
        trial.release(occupant)
        released.append(occupant)
        at_ms = ends_at_ms
    return _Drain(at_ms, group, released) if trial.fits() else None


def _ends_at_ms(round_: PlanningRound, job: WaitingJob, occupant: RunningJob) -> int:
    """Return when the occupant is expected to end; what overstays gets as long again."""
    now_ms = round_.view.now_ms
    if _gives_way(round_, job, occupant):
        return now_ms + round_.view.config.limits.reclaim_grace_ms
    if occupant.expected_end_at_ms > now_ms:
        return occupant.expected_end_at_ms
    known_until_ms = max(occupant.started_at_ms, occupant.expected_end_at_ms)
    return now_ms + max(1, now_ms - known_until_ms)


def _gives_way(round_: PlanningRound, job: WaitingJob, occupant: RunningJob) -> bool:
    """Return whether the occupant may be stopped for a gang that has waited for its worker."""
    if round_.is_stopping(occupant):
        return True
    spec = occupant.spec
    if not spec.interruptible or spec.kind is JobKind.URGENT:
        return False
    size, occupant_size = job.spec.shape.total_accelerators, spec.shape.total_accelerators
    if not may_displace(size, occupant_size) or not round_.borrows(spec.account):
        return False
    expected_ms = occupant.expected_end_at_ms - occupant.started_at_ms
    run_ms = round_.view.now_ms - occupant.started_at_ms
    is_backfill = occupant.started_at_ms > job.waiting_since_ms
    return is_backfill or 0 < OVERSTAY_RATIO * expected_ms < run_ms
