"""Checks of a valid configuration before it is applied.

Every check is a pure function of the parsed file; it finds keys without effect and limits that
contradict each other. Nothing here needs an entry.
"""

from lycheeslip.config.loader import LocatedConfig
from lycheeslip.config_checks.accounts import ACCOUNT_CHECKS
from lycheeslip.config_checks.changes import CHANGE_CHECKS
from lycheeslip.config_checks.finding import ChangeCheck, Check, Finding, Severity, locate
from lycheeslip.config_checks.guarantees import GUARANTEE_CHECKS
from lycheeslip.config_checks.limits import LIMIT_CHECKS
from lycheeslip.config_checks.quiet_hours import QUIET_HOURS_CHECKS
from lycheeslip.config_checks.zones import ZONE_CHECKS

__all__ = [
    "CHANGE_CHECKS",
    "CHECKS",
    "ChangeCheck",
    "Check",
    "Finding",
    "Severity",
    "find_change_findings",
    "find_findings",
]

CHECKS: tuple[Check, ...] = (
    *ACCOUNT_CHECKS,
    *GUARANTEE_CHECKS,
    *ZONE_CHECKS,
    *QUIET_HOURS_CHECKS,
    *LIMIT_CHECKS,
)


def find_findings(located: LocatedConfig) -> list[Finding]:
    """Return the findings of all checks about one configuration, in line order."""
    findings = [locate(check, note, located) for check in CHECKS for note in check.find(located)]
    return sorted(findings, key=lambda finding: finding.line)


def find_change_findings(before: LocatedConfig, after: LocatedConfig) -> list[Finding]:
    """Return the changes from `before` to `after` that need attention, in line order of `after`."""
    findings = [
        locate(check, note, after) for check in CHANGE_CHECKS for note in check.find(before, after)
    ]
    return sorted(findings, key=lambda finding: finding.line)
