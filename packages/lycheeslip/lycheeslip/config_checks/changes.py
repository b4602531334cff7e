"""Checks of the change from one configuration to another."""

from collections.abc import Iterator

from lycheeslip_common.structure.jobs import Adjacency, Shape

from lycheeslip.config.auth import allows_anonymous
from lycheeslip.config.diff import describe_shape
from lycheeslip.config.loader import LocatedConfig
from lycheeslip.config_checks.finding import ChangeCheck, Note, Severity

__all__ = ["CHANGE_CHECKS"]

ACCOUNTS_KEY = "accounts"
ZONES_KEY = "zones"
TOKEN_KEY = "token_sha256"
OPERATOR_TOKEN_KEY = "operator_token_sha256"
CLOSENESS = {Adjacency.ANY: 0, Adjacency.SAME_RACK: 1, Adjacency.SAME_WORKER: 2}


def _guarantee_reduced(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    for account_id, old in before.config.accounts_by_id.items():
        new = after.config.accounts_by_id.get(account_id)
        if old.guarantee is None or new is None or not _is_less(new.guarantee, old.guarantee):
            continue
        message = (
            f"is reduced from {describe_shape(old.guarantee)} to {describe_shape(new.guarantee)}; "
            "make sure that the account needs no more"
        )
        yield Note((ACCOUNTS_KEY, account_id, "guarantee"), message)


def _is_less(new: Shape | None, old: Shape) -> bool:
    if new is None:
        return True
    return (
        new.total_accelerators < old.total_accelerators
        or new.accelerators < old.accelerators
        or new.members * new.processors < old.members * old.processors
        or new.members * new.memory_mb < old.members * old.memory_mb
        or CLOSENESS[new.adjacency] < CLOSENESS[old.adjacency]
    )


def _account_removed(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    """Report removed accounts whose guarantee or token shows that they are in use."""
    for account_id, old in before.config.accounts_by_id.items():
        if account_id in after.config.accounts_by_id:
            continue
        held = [
            name
            for name, is_held in (("guarantee", old.guarantee), ("token", old.token_sha256))
            if is_held
        ]
        if held:
            effect = (
                "its new jobs are refused"
                if after.config.accounts_by_id
                else "jobs of any account are accepted, without guarantees"
            )
            message = (
                f"is removed while it has a {' and a '.join(held)}; {effect}. "
                "Keep it until its holder has stopped"
            )
            yield Note((ACCOUNTS_KEY, account_id), message)


def _zone_removed(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    """Report zones removed while in service; undeclared zones are out of service."""
    if not after.config.zones_by_id:
        return
    for zone_id, old in before.config.zones_by_id.items():
        if old.in_service and zone_id not in after.config.zones_by_id:
            message = (
                "is removed while it is in service, and no task starts in it any more; "
                "set in_service to false first and remove it once its work has ended"
            )
            yield Note((ZONES_KEY, zone_id), message)


def _all_zones_removed(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    """Report zones that come back, since all are in service if none is declared."""
    if after.config.zones_by_id or not before.config.zones_by_id:
        return
    returning = [
        zone_id for zone_id, old in before.config.zones_by_id.items() if not old.in_service
    ]
    if returning:
        message = (
            f"removing all zones puts {', '.join(returning)} back into service; "
            "keep them with in_service: false"
        )
        yield Note((ZONES_KEY,), message)


def _first_zones(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    if after.config.zones_by_id and not before.config.zones_by_id:
        message = (
            "are the first to be declared, and every other zone goes out of service; "
            "declare all zones that have workers"
        )
        yield Note((ZONES_KEY,), message)


def _first_accounts(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    if after.config.accounts_by_id and not before.config.accounts_by_id:
        message = (
            "are the first to be declared, and jobs of every other account are refused; "
            "declare all accounts in use"
        )
        yield Note((ACCOUNTS_KEY,), message)


def _token_replaced(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    message = "is replaced or withdrawn, and its holder is refused; hand out the new one first"
    if allows_anonymous(after.config):
        return
    old_operator_token = before.config.operator_token_sha256
    if old_operator_token and old_operator_token != after.config.operator_token_sha256:
        yield Note((OPERATOR_TOKEN_KEY,), message)
    for account_id, old in before.config.accounts_by_id.items():
        new = after.config.accounts_by_id.get(account_id)
        if new is not None and old.token_sha256 and old.token_sha256 != new.token_sha256:
            yield Note((ACCOUNTS_KEY, account_id, TOKEN_KEY), message)


def _tokens_withdrawn(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    if allows_anonymous(after.config) and not allows_anonymous(before.config):
        message = (
            "is withdrawn with all other tokens, and entries give every caller that they serve "
            "full access; keep it"
        )
        yield Note((OPERATOR_TOKEN_KEY,), message)


def _first_tokens(before: LocatedConfig, after: LocatedConfig) -> Iterator[Note]:
    if allows_anonymous(before.config) and not allows_anonymous(after.config):
        message = (
            "is the first token, and every request needs one from now on; "
            "hand out the tokens to all callers first"
        )
        yield Note((OPERATOR_TOKEN_KEY,), message)


CHANGE_CHECKS = (
    ChangeCheck("guarantee_reduced", Severity.WARNING, _guarantee_reduced),
    ChangeCheck("account_removed", Severity.WARNING, _account_removed),
    ChangeCheck("zone_removed", Severity.WARNING, _zone_removed),
    ChangeCheck("all_zones_removed", Severity.WARNING, _all_zones_removed),
    ChangeCheck("first_zones", Severity.WARNING, _first_zones),
    ChangeCheck("first_accounts", Severity.WARNING, _first_accounts),
    ChangeCheck("token_replaced", Severity.WARNING, _token_replaced),
    ChangeCheck("tokens_withdrawn", Severity.WARNING, _tokens_withdrawn),
    ChangeCheck("first_tokens", Severity.WARNING, _first_tokens),
)
