"""Authenticated WebSocket sessions that exchange typed messages.

Authentication is mutual: the listener sends a nonce, the client signs it with the fleet key
and sends its own nonce, and the listener signs that. The key itself is never sent.
"""

import asyncio
import hmac
import secrets
from collections.abc import Awaitable, Callable
from hashlib import sha256

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from lycheeslip_common.admission.limits import AdmissionLimits
from lycheeslip_common.admission.peers import PeerConnection, UnidentifiedPeers
from lycheeslip_common.admission.server import MetricsObserver
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.utils.usable import is_usable_address, shorten
from lycheeslip_common.wire.codec import MAX_FRAME_BYTES, MalformedFrameError, decode, encode
from lycheeslip_common.wire.messages import Challenge, Hello, Message, Welcome

__all__ = ["Session", "SessionError", "dial", "listen"]

NONCE_BYTES = 16
OPEN_TIMEOUT_S = 3.0


class SessionError(ConnectionError):
    """The session could not be opened or has ended."""


def _sign(key: str, *parts: str) -> str:
    return hmac.new(key.encode(), "\0".join(parts).encode(), sha256).hexdigest()


class Session:
    """An open session; `send` and `receive` raise SessionError once it has ended."""

    def __init__(
        self, connection: ClientConnection | ServerConnection, role: str, node_id: str
    ) -> None:
        """Wrap an authenticated connection to `node_id`."""
        self._connection = connection
        self.role = role
        self.node_id = node_id
        self.entries: tuple[EntryInfo, ...] = ()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.frames = 0

    async def send(self, message: Message) -> None:
        """Encode and send `message`."""
        await self.send_frame(encode(message))

    async def send_frame(self, frame: bytes) -> None:
        """Send an encoded message."""
        try:
            await self._connection.send(frame)
        except (ConnectionClosed, OSError) as error:
            raise SessionError(str(error)) from error
        self.sent_bytes += len(frame)
        self.frames += 1

    async def receive(self) -> Message:
        """Return the next message; a malformed frame closes the session and raises SessionError."""
        try:
            frame = await self._connection.recv()
        except (ConnectionClosed, OSError) as error:
            raise SessionError(str(error)) from error
        self.received_bytes += len(frame)
        self.frames += 1
        try:
            return decode(frame)
        except MalformedFrameError as error:
            await self.close()
            raise SessionError(f"malformed frame from {self.node_id}: {error}") from error

    async def close(self) -> None:
        """Close the session; has no effect if it is already closed."""
        try:
            await self._connection.close()
        except OSError:
            return


async def dial(address: str, key: str, role: str, node_id: str) -> Session:
    """Open a session to the listener at `address` (host:port); raises SessionError."""
    if not is_usable_address(address):
        raise SessionError(f"not an address: {shorten(address)}")
    try:
        connection = await connect(
            f"ws://{address}",
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=1,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            proxy=None,
        )
    except (OSError, TimeoutError, WebSocketException) as error:
        raise SessionError(f"could not open a session to {address}: {error}") from error
    session = Session(connection, "listener", address)
    try:
        challenge = await session.receive()
        if not isinstance(challenge, Challenge):
            raise SessionError(f"{address} did not send a Challenge as its first message")
        nonce = secrets.token_hex(NONCE_BYTES)
        proof = _sign(key, "dialler", challenge.nonce, role, node_id)
        await session.send(Hello(role, node_id, nonce, proof))
        welcome = await session.receive()
        if not isinstance(welcome, Welcome):
            raise SessionError(f"{address} did not answer Hello with Welcome")
        expected = _sign(key, "listener", nonce, welcome.node_id)
        if not hmac.compare_digest(expected, welcome.proof):
            raise SessionError(f"{address} failed authentication: it does not have the fleet key")
    except SessionError:
        await session.close()
        raise
    session.node_id = welcome.node_id
    session.entries = welcome.entries
    return session


async def listen(
    address: str,
    key: str,
    node_id: str,
    handle: Callable[[Session], Awaitable[None]],
    live_entries: Callable[[], tuple[EntryInfo, ...]],
    metrics: Metrics,
    limits: AdmissionLimits | None = None,
) -> Server:
    """Listen on `address` (host:port) and call `handle` with each authenticated session.

    `limits` bound the peers that are not authenticated yet.
    """
    host, _, port = address.rpartition(":")
    peers = UnidentifiedPeers(limits, MetricsObserver(metrics))

    async def accept(connection: ServerConnection) -> None:
        session = Session(connection, "unknown", "unknown")
        try:
            nonce = secrets.token_hex(NONCE_BYTES)
            await session.send(Challenge(nonce))
            try:
                async with asyncio.timeout(OPEN_TIMEOUT_S):
                    hello = await session.receive()
            except TimeoutError:
                raise SessionError("the client did not answer Challenge in time") from None
            if not isinstance(hello, Hello):
                raise SessionError("the client did not answer Challenge with Hello")
            expected = _sign(key, "dialler", nonce, hello.role, hello.node_id)
            if not hmac.compare_digest(expected, hello.proof):
                metrics.count("session.refused.wrong_key")
                raise SessionError(
                    f"{hello.node_id} failed authentication: it does not have the fleet key"
                )
            if isinstance(connection, PeerConnection):
                connection.identify()
            session.role, session.node_id = hello.role, hello.node_id
            proof = _sign(key, "listener", hello.nonce, node_id)
            await session.send(Welcome(node_id, proof, live_entries()))
            await handle(session)
        except SessionError as error:
            metrics.count("session.ended")
            log_warning("session_ended", peer=session.node_id, reason=error)
        finally:
            await session.close()

    return await serve(
        accept,
        host,
        int(port),
        ping_interval=None,
        close_timeout=1,
        open_timeout=OPEN_TIMEOUT_S,
        max_size=MAX_FRAME_BYTES,
        compression=None,
        create_connection=peers.create_connection,
    )
