"""Runs a fleet of real processes: store, fault proxy, entries, agents and backend servers."""

import asyncio
import base64
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import yaml
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins.addresses import ReservedAddresses
from lycheeslip_standins.checker_facts import BackendEvent, parse_events

from tests.harness.processes import BIN, ManagedProcess, python_module

__all__ = ["Fleet", "FleetLayout"]

FLEET_KEY = "key-of-the-test-fleet"
REGION = "region-1"
SPARE_ENTRY = "entry-spare"  # configured, but started only by scenarios that need it
WORKERS_PER_RACK = 3
READY_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT = aiohttp.ClientTimeout(total=3)


class FleetLayout(NamedTuple):
    """Number of processes of each kind; workers are assigned to the zones round-robin.

    `times` overrides the time limits in the settings of every entry.
    """

    entries: int = 3
    workers: int = 10
    zones: tuple[str, ...] = ("zone-a", "zone-b")
    accelerators: int = 8
    times: dict[str, int] = {}


class Fleet:
    """Starts the processes, injects faults between them and collects the events they recorded.

    The `*_by_id` attributes hold processes. The other mappings hold addresses, except
    `zone_by_worker`; those whose name contains `route` are addresses of the fault proxy.
    """

    def __init__(self, layout: FleetLayout, folder: Path) -> None:
        """Write settings and logs to `folder`."""
        self.layout = layout
        self.folder = folder
        self.entries_by_id: dict[str, ManagedProcess] = {}
        self.agents_by_id: dict[str, ManagedProcess] = {}
        self.backends_by_id: dict[str, ManagedProcess] = {}
        self.zone_by_worker: dict[str, str] = {}
        self.http_by_entry: dict[str, str] = {}
        self.http_route_by_entry: dict[str, str] = {}
        self.sessions_by_entry: dict[str, str] = {}
        self.backend_by_worker: dict[str, str] = {}
        self.agent_by_worker: dict[str, str] = {}
        self.route_by_name: dict[str, str] = {}
        self._addresses = ReservedAddresses()
        self.store_address = self._addresses.take()
        self.spare_address = self._addresses.take()
        self._proxy_admin = self._addresses.take()
        self._saved_events: list[BackendEvent] = []

    async def start(self) -> None:
        """Start all processes but the spare entry; wait until every entry knows every worker."""
        self.http = aiohttp.ClientSession(timeout=CALL_TIMEOUT)
        self.store = self._process(
            "store",
            python_module("lycheeslip_standins.platform_store", "--address", self.store_address),
        )
        self.proxy = self._process(
            "proxy", python_module("lycheeslip_standins.fault_proxy", "--admin", self._proxy_admin)
        )
        self.store.start()
        self.proxy.start()
        await self.wait_until(self._stand_ins_are_ready, "the stand-ins are ready")
        await self._prepare_entries()
        await self._prepare_workers()
        for process in [*self.entries_by_id.values(), *self.backends_by_id.values()]:
            process.start()
        await self.wait_until(self.entries_are_ready, "the entries are ready")
        for process in self.agents_by_id.values():
            process.start()
        await self.wait_until(self.workers_are_known, "the workers are known")

    async def stop(self) -> None:
        """Stop every process that this fleet started."""
        processes = [self.store, self.proxy, self.spare_entry]
        for group in (self.entries_by_id, self.agents_by_id, self.backends_by_id):
            processes += group.values()
        for process in processes:
            process.stop()
        await self.http.close()
        self._addresses.release()

    async def set_route(self, name: str, **faults: Any) -> None:
        """Set the faults of one proxy route; without `faults`, traffic passes unchanged."""
        await self._post(f"http://{self._proxy_admin}/routes/{name}/faults", faults)

    async def set_routes(self, prefix: str = "", suffix: str = "", **faults: Any) -> None:
        """Set the faults of all routes whose names have this prefix and suffix."""
        names = [n for n in self.route_by_name if n.startswith(prefix) and n.endswith(suffix)]
        await asyncio.gather(*(self.set_route(name, **faults) for name in names))

    async def set_store(self, **faults: Any) -> None:
        """Set the faults of the store; without `faults`, every call is served."""
        await self._post(f"http://{self.store_address}/admin/faults", faults)

    async def lapse_leases(self) -> None:
        """Expire all leases of the store at once."""
        await self._post(f"http://{self.store_address}/admin/lapse_leases", {})

    async def reset_store_counters(self) -> None:
        """Reset the store's call counters."""
        await self._post(f"http://{self.store_address}/admin/counters/reset", {})

    async def store_counters(self) -> dict[str, Any]:
        """Return the store's call counts and their peak rates per second."""
        return await self.get(self.store_address, "/admin/counters")

    async def compact_store(self) -> None:
        """Compact the store's revision history."""
        await self._post(f"http://{self.store_address}/admin/compact", {})

    async def read_key(self, key: str) -> str:
        """Return a key's value through the store's admin interface."""
        document = await self.get(self.store_address, f"/admin/keys?prefix={key}")
        return base64.b64decode(document["items"][0]["value_base64"]).decode()

    async def tell_backend(self, worker_id: str, what: str, body: dict[str, Any]) -> None:
        """Post `body` to an admin endpoint of a stand-in backend server."""
        await self._post(f"http://{self.backend_by_worker[worker_id]}/admin/{what}", body)

    async def planner(self) -> str:
        """Return the id of the entry that is the planner."""
        address = next(iter(self.http_by_entry.values()))
        return (await self.get(address, "/v1/fleet"))["planner"]

    async def heal(self) -> None:
        """Clear all faults, resume or restart all processes, and wait until the fleet is ready."""
        await self.set_routes()
        await self.set_store()
        self.spare_entry.stop()
        for group in (self.entries_by_id, self.backends_by_id, self.agents_by_id):
            for process in group.values():
                process.thaw()
                if process.is_ending:
                    await self.wait_until(process.has_ended, f"{process.name} has ended")
                if not process.is_running:
                    process.start()
        await self.wait_until(self.entries_are_ready, "the entries are ready")
        await self.wait_until(self.workers_are_known, "the workers are known")

    async def kill_backend(self, worker_id: str) -> None:
        """Kill a backend server, saving its events and adding `killed` events for running tasks."""
        address = self.backend_by_worker[worker_id]
        async with self.http.post(f"http://{address}/admin/halt") as response:
            events = parse_events((await response.json())["events"], worker_id)
        self.backends_by_id[worker_id].kill()
        running = {e.task_id: e for e in events if e.event == "started"}
        for event in events:
            if event.event not in ("started", "prepared", "refused"):
                running.pop(event.task_id, None)
        now_ms = monotonic_ms()
        killed = [e._replace(event="killed", monotonic_ms=now_ms) for e in running.values()]
        self._saved_events += [*events, *killed]

    async def kill_instance(self, worker_id: str) -> None:
        """Kill an agent and its backend server."""
        self.agents_by_id[worker_id].kill()
        await self.kill_backend(worker_id)

    async def events(self) -> list[BackendEvent]:
        """Return the events of all backend servers, including those that were killed."""
        alive = [w for w, process in self.backends_by_id.items() if process.is_running]
        logs = await asyncio.gather(*(self._read_backend_events(worker_id) for worker_id in alive))
        return self._saved_events + [event for log in logs for event in log]

    async def get(self, address: str, path: str) -> Any:
        """Return the JSON document at `path`, or None unless the response has status 200."""
        try:
            async with self.http.get(f"http://{address}{path}") as response:
                return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def wait_until(self, condition: Any, what: str, timeout_s: float = READY_TIMEOUT_S):
        """Wait until the coroutine function `condition` returns true.

        Raises TimeoutError after `timeout_s`.
        """
        until_ms = monotonic_ms() + timeout_s * 1000
        while not await condition():
            if monotonic_ms() > until_ms:
                raise TimeoutError(
                    f"timed out after {timeout_s} s waiting until {what}; logs in {self.folder}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def entries_are_ready(self) -> bool:
        """Return whether every entry reports that it is ready."""
        answers = [await self.get(a, "/readyz") for a in self.http_by_entry.values()]
        return all(answers)

    async def workers_are_known(self) -> bool:
        """Return whether every entry knows all workers and all entries."""
        for address in self.http_by_entry.values():
            fleet = await self.get(address, "/v1/fleet")
            if fleet is None or len(fleet["workers"]) < self.layout.workers:
                return False
            if len(fleet["entries"]) < self.layout.entries:
                return False
        return True

    async def _stand_ins_are_ready(self) -> bool:
        store = await self.get(self.store_address, "/admin/counters")
        return store is not None and await self.get(self._proxy_admin, "/routes") is not None

    async def _prepare_entries(self) -> None:
        names = [f"entry-{number}" for number in range(1, self.layout.entries + 1)]
        for name in [*names, SPARE_ENTRY]:
            self.sessions_by_entry[name] = self._addresses.take()
        for number, name in enumerate(names):
            self.http_by_entry[name] = self._addresses.take()
            zone = self.layout.zones[number % len(self.layout.zones)]
            self.entries_by_id[name] = await self._prepare_entry(
                name, zone, self.http_by_entry[name]
            )
            http = await self._add_route(f"{name}.http", self.http_by_entry[name])
            self.http_route_by_entry[name] = http
        self.spare_entry = await self._prepare_entry(
            SPARE_ENTRY, self.layout.zones[0], self.spare_address
        )

    async def _prepare_entry(self, name: str, zone: str, http_address: str) -> ManagedProcess:
        settings = {
            "node_id": name,
            "region": REGION,
            "zone": zone,
            "http_address": http_address,
            "session_address": self.sessions_by_entry[name],
            "store_addresses": [await self._add_route(f"{name}.store", self.store_address)],
            "fleet_key": FLEET_KEY,
            "routes": await self._entry_routes(name),
        }
        if self.layout.times:
            settings["times"] = self.layout.times
        command = [str(BIN / "lycheeslip"), "entry", "--settings"]
        return self._process(name, [*command, self._write(name, settings)])

    async def _prepare_workers(self) -> None:
        names = [f"worker-{number:02}" for number in range(1, self.layout.workers + 1)]
        for name in names:
            self.agent_by_worker[name] = self._addresses.take()
            self.backend_by_worker[name] = self._addresses.take()
        zones = self.layout.zones
        for number, name in enumerate(names):
            zone = zones[number % len(zones)]
            self.zone_by_worker[name] = zone
            backend = self.backend_by_worker[name]
            options = ["--address", backend, "--zone", zone]
            options += ["--accelerators", str(self.layout.accelerators)]
            self.backends_by_id[name] = self._process(
                f"{name}-backend", python_module("lycheeslip_standins.backend_server", *options)
            )
            settings = {
                "node_id": name,
                "region": REGION,
                "zone": zone,
                "rack": f"{zone}-rack-{number // len(zones) // WORKERS_PER_RACK + 1}",
                "address": self.agent_by_worker[name],
                "entry_addresses": [self.sessions_by_entry[name] for name in self.entries_by_id],
                "backend_address": backend,
                "fleet_key": FLEET_KEY,
                "routes": await self._agent_routes(name, names),
            }
            command = [str(BIN / "lycheeslip-agent"), "--settings"]
            self.agents_by_id[name] = self._process(name, [*command, self._write(name, settings)])

    async def _entry_routes(self, name: str) -> dict[str, str]:
        return {
            address: await self._add_route(f"{name}.{peer}", address)
            for peer, address in self.sessions_by_entry.items()
            if peer != name
        }

    async def _agent_routes(self, name: str, workers: list[str]) -> dict[str, str]:
        targets = dict(self.sessions_by_entry)
        targets |= {peer: self.agent_by_worker[peer] for peer in workers if peer != name}
        return {
            address: await self._add_route(f"{name}.{peer}", address)
            for peer, address in targets.items()
        }

    async def _add_route(self, name: str, target: str) -> str:
        body = {"name": name, "target": target}
        route = await self._post(f"http://{self._proxy_admin}/routes", body)
        self.route_by_name[name] = route["listen"]
        return route["listen"]

    async def _post(self, url: str, body: dict[str, Any]) -> Any:
        async with self.http.post(url, json=body) as response:
            response.raise_for_status()
            return await response.json()

    async def _read_backend_events(self, worker_id: str) -> list[BackendEvent]:
        log = await self.get(self.backend_by_worker[worker_id], "/admin/log")
        return parse_events(log["events"], worker_id) if log else []

    def _process(self, name: str, command: list[str]) -> ManagedProcess:
        return ManagedProcess(name, command, self.folder / f"{name}.log")

    def _write(self, name: str, settings: dict[str, Any]) -> str:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return str(path)
