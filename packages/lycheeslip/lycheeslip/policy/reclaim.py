"""Takes accelerators back from borrowers for guaranteed and for urgent work."""

from heapq import nsmallest
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.demand import Demand
from lycheeslip.policy.eviction_trial import EvictionTrial
from lycheeslip.policy.free_worker import FreeWorker, mask_of
from lycheeslip.policy.model import RunningJob
from lycheeslip.policy.occupants import KIND_RANK, lost_work
from lycheeslip.policy.placement import groups
from lycheeslip.policy.planning_round import PlanningRound

__all__ = ["reclaim"]

MAX_CLAIMS_PER_ROUND = 8
MAX_PRUNED = 64
MAX_COMPARED = 4


class _Victims(NamedTuple):
    """Jobs whose end lets the gang fit on one group of workers."""

    group: list[FreeWorker]
    jobs: list[RunningJob]


def reclaim(round_: PlanningRound, demand: Demand) -> bool:
    """Stop as few borrowers as let the gang fit and keep their place for it.

    Return False if no set of borrowers can make room.
    """
    signature = demand.signature(), demand.entitled, demand.account
    if round_.claims >= MAX_CLAIMS_PER_ROUND or signature in round_.failed_claims:
        return False
    round_.claims += 1
    victims = _cheapest(round_, demand)
    if victims is None:
        round_.failed_claims.add(signature)
        return False
    trial = EvictionTrial(victims.group, demand, round_.occupants)
    for job in victims.jobs:
        trial.release(job)
        round_.stop(job, ControlAction.CHECKPOINT, _reason(demand))
    trial.claim()
    return True


def _reason(demand: Demand) -> str:
    return "reclaimed_for_guarantee" if demand.entitled else "reclaimed_for_urgent"


def _cheapest(round_: PlanningRound, demand: Demand) -> _Victims | None:
    """Return the cheapest way to make room; only the best few are worked out exactly."""
    found = []
    for group in groups(round_.capacity, demand.shape):
        jobs = _victims_in(round_, demand, group)
        if jobs is not None:
            found.append(_Victims(group, jobs))
    nearly_best = nsmallest(MAX_COMPARED, found, key=lambda victims: _cost(round_, victims.jobs))
    exact = [_pruned(round_, demand, victims) for victims in nearly_best]
    return min(exact, key=lambda victims: _cost(round_, victims.jobs), default=None)


def _cost(round_: PlanningRound, jobs: list[RunningJob]) -> tuple[int, int, int]:
    stopped = [job for job in jobs if not round_.is_stopping(job)]
    keys = [lost_work(job, round_.view.now_ms) for job in stopped]
    worst_kind = max((kind for kind, _, _ in keys), default=-1)
    return worst_kind, sum(lost for _, lost, _ in keys), len(stopped)


def _victims_in(
    round_: PlanningRound, demand: Demand, group: list[FreeWorker]
) -> list[RunningJob] | None:
    """Return borrowers of the group to stop, those that stop already included."""
    trial = EvictionTrial(group, demand, round_.occupants)
    chosen: list[RunningJob] = []
    taken: dict[str, int] = {}
    for job in _candidates(round_, demand, group):
        if trial.fits():
            break
        if not round_.is_stopping(job) and not _may_stop(round_, demand, group, job, taken):
            continue
        trial.release(job)
        chosen.append(job)
        if not round_.is_stopping(job):
            size = job.spec.shape.total_accelerators
            taken[job.spec.account] = taken.get(job.spec.account, 0) + size
    return chosen if trial.fits() else None


def _candidates(round_: PlanningRound, demand: Demand, group: list[FreeWorker]) -> list[RunningJob]:
    """Return who might stop, those that hold what the demand needs most before others."""
    now_ms = round_.view.now_ms
    needs_accelerators = demand.shape.accelerators > 0
    jobs = [
        job
        for job in round_.occupants.of(group)
        if job.spec.interruptible or round_.is_stopping(job)
    ]
    return sorted(
        jobs,
        key=lambda job: (
            not round_.is_stopping(job),
            needs_accelerators and not job.spec.shape.accelerators,
            not round_.borrows(job.spec.account),
            lost_work(job, now_ms),
        ),
    )


def _may_stop(
    round_: PlanningRound,
    demand: Demand,
    group: list[FreeWorker],
    job: RunningJob,
    taken: dict[str, int],
) -> bool:
    """Return whether the demand goes before the running `job`."""
    account = job.spec.account
    if account == demand.account:
        return _is_lower(job, demand)
    if round_.borrows(account, taken.get(account, 0)):
        return demand.entitled or _is_lower(job, demand)
    return demand.entitled and _holds_home(demand.account, group, job)


def _is_lower(job: RunningJob, demand: Demand) -> bool:
    if job.spec.kind is JobKind.URGENT:
        return False
    return demand.urgent and KIND_RANK[job.spec.kind] < KIND_RANK[JobKind.URGENT]


def _holds_home(account: str, group: list[FreeWorker], job: RunningJob) -> bool:
    homes = {worker.worker_id: worker.home_masks.get(account, 0) for worker in group}
    return any(
        homes.get(place.worker_id, 0) & mask_of(place.accelerators) for place in job.placement
    )


def _pruned(round_: PlanningRound, demand: Demand, victims: _Victims) -> _Victims:
    """Leave out the jobs that needn't be stopped after all, the costliest first."""
    if len(victims.jobs) > MAX_PRUNED:
        return victims
    kept = victims.jobs
    for job in reversed(victims.jobs):
        if round_.is_stopping(job):
            continue
        fewer = [other for other in kept if other is not job]
        trial = EvictionTrial(victims.group, demand, round_.occupants)
        for other in fewer:
            trial.release(other)
        if trial.fits():
            kept = fewer
    return _Victims(victims.group, kept)
