"""Decides who the bearer of a token is; pure, and in constant time for each declared token."""

import hmac
from dataclasses import dataclass
from hashlib import sha256

from lycheeslip.config.model import FleetConfig

__all__ = [
    "AccountCaller",
    "Caller",
    "Nobody",
    "OpenCaller",
    "Operator",
    "bearer_token",
    "digest_token",
    "identify",
    "is_open",
    "may_act_for",
    "may_operate",
]

BEARER_SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator, who may see and change everything."""


@dataclass(frozen=True, slots=True)
class AccountCaller:
    """A caller of one account, who sees and cancels only its jobs."""

    account_id: str


@dataclass(frozen=True, slots=True)
class OpenCaller:
    """Any caller while no tokens are declared; may do everything."""


@dataclass(frozen=True, slots=True)
class Nobody:
    """A caller without a token, or with an unknown one."""


Caller = Operator | AccountCaller | OpenCaller | Nobody


def digest_token(token: str) -> str:
    """Return the digest of `token` that a configuration declares."""
    return sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def bearer_token(authorization: str) -> str:
    """Return the token of an Authorization header, or "" if it carries none."""
    scheme, _, token = authorization.partition(" ")
    return token.strip() if scheme.lower() == BEARER_SCHEME else ""


def is_open(config: FleetConfig) -> bool:
    """Return whether no tokens are declared, so that every caller may do everything."""
    if config.operator_token_sha256:
        return False
    return not any(account.token_sha256 for account in config.accounts_by_id.values())


def identify(config: FleetConfig, token: str) -> Caller:
    """Return who bears `token` under `config`; compares with every declared digest."""
    if is_open(config):
        return OpenCaller()
    digest = digest_token(token)
    caller: Caller = Nobody()
    for account in config.accounts_by_id.values():
        if _same(account.token_sha256, digest):
            caller = AccountCaller(account.account_id)
    if _same(config.operator_token_sha256, digest):
        caller = Operator()
    return caller


def _same(declared: str, digest: str) -> bool:
    return hmac.compare_digest(declared.encode(), digest.encode())


def may_act_for(caller: Caller, account_id: str) -> bool:
    """Return whether `caller` may submit, see and cancel jobs of the account."""
    match caller:
        case Operator() | OpenCaller():
            return True
        case AccountCaller(own_account):
            return own_account == account_id
        case Nobody():
            return False


def may_operate(caller: Caller) -> bool:
    """Return whether `caller` may change the configuration and drain workers."""
    return isinstance(caller, Operator | OpenCaller)
