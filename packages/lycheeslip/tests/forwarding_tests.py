from lycheeslip.entry.blackboard import Blackboard, PeerStatus
from lycheeslip.entry.forwarding import Call, Forwarding
from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.messages import CallKind, ForwardedAnswer

CALL = Call(CallKind.SUBMIT, "k", "")
NOT_RUN = Unreachable(False)


class ScriptedPeers:
    """Peers that answer with `answers` in turn; None ends the session of the peer instead."""

    def __init__(self, *answers):
        self.board = Blackboard(EntryInfo("e0", "r", "z", "", ""), Metrics())
        self.sessions_by_peer = {}
        for number in range(1, 5):
            self.board.peers_by_id[f"e{number}"] = PeerStatus(number, 0, True, frozenset())
            self.sessions_by_peer[f"e{number}"] = object()
        self.asked = []
        self.answers = list(answers)
        self.forwarding = Forwarding(self.board, self)

    async def to_entry(self, peer, call):
        self.asked.append(peer)
        answer = self.answers.pop(0)
        if answer is None:
            self.forwarding.end_peer(peer)
        else:
            self.forwarding.deliver(peer, answer._replace(request_id=call.request_id))
        return True

    async def ask(self, before=NOT_RUN):
        return await self.forwarding.ask(CALL, before)


DECLINED = ForwardedAnswer(0, False, False)
ACCEPTED = ForwardedAnswer(0, True, True, 202)
REFUSED = ForwardedAnswer(0, True, False, 429)


async def test_a_refusal_after_a_lost_answer_may_have_run():
    assert await ScriptedPeers(None, REFUSED).ask() == Unreachable(True)


async def test_a_refusal_after_a_lost_write_of_this_entry_may_have_run():
    assert await ScriptedPeers(REFUSED).ask(Unreachable(True)) == Unreachable(True)


async def test_a_refusal_after_peers_that_declined_stands():
    answer = await ScriptedPeers(DECLINED, REFUSED).ask()
    assert (answer.status, answer.may_have_run) == (429, False)


async def test_an_acceptance_after_a_lost_answer_stands():
    assert (await ScriptedPeers(None, ACCEPTED).ask()).status == 202


async def test_a_call_that_all_peers_decline_did_not_run():
    assert await ScriptedPeers(DECLINED, DECLINED, DECLINED).ask() == NOT_RUN


async def test_only_peers_with_the_store_are_asked_and_newest_first():
    peers = ScriptedPeers(DECLINED, DECLINED)
    for peer in ("e1", "e3"):
        peers.board.peers_by_id[peer] = peers.board.peers_by_id[peer]._replace(
            store_reachable=False
        )
    await peers.ask()
    assert peers.asked == ["e4", "e2"]


async def test_an_answer_from_another_peer_than_the_asked_one_is_ignored():
    peers = ScriptedPeers()
    delivered = []

    async def to_entry(peer, call):
        peers.forwarding.deliver("e9", ACCEPTED._replace(request_id=call.request_id))
        delivered.append(peer)
        peers.forwarding.end_peer(peer)
        return True

    peers.to_entry = to_entry
    assert await peers.ask() == Unreachable(True)
    assert len(delivered) == 3


def test_times_are_sent_as_remaining_time():
    call = CALL._replace(deadline_at_ms=wall_ms() + 5_000)
    assert 4_000 < call.message(1, 0).deadline_remaining_ms <= 5_000
    assert call._replace(deadline_at_ms=1).message(1, 0).deadline_remaining_ms == 1
    assert CALL.message(1, 0).deadline_remaining_ms == 0
    assert CALL.message(1, 0).wait_remaining_ms == 0
