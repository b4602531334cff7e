"""Small fleet inside one process: store, entries, agents and backend servers on loopback."""

import secrets
from collections import Counter
from collections.abc import Iterable
from contextlib import AsyncExitStack
from typing import NamedTuple

from lycheeslip.app import EntryApp
from lycheeslip_agent.app import Agent
from lycheeslip_common.config import AgentSettings, EntrySettings

from lycheeslip_standins.addresses import ReservedAddresses
from lycheeslip_standins.backend_server import BackendCapacity, BackendServer
from lycheeslip_standins.platform_store import PlatformStore

__all__ = ["DemoFleet", "Start"]

LOOPBACK = "127.0.0.1"
REGION = "east"
ENTRY_COUNT = 2
WORKERS_PER_ZONE = 2
ACCELERATORS_PER_WORKER = 8
FLEET_KEY_BYTES = 16


class Start(NamedTuple):
    """One task start in the log of a backend server."""

    job_id: str
    attempt: int
    member: int
    zone: str
    wall_ms: int


class DemoFleet:
    """Starts all components in order and stops them in reverse order.

    `entry_addresses` contains the HTTP addresses of the started entries.
    """

    def __init__(self, zones: Iterable[str]) -> None:
        """Configure two workers, which share a rack, in each of `zones`."""
        self._zones = tuple(zones)
        self._fleet_key = secrets.token_hex(FLEET_KEY_BYTES)
        self._stack = AsyncExitStack()
        self._addresses = ReservedAddresses()
        self._stack.callback(self._addresses.release)
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
        session_addresses = [
            await self._start_entry(number, store) for number in range(ENTRY_COUNT)
        ]
        for zone in self._zones:
            for number in range(WORKERS_PER_ZONE):
                await self._start_worker(zone, f"{zone}-worker-{number + 1}", session_addresses)

    async def stop(self) -> None:
        """Stop all components that were started."""
        await self._stack.aclose()

    def starts(self) -> list[Start]:
        """Return the task starts that the backend servers have logged."""
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

    def count_busy_accelerators(self, zone: str) -> int:
        """Return the number of accelerators of `zone` whose tasks have not ended."""
        tables = [backend.table for backend in self._backends]
        return sum(len(t.busy_accelerators()) for t in tables if t.capacity.zone == zone)

    def most_used_zone(self) -> str:
        """Return the zone in which most tasks have started."""
        starts_by_zone = Counter(start.zone for start in self.starts())
        return max(self._zones, key=lambda zone: starts_by_zone[zone])

    async def _start_entry(self, number: int, store: PlatformStore) -> str:
        http_address, session_address = self._addresses.take(), self._addresses.take()
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

    async def _start_worker(self, zone: str, worker_id: str, session_addresses: list[str]) -> None:
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
                entry_addresses=tuple(session_addresses),
                backend_address=backend.address,
                fleet_key=self._fleet_key,
            )
        )
        await agent.start()
        self._stack.push_async_callback(agent.stop)
