"""Websocket links of workload messages between entries and agents.

Sending never waits: messages queue up to a bound, past which the link is closed, so that a
peer that stops reading delays nobody.
"""

import asyncio
from collections.abc import Awaitable, Callable

import cbor2
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from lycheeslip_common.workload.fleet import InvalidMessageError, Message, decode, encode

__all__ = ["Link", "LinkClosedError", "dial", "listen"]

MAX_FRAME_BYTES = 4 * 1024 * 1024  # a worker's 500 listed ends with checkpoints are under 100 KB
MAX_QUEUED_FRAMES = 1_000  # more than a full restart of one worker's runs, ten times over
OPEN_TIMEOUT_S = 1.0  # a zone is about 1 ms away; a dial that hangs gives way to the next entry
CLOSE_TIMEOUT_S = 0.5


class LinkClosedError(ConnectionError):
    """The link could not be opened or has ended."""


class Link:
    """One open link to the process `node`, whose role is "entry" or "agent"."""

    def __init__(self, connection: ClientConnection | ServerConnection) -> None:
        """Wrap an open connection; `run_sender` must run while it is used."""
        self._connection = connection
        self._frames: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_FRAMES)
        self.node = ""
        self.role = ""
        self.is_closed = False

    def post(self, message: Message) -> None:
        """Queue one message; a link whose queue is full is closed."""
        self.post_frame(encode(message))

    def post_frame(self, frame: bytes) -> None:
        """Queue an encoded message."""
        if self.is_closed:
            return
        try:
            self._frames.put_nowait(frame)
        except asyncio.QueueFull:
            self.abort()

    async def run_sender(self) -> None:
        """Send queued messages until the link ends."""
        try:
            while not self.is_closed:
                await self._connection.send(await self._frames.get())
        except (ConnectionClosed, OSError):
            self.abort()

    async def receive(self, timeout_s: float) -> Message:
        """Return the next message; raises LinkClosedError if none comes within `timeout_s`."""
        return decode(await self.receive_frame(timeout_s))

    async def receive_frame(self, timeout_s: float) -> bytes | str:
        """Return the next frame; raises LinkClosedError."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connection.recv()
        except TimeoutError:
            self.abort()
            raise LinkClosedError(f"{self.node} was silent for {timeout_s} s") from None
        except (ConnectionClosed, OSError) as error:
            self.abort()
            raise LinkClosedError(str(error)) from error

    def abort(self) -> None:
        """Drop the connection without waiting for the peer."""
        self.is_closed = True
        transport = self._connection.transport
        if transport is not None:
            transport.abort()


async def dial(address: str, role: str, node: str) -> Link:
    """Open a link to the listener at `address`; raises LinkClosedError.

    The caller runs `run_sender` of the link.
    """
    try:
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            connection = await connect(
                f"ws://{address}",
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT_S,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
            )
            await connection.send(cbor2.dumps([role, node]))
    except (OSError, TimeoutError, WebSocketException) as error:
        raise LinkClosedError(f"no link to {address}: {error!r}") from error
    link = Link(connection)
    link.node = address
    return link


async def listen(address: str, handle: Callable[[Link], Awaitable[None]]) -> Server:
    """Listen at `address` (IP:PORT) and call `handle` with each link that names itself."""
    host, _, port = address.rpartition(":")

    async def accept(connection: ServerConnection) -> None:
        link = Link(connection)
        sender = asyncio.create_task(link.run_sender())
        try:
            hello = await link.receive_frame(OPEN_TIMEOUT_S)
            role, node = cbor2.loads(hello if isinstance(hello, bytes) else b"")
            link.role, link.node = str(role), str(node)
            await handle(link)
        except (LinkClosedError, InvalidMessageError, ValueError, TypeError, EOFError):
            return
        finally:
            sender.cancel()
            link.abort()

    return await serve(
        accept,
        host,
        int(port),
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
        open_timeout=OPEN_TIMEOUT_S,
        max_size=MAX_FRAME_BYTES,
        compression=None,
    )
