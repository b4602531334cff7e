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
LINGER_RESET = struct.pack("ii", 1, 0)


class Direction(StrEnum):
    """Direction in which bytes are forwarded."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


class RouteFaults(NamedTuple):
    """Faults of one route; with the defaults, everything is forwarded.

    A cut delays bytes until it ends, as on a network that loses packets and retransmits them.
    A drop discards bytes; connections that lost some are reset when it ends.
    `delay_ms` delays all bytes. `refuse` resets all connections and refuses new ones. `half_open`
    does not forward the end of a stream. A connection is reset before it delivers more than
    `reset_after_bytes` to the client, unless that is 0. The next `lose_answers` chunks of bytes to
    clients are discarded and their connections reset.
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
        """Return whether bytes in `direction` are delayed until the cut ends."""
        return self.cut_to_target if direction is Direction.TO_TARGET else self.cut_to_client

    def drops(self, direction: Direction) -> bool:
        """Return whether bytes in `direction` are discarded."""
        return self.drop_to_target if direction is Direction.TO_TARGET else self.drop_to_client


class ProxyRoute:
    """Forwards connections from `listen` to `target`, both host:port."""

    def __init__(self, name: str, listen: str, target: str) -> None:
        """Listen at `listen` once started; port 0 selects a free port."""
        self.name = name
        self.listen = listen
        self.target = target
        self.faults = RouteFaults()
        self.counts: Counter[str] = Counter()
        self.changed = asyncio.Event()
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._reserved_socket: socket.socket | None = None

    async def start(self) -> None:
        """Start listening and update `listen` with the bound port."""
        host, _, port = self.listen.rpartition(":")
        if self._reserved_socket is None:
            # Bound but not listening, so that no other process can bind the port while this
            # route refuses connections.
            self._reserved_socket = socket.socket()
            self._reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._reserved_socket.bind((host, int(port)))
            port = self._reserved_socket.getsockname()[1]
            self.listen = f"{host}:{port}"
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stop listening, release the port and reset all connections."""
        self._close_listener()
        self.reset()
        if self._reserved_socket is not None:
            self._reserved_socket.close()
            self._reserved_socket = None

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.reset()

    async def set_faults(self, faults: RouteFaults) -> None:
        """Replace the active faults, for existing and new connections."""
        was_refusing = self.faults.refuse
        self.faults = faults
        if faults.refuse:
            self._close_listener()
            self.reset()
        elif was_refusing:
            await self.start()
        for connection in list(self.connections):
            connection.reset_if_drop_ended()
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_until_not_cut(self, direction: Direction) -> None:
        """Wait until bytes in `direction` are not cut."""
        while self.faults.cuts(direction):
            await self.changed.wait()

    def consume_answer_loss(self) -> bool:
        """Return whether the next answer is to be lost, and use up one of `lose_answers`."""
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
        """Forward in both directions until both sides have closed or the connection is reset."""
        await self._route.wait_until_not_cut(Direction.TO_TARGET)
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
        """Reset the connections to the client and to the target."""
        for writer in self._writers:
            connection = writer.get_extra_info("socket")
            if connection is not None and not writer.transport.is_closing():
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()

    def reset_if_drop_ended(self) -> None:
        """Reset the connection if it lost bytes and none are being dropped any more."""
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
            await queue.put((self._delivery_time_s(), data))
        await queue.put((self._delivery_time_s(), b""))

    def _delivery_time_s(self) -> float:
        return asyncio.get_running_loop().time() + self._route.faults.delay_ms / 1000

    async def _deliver(
        self,
        direction: Direction,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            deliver_at_s, data = await queue.get()
            await asyncio.sleep(deliver_at_s - asyncio.get_running_loop().time())
            await self._route.wait_until_not_cut(direction)
            if not data:
                self._forward_close(writer)
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

    def _forward_close(self, writer: asyncio.StreamWriter) -> None:
        if self._route.faults.half_open or self._lost_bytes:
            # An end of stream that is not forwarded counts as lost bytes, so that the connection
            # is reset when the fault ends.
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
        return self._route.consume_answer_loss()
