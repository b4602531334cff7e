"""Reasons why a waiting job could not be placed."""

from lycheeslip.policy.demand import Demand
from lycheeslip.policy.model import WaitingJob
from lycheeslip.policy.placement import fits_now
from lycheeslip.policy.planning_round import PlanningRound

__all__ = ["explain_wait"]

MAX_REASONS_PER_ROUND = 32
DETAIL_BY_REASON = {
    "kept_for_gang": "the workers that fit are reserved for a gang that has waited longer",
    "quiet_hours": "quiet hours limit the busy accelerators of the racks on which the job fits",
    "homes_of_others": "only accelerators that other accounts can reclaim are free, and this"
    " job can't be interrupted or must leave them to waiting jobs of these accounts",
    "avoids_workers": "the job fits only on workers where it failed before",
    "no_capacity": "no group of workers has free resources for the whole gang",
}


def explain_wait(round_: PlanningRound, job: WaitingJob, demand: Demand) -> None:
    """Add the reason why `job` waits, found by relaxing one placement rule after another."""
    reason = _reason(round_, demand)
    detail = DETAIL_BY_REASON[reason]
    if _misses_deadline(round_, job):
        detail += "; its deadline can no longer be met"
    round_.explain(job.job_id, reason, detail)


def _misses_deadline(round_: PlanningRound, job: WaitingJob) -> bool:
    deadline_ms = job.spec.deadline_at_ms
    return bool(deadline_ms) and round_.view.now_ms + job.expected_run_ms > deadline_ms


def _reason(round_: PlanningRound, demand: Demand) -> str:
    key = demand.signature()
    if key not in round_.reason_by_signature:
        if len(round_.reason_by_signature) >= MAX_REASONS_PER_ROUND:
            return "no_capacity"
        round_.reason_by_signature[key] = _find_reason(round_, demand)
    return round_.reason_by_signature[key]


def _find_reason(round_: PlanningRound, demand: Demand) -> str:
    for reason, relaxed in _relaxations(demand):
        if fits_now(round_.capacity, relaxed):
            return reason
    return "no_capacity"


def _relaxations(demand: Demand) -> list[tuple[str, Demand]]:
    relaxations = [
        ("kept_for_gang", demand._replace(ignore_reservations=True)),
        ("quiet_hours", demand._replace(ignore_reservations=True, ignore_quiet=True)),
    ]
    if not demand.interruptible or demand.excluded_home_accounts:
        without_home_rules = demand._replace(interruptible=True, excluded_home_accounts=frozenset())
        relaxations.append(("homes_of_others", without_home_rules))
    if demand.avoided_workers:
        relaxations.append(("avoids_workers", demand._replace(avoided_workers=frozenset())))
    return relaxations
