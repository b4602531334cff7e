"""Tests of the lifetime of claims on nodes."""

import pytest
from lycheeslip.dispatch import claims as claims_module
from lycheeslip.dispatch.claims import CLAIM_MS, Claims

UNIT = ("job", 0, 0, (0, 1))
NODES = frozenset({"n1", "n2"})


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    now = [1_000]
    monkeypatch.setattr(claims_module, "steady_ms", lambda: now[0])
    return now


def test_repeated_claim_keeps_its_expiry(clock: list[int]):
    claims = Claims()
    claims.replace({UNIT: NODES})
    clock[0] += CLAIM_MS - 1
    claims.replace({UNIT: NODES})
    assert claims.current() == {UNIT: NODES}
    clock[0] += 1
    assert claims.current() == {}


def test_claim_is_removed_when_its_unit_no_longer_claims(clock: list[int]):
    claims = Claims()
    claims.replace({UNIT: NODES})
    claims.replace({})
    assert claims.current() == {}


def test_expired_claim_can_be_claimed_again(clock: list[int]):
    claims = Claims()
    claims.replace({UNIT: NODES})
    clock[0] += CLAIM_MS
    claims.replace({UNIT: NODES})
    assert claims.current() == {UNIT: NODES}
