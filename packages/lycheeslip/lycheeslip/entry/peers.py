"""Sessions between entries: who is live, what each confirms, and relayed messages."""

import asyncio

from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.wire.codec import decode
from lycheeslip_common.wire.messages import (
    AttemptReport,
    FenceReply,
    Message,
    PeerPing,
    PeerPong,
    PrepareReply,
    Relay,
    ReserveReply,
    WorkerGone,
    WorkerUpdate,
)
from lycheeslip_common.wire.session import Session, SessionError, dial

from lycheeslip.entry.blackboard import Blackboard, PeerStatus
from lycheeslip.entry.outcomes import Outcomes
from lycheeslip.entry.router import Router
from lycheeslip.entry.workers import note_entry_lost, note_gone, note_update

__all__ = ["Peers"]

PINGS_PER_PERMIT = 8
PINGS_OF_SILENCE = 5
MEMBERSHIP_CHECK_S = 0.2


class Peers:
    """Keeps one session to each other entry; the lower entry id dials the higher."""

    def __init__(
        self,
        board: Blackboard,
        router: Router,
        outcomes: Outcomes,
        fleet_key: str,
        routes: dict[str, str],
        permit_ms: int,
    ) -> None:
        """Prove `fleet_key` to peers, dialled by `routes`, and ping them as permits need."""
        self._board = board
        self._router = router
        self._outcomes = outcomes
        self._fleet_key = fleet_key
        self._ping_every_ms = permit_ms // PINGS_PER_PERMIT
        self._routes = routes
        self._diallers_by_peer: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Dial each leased entry with a higher id, and stop dialling those that left."""
        own_id = self._board.info.entry_id
        while True:
            wanted = self._wanted(own_id)
            for entry_id, info in wanted.items():
                if entry_id not in self._diallers_by_peer:
                    task = asyncio.create_task(self._keep_dialled(info))
                    self._diallers_by_peer[entry_id] = task
            for entry_id in self._diallers_by_peer.keys() - wanted.keys():
                self._diallers_by_peer.pop(entry_id).cancel()
            await asyncio.sleep(MEMBERSHIP_CHECK_S)

    def _wanted(self, own_id: str) -> dict[str, EntryInfo]:
        """Return whom to dial: also holders that have lost the store and so can't know us."""
        leased = self._board.entries_by_id
        wanted = {i: info for i, info in leased.items() if i > own_id}
        for entry_id, holder in self._board.holders_by_id.items():
            if entry_id not in leased and entry_id != own_id:
                wanted[entry_id] = holder.info
        return wanted

    async def serve(self, session: Session) -> None:
        """Exchange messages with a peer until the session ends."""
        entry_id = session.node_id
        previous = self._router.sessions_by_peer.get(entry_id)
        self._router.sessions_by_peer[entry_id] = session
        if previous is not None:
            await previous.close()
        log_event("peer_session_opened", peer=entry_id)
        pinger = asyncio.create_task(self._ping(session))
        try:
            await self._send_own_workers(session)
            while True:
                await self._handle(session, await session.receive())
        finally:
            pinger.cancel()
            self._end(session)

    async def _keep_dialled(self, info: EntryInfo) -> None:
        backoff = Backoff()
        own_id = self._board.info.entry_id
        while True:
            try:
                address = self._routes.get(info.session_address, info.session_address)
                session = await dial(address, self._fleet_key, "entry", own_id)
            except SessionError as error:
                log_warning("peer_unreachable", peer=info.entry_id, detail=error)
                self._board.metrics.count("retry.peer.unreachable")
                await asyncio.sleep(backoff.next_delay_s())
                continue
            backoff.reset()
            try:
                await self.serve(session)
            except SessionError as error:
                log_warning("peer_session_ended", peer=info.entry_id, detail=error)
            finally:
                await session.close()
            await asyncio.sleep(backoff.next_delay_s())

    async def _ping(self, session: Session) -> None:
        heard_at_ms = monotonic_ms()
        while True:
            status = self._board.peers_by_id.get(session.node_id)
            if status is not None:
                heard_at_ms = max(heard_at_ms, status.asked_at_ms)
            if monotonic_ms() - heard_at_ms > PINGS_OF_SILENCE * self._ping_every_ms:
                self._board.metrics.count("session.peer_silent")
                await session.close()
                return
            try:
                await session.send(self._make_ping())
            except SessionError:
                return
            await asyncio.sleep(self._ping_every_ms / 1000)

    async def _handle(self, session: Session, message: Message) -> None:
        match message:
            case PeerPing():
                self._note_heard(session.node_id, message.peers)
                await session.send(PeerPong(message.sent_ms, *self._own_status()))
            case PeerPong():
                self._note_heard(session.node_id, message.peers)
                self._board.peers_by_id[session.node_id] = PeerStatus(
                    message.echo_ms,
                    message.config_revision,
                    message.store_reachable,
                    frozenset(message.peers),
                )
            case WorkerUpdate():
                note_update(self._board, message.state, message.home_entry)
            case WorkerGone():
                note_gone(self._board, message.worker_id, message.incarnation, message.home_entry)
            case Relay(to_worker=""):
                await self._handle_relayed(decode(message.frame))
            case Relay():
                await self._router.relay_to_worker(message)
            case _:
                self._board.metrics.count("session.unexpected_message")

    def _note_heard(self, peer: str, expected_by_peer: tuple[str, ...]) -> None:
        """Wait for `peer` before extending permits from now on, and note if it waits for us."""
        self._board.acquainted.add(peer)
        if self._board.info.entry_id in expected_by_peer:
            self._board.known_by.add(peer)

    async def _handle_relayed(self, message: Message) -> None:
        match message:
            case ReserveReply() | PrepareReply() | FenceReply():
                await self._router.take_reply(message)
            case AttemptReport():
                await self._outcomes.take(message)
            case _:
                self._board.metrics.count("session.unexpected_message")

    async def _send_own_workers(self, session: Session) -> None:
        own_id = self._board.info.entry_id
        for view in list(self._board.workers_by_id.values()):
            if view.home_entry == own_id:
                await session.send(WorkerUpdate(view.state, own_id))

    def _make_ping(self) -> PeerPing:
        return PeerPing(monotonic_ms(), *self._own_status())

    def _own_status(self) -> tuple[int, bool, tuple[str, ...]]:
        others = self._board.expected_peers()
        return self._board.config.revision, self._board.store_reachable, tuple(others)

    def _end(self, session: Session) -> None:
        entry_id = session.node_id
        if self._router.sessions_by_peer.get(entry_id) is not session:
            return
        del self._router.sessions_by_peer[entry_id]
        self._board.peers_by_id.pop(entry_id, None)
        note_entry_lost(self._board, entry_id)
        self._board.plan_wanted.set()
