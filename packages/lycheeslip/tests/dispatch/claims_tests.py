"""How long room that is being made stays claimed."""

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


def test_a_claim_holds_from_round_to_round_but_not_for_ever(clock: list[int]):
    claims = Claims()
    claims.replace({UNIT: NODES})
    clock[0] += CLAIM_MS - 1
    claims.replace({UNIT: NODES})
    assert claims.current() == {UNIT: NODES}
    clock[0] += 1
    assert claims.current() == {}


def test_a_claim_ends_with_its_unit(clock: list[int]):
    claims = Claims()
    claims.replace({UNIT: NODES})
    claims.replace({})
    assert claims.current() == {}


def test_an_ended_claim_may_be_made_anew(clock: list[int]):
    claims = Claims()
    claims.replace({UNIT: NODES})
    clock[0] += CLAIM_MS
    claims.replace({UNIT: NODES})
    assert claims.current() == {UNIT: NODES}
