"""Sessions between entries: liveness, confirmed configuration and relayed messages."""

import asyncio

from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.wire.codec import decode
from lycheeslip_common.wire.messages import (
    AttemptReport,
    FenceReply,
    ForwardedAnswer,
    ForwardedCall,
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
from lycheeslip.entry.forwarding import Forwarding
from lycheeslip.entry.outcomes import OutcomeRecorder
from lycheeslip.entry.router import Router
from lycheeslip.entry.workers import (
    apply_worker_update,
    mark_entry_disconnected,
    mark_worker_disconnected,
)

__all__ = ["Peers"]

PINGS_PER_PERMIT = 8
MAX_MISSED_PINGS = 5
MEMBERSHIP_POLL_S = 0.2


class Peers:
    """Keeps one session to each other entry; the entry with the lower id dials."""

    def __init__(
        self,
        board: Blackboard,
        router: Router,
        outcomes: OutcomeRecorder,
        forwarding: Forwarding,
        fleet_key: str,
        routes: dict[str, str],
        permit_ms: int,
    ) -> None:
        """Authenticate with `fleet_key` and ping PINGS_PER_PERMIT times per permit.

        `routes` maps a session address to the address to dial in its place.
        """
        self._board = board
        self._router = router
        self._outcomes = outcomes
        self._forwarding = forwarding
        self._fleet_key = fleet_key
        self._ping_every_ms = permit_ms // PINGS_PER_PERMIT
        self._routes = routes
        self._dial_tasks_by_peer: dict[EntryInfo, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keep sessions to the entries to dial; an entry whose description changes is redialled."""
        try:
            while True:
                self._update_dial_tasks()
                await asyncio.sleep(MEMBERSHIP_POLL_S)
        finally:
            for task in self._dial_tasks_by_peer.values():
                task.cancel()

    def _update_dial_tasks(self) -> None:
        to_dial = set(self._entries_to_dial(self._board.info.entry_id).values())
        for info in self._dial_tasks_by_peer.keys() - to_dial:
            self._dial_tasks_by_peer.pop(info).cancel()
        for info in to_dial:
            if info not in self._dial_tasks_by_peer or self._has_failed(info):
                task = asyncio.create_task(self._maintain_session(info))
                self._dial_tasks_by_peer[info] = task

    def _has_failed(self, info: EntryInfo) -> bool:
        """Return whether the task that keeps the session to a peer has ended, and log why."""
        task = self._dial_tasks_by_peer[info]
        if not task.done():
            return False
        error = None if task.cancelled() else task.exception()
        log_warning("peer_task_failed", peer=info.entry_id, detail=repr(error))
        return True

    def _entries_to_dial(self, own_id: str) -> dict[str, EntryInfo]:
        """Return the leased entries with a higher id, and all permit holders without a lease.

        A holder without a lease may not reach the store, and then does not know whom to dial.
        """
        leased = self._board.entries_by_id
        to_dial = {i: info for i, info in leased.items() if i > own_id}
        for entry_id, holder in self._board.permit_holders_by_id.items():
            if entry_id not in leased and entry_id != own_id:
                to_dial[entry_id] = holder.info
        return to_dial

    async def serve(self, session: Session) -> None:
        """Exchange messages with a peer until the session ends; raises SessionError then."""
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

    async def _maintain_session(self, info: EntryInfo) -> None:
        backoff = Backoff()
        own_id = self._board.info.entry_id
        while True:
            if info.entry_id in self._router.sessions_by_peer:
                # Each new session replaces the previous one, so two diallers would do so for ever.
                await asyncio.sleep(MEMBERSHIP_POLL_S)
                continue
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
        last_answered_ping_at_ms = monotonic_ms()
        while True:
            status = self._board.peers_by_id.get(session.node_id)
            if status is not None:
                last_answered_ping_at_ms = max(last_answered_ping_at_ms, status.ping_sent_at_ms)
            if monotonic_ms() - last_answered_ping_at_ms > MAX_MISSED_PINGS * self._ping_every_ms:
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
                self._record_contact(session.node_id, message.peers)
                await session.send(PeerPong(message.sent_ms, *self._own_status()))
            case PeerPong():
                self._record_contact(session.node_id, message.peers)
                self._board.peers_by_id[session.node_id] = PeerStatus(
                    message.echo_ms,
                    message.config_revision,
                    message.store_reachable,
                    frozenset(message.peers),
                )
            case WorkerUpdate():
                apply_worker_update(self._board, message.state, message.home_entry)
            case WorkerGone():
                mark_worker_disconnected(
                    self._board, message.worker_id, message.incarnation, message.home_entry
                )
            case ForwardedCall():
                self._forwarding.accept(session.node_id, message)
            case ForwardedAnswer():
                self._forwarding.deliver(session.node_id, message)
            case Relay(to_worker=""):
                await self._handle_relayed(decode(message.frame))
            case Relay():
                await self._router.relay_to_worker(message)
            case _:
                self._board.metrics.count("session.unexpected_message")

    def _record_contact(self, peer: str, expected_by_peer: tuple[str, ...]) -> None:
        """Add `peer` to the expected peers, and to `expected_by` if it expects this entry."""
        self._board.contacted_peers.add(peer)
        if self._board.info.entry_id in expected_by_peer:
            self._board.expected_by.add(peer)

    async def _handle_relayed(self, message: Message) -> None:
        match message:
            case ReserveReply() | PrepareReply() | FenceReply():
                await self._router.deliver_reply(message)
            case AttemptReport():
                await self._outcomes.record_report(message)
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
        self._forwarding.end_peer(entry_id)
        mark_entry_disconnected(self._board, entry_id)
        self._board.replan_requested.set()
