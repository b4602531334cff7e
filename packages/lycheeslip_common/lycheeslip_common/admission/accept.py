"""Accepts connections one at a time, so that none above the limit takes a descriptor for long.

The event loops' own servers accept all that wait before they start with the first of them.
"""

import asyncio
import errno
import socket
from contextlib import suppress
from typing import Any

from aiohttp import web

from lycheeslip_common.admission.limits import AdmissionLimits
from lycheeslip_common.admission.server import Admission, AdmissionServer
from lycheeslip_common.utils.logs import log_warning

__all__ = ["AdmissionSite", "open_socket"]

ACCEPTS_PER_TURN = 32  # before other work of the process gets a turn
RETRY_S = 0.1  # while the process or the machine has no descriptors
SEND_BUFFER_BYTES = 65_536  # unread responses count as the machine's memory, too
NO_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


async def open_socket(address: str, limits: AdmissionLimits) -> socket.socket:
    """Return a socket bound to `address` (IP:PORT), which bounds its connections' buffers."""
    host, _, port = address.rpartition(":")
    found = await asyncio.get_running_loop().getaddrinfo(
        host.strip("[]"), int(port), type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    family, kind, protocol, _, bound_address = found[0]
    listening = socket.socket(family, kind, protocol)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, limits.receive_buffer_bytes)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listening.setblocking(False)
        listening.bind(bound_address)
    except OSError:
        listening.close()
        raise
    return listening


class _Acceptor:
    """Accepts connections on a listening socket for a server."""

    def __init__(self, listening: socket.socket, server: AdmissionServer) -> None:
        self._listening = listening
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False
        self._loop.add_reader(listening.fileno(), self._accept_some)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return self._listening.getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if not self._is_closed:
            self._is_closed = True
            self._loop.remove_reader(self._listening.fileno())
            self._listening.close()

    def _accept_some(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                client, peer = self._listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause(error)
                return
            self._admit(client, str(peer[0]))

    def _pause(self, error: OSError) -> None:
        """Accept nothing for a while, since the next attempt would fail at once, too."""
        log_warning("accept_failed", error=repr(error))
        if error.errno in NO_DESCRIPTORS:
            self._loop.remove_reader(self._listening.fileno())
            self._loop.call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        if not self._is_closed:
            self._loop.add_reader(self._listening.fileno(), self._accept_some)

    def _admit(self, client: socket.socket, address: str) -> None:
        client.setblocking(False)
        protocol = self._server.admit(address)
        if protocol is None:
            with suppress(OSError):
                client.send(self._server.connection_refusal())
            client.close()
            return
        task = self._loop.create_task(self._connect(client, protocol))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, client: socket.socket, protocol: Any) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, client)
        except OSError:
            client.close()
            protocol.abandon()


class AdmissionSite(web.BaseSite):
    """Serves a runner with an `AdmissionServer` at one address."""

    def __init__(self, runner: web.BaseRunner, address: str, admission: Admission) -> None:
        """Listen at `address` (IP:PORT) once started."""
        super().__init__(runner, backlog=admission.limits.backlog)
        self._address = address
        self._limits = admission.limits

    @property
    def name(self) -> str:
        """URL of the site."""
        return f"http://{self._address}"

    async def start(self) -> None:
        """Listen and accept connections."""
        await super().start()
        server = self._runner.server
        assert isinstance(server, AdmissionServer)
        listening = await open_socket(self._address, self._limits)
        listening.listen(self._backlog)
        await asyncio.sleep(
            0
        )  # as with the event loop's servers, others get a turn before the next
        self._server = _Acceptor(listening, server)  # type: ignore[assignment]
