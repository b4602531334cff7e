"""A small fleet inside one process: store, entries, agents and backend servers on loopback."""

import secrets
import socket
from collections import Counter
from collections.abc import Iterable
from contextlib import AsyncExitStack
from typing import NamedTuple

from lycheeslip.app import EntryApp
from lycheeslip_agent.app import Agent
from lycheeslip_common.config import AgentSettings, EntrySettings

from lycheeslip_standins.backend_server import BackendCapacity, BackendServer
from lycheeslip_standins.platform_store import PlatformStore

__all__ = ["DemoCell", "Start"]

LOOPBACK = "127.0.0.1"
REGION = "east"
ENTRIES = 2
WORKERS_PER_ZONE = 2
ACCELERATORS_PER_WORKER = 8
FLEET_KEY_BYTES = 16


class Start(NamedTuple):
    """One task start that a backend server has logged."""

    job_id: str
    attempt: int
    member: int
    zone: str
    wall_ms: int


class DemoCell:
    """Starts every part in order, and ends them in reverse."""

    def __init__(self, zones: Iterable[str]) -> None:
        """Put two workers, which share a rack, into each of `zones`."""
        self._zones = tuple(zones)
        self._fleet_key = secrets.token_hex(FLEET_KEY_BYTES)
        self._stack = AsyncExitStack()
        self._backends: list[BackendServer] = []
        self.entry_addresses: list[str] = []

    @property
    def workers(self) -> int:
        """Return the number of workers."""
        return len(self._zones) * WORKERS_PER_ZONE

    async def start(self) -> None:
        """Start the store, then entries, then a backend server and an agent per worker."""
        store = PlatformStore(f"{LOOPBACK}:0")
        await store.start()
        self._stack.push_async_callback(store.stop)
        sessions = [await self._start_entry(number, store) for number in range(ENTRIES)]
        for zone in self._zones:
            for number in range(WORKERS_PER_ZONE):
                await self._start_worker(zone, f"{zone}-worker-{number + 1}", sessions)

    async def stop(self) -> None:
        """End every part that was started."""
        await self._stack.aclose()

    def starts(self) -> list[Start]:
        """Return every task start that the backend servers have logged."""
        return [
            Start(
                job_id=str(event["job_id"]),
                attempt=int(str(event["attempt"])),
                member=int(str(event["member"])),
                zone=str(event["zone"]),
                wall_ms=int(str(event["wall_ms"])),
            )
            for backend in self._backends
            for event in backend.table.events
            if event["event"] == "started"
        ]

    def busy(self, zone: str) -> int:
        """Return the accelerators of `zone` whose tasks have not ended."""
        tables = [backend.table for backend in self._backends]
        return sum(len(t.busy_accelerators()) for t in tables if t.capacity.zone == zone)

    def most_used_zone(self) -> str:
        """Return the zone in which most tasks have started."""
        starts_by_zone = Counter(start.zone for start in self.starts())
        return max(self._zones, key=lambda zone: starts_by_zone[zone])

    async def _start_entry(self, number: int, store: PlatformStore) -> str:
        http_address, session_address = _free_address(), _free_address()
        settings = EntrySettings(
            node_id=f"entry-{number + 1}",
            region=REGION,
            zone=self._zones[number % len(self._zones)],
            http_address=http_address,
            session_address=session_address,
            store_addresses=(store.address,),
            fleet_key=self._fleet_key,
        )
        entry = EntryApp(settings)
        await entry.start()
        self._stack.push_async_callback(entry.stop)
        self.entry_addresses.append(http_address)
        return session_address

    async def _start_worker(self, zone: str, worker_id: str, sessions: list[str]) -> None:
        capacity = BackendCapacity(zone, accelerators=ACCELERATORS_PER_WORKER)
        backend = BackendServer(f"{LOOPBACK}:0", capacity)
        await backend.start()
        self._stack.push_async_callback(backend.stop)
        self._backends.append(backend)
        agent = Agent(
            AgentSettings(
                node_id=worker_id,
                region=REGION,
                zone=zone,
                rack=f"{zone}-rack-1",
                address=f"{LOOPBACK}:0",
                entry_addresses=tuple(sessions),
                backend_address=backend.address,
                fleet_key=self._fleet_key,
            )
        )
        await agent.start()
        self._stack.push_async_callback(agent.stop)


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"
