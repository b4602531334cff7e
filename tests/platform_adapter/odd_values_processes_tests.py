"""Odd values among those of running platform processes: none ends, and jobs complete."""

import asyncio
import sys
from pathlib import Path

import aiohttp
import cbor2
import msgspec
import pytest
import pytest_asyncio
from lycheeslip.dispatch.keys import LEADER_KEY, SPEC_PREFIX
from lycheeslip.dispatch.leadership import decode_leader
from lycheeslip_standins.addresses import ReservedAddresses
from lycheeslip_standins.platform.store import PlatformStoreServer
from lycheeslip_standins.platform.worker import PlatformWorkerServer

pytestmark = pytest.mark.processes

HOST = "jobs.example"
WAIT_S = 20
OBSERVED_S = 2
DEEP_JSON = b'{"another":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
DEEP_CBOR = b"\x81" * 100_000 + b"\x01"
ODD_CLAIM = cbor2.dumps(["entry-9", "127.0.0.1:700000"])
CONFIG = {
    "version": 1,
    "routes": [{"name": "q", "host": HOST, "prefix": "/q/", "service": "service", "attempts": 3}],
    "services": [{"name": "service"}],
    "tenants": [{"name": "t", "api_keys": ["key"]}],
}
HEADERS = {"Host": HOST, "Authorization": "Bearer key", "Deadline-Ms": "3000"}
JOB = {"spec": "50", "steps": [{"count": 1, "cpu": 100, "mem_mb": 1}]}


class Processes:
    """Two entries and an agent as processes; the store and the worker are stand-ins."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._addresses = ReservedAddresses()
        self.store = PlatformStoreServer()
        self.worker = PlatformWorkerServer("i-1", "service", "zone-a", "rack-1")
        self.frontends = [self._addresses.take() for _ in range(2)]
        self.links = [self._addresses.take() for _ in range(2)]
        self.agent_address = self._addresses.take()
        self.running: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        await self.store.start()
        await self.worker.start()
        self.store.put("op/config", msgspec.json.encode(CONFIG))
        for number, (frontend, link) in enumerate(zip(self.frontends, self.links, strict=True)):
            listen = {
                "frontend": frontend,
                "readiness": self._addresses.take(),
                "control_plane": link,
            }
            await self._start("entry", f"edge-{number}", listen)
        await self._start("agent", "side-1", {"control_plane": self.agent_address})
        self.worker.announce(self.agent_address)

    async def _start(self, role: str, node: str, listen: dict[str, str]) -> None:
        lines = [
            f'node_name = "{node}"',
            'zone = "zone-a"',
            'ip = "127.0.0.1"',
            "port_range = [1, 1]",
            f'app = "{self.worker.address}"',
            f'platform = {{ address = "{self.store.address}" }}',
            "[listen]",
            *(f'{name} = "{address}"' for name, address in listen.items()),
        ]
        path = self._folder / f"{node}.toml"
        path.write_text("\n".join(lines))
        with (self._folder / f"{node}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lycheeslip_platform",
                role,
                env={"LYCHEESLIP_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )
        self.running.append(process)

    async def stop(self) -> None:
        for process in self.running:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.worker.stop()
        await self.store.stop()
        self._addresses.release()

    def logged(self, event: str) -> int:
        return sum(path.read_text().count(f"event={event} ") for path in self._folder.glob("*.log"))


@pytest_asyncio.fixture
async def processes(tmp_path):
    processes = Processes(tmp_path)
    try:
        await processes.start()
        yield processes
    finally:
        await processes.stop()


async def call(method: str, url: str, content: bytes | None = None) -> tuple[int, bytes]:
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=content, headers=HEADERS) as response,
        ):
            return response.status, await response.read()
    except aiohttp.ClientError:
        return 0, b""


async def complete_job(processes: Processes, number: int) -> None:
    url = f"http://{processes.frontends[0]}/q/{number:016x}"
    async with asyncio.timeout(WAIT_S):
        while (await call("POST", url, msgspec.json.encode(JOB)))[0] != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        while b"completed" not in (await call("GET", url))[1]:  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def test_odd_values_end_no_process_and_jobs_complete(processes: Processes):
    await complete_job(processes, 1)
    processes.store.put(SPEC_PREFIX + "a" * 16, DEEP_CBOR)
    processes.store.put("op/config", DEEP_JSON)
    processes.store.put(LEADER_KEY, ODD_CLAIM)
    heartbeat = f"http://{processes.agent_address}/instances/i-odd/heartbeat"
    assert (await call("POST", heartbeat, DEEP_JSON))[0] == 400
    await asyncio.sleep(OBSERVED_S)
    processes.store.put("op/config", msgspec.json.encode({**CONFIG, "version": 2}))
    await complete_job(processes, 2)
    named = decode_leader(processes.store.value(LEADER_KEY) or b"")
    assert named is not None
    assert named[1] in processes.links
    assert all(process.returncode is None for process in processes.running)
    assert processes.logged("controller_failed") == 0
    assert processes.logged("config_unreadable") == 2  # once in each entry
