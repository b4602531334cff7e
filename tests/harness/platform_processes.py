"""Runs entries and agents of the platform deployment as processes, beside stand-ins."""

import asyncio
import signal
import sys
from pathlib import Path

import aiohttp
import msgspec
from lycheeslip.dispatch.keys import LEADER_KEY
from lycheeslip.dispatch.leadership import decode_leader
from lycheeslip_standins.addresses import ReservedAddresses
from lycheeslip_standins.platform.store import PlatformStoreServer
from lycheeslip_standins.platform.worker import PlatformWorkerServer

__all__ = ["CONFIG", "HOST", "Processes", "call", "submit", "until_completed"]

HOST = "jobs.example"
WAIT_S = 20
ENTRIES = 2
CONFIG = {
    "version": 1,
    "routes": [{"name": "q", "host": HOST, "prefix": "/q/", "service": "service", "attempts": 3}],
    "services": [{"name": "service"}],
    "tenants": [{"name": "t", "api_keys": ["key"]}],
}
HEADERS = {"Host": HOST, "Authorization": "Bearer key", "Deadline-Ms": "3000"}


class Processes:
    """Some entries and agents as processes; the store and the workers are stand-ins."""

    def __init__(
        self,
        folder: Path,
        agents: int = 1,
        entries: int = ENTRIES,
        limits: dict[str, dict[str, int]] | None = None,
    ) -> None:
        """Reserve addresses; settings and logs of the processes are written to `folder`.

        `limits` has the `[limits]` of the settings by role, "entry" or "agent".
        """
        self._folder = folder
        self._limits = limits or {}
        self._addresses = ReservedAddresses()
        self.store = PlatformStoreServer()
        self.workers = [
            PlatformWorkerServer(f"i-{number}", "service", "zone-a", "rack-1")
            for number in range(agents)
        ]
        self.frontends = [self._addresses.take() for _ in range(entries)]
        self.links = [self._addresses.take() for _ in range(entries)]
        self.readiness = [self._addresses.take() for _ in range(entries)]
        self.agent_addresses = [self._addresses.take() for _ in range(agents)]
        self.entries: list[asyncio.subprocess.Process] = []
        self.agents: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        """Start the stand-ins, then all processes."""
        await self.store.start()
        self.store.put("op/config", msgspec.json.encode(CONFIG))
        for number, (frontend, link) in enumerate(zip(self.frontends, self.links, strict=True)):
            listen = {
                "frontend": frontend,
                "readiness": self.readiness[number],
                "control_plane": link,
            }
            self.entries.append(await self._start("entry", f"edge-{number}", listen))
        for number, (worker, address) in enumerate(
            zip(self.workers, self.agent_addresses, strict=True)
        ):
            await worker.start()
            listen = {"control_plane": address}
            self.agents.append(await self._start("agent", f"side-{number}", listen, worker.address))
            worker.announce(address)

    async def restart_agent(self, number: int, how: signal.Signals) -> None:
        """End an agent by a signal and start it again with the same settings."""
        await self._end(self.agents[number], how)
        self.agents[number] = await self._run("agent", f"side-{number}")

    async def restart_entry(self, number: int, how: signal.Signals) -> None:
        """End an entry by a signal and start it again with the same settings."""
        await self._end(self.entries[number], how)
        self.entries[number] = await self._run("entry", f"edge-{number}")

    async def _end(self, process: asyncio.subprocess.Process, how: signal.Signals) -> None:
        process.send_signal(how)
        async with asyncio.timeout(WAIT_S):
            await process.wait()

    async def _start(
        self, role: str, node: str, listen: dict[str, str], worker_address: str = "127.0.0.1:1"
    ) -> asyncio.subprocess.Process:
        lines = [
            f'node_name = "{node}"',
            'zone = "zone-a"',
            'ip = "127.0.0.1"',
            "port_range = [1, 1]",
            f'app = "{worker_address}"',
            f'platform = {{ address = "{self.store.address}" }}',
            "[listen]",
            *(f'{name} = "{address}"' for name, address in listen.items()),
            "[limits]",
            *(f"{name} = {limit}" for name, limit in self._limits.get(role, {}).items()),
        ]
        (self._folder / f"{node}.toml").write_text("\n".join(lines))
        return await self._run(role, node)

    async def _run(self, role: str, node: str) -> asyncio.subprocess.Process:
        with (self._folder / f"{node}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lycheeslip_platform",
                role,
                env={"LYCHEESLIP_SETTINGS": str(self._folder / f"{node}.toml")},
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """Kill all processes, also paused ones, and stop the stand-ins."""
        for process in self.running:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        self._addresses.release()

    @property
    def running(self) -> list[asyncio.subprocess.Process]:
        """All processes that were started."""
        return [*self.entries, *self.agents]

    def leader(self) -> int | None:
        """Return the number of the entry that the store names as the leader."""
        named = decode_leader(self.store.value(LEADER_KEY) or b"")
        return self.links.index(named[1]) if named and named[1] in self.links else None

    def logged(self, event: str) -> int:
        """Return how often the processes have logged `event`."""
        return sum(path.read_text().count(f"event={event} ") for path in self._folder.glob("*.log"))


async def call(method: str, url: str, content: bytes | None = None) -> tuple[int, bytes]:
    """Return status and body of the response, 0 without one."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=content, headers=HEADERS) as response,
        ):
            return response.status, await response.read()
    except aiohttp.ClientError:
        return 0, b""


async def submit(
    processes: Processes,
    number: int,
    work_ms: int = 50,
    entry: int = 0,
    accelerators: int = 0,
    wait_s: float = WAIT_S,
) -> str:
    """Submit a job of one task until it is accepted; return its URL."""
    url = f"http://{processes.frontends[entry]}/q/{number:016x}"
    step = {"count": 1, "cpu": 100, "mem_mb": 1, "gpu": accelerators}
    job = msgspec.json.encode({"spec": str(work_ms), "steps": [step]})
    async with asyncio.timeout(wait_s):
        while (await call("POST", url, job))[0] != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
    return url


async def until_completed(url: str, wait_s: float = WAIT_S) -> None:
    """Wait until the job at `url` is shown as completed."""
    async with asyncio.timeout(wait_s):
        while b"completed" not in (await call("GET", url))[1]:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
