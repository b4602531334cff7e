"""The order in which waiting jobs are served."""

from enum import IntEnum
from heapq import heapify, heappop, heapreplace
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind

from lycheeslip.policy.model import FleetView, WaitingJob
from lycheeslip.policy.usage import fleet_totals

__all__ = ["Queued", "Tier", "queue_of", "shares_by_account", "used_accelerators"]

NO_DEADLINE = float("inf")
UNDECLARED_TURN_MS = 60_000
PRESSING_SLACK_RATIO = 0.5
"""A deadline presses once the slack is less than this part of the expected run time."""


class Tier(IntEnum):
    """Classes of waiting work; a lower one is served first."""

    URGENT_ENTITLED = 0
    URGENT = 1
    ENTITLED = 2
    PRESSING = 3
    SHARED = 4


class Queued(NamedTuple):
    """A waiting job with its place in the queue."""

    tier: Tier
    rank: tuple[float, float, str]
    job: WaitingJob

    @property
    def entitled(self) -> bool:
        """Return whether the job is within its account's guarantee."""
        return self.tier in (Tier.URGENT_ENTITLED, Tier.ENTITLED)


def used_accelerators(view: FleetView) -> dict[str, int]:
    """Return the accelerators that each account holds in running jobs that aren't stopping."""
    used: dict[str, int] = {}
    for job in view.running_by_job.values():
        if not job.stopping:
            account = job.spec.account
            used[account] = used.get(account, 0) + job.spec.shape.total_accelerators
    return used


def shares_by_account(view: FleetView) -> dict[str, float]:
    """Return what each account has used, past and running, divided by its weight."""
    totals = fleet_totals(view.workers_by_id)
    used = dict(view.used_accelerator_ms_by_account)
    for job in view.running_by_job.values():
        run_ms = max(0, view.now_ms - job.started_at_ms)
        charge = totals.dominant_accelerators(job.spec.shape) * run_ms
        used[job.spec.account] = used.get(job.spec.account, 0.0) + charge
    return {account: amount / _weight(view, account) for account, amount in used.items()}


def queue_of(view: FleetView, used: dict[str, int]) -> list[Queued]:
    """Return the waiting jobs in the order in which they are served.

    Work within a guarantee is counted in the order of age, so that several small jobs
    together don't exceed it.
    """
    promised = dict(used)
    first: list[Queued] = []
    shared: list[WaitingJob] = []
    for job in sorted(view.waiting, key=_age):
        tier = _tier(view, job, promised)
        if tier is Tier.SHARED:
            shared.append(job)
        else:
            first.append(Queued(tier, _rank(job, tier), job))
    return sorted(first) + _take_turns(view, shared)


def _take_turns(view: FleetView, jobs: list[WaitingJob]) -> list[Queued]:
    """Let the account with the smallest share go first, and charge it for each turn."""
    totals = fleet_totals(view.workers_by_id)
    shares = shares_by_account(view)
    jobs_by_account: dict[str, list[WaitingJob]] = {}
    for job in sorted(jobs, key=_turn_within_account, reverse=True):
        jobs_by_account.setdefault(job.spec.account, []).append(job)
    heap = [(shares.get(account, 0.0), account) for account in jobs_by_account]
    heapify(heap)
    queue = []
    while heap:
        share, account = heap[0]
        job = jobs_by_account[account].pop()
        queue.append(Queued(Tier.SHARED, (share, float(job.waiting_since_ms), job.job_id), job))
        charge = totals.dominant_accelerators(job.spec.shape) * _run_ms(job)
        if jobs_by_account[account]:
            heapreplace(heap, (share + charge / _weight(view, account), account))
        else:
            heappop(heap)
    return queue


def _turn_within_account(job: WaitingJob) -> tuple[bool, int, str]:
    return job.spec.kind is JobKind.BULK, job.waiting_since_ms, job.job_id


def _run_ms(job: WaitingJob) -> int:
    return job.expected_run_ms or UNDECLARED_TURN_MS


def _age(job: WaitingJob) -> tuple[bool, int, str]:
    return job.spec.kind is not JobKind.URGENT, job.waiting_since_ms, job.job_id


def _tier(view: FleetView, job: WaitingJob, promised: dict[str, int]) -> Tier:
    urgent = job.spec.kind is JobKind.URGENT
    if _is_entitled(view, job, promised):
        return Tier.URGENT_ENTITLED if urgent else Tier.ENTITLED
    if urgent:
        return Tier.URGENT
    return Tier.PRESSING if _presses(view, job) else Tier.SHARED


def _is_entitled(view: FleetView, job: WaitingJob, promised: dict[str, int]) -> bool:
    account = view.config.accounts_by_id.get(job.spec.account)
    size = job.spec.shape.total_accelerators
    if account is None or account.guarantee is None or not size:
        return False
    total = promised.get(job.spec.account, 0) + size
    if total > account.guarantee.total_accelerators:
        return False
    promised[job.spec.account] = total
    return True


def _presses(view: FleetView, job: WaitingJob) -> bool:
    deadline_ms = job.spec.deadline_at_ms
    if not deadline_ms:
        return False
    slack_ms = deadline_ms - view.now_ms - job.expected_run_ms
    return slack_ms < PRESSING_SLACK_RATIO * job.expected_run_ms


def _rank(job: WaitingJob, tier: Tier) -> tuple[float, float, str]:
    deadline = NO_DEADLINE
    if tier is not Tier.ENTITLED and job.spec.deadline_at_ms:
        deadline = float(job.spec.deadline_at_ms)
    return deadline, float(job.waiting_since_ms), job.job_id


def _weight(view: FleetView, account_id: str) -> float:
    account = view.config.accounts_by_id.get(account_id)
    return account.weight if account is not None and account.weight > 0 else 1.0
