"""WebSocket links between entries and agents, for multi-step jobs.

Unlike the sessions of `lycheeslip_common.wire`, links have no authentication.
Sending never blocks: messages are queued, and a link is closed once its peer takes nothing for
some time, so that a peer that stops reading delays no other link. The length of the queue doesn't
matter: a burst that closed the link would come again over the next one.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import cbor2
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from lycheeslip_common.admission.peers import PeerConnection, UnidentifiedPeers
from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.utils.usable import is_usable_address, parse_cbor, shorten
from lycheeslip_common.workload.fleet import InvalidMessageError, Message, decode, encode

__all__ = ["PEER_ROLE", "Link", "LinkClosedError", "LinkSilentError", "dial", "listen"]

PEER_ROLE = "peer"  # of an entry that opens a link to another one for a single message

MAX_FRAME_BYTES = 4 * 1024 * 1024  # a report of 500 ended runs with checkpoints is below 100 KB
SEND_TIMEOUT_S = 5.0  # for one message; one of 2 MB takes 3 s on a link of 5 Mbit/s
MESSAGES_PER_TURN = 32  # sent before other work of the process gets a turn
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
        self._queue: deque[Message | None] = deque()  # None: to be closed
        self._has_queued = asyncio.Event()
        self.node = ""
        self.role = ""
        self.is_closed = False

    def post(self, message: Message) -> None:
        """Queue a message for sending; does nothing on a closed link."""
        if not self.is_closed:
            self._queue.append(message)
            self._has_queued.set()

    def post_last(self, message: Message) -> None:
        """Queue a message after which the link is closed."""
        self.post(message)
        self._queue.append(None)

    async def run_sender(self) -> None:
        """Send queued messages until the link is closed, by this process if the peer is stuck."""
        try:
            while not self.is_closed:
                await self._has_queued.wait()
                self._has_queued.clear()
                await self._send_queued()
        except TimeoutError:
            log_warning("link_stuck", node=self.node, queued=len(self._queue))
        except (ConnectionClosed, OSError):
            pass
        finally:
            self.abort()  # nothing is sent any more

    async def _send_queued(self) -> None:
        """Send all queued messages; raises TimeoutError if one isn't taken in time."""
        sent = 0
        while self._queue and not self.is_closed:
            message = self._queue.popleft()
            if message is None:
                await self._connection.close()
                return
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._connection.send(encode(message))
            sent += 1
            if sent % MESSAGES_PER_TURN == 0:
                await asyncio.sleep(0)

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


async def listen(
    address: str,
    handle: Callable[[Link], Awaitable[None]],
    peers: UnidentifiedPeers | None = None,
) -> Server:
    """Listen on `address` (IP:PORT); call `handle` for each peer that sent its role and name.

    `peers` bounds those that have not done so yet.
    """
    host, _, port = address.rpartition(":")
    peers = peers or UnidentifiedPeers()

    async def accept(connection: ServerConnection) -> None:
        link = Link(connection)
        sender = asyncio.create_task(link.run_sender())
        try:
            hello = await link.receive_frame(OPEN_TIMEOUT_S)
            link.role, link.node = parse_cbor(
                hello if isinstance(hello, bytes) else b"", tuple[str, str]
            )
            if isinstance(connection, PeerConnection):
                connection.identify()
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
        create_connection=peers.create_connection,
    )
