"""Checks of the limits and timeouts of the fleet."""

from collections.abc import Iterator

from lycheeslip_common.structure.jobs import LEASE_MS_PER_MEMBER

from lycheeslip.config.loader import LocatedConfig
from lycheeslip.config.units import format_duration
from lycheeslip.config_checks.finding import Check, Note, Severity

__all__ = ["LIMIT_CHECKS"]

LIMITS_KEY = "limits"
MILLISECONDS_PER_SECOND = 1_000


def _gang_lease_below_members(located: LocatedConfig) -> Iterator[Note]:
    """Report a lease that agents extend for the members of a guaranteed gang."""
    gangs = [
        (account.guarantee.members, account_id)
        for account_id, account in located.config.accounts_by_id.items()
        if account.guarantee is not None and account.guarantee.members > 1
    ]
    members, account_id = max(gangs, default=(0, ""), key=lambda gang: gang[0])
    needed_ms = members * LEASE_MS_PER_MEMBER
    lease_ms = located.config.limits.gang_lease_ms
    if lease_ms < needed_ms:
        message = (
            f"{format_duration(lease_ms)} has no effect for {members} members as in "
            f"accounts.{account_id}.guarantee, whose agents hold {format_duration(needed_ms)}; "
            f"raise it to at least {format_duration(needed_ms)}"
        )
        yield Note((LIMITS_KEY, "gang_lease"), message)


def _retention_below_lease(located: LocatedConfig) -> Iterator[Note]:
    """Report a retention in which a cut-off agent may still run the forgotten job."""
    limits = located.config.limits
    retention_ms = limits.answer_retention_s * MILLISECONDS_PER_SECOND
    lease_ms, lease_key = max(
        (limits.task_lease_ms, "task_lease"), (limits.gang_lease_ms, "gang_lease")
    )
    if retention_ms < lease_ms:
        message = (
            f"{format_duration(retention_ms)} is shorter than limits.{lease_key} of "
            f"{format_duration(lease_ms)}, so that a job may be forgotten, and submitted again, "
            f"while an agent that is cut off runs it; raise it to at least "
            f"{format_duration(lease_ms)}"
        )
        yield Note((LIMITS_KEY, "answer_retention"), message)


def _retry_budget_unused(located: LocatedConfig) -> Iterator[Note]:
    limits = located.config.limits
    path = (LIMITS_KEY, "retry_budget_ratio")
    if limits.max_attempts == 1 and limits.retry_budget_ratio > 0 and located.has_key(*path):
        message = "has no effect while limits.max_attempts is 1; remove it or raise max_attempts"
        yield Note(path, message)


LIMIT_CHECKS = (
    Check("gang_lease_below_members", Severity.WARNING, _gang_lease_below_members),
    Check("retention_below_lease", Severity.WARNING, _retention_below_lease),
    Check("retry_budget_unused", Severity.WARNING, _retry_budget_unused),
)
