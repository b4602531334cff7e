"""One listener of the fault proxy and the connections that it forwards."""

import asyncio
import socket
import struct
from collections import Counter
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Direction", "ProxyRoute", "RouteFaults"]

CHUNK_BYTES = 64 * 1024
MAX_QUEUED_CHUNKS = 64
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(StrEnum):
    """Which way bytes flow."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


class RouteFaults(NamedTuple):
    """Faults of one route; the defaults forward everything.

    A cut holds bytes back as a network that loses packets does: they arrive once it ends.
    A drop throws bytes away, and connections that lost some are reset once it ends.
    """

    cut_to_target: bool = False
    cut_to_client: bool = False
    drop_to_target: bool = False
    drop_to_client: bool = False
    delay_ms: int = 0
    refuse: bool = False
    half_open: bool = False
    reset_after_bytes: int = 0
    lose_answers: int = 0

    def cuts(self, direction: Direction) -> bool:
        """Return whether bytes in `direction` are held back."""
        return self.cut_to_target if direction is Direction.TO_TARGET else self.cut_to_client

    def drops(self, direction: Direction) -> bool:
        """Return whether bytes in `direction` are thrown away."""
        return self.drop_to_target if direction is Direction.TO_TARGET else self.drop_to_client


class ProxyRoute:
    """Forwards connections from `listen` to `target`, both host:port."""

    def __init__(self, name: str, listen: str, target: str) -> None:
        """Listen at `listen` once started; port 0 takes a free one."""
        self.name = name
        self.listen = listen
        self.target = target
        self.faults = RouteFaults()
        self.counts: Counter[str] = Counter()
        self.changed = asyncio.Event()
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen; `listen` then names the port that was taken."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        self.listen = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._close_listener()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.reset()

    async def set_faults(self, faults: RouteFaults) -> None:
        """Put `faults` in force for connections old and new."""
        was_refusing = self.faults.refuse
        self.faults = faults
        if faults.refuse:
            await self.stop()
        elif was_refusing:
            await self.start()
        for connection in list(self.connections):
            connection.reset_if_healed()
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_passable(self, direction: Direction) -> None:
        """Wait until bytes in `direction` aren't held back."""
        while self.faults.cuts(direction):
            await self.changed.wait()

    def loses_answer(self) -> bool:
        """Return whether the next bytes to a client are to be lost, and count it."""
        if self.faults.lose_answers <= 0:
            return False
        self.faults = self.faults._replace(lose_answers=self.faults.lose_answers - 1)
        self.counts["answers_lost"] += 1
        return True

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counts["connections"] += 1
        connection = _Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)


class _Connection:
    """One forwarded connection."""

    def __init__(
        self, route: ProxyRoute, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._route = route
        self._client_reader = reader
        self._client_writer = writer
        self._writers = [writer]
        self._lost_bytes = False
        self._bytes_to_client = 0

    async def run(self) -> None:
        """Forward both ways until both sides have closed or the connection is reset."""
        await self._route.wait_passable(Direction.TO_TARGET)
        host, _, port = self._route.target.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.reset()
            return
        self._writers.append(writer)
        try:
            async with asyncio.TaskGroup() as tasks:
                self._forward(tasks, Direction.TO_TARGET, self._client_reader, writer)
                self._forward(tasks, Direction.TO_CLIENT, reader, self._client_writer)
            while self._route.faults.half_open:
                await self._route.changed.wait()
        except* OSError:
            self.reset()
        finally:
            for writer in self._writers:
                writer.close()

    def reset(self) -> None:
        """Reset both sides."""
        for writer in self._writers:
            connection = writer.get_extra_info("socket")
            if connection is not None and not writer.transport.is_closing():
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    def reset_if_healed(self) -> None:
        """Reset a connection that lost bytes once no more of them are dropped."""
        faults = self._route.faults
        if self._lost_bytes and not (faults.drop_to_target or faults.drop_to_client):
            self.reset()

    def _forward(
        self,
        tasks: asyncio.TaskGroup,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        tasks.create_task(self._receive(reader, queue))
        tasks.create_task(self._deliver(direction, queue, writer))

    async def _receive(
        self, reader: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await queue.put((self._due_s(), data))
        await queue.put((self._due_s(), b""))

    def _due_s(self) -> float:
        return asyncio.get_running_loop().time() + self._route.faults.delay_ms / 1000

    async def _deliver(
        self,
        direction: Direction,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            due_s, data = await queue.get()
            await asyncio.sleep(due_s - asyncio.get_running_loop().time())
            await self._route.wait_passable(direction)
            if not data:
                self._pass_close(writer)
                return
            if self._must_reset(direction, data):
                raise ConnectionResetError
            if self._route.faults.drops(direction):
                self._lost_bytes = True
                self._route.counts[f"bytes_dropped_{direction}"] += len(data)
                continue
            self._route.counts[f"bytes_{direction}"] += len(data)
            writer.write(data)
            await writer.drain()

    def _pass_close(self, writer: asyncio.StreamWriter) -> None:
        if self._route.faults.half_open or self._lost_bytes:
            self._lost_bytes = True
            return
        if writer.can_write_eof() and not writer.transport.is_closing():
            writer.write_eof()

    def _must_reset(self, direction: Direction, data: bytes) -> bool:
        if direction is not Direction.TO_CLIENT:
            return False
        self._bytes_to_client += len(data)
        limit = self._route.faults.reset_after_bytes
        if limit and self._bytes_to_client > limit:
            return True
        return self._route.loses_answer()
