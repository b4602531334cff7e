import pytest
from lycheeslip.entry.blackboard import PeerStatus
from lycheeslip.entry.permits import permit_until_ms

PERMIT_MS = 2_500
ALIKE = PeerStatus(9_000, 7, False, frozenset({"a", "c"}))


def until(reachable=False, expected=("b", "c"), peers=None):
    known = {"b": ALIKE, "c": ALIKE._replace(asked_at_ms=8_800)} if peers is None else peers
    return permit_until_ms(1_000, 7, PERMIT_MS, reachable, frozenset(expected), known, "a")


@pytest.mark.parametrize(
    ("case", "expected"),
    [
        ({}, 8_800 + PERMIT_MS),
        ({"reachable": True}, 1_000 + PERMIT_MS),
        ({"expected": ()}, 1_000 + PERMIT_MS),
        ({"expected": ("b", "c", "d")}, 1_000 + PERMIT_MS),
        ({"peers": {"b": ALIKE}}, 1_000 + PERMIT_MS),
        ({"peers": {"b": ALIKE, "c": ALIKE._replace(store_reachable=True)}}, 1_000 + PERMIT_MS),
        ({"peers": {"b": ALIKE, "c": ALIKE._replace(config_revision=8)}}, 1_000 + PERMIT_MS),
        (
            {"peers": {"b": ALIKE, "c": ALIKE._replace(peers=frozenset({"a", "d"}))}},
            1_000 + PERMIT_MS,
        ),
    ],
)
def test_a_permit_is_extended_only_when_all_peers_say_the_same(case, expected):
    assert until(**case) == expected
