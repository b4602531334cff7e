"""Clients outside the limits, and the memory and descriptors of the process that they reach."""

import asyncio
import os
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

__all__ = ["Crowd", "Usage"]

SAMPLE_INTERVAL_S = 0.05
HOLD_S = 2.0  # the connections stay open for this long after the last client has sent its bytes
SEND_S = 6.0  # a listener that stops reading holds the clients up; they disconnect after this
SMALLEST_BUFFER = 1  # bytes; the kernel raises it to its minimum
TCP_LISTEN = "0A"
TABLES = (Path("/proc/net/tcp"), Path("/proc/net/tcp6"))


class Usage:
    """Peak memory and descriptors of the process `pid`, which listens at `address`.

    Memory includes the bytes that were received at `address` and not read yet, because the
    platform counts them towards the limit of a process.
    """

    def __init__(self, pid: int, address: str) -> None:
        """Start without samples."""
        self._folder = Path("/proc", str(pid))
        self._port = int(address.rpartition(":")[2])
        self.peak_memory_mb = 0.0
        self.peak_unread_mb = 0.0  # alone, not at the time of the peak of memory
        self.peak_descriptors = 0

    def __str__(self) -> str:
        return (
            f"peak_memory_mb={self.peak_memory_mb:.0f}, peak_unread_mb={self.peak_unread_mb:.1f}, "
            f"peak_fds={self.peak_descriptors}"
        )

    async def watch(self) -> None:
        """Take samples until the process ends."""
        with suppress(FileNotFoundError, ProcessLookupError):
            while True:
                self.sample()
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Raise the peaks to the present use."""
        status = dict(
            line.split(":", 1) for line in (self._folder / "status").read_text().splitlines()
        )
        if "VmRSS" not in status:  # the process has ended, and nobody has waited for it yet
            return
        resident, highest = (int(status[name].split()[0]) / 1_024 for name in ("VmRSS", "VmHWM"))
        unread = self._unread_bytes() / 1_048_576
        self.peak_unread_mb = max(self.peak_unread_mb, unread)
        self.peak_memory_mb = max(self.peak_memory_mb, highest, resident + unread)
        descriptors = len(os.listdir(self._folder / "fd"))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def _unread_bytes(self) -> int:
        rows = (row.split() for table in TABLES for row in table.read_text().splitlines()[1:])
        return sum(
            int(queues.partition(":")[2], 16)
            for _, local, _, state, queues, *_ in rows
            if state != TCP_LISTEN and int(local.rpartition(":")[2], 16) == self._port
        )


class Crowd(NamedTuple):
    """Clients that each send `pieces(number)` over a connection of their own and keep it open.

    They connect one after the other, `connect_interval_s` apart, and wait `pause_s` after each
    piece. A client that `reads_slowly` takes one byte of the responses after each pause, the others
    read nothing.
    """

    clients: int
    pieces: Callable[[int], Iterable[bytes]]
    pause_s: float = 0.0
    reads_slowly: bool = False
    connect_interval_s: float = 0.0

    async def run(self, address: str) -> None:
        """Let all clients connect and send, keep the connections open for a while, disconnect."""
        sockets = [socket.socket() for _ in range(self.clients)]
        try:
            tasks = [
                asyncio.create_task(self._send(client, number, address))
                for number, client in enumerate(sockets)
            ]
            _, late = await asyncio.wait(tasks, timeout=SEND_S)
            for task in late:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Exception):  # not CancelledError
                    raise result
            await asyncio.sleep(HOLD_S)
        finally:
            for client in sockets:
                client.close()

    async def _send(self, client: socket.socket, number: int, address: str) -> None:
        """Send all pieces, or those up to a refusal."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        client.setblocking(False)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALLEST_BUFFER)
        # An address for each client, so that no limit per address bounds the whole crowd, and so
        # that the test's own calls and the worker's, from 127.0.0.1, are no part of the crowd.
        client.bind((f"127.1.{number // 250}.{number % 250 + 1}", 0))
        await asyncio.sleep(number * self.connect_interval_s)
        with suppress(ConnectionError):
            await loop.sock_connect(client, (host, int(port)))
            for piece in self.pieces(number):
                await loop.sock_sendall(client, piece)
                if self.pause_s:
                    await asyncio.sleep(self.pause_s)
                if self.reads_slowly:
                    with suppress(BlockingIOError):
                        client.recv(1)
