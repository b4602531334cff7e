"""Order in which waiting jobs are scheduled."""

from enum import IntEnum
from heapq import heapify, heappop, heapreplace
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind

from lycheeslip.policy.model import FleetView, WaitingJob
from lycheeslip.policy.usage import fleet_totals

__all__ = ["QueuedJob", "Tier", "build_queue", "weighted_usage_by_account", "used_accelerators"]

NO_DEADLINE = float("inf")
DEFAULT_CHARGED_RUN_MS = 60_000
AT_RISK_SLACK_RATIO = 0.5
"""A deadline is at risk once the slack is below this fraction of the expected run time."""


class Tier(IntEnum):
    """Priority tiers of waiting jobs; a lower value is scheduled first."""

    URGENT_GUARANTEED = 0
    URGENT = 1
    GUARANTEED = 2
    DEADLINE_AT_RISK = 3
    FAIR_SHARE = 4


class QueuedJob(NamedTuple):
    """A waiting job with its tier and its rank within the tier."""

    tier: Tier
    rank: tuple[float, float, str]
    job: WaitingJob

    @property
    def within_guarantee(self) -> bool:
        """Return whether the job is within its account's guarantee."""
        return self.tier in (Tier.URGENT_GUARANTEED, Tier.GUARANTEED)


def used_accelerators(view: FleetView) -> dict[str, int]:
    """Return the accelerators in use by account, without those of jobs that are stopping."""
    used: dict[str, int] = {}
    for job in view.running_by_job.values():
        if not job.stopping:
            account = job.spec.account
            used[account] = used.get(account, 0) + job.spec.shape.total_accelerators
    return used


def weighted_usage_by_account(view: FleetView) -> dict[str, float]:
    """Return the accelerator milliseconds of each account divided by its weight.

    The decayed usage of ended attempts and the full usage of running ones are added up.
    """
    totals = fleet_totals(view.workers_by_id)
    used = dict(view.used_accelerator_ms_by_account)
    for job in view.running_by_job.values():
        run_ms = max(0, view.now_ms - job.started_at_ms)
        charge = totals.dominant_accelerators(job.spec.shape) * run_ms
        used[job.spec.account] = used.get(job.spec.account, 0.0) + charge
    return {account: amount / _weight(view, account) for account, amount in used.items()}


def build_queue(view: FleetView, used: dict[str, int]) -> list[QueuedJob]:
    """Return the waiting jobs in the order in which they are scheduled.

    Jobs are counted towards their account's guarantee one by one, urgent jobs first and then by
    age, so that several small jobs together don't exceed it.
    """
    committed = dict(used)
    prioritized: list[QueuedJob] = []
    fair_share: list[WaitingJob] = []
    for job in sorted(view.waiting, key=_age_key):
        tier = _tier(view, job, committed)
        if tier is Tier.FAIR_SHARE:
            fair_share.append(job)
        else:
            prioritized.append(QueuedJob(tier, _rank(job, tier), job))
    return sorted(prioritized) + _order_by_fair_share(view, fair_share)


def _order_by_fair_share(view: FleetView, jobs: list[WaitingJob]) -> list[QueuedJob]:
    """Order jobs by repeatedly taking one from the account with the lowest weighted usage.

    The account is charged for the expected usage of each job that is taken.
    """
    totals = fleet_totals(view.workers_by_id)
    usage_by_account = weighted_usage_by_account(view)
    jobs_by_account: dict[str, list[WaitingJob]] = {}
    for job in sorted(jobs, key=_key_within_account, reverse=True):
        jobs_by_account.setdefault(job.spec.account, []).append(job)
    heap = [(usage_by_account.get(account, 0.0), account) for account in jobs_by_account]
    heapify(heap)
    queue = []
    while heap:
        weighted_usage, account = heap[0]
        job = jobs_by_account[account].pop()
        queue.append(
            QueuedJob(
                Tier.FAIR_SHARE, (weighted_usage, float(job.waiting_since_ms), job.job_id), job
            )
        )
        charge = totals.dominant_accelerators(job.spec.shape) * _charged_run_ms(job)
        if jobs_by_account[account]:
            heapreplace(heap, (weighted_usage + charge / _weight(view, account), account))
        else:
            heappop(heap)
    return queue


def _key_within_account(job: WaitingJob) -> tuple[bool, int, str]:
    return job.spec.kind is JobKind.BULK, job.waiting_since_ms, job.job_id


def _charged_run_ms(job: WaitingJob) -> int:
    return job.expected_run_ms or DEFAULT_CHARGED_RUN_MS


def _age_key(job: WaitingJob) -> tuple[bool, int, str]:
    return job.spec.kind is not JobKind.URGENT, job.waiting_since_ms, job.job_id


def _tier(view: FleetView, job: WaitingJob, committed: dict[str, int]) -> Tier:
    urgent = job.spec.kind is JobKind.URGENT
    if _fits_guarantee(view, job, committed):
        return Tier.URGENT_GUARANTEED if urgent else Tier.GUARANTEED
    if urgent:
        return Tier.URGENT
    return Tier.DEADLINE_AT_RISK if _is_deadline_at_risk(view, job) else Tier.FAIR_SHARE


def _fits_guarantee(view: FleetView, job: WaitingJob, committed: dict[str, int]) -> bool:
    account = view.config.accounts_by_id.get(job.spec.account)
    size = job.spec.shape.total_accelerators
    if account is None or account.guarantee is None or not size:
        return False
    total = committed.get(job.spec.account, 0) + size
    if total > account.guarantee.total_accelerators:
        return False
    committed[job.spec.account] = total
    return True


def _is_deadline_at_risk(view: FleetView, job: WaitingJob) -> bool:
    deadline_ms = job.spec.deadline_at_ms
    if not deadline_ms:
        return False
    slack_ms = deadline_ms - view.now_ms - job.expected_run_ms
    return slack_ms < AT_RISK_SLACK_RATIO * job.expected_run_ms


def _rank(job: WaitingJob, tier: Tier) -> tuple[float, float, str]:
    deadline = NO_DEADLINE
    if tier is not Tier.GUARANTEED and job.spec.deadline_at_ms:
        deadline = float(job.spec.deadline_at_ms)
    return deadline, float(job.waiting_since_ms), job.job_id


def _weight(view: FleetView, account_id: str) -> float:
    account = view.config.accounts_by_id.get(account_id)
    return account.weight if account is not None and account.weight > 0 else 1.0
