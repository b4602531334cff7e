"""Cuts single side machines off from the edge machines, and from the store, and heals them.

The agent of such a machine reaches the entries and the store only through proxies. It learns the
proxies' addresses in place of the entries': each has as many characters as the one it stands for.
"""

import asyncio
import base64
import json
import time

import aiohttp
from aiohttp import web
from lycheeslip_standins.platform.listener import Listener

LINK_PORT = 8526


class SideNetwork:
    """The links of one side machine; while they are cut, nothing passes in either direction.

    Bytes that are held up by a cut arrive after it. TCP repeats them after pauses that double each
    time, so that they can be later than those on a connection that is opened after the cut: `heal`
    takes this delay of the connections that were open; it is less than the length of the cut.
    `sent_at` and `received_at` are when the agent last sent and received something, on the
    monotonic clock.
    """

    def __init__(self, net: str, number: int, edges: int, store) -> None:
        self._store = store
        self._addresses = {
            f"{net}.{10 + n}:{LINK_PORT}": f"{net}.{20 + 10 * number + n}:{LINK_PORT}"
            for n in range(edges)
        }
        self._is_cut = self._is_store_cut = False
        self._is_old_held = False
        self._cut_at = 0.0
        self._changed = asyncio.Event()
        self.sent_at = self.received_at = 0.0
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        self._store_listener = Listener(self._call_store)

    @property
    def store_address(self) -> str:
        return self._store_listener.address

    @property
    def entry_addresses(self) -> list[str]:
        return list(self._addresses.values())

    async def start(self) -> None:
        await self._store_listener.start()
        for entry, proxy in self._addresses.items():
            host, _, port = proxy.rpartition(":")
            self._servers.append(
                await asyncio.start_server(lambda r, w, e=entry: self._accept(e, r, w), host, port)
            )

    async def stop(self) -> None:
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._store_listener.stop()

    def cut(self, from_store: bool = True) -> None:
        """Cut the machine off from the edge machines, and from the store if told so."""
        self._cut_at = time.monotonic()
        self._is_cut = self._is_old_held = True
        self._is_store_cut = from_store

    async def heal(self, delay_s: float = 0.0) -> None:
        """End the cut; connections that were open then go on `delay_s` later."""
        self._is_cut = self._is_store_cut = False
        self._notify()
        await asyncio.sleep(delay_s)
        self._is_old_held = False
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _until_passable(self, opened_at: float) -> None:
        while self._is_cut or (self._is_old_held and opened_at < self._cut_at):
            await self._changed.wait()

    def _rename(self, content: bytes) -> bytes:
        for entry, proxy in self._addresses.items():
            content = content.replace(entry.encode(), proxy.encode())
        return content

    async def _accept(self, entry: str, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        opened_at = time.monotonic()
        try:
            await self._until_passable(opened_at)
            host, _, port = entry.rpartition(":")
            try:
                up_reader, up_writer = await asyncio.open_connection(host, int(port))
            except OSError:
                return
            ways = [
                asyncio.create_task(self._pump(reader, up_writer, opened_at, True)),
                asyncio.create_task(self._pump(up_reader, writer, opened_at, False)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                up_writer.close()
        finally:
            writer.close()
            self._tasks.discard(asyncio.current_task())

    async def _pump(self, reader, writer, opened_at: float, is_from_agent: bool) -> None:
        try:
            while content := await reader.read(65_536):
                await self._until_passable(opened_at)
                if is_from_agent:
                    self.sent_at = time.monotonic()
                else:
                    self.received_at = time.monotonic()
                    content = self._rename(content)
                writer.write(content)
                await writer.drain()
            await self._until_passable(opened_at)
        except OSError:
            return

    async def _call_store(self, request: web.BaseRequest) -> web.StreamResponse:
        while self._is_store_cut:
            await self._changed.wait()
        url = f"http://{self._store.address}{request.path_qs}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(request.method, url, data=await request.read()) as response,
        ):
            content, status = await response.read(), response.status
        while self._is_store_cut:
            await self._changed.wait()
        if request.path == "/kv-range" and status == 200:
            document = json.loads(content)
            for item in document["items"]:
                value = self._rename(base64.b64decode(item["value"]))
                item["value"] = base64.b64encode(value).decode()
            content = json.dumps(document).encode()
        return web.Response(status=status, body=content, content_type="application/json")
