"""Reclaims accelerators from borrowers for guaranteed and for urgent jobs.

A borrower is an account that uses more accelerators than its guarantee, or a job of it.
"""

from heapq import nsmallest
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.demand import Demand
from lycheeslip.policy.eviction_trial import EvictionTrial
from lycheeslip.policy.model import RunningJob
from lycheeslip.policy.placement import groups
from lycheeslip.policy.planning_round import PlanningRound
from lycheeslip.policy.running_job_index import KIND_RANK, preemption_cost
from lycheeslip.policy.worker_capacity import WorkerCapacity, mask_of

__all__ = ["reclaim"]

MAX_RECLAIMS_PER_ROUND = 8
MAX_VICTIMS_TO_PRUNE = 64
MAX_GROUPS_COMPARED = 4


class _Victims(NamedTuple):
    """Jobs to be stopped so that the gang fits on one group of workers."""

    group: list[WorkerCapacity]
    jobs: list[RunningJob]


def reclaim(round_: PlanningRound, demand: Demand) -> bool:
    """Stop the cheapest victims that let the gang fit and claim their resources for it.

    Return False if no set of victims is found or the limit per round is reached.
    """
    signature = demand.signature(), demand.within_guarantee, demand.account
    if round_.reclaim_attempts >= MAX_RECLAIMS_PER_ROUND or signature in round_.failed_reclaims:
        return False
    round_.reclaim_attempts += 1
    victims = _cheapest_victims(round_, demand)
    if victims is None:
        round_.failed_reclaims.add(signature)
        return False
    trial = EvictionTrial(victims.group, demand, round_.running_index)
    for job in victims.jobs:
        trial.release(job)
        round_.stop(job, ControlAction.CHECKPOINT, _reason(demand))
    trial.claim()
    return True


def _reason(demand: Demand) -> str:
    return "reclaimed_for_guarantee" if demand.within_guarantee else "reclaimed_for_urgent"


def _cheapest_victims(round_: PlanningRound, demand: Demand) -> _Victims | None:
    """Return the cheapest victims; only those of the cheapest few groups are pruned."""
    found = []
    for group in groups(round_.capacity, demand.shape):
        jobs = _victims_in(round_, demand, group)
        if jobs is not None:
            found.append(_Victims(group, jobs))
    shortlist = nsmallest(
        MAX_GROUPS_COMPARED, found, key=lambda victims: _cost(round_, victims.jobs)
    )
    pruned = [_pruned(round_, demand, victims) for victims in shortlist]
    return min(pruned, key=lambda victims: _cost(round_, victims.jobs), default=None)


def _cost(round_: PlanningRound, jobs: list[RunningJob]) -> tuple[int, int, int]:
    stopped = [job for job in jobs if not round_.is_stopping(job)]
    keys = [preemption_cost(job, round_.view.now_ms) for job in stopped]
    worst_kind = max((kind for kind, _, _ in keys), default=-1)
    return worst_kind, sum(lost for _, lost, _ in keys), len(stopped)


def _victims_in(
    round_: PlanningRound, demand: Demand, group: list[WorkerCapacity]
) -> list[RunningJob] | None:
    """Return jobs of the group to stop, including those that are stopping already.

    Return None if the gang doesn't fit even then.
    """
    trial = EvictionTrial(group, demand, round_.running_index)
    chosen: list[RunningJob] = []
    reclaimed_by_account: dict[str, int] = {}
    for job in _candidates(round_, demand, group):
        if trial.fits():
            break
        if not round_.is_stopping(job) and not _may_stop(
            round_, demand, group, job, reclaimed_by_account
        ):
            continue
        trial.release(job)
        chosen.append(job)
        if not round_.is_stopping(job):
            size = job.spec.shape.total_accelerators
            reclaimed_by_account[job.spec.account] = (
                reclaimed_by_account.get(job.spec.account, 0) + size
            )
    return chosen if trial.fits() else None


def _candidates(
    round_: PlanningRound, demand: Demand, group: list[WorkerCapacity]
) -> list[RunningJob]:
    """Return possible victims in the order of preference.

    Jobs that are stopping come first, then those that hold accelerators if the demand needs
    any, then borrowers, then the cheapest.
    """
    now_ms = round_.view.now_ms
    needs_accelerators = demand.shape.accelerators > 0
    jobs = [
        job
        for job in round_.running_index.jobs_on(group)
        if job.spec.interruptible or round_.is_stopping(job)
    ]
    return sorted(
        jobs,
        key=lambda job: (
            not round_.is_stopping(job),
            needs_accelerators and not job.spec.shape.accelerators,
            not round_.borrows(job.spec.account),
            preemption_cost(job, now_ms),
        ),
    )


def _may_stop(
    round_: PlanningRound,
    demand: Demand,
    group: list[WorkerCapacity],
    job: RunningJob,
    reclaimed_by_account: dict[str, int],
) -> bool:
    """Return whether the demand may preempt the running `job`."""
    account = job.spec.account
    if account == demand.account:
        return _has_lower_priority(job, demand)
    if round_.borrows(account, reclaimed_by_account.get(account, 0)):
        return demand.within_guarantee or _has_lower_priority(job, demand)
    return demand.within_guarantee and _holds_home(demand.account, group, job)


def _has_lower_priority(job: RunningJob, demand: Demand) -> bool:
    if job.spec.kind is JobKind.URGENT:
        return False
    return demand.urgent and KIND_RANK[job.spec.kind] < KIND_RANK[JobKind.URGENT]


def _holds_home(account: str, group: list[WorkerCapacity], job: RunningJob) -> bool:
    homes = {worker.worker_id: worker.home_masks.get(account, 0) for worker in group}
    return any(
        homes.get(place.worker_id, 0) & mask_of(place.accelerators) for place in job.placement
    )


def _pruned(round_: PlanningRound, demand: Demand, victims: _Victims) -> _Victims:
    """Leave out victims that needn't be stopped for the gang to fit, the least preferred first."""
    if len(victims.jobs) > MAX_VICTIMS_TO_PRUNE:
        return victims
    kept = victims.jobs
    for job in reversed(victims.jobs):
        if round_.is_stopping(job):
            continue
        fewer = [other for other in kept if other is not job]
        trial = EvictionTrial(victims.group, demand, round_.running_index)
        for other in fewer:
            trial.release(other)
        if trial.fits():
            kept = fewer
    return _Victims(victims.group, kept)
