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

CONFIG = FleetConfig(
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
def test_caller_is_authenticated_by_token_digest(token, caller):
    assert authenticate(CONFIG, token) == caller


def test_callers_are_anonymous_while_no_tokens_are_declared():
    assert authenticate(FleetConfig(accounts_by_id={"b": Account("b")}), "") == AnonymousCaller()


def test_one_account_token_ends_anonymous_access():
    config = CONFIG._replace(operator_token_sha256="")
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
def test_token_is_read_from_the_authorization_header(header, token):
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
def test_permissions_of_each_kind_of_caller(caller, own, other, operate):
    assert (may_act_for(caller, "a"), may_act_for(caller, "b")) == (own, other)
    assert may_operate(caller) == operate
