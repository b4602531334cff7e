"""Carries messages to workers and entries, over this entry's sessions or a peer's."""

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
    """Knows the open sessions; a message to a worker takes one hop through its home entry."""

    def __init__(self, board: Blackboard) -> None:
        """Route by what `board` says of workers and entries."""
        self._board = board
        self.sessions_by_worker: dict[str, Session] = {}
        self.sessions_by_peer: dict[str, Session] = {}
        self._pending_by_request: dict[int, asyncio.Future[Reply]] = {}
        self._origin_by_request: OrderedDict[int, str] = OrderedDict()

    async def to_worker(self, worker_id: str, message: Message) -> bool:
        """Send `message` towards a worker; False if no way to it is known."""
        return await self._forward_to_worker(worker_id, encode(message), self._own_id)

    async def to_entry(self, entry_id: str, message: Message) -> bool:
        """Send `message` to a peer as it stands."""
        session = self.sessions_by_peer.get(entry_id)
        return session is not None and await self._send(session, encode(message))

    async def to_all_peers(self, message: Message) -> None:
        """Send `message` to every peer with an open session."""
        frame = encode(message)
        for session in list(self.sessions_by_peer.values()):
            await self._send(session, frame)

    async def relay_to_entry(self, entry_id: str, message: Message) -> bool:
        """Hand a worker's message on to the entry that it concerns."""
        return await self.to_entry(entry_id, Relay("", entry_id, self._own_id, encode(message)))

    async def request(
        self, worker_id: str, build: Callable[[int], Message], timeout_s: float
    ) -> Reply | None:
        """Send a request to a worker and return its reply, None without one in time."""
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
        """Return the frames and bytes of the open sessions with agents and with peers."""
        totals: dict[str, int] = {}
        for role, sessions in (
            ("agents", self.sessions_by_worker),
            ("peers", self.sessions_by_peer),
        ):
            counted = list(sessions.values())
            totals[f"{role}_frames"] = sum(session.frames for session in counted)
            totals[f"{role}_bytes"] = sum(
                session.sent_bytes + session.received_bytes for session in counted
            )
        return totals

    async def take_reply(self, reply: Reply) -> None:
        """Give a reply to the request that waits for it, here or at the entry that asked."""
        future = self._pending_by_request.get(reply.request_id)
        if future is not None:
            if not future.done():
                future.set_result(reply)
            return
        origin = self._origin_by_request.pop(reply.request_id, "")
        if origin:
            await self.relay_to_entry(origin, reply)

    async def relay_to_worker(self, relay: Relay) -> None:
        """Pass a peer's message on to a worker of this entry."""
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
        if view is None or view.gone_at_ms:
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
