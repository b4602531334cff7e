"""WebSocket links between entries and agents, for multi-step jobs.

Unlike the sessions of `lycheeslip_common.wire`, links have no authentication.
Sending never blocks: messages are queued, and a link whose queue is full is closed, so that a
peer that stops reading delays no other link.
"""

import asyncio
from collections.abc import Awaitable, Callable

import cbor2
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from lycheeslip_common.utils.usable import is_usable_address, parse_cbor, shorten
from lycheeslip_common.workload.fleet import InvalidMessageError, Message, decode, encode

__all__ = ["PEER_ROLE", "Link", "LinkClosedError", "LinkSilentError", "dial", "listen"]

PEER_ROLE = "peer"  # of an entry that opens a link to another one for a single message

MAX_FRAME_BYTES = 4 * 1024 * 1024  # a report of 500 ended runs with checkpoints is below 100 KB
MAX_QUEUED_FRAMES = 1_000  # over ten times the messages of restarting all runs of a worker
OPEN_TIMEOUT_S = 1.0  # other zones are about 1 ms away; on a timeout the next entry is tried
CLOSE_TIMEOUT_S = 0.5


class LinkClosedError(ConnectionError):
    """The link could not be established or was closed."""


class LinkSilentError(LinkClosedError):
    """The peer did not answer or send anything in time."""


class Link:
    """An open link to the process `node`; its `role` is "entry", "agent" or "peer"."""

    def __init__(self, connection: ClientConnection | ServerConnection) -> None:
        """Wrap an open connection; nothing is sent unless `run_sender` runs."""
        self._connection = connection
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_FRAMES)
        self.node = ""
        self.role = ""
        self.is_closed = False

    def post(self, message: Message) -> None:
        """Queue a message for sending; closes the link if the queue is full."""
        self.post_frame(encode(message))

    def post_last(self, message: Message) -> None:
        """Queue a message after which the link is closed."""
        self.post(message)
        self.post_frame(None)

    def post_frame(self, frame: bytes | None) -> None:
        """Queue an encoded message, or None to close the link; does nothing on a closed link."""
        if self.is_closed:
            return
        try:
            self._frames.put_nowait(frame)
        except asyncio.QueueFull:
            self.abort()

    async def run_sender(self) -> None:
        """Send queued messages until the link is closed."""
        try:
            while not self.is_closed:
                frame = await self._frames.get()
                if frame is None:
                    await self._connection.close()
                    return
                await self._connection.send(frame)
        except (ConnectionClosed, OSError):
            self.abort()

    async def receive(self, timeout_s: float) -> Message:
        """Return the next message; raises LinkClosedError or InvalidMessageError.

        The link is closed if no message arrives within `timeout_s`.
        """
        return decode(await self.receive_frame(timeout_s))

    async def receive_frame(self, timeout_s: float) -> bytes | str:
        """Return the next frame; raises LinkClosedError, of type LinkSilentError on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connection.recv()
        except TimeoutError:
            self.abort()
            raise LinkSilentError(f"no message from {self.node} within {timeout_s} s") from None
        except (ConnectionClosed, OSError) as error:
            self.abort()
            raise LinkClosedError(str(error)) from error

    def abort(self) -> None:
        """Close the connection without a closing handshake."""
        self.is_closed = True
        transport = self._connection.transport
        if transport is not None:
            transport.abort()


async def dial(address: str, role: str, node: str, timeout_s: float = OPEN_TIMEOUT_S) -> Link:
    """Open a link to `address` (IP:PORT) as process `node`; raises LinkClosedError.

    The caller must run `run_sender` of the link.
    """
    if not is_usable_address(address):
        raise LinkClosedError(f"not an address: {shorten(address)}")
    try:
        async with asyncio.timeout(timeout_s):
            connection = await connect(
                f"ws://{address}",
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT_S,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
            )
            await connection.send(cbor2.dumps([role, node]))
    except TimeoutError as error:
        raise LinkSilentError(f"{address} does not answer") from error
    except (OSError, WebSocketException) as error:
        raise LinkClosedError(f"can't connect to {address}: {error!r}") from error
    link = Link(connection)
    link.node = address
    return link


async def listen(address: str, handle: Callable[[Link], Awaitable[None]]) -> Server:
    """Listen on `address` (IP:PORT); call `handle` for each peer that sent its role and name."""
    host, _, port = address.rpartition(":")

    async def accept(connection: ServerConnection) -> None:
        link = Link(connection)
        sender = asyncio.create_task(link.run_sender())
        try:
            hello = await link.receive_frame(OPEN_TIMEOUT_S)
            link.role, link.node = parse_cbor(
                hello if isinstance(hello, bytes) else b"", tuple[str, str]
            )
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
