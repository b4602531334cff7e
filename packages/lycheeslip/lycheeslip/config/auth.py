"""Authenticates bearer tokens and authorizes callers.

The functions do no I/O; each declared digest is compared in constant time.
"""

import hmac
from dataclasses import dataclass
from hashlib import sha256

from lycheeslip.config.model import FleetConfig

__all__ = [
    "AccountCaller",
    "Caller",
    "UnauthenticatedCaller",
    "AnonymousCaller",
    "Operator",
    "bearer_token",
    "digest_token",
    "authenticate",
    "authenticate_digest",
    "allows_anonymous",
    "may_act_for",
    "may_operate",
]

BEARER_SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator, who has access to everything."""


@dataclass(frozen=True, slots=True)
class AccountCaller:
    """A caller of one account, who can submit, see and cancel only the jobs of that account."""

    account_id: str


@dataclass(frozen=True, slots=True)
class AnonymousCaller:
    """Any caller while the configuration declares no tokens; has access to everything."""


@dataclass(frozen=True, slots=True)
class UnauthenticatedCaller:
    """A caller without a token or with an unknown token."""


Caller = Operator | AccountCaller | AnonymousCaller | UnauthenticatedCaller


def digest_token(token: str) -> str:
    """Return the hexadecimal SHA-256 digest of `token`, as declared in the configuration."""
    return sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def bearer_token(authorization: str) -> str:
    """Return the bearer token of an Authorization header, or "" if it has none."""
    scheme, _, token = authorization.partition(" ")
    return token.strip() if scheme.lower() == BEARER_SCHEME else ""


def allows_anonymous(config: FleetConfig) -> bool:
    """Return whether no tokens are declared, which gives every caller full access."""
    if config.operator_token_sha256:
        return False
    return not any(account.token_sha256 for account in config.accounts_by_id.values())


def authenticate(config: FleetConfig, token: str) -> Caller:
    """Return the caller that `token` authenticates; compares it with every declared digest."""
    return authenticate_digest(config, digest_token(token))


def authenticate_digest(config: FleetConfig, digest: str) -> Caller:
    """Return the caller whose token has this SHA-256 digest."""
    if allows_anonymous(config):
        return AnonymousCaller()
    caller: Caller = UnauthenticatedCaller()
    for account in config.accounts_by_id.values():
        if _digests_match(account.token_sha256, digest):
            caller = AccountCaller(account.account_id)
    if _digests_match(config.operator_token_sha256, digest):
        caller = Operator()
    return caller


def _digests_match(declared: str, digest: str) -> bool:
    return hmac.compare_digest(declared.encode(), digest.encode())


def may_act_for(caller: Caller, account_id: str) -> bool:
    """Return whether `caller` may submit, see and cancel the jobs of the account."""
    match caller:
        case Operator() | AnonymousCaller():
            return True
        case AccountCaller(own_account):
            return own_account == account_id
        case UnauthenticatedCaller():
            return False


def may_operate(caller: Caller) -> bool:
    """Return whether `caller` may change the configuration and drain workers."""
    return isinstance(caller, Operator | AnonymousCaller)
