import pytest
from lycheeslip.entry.blackboard import PeerStatus
from lycheeslip.entry.permits import permit_until_ms

PERMIT_MS = 2_500
AGREEING_PEER = PeerStatus(9_000, 7, False, frozenset({"a", "c"}))


def permit_end_ms(reachable=False, expected=("b", "c"), peers=None):
    peers_by_id = (
        {"b": AGREEING_PEER, "c": AGREEING_PEER._replace(ping_sent_at_ms=8_800)}
        if peers is None
        else peers
    )
    return permit_until_ms(1_000, 7, PERMIT_MS, reachable, frozenset(expected), peers_by_id, "a")


@pytest.mark.parametrize(
    ("case", "expected"),
    [
        ({}, 8_800 + PERMIT_MS),
        ({"reachable": True}, 1_000 + PERMIT_MS),
        ({"expected": ()}, 1_000 + PERMIT_MS),
        ({"expected": ("b", "c", "d")}, 1_000 + PERMIT_MS),
        ({"peers": {"b": AGREEING_PEER}}, 1_000 + PERMIT_MS),
        (
            {"peers": {"b": AGREEING_PEER, "c": AGREEING_PEER._replace(store_reachable=True)}},
            1_000 + PERMIT_MS,
        ),
        (
            {"peers": {"b": AGREEING_PEER, "c": AGREEING_PEER._replace(config_revision=8)}},
            1_000 + PERMIT_MS,
        ),
        (
            {
                "peers": {
                    "b": AGREEING_PEER,
                    "c": AGREEING_PEER._replace(peers=frozenset({"a", "d"})),
                }
            },
            1_000 + PERMIT_MS,
        ),
    ],
)
def test_a_permit_is_extended_only_if_all_expected_peers_agree(case, expected):
    assert permit_end_ms(**case) == expected
