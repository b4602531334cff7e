"""Routes messages to workers and entries, over this entry's sessions or through a peer."""

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Callable

from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.wire.codec import decode, encode
from lycheeslip_common.wire.messages import (
    FenceReply,
    Message,
    PrepareReply,
    Relay,
    ReserveReply,
)
from lycheeslip_common.wire.session import Session, SessionError

from lycheeslip.entry.blackboard import Blackboard

__all__ = ["Reply", "Router"]

REQUEST_ID_BITS = 53
MAX_RELAYED_REQUESTS = 10_000

Reply = ReserveReply | PrepareReply | FenceReply


class Router:
    """Holds the open sessions; a worker of another entry is reached through its home entry."""

    def __init__(self, board: Blackboard) -> None:
        """Look up the home entry of each worker in `board`."""
        self._board = board
        self.sessions_by_worker: dict[str, Session] = {}
        self.sessions_by_peer: dict[str, Session] = {}
        self._pending_by_request: dict[int, asyncio.Future[Reply]] = {}
        self._origin_by_request: OrderedDict[int, str] = OrderedDict()

    async def to_worker(self, worker_id: str, message: Message) -> bool:
        """Send `message` to a worker or to its home entry; return whether it was sent."""
        return await self._forward_to_worker(worker_id, encode(message), self._own_id)

    async def to_entry(self, entry_id: str, message: Message) -> bool:
        """Send `message` to a peer; return whether it was sent."""
        session = self.sessions_by_peer.get(entry_id)
        return session is not None and await self._send(session, encode(message))

    async def to_all_peers(self, message: Message) -> None:
        """Send `message` to every peer with an open session."""
        frame = encode(message)
        for session in list(self.sessions_by_peer.values()):
            await self._send(session, frame)

    async def relay_to_entry(self, entry_id: str, message: Message) -> bool:
        """Relay a worker's message to the entry `entry_id`."""
        return await self.to_entry(entry_id, Relay("", entry_id, self._own_id, encode(message)))

    async def request(
        self, worker_id: str, build: Callable[[int], Message], timeout_s: float
    ) -> Reply | None:
        """Send a request to a worker and return its reply, None if none comes in `timeout_s`."""
        request_id = secrets.randbits(REQUEST_ID_BITS)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending_by_request[request_id] = future
        try:
            if not await self.to_worker(worker_id, build(request_id)):
                return None
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            self._board.metrics.count("retry.request.timeout")
            return None
        finally:
            del self._pending_by_request[request_id]

    def traffic(self) -> dict[str, int]:
        """Return total frames and bytes of the open sessions, for agents and for peers."""
        totals: dict[str, int] = {}
        for role, sessions in (
            ("agents", self.sessions_by_worker),
            ("peers", self.sessions_by_peer),
        ):
            open_sessions = list(sessions.values())
            totals[f"{role}_frames"] = sum(session.frames for session in open_sessions)
            totals[f"{role}_bytes"] = sum(
                session.sent_bytes + session.received_bytes for session in open_sessions
            )
        return totals

    async def deliver_reply(self, reply: Reply) -> None:
        """Complete the request that a reply answers, or relay it to the requesting entry."""
        future = self._pending_by_request.get(reply.request_id)
        if future is not None:
            if not future.done():
                future.set_result(reply)
            return
        origin = self._origin_by_request.pop(reply.request_id, "")
        if origin:
            await self.relay_to_entry(origin, reply)

    async def relay_to_worker(self, relay: Relay) -> None:
        """Forward a message relayed by a peer to a worker of this entry."""
        message = decode(relay.frame)
        request_id = getattr(message, "request_id", 0)
        if request_id:
            self._remember_origin(request_id, relay.from_node)
        session = self.sessions_by_worker.get(relay.to_worker)
        if session is None or not await self._send(session, relay.frame):
            log_warning("relay_without_session", worker=relay.to_worker)

    async def _forward_to_worker(self, worker_id: str, frame: bytes, from_node: str) -> bool:
        session = self.sessions_by_worker.get(worker_id)
        if session is not None:
            return await self._send(session, frame)
        view = self._board.workers_by_id.get(worker_id)
        if view is None or view.disconnected_at_ms:
            return False
        peer = self.sessions_by_peer.get(view.home_entry)
        if peer is None:
            return False
        return await self._send(peer, encode(Relay(worker_id, "", from_node, frame)))

    async def _send(self, session: Session, frame: bytes) -> bool:
        try:
            await session.send_frame(frame)
        except SessionError:
            return False
        return True

    def _remember_origin(self, request_id: int, origin: str) -> None:
        self._origin_by_request[request_id] = origin
        while len(self._origin_by_request) > MAX_RELAYED_REQUESTS:
            self._origin_by_request.popitem(last=False)

    @property
    def _own_id(self) -> str:
        return self._board.info.entry_id
