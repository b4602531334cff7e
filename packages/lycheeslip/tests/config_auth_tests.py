import pytest
from lycheeslip.config import Account, FleetConfig
from lycheeslip.config.auth import (
    AccountCaller,
    AnonymousCaller,
    Operator,
    UnauthenticatedCaller,
    authenticate,
    bearer_token,
    digest_token,
    may_act_for,
    may_operate,
)

CLOSED = FleetConfig(
    accounts_by_id={
        "a": Account("a", token_sha256=digest_token("token-a")),
        "b": Account("b"),
    },
    operator_token_sha256=digest_token("token-operator"),
)


@pytest.mark.parametrize(
    ("token", "caller"),
    [
        ("token-a", AccountCaller("a")),
        ("token-operator", Operator()),
        ("token-x", UnauthenticatedCaller()),
        ("", UnauthenticatedCaller()),
        (digest_token("token-a"), UnauthenticatedCaller()),
        ("\udc80é", UnauthenticatedCaller()),
    ],
)
def test_bearer_is_identified_by_digest(token, caller):
    assert authenticate(CLOSED, token) == caller


def test_everybody_may_act_while_no_tokens_are_declared():
    assert authenticate(FleetConfig(accounts_by_id={"b": Account("b")}), "") == AnonymousCaller()


def test_one_account_token_closes_the_fleet_for_all_others():
    config = CLOSED._replace(operator_token_sha256="")
    assert authenticate(config, "") == UnauthenticatedCaller()


@pytest.mark.parametrize(
    ("header", "token"),
    [
        ("Bearer abc", "abc"),
        ("bearer  abc ", "abc"),
        ("Basic abc", ""),
        ("Bearer", ""),
        ("", ""),
    ],
)
def test_token_is_read_from_the_header(header, token):
    assert bearer_token(header) == token


@pytest.mark.parametrize(
    ("caller", "own", "other", "operate"),
    [
        (Operator(), True, True, True),
        (AnonymousCaller(), True, True, True),
        (AccountCaller("a"), True, False, False),
        (UnauthenticatedCaller(), False, False, False),
    ],
)
def test_rights(caller, own, other, operate):
    assert (may_act_for(caller, "a"), may_act_for(caller, "b")) == (own, other)
    assert may_operate(caller) == operate
