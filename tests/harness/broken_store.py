"""Cuts one client of the store off, in the ways in which a store turns an instance away."""

import asyncio
from enum import Enum

from lycheeslip_platform.store import PlatformStore

__all__ = ["BrokenStore", "Failure"]


class Failure(Enum):
    """What a client sees of the store: no connection, a reset, no response, or status 503."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"
    UNAVAILABLE = "unavailable"


class BrokenStore:
    """A listener that fails every call; used as an asynchronous context manager."""

    def __init__(self, failure: Failure) -> None:
        """Fail in the manner of `failure`."""
        self._failure = failure
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._real_url_by_store: dict[PlatformStore, str] = {}

    async def __aenter__(self) -> "BrokenStore":
        """Listen on a free port."""
        server = await asyncio.start_server(self._fail, "127.0.0.1", 0)
        self._servers.append(server)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        if self._failure is Failure.REFUSED:
            server.close()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Restore all clients, and close the listener."""
        self.restore()
        for writer in self._writers:
            writer.transport.abort()
        for server in self._servers:
            server.close()

    def cut_off(self, store: PlatformStore) -> None:
        """Send the calls of `store` here from now on."""
        self._real_url_by_store[store] = store.client.base_url
        store.client.base_url = f"http://{self.address}"

    def restore(self) -> None:
        """Send all calls to the real store again; those in progress still fail."""
        for store, url in self._real_url_by_store.items():
            store.client.base_url = url

    async def _fail(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        await reader.read(1)
        match self._failure:
            case Failure.SILENT:
                await reader.read()
            case Failure.UNAVAILABLE:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                writer.close()
            case _:
                writer.transport.abort()
