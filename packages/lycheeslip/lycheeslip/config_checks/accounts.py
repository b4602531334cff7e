"""Checks of accounts and tokens."""

from collections.abc import Iterator

from lycheeslip.config.auth import allows_anonymous, digest_token
from lycheeslip.config.loader import LocatedConfig
from lycheeslip.config.model import Account
from lycheeslip.config_checks.finding import Check, Note, Severity

__all__ = ["ACCOUNT_CHECKS"]

ACCOUNTS_KEY = "accounts"
TOKEN_KEY = "token_sha256"
OPERATOR_TOKEN_KEY = "operator_token_sha256"
QUEUE_KEY = "max_waiting_jobs"
EMPTY_TOKEN_SHA256 = digest_token("")
DEFAULT_ACCOUNT_QUEUE = Account("").max_waiting_jobs


def _empty_tokens(located: LocatedConfig) -> Iterator[Note]:
    """Report digests of the empty text, which authenticate requests without a token."""
    message = (
        "is the digest of an empty text, so that requests without a token match; "
        "declare a digest printed by `lycheeslip token`"
    )
    if located.config.operator_token_sha256 == EMPTY_TOKEN_SHA256:
        yield Note((OPERATOR_TOKEN_KEY,), message)
    for account_id, account in located.config.accounts_by_id.items():
        if account.token_sha256 == EMPTY_TOKEN_SHA256:
            yield Note((ACCOUNTS_KEY, account_id, TOKEN_KEY), message)


def _accounts_without_token(located: LocatedConfig) -> Iterator[Note]:
    if allows_anonymous(located.config):
        return
    for account_id, account in located.config.accounts_by_id.items():
        if not account.token_sha256:
            message = (
                "has no token, so that only operators can submit its jobs; "
                "declare token_sha256 or remove the account"
            )
            yield Note((ACCOUNTS_KEY, account_id), message)


def _weight_of_only_account(located: LocatedConfig) -> Iterator[Note]:
    if len(located.config.accounts_by_id) != 1:
        return
    path = (ACCOUNTS_KEY, next(iter(located.config.accounts_by_id)), "weight")
    if located.has_key(*path):
        yield Note(path, "has no effect with a single account; remove it or declare the others")


def _account_queue_above_fleet(located: LocatedConfig) -> Iterator[Note]:
    """Report bounds of accounts that are not reached before all accounts are refused."""
    fleet_bound = located.config.limits.max_waiting_jobs
    has_default_above = False
    for account_id, account in located.config.accounts_by_id.items():
        if account.max_waiting_jobs <= fleet_bound:
            continue
        path = (ACCOUNTS_KEY, account_id, QUEUE_KEY)
        if not located.has_key(*path):
            has_default_above = True
            continue
        message = (
            f"{account.max_waiting_jobs} is above limits.max_waiting_jobs of {fleet_bound} and "
            "can't be reached; lower it or raise that of the fleet"
        )
        yield Note(path, message)
    if has_default_above:
        message = (
            f"{fleet_bound} is below the default of {DEFAULT_ACCOUNT_QUEUE} for an account; "
            "raise it or declare max_waiting_jobs for each account"
        )
        yield Note(("limits", QUEUE_KEY), message)


def _fleet_queue_unreachable(located: LocatedConfig) -> Iterator[Note]:
    """Report a bound above the sum of the accounts; jobs of undeclared accounts are refused."""
    path = ("limits", QUEUE_KEY)
    accounts = located.config.accounts_by_id.values()
    total = sum(account.max_waiting_jobs for account in accounts)
    bound = located.config.limits.max_waiting_jobs
    if accounts and total < bound and located.has_key(*path):
        message = (
            f"{bound} can't be reached, since the bounds of the accounts add up to {total}; "
            "lower it or raise those of the accounts"
        )
        yield Note(path, message)


ACCOUNT_CHECKS = (
    Check("empty_token", Severity.ERROR, _empty_tokens),
    Check("account_without_token", Severity.WARNING, _accounts_without_token),
    Check("weight_of_only_account", Severity.WARNING, _weight_of_only_account),
    Check("account_queue_above_fleet", Severity.WARNING, _account_queue_above_fleet),
    Check("fleet_queue_unreachable", Severity.WARNING, _fleet_queue_unreachable),
)
