"""The entries that agents are told to choose from, by which of them reach the store."""

import pytest
from lycheeslip.entry.blackboard import Blackboard, PeerStatus
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.metrics import Metrics


@pytest.mark.parametrize(
    ("own", "peers", "homes"),
    [
        (True, {"e2": True, "e3": True}, ["e1", "e2", "e3"]),
        (False, {"e2": True, "e3": True}, ["e2", "e3"]),
        (True, {"e2": False, "e3": True}, ["e1", "e3"]),
        (True, {"e2": True}, ["e1", "e2"]),
        (False, {"e2": False, "e3": False}, ["e1", "e2", "e3"]),
        (False, {}, ["e1", "e2", "e3"]),
        (False, {"e4": True}, ["e1", "e2", "e3"]),
    ],
)
def test_agents_choose_among_the_entries_that_reach_the_store(own, peers, homes):
    infos = {name: EntryInfo(name, "r", "z", "", "") for name in ("e1", "e2", "e3")}
    board = Blackboard(infos["e1"], Metrics())
    board.entries_by_id = infos
    board.store_reachable = own
    board.peers_by_id = {
        peer: PeerStatus(0, 0, reachable, frozenset()) for peer, reachable in peers.items()
    }
    assert [info.entry_id for info in board.home_entries()] == homes
