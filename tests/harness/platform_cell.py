"""Runs entries, agents and platform stand-ins within one process, for the dispatch tests."""

import asyncio
import time
from collections.abc import Callable, Container
from typing import Any

import aiohttp
import msgspec
from lycheeslip.dispatch.board import Board as EntryBoard
from lycheeslip.dispatch.entry import DispatchEntry
from lycheeslip.dispatch.keys import LEADER_KEY
from lycheeslip.dispatch.leadership import decode_leader
from lycheeslip_agent.dispatch.agent import DispatchAgent
from lycheeslip_agent.dispatch.board import Board as AgentBoard
from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.workload.times import DispatchTimes
from lycheeslip_platform.advice import PlatformAdvice
from lycheeslip_platform.caller_api import CallerApi, caller_policy
from lycheeslip_platform.heartbeat_api import HEARTBEAT_POLICY, HeartbeatApi
from lycheeslip_platform.operator_keys import OPERATOR_KEYS
from lycheeslip_platform.store import PlatformStore
from lycheeslip_platform.web import Listeners
from lycheeslip_platform.worker import PlatformWorker
from lycheeslip_standins.platform.advice import PlatformAdviceServer
from lycheeslip_standins.platform.store import PlatformStoreServer
from lycheeslip_standins.platform.worker import PlatformWorkerServer

WAIT_S = 15.0
HOST = "jobs.example"
WEAK_DELAY_MS = 2_000  # all entries of a cell have started by then, also on a busy machine
PREFIXES = {0: "/urgent/", 1: "/normal/", 2: "/bulk/"}
TIMES = DispatchTimes(
    run_lease_ms=1_500,
    leader_lease_ms=600,
    leader_renew_ms=150,
    leader_grace_ms=200,
    heartbeat_ms=150,
    link_timeout_ms=600,
    lost_margin_ms=200,
    config_watch_ms=400,
    config_fresh_ms=600,
    config_valid_ms=1_000,
)


class EntryProcess:
    """An entry and its caller API, run in the test process."""

    def __init__(
        self, number: int, store_address: str, advice_address: str, times: DispatchTimes
    ) -> None:
        """Create entry `number` without starting it."""
        self._advice_address = advice_address
        self.board = EntryBoard(f"entry-{number}", "zone-a", "", times)
        self.store = PlatformStore(store_address)
        self.entry: DispatchEntry
        self.listeners = Listeners(0.1)
        self.address = ""

    async def start(self, link_port: int, call_port: int) -> None:
        """Start the entry, listening for agent links and for API calls."""
        self.board.address = f"127.0.0.1:{link_port}"
        self.address = f"127.0.0.1:{call_port}"
        self.entry = DispatchEntry(
            self.board, self.store, OPERATOR_KEYS, PlatformAdvice(self._advice_address)
        )
        api = CallerApi(self.entry.intake, self.board.counters)
        await self.listeners.add(self.address, api.handle, caller_policy(self.entry.intake))
        await self.entry.start()

    async def stop(self) -> None:
        """Shut down gracefully."""
        await self.listeners.stop()
        await self.entry.stop()

    async def kill(self) -> None:
        """Stop without releasing leases or records, as after SIGKILL."""
        await self.listeners.stop()
        await self.entry.abandon()


class AgentProcess:
    """An agent and the worker that it manages, run in the test process."""

    def __init__(
        self, number: int, zone: str, rack: str, store_address: str, times: DispatchTimes = TIMES
    ) -> None:
        """Create agent and worker `number` without starting them."""
        self._times = times
        self.node = f"side-{number}"
        self.worker = PlatformWorkerServer(f"i-{number}", "service", zone, rack)
        self._store = PlatformStore(store_address)
        self.agent: DispatchAgent
        self._port = 0

    @property
    def address(self) -> str:
        """Address (host:port) on which the agent listens for heartbeats."""
        return f"127.0.0.1:{self._port}"

    async def start(self, port: int) -> None:
        """Start the worker, then an agent that listens on `port`."""
        self._port = port
        await self.worker.start()
        await self.start_agent()
        self.worker.announce(self.address)

    async def start_agent(self) -> None:
        """Start a new agent for the worker."""
        board = AgentBoard(self.node, self._times)
        port = PlatformWorker(self.worker.address)
        self.agent = DispatchAgent(board, port, (), self._find_leader)
        self.listeners = Listeners(0.1)
        await self.listeners.add(self.address, HeartbeatApi(self.agent).handle, HEARTBEAT_POLICY)
        await self.agent.start()

    async def stop_agent(self) -> None:
        """Stop the agent and leave the worker running."""
        await self.agent.stop()
        await self.listeners.stop()

    async def stop(self) -> None:
        """Stop the agent and the worker."""
        await self.stop_agent()
        await self.worker.stop()
        await self._store.close()

    async def _find_leader(self) -> tuple[str, int] | None:
        found = await self._store.read_prefix(LEADER_KEY, stale_ok=True)
        if isinstance(found, Unreachable) or not found.items:
            return None
        named = decode_leader(found.items[0].value)
        return (named[1], found.items[0].mod_revision) if named else None


class Cell:
    """A small deployment, used as an asynchronous context manager."""

    def __init__(
        self,
        free_port: Callable[[], int],
        entries: int = 2,
        agents: int = 2,
        weak_entries: Container[int] = (),
        times: DispatchTimes = TIMES,
    ) -> None:
        """Set the number of processes, which start when the context is entered.

        `weak_entries` leave a free term to the others; `times` are those of all processes.
        """
        self._times = times
        self._weak_entries = weak_entries
        self._free_port = free_port
        self._process_counts = (entries, agents)
        self.store = PlatformStoreServer()
        self.advice = PlatformAdviceServer()
        self.advised_priorities: set[int] = set()
        self.public_priorities: set[int] = set()
        self.prefix_by_priority = dict(PREFIXES)
        self.queue_name_suffix = ""
        self.entries: list[EntryProcess] = []
        self.agents: list[AgentProcess] = []
        self.version = 0
        self.keys = ["key-a"]  # API keys of the tenant
        self.guaranteed = 8  # GPUs guaranteed to the tenant
        self.last_headers: dict[str, str] = {}  # of the last response

    async def __aenter__(self) -> "Cell":
        """Start all processes and wait until the leader knows all workers."""
        await self.store.start()
        await self.advice.start()
        self.configure()
        for number in range(self._process_counts[0]):
            await self.add_entry(number)
        # The agents' attempts to open a link alternate between entries, so that tests of
        # a later attempt need the first one to find the leader.
        await self.until(lambda: self.leader() is not None)
        for number in range(self._process_counts[1]):
            agent = AgentProcess(
                number, f"zone-{number}", "rack-1", self.store.address, self._times
            )
            await agent.start(self._free_port())
            self.agents.append(agent)
        await self.until(lambda: self.leader() is not None and self.known_workers())
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all processes."""
        await self._session.close()
        for process in (*self.agents, *self.entries):
            await process.stop()
        await self.advice.stop()
        await self.store.stop()

    async def add_entry(self, number: int) -> None:
        """Start another entry."""
        entry = EntryProcess(number, self.store.address, self.advice.address, self._times)
        if number in self._weak_entries:
            entry.board.campaign_delay_ms = WEAK_DELAY_MS
        await entry.start(self._free_port(), self._free_port())
        self.entries.append(entry)

    def configure(self, **changes: Any) -> int:
        """Store the next configuration and return its version; `changes` replace whole fields."""
        self.version += 1
        routes = [
            {
                "name": f"q-{priority}{self.queue_name_suffix}",
                "host": HOST,
                "prefix": prefix,
                "service": "service",
                "priority": priority,
                "attempts": 3,
                "stretch": 3.0,
                "target_latency_ms": 250,
                "public": priority in self.public_priorities,
            }
            for priority, prefix in self.prefix_by_priority.items()
        ]
        for priority in self.advised_priorities:
            routes[priority]["advice"] = {"decision_ms": 20, "per_worker_ms": 1}
        tenant = {"name": "t-a", "api_keys": self.keys, "guaranteed": {"gpu": self.guaranteed}}
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "service"}],
            "tenants": [tenant],
            **changes,
        }
        self.store.put("op/config", msgspec.json.encode(document))
        return self.version

    def leader(self) -> EntryProcess | None:
        """Return the leading entry once it has loaded the job records, else None."""
        return next((entry for entry in self.entries if entry.board.is_loaded), None)

    def known_workers(self) -> bool:
        """Return whether the leader has a link to every agent and knows its worker."""
        leader = self.leader()
        if leader is None:
            return False
        known = [
            view
            for view in leader.board.workers.values()
            if view.link is not None and view.lifetime is not None
        ]
        return len(known) == len(self.agents)

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        entry: int = 0,
        key: str = "key-a",
        time_ms: int = 3_000,
    ) -> tuple[int, Any]:
        """Send a request to an entry and return the status and the decoded body."""
        headers = {"Host": HOST, "Authorization": f"Bearer {key}", "Deadline-Ms": str(time_ms)}
        url = f"http://{self.entries[entry].address}{path}"
        content = None if body is None else msgspec.json.encode(body)
        async with self._session.request(method, url, data=content, headers=headers) as response:
            text = await response.read()
            self.last_headers = dict(response.headers)
            return response.status, msgspec.json.decode(text) if text else None

    async def submit(
        self,
        number: int,
        *steps: dict[str, Any],
        work_ms: int = 50,
        priority: int = 1,
        payload: str = "",
        **more: Any,
    ) -> str:
        """Submit a job, assert that it is accepted, and return its path."""
        path = f"{PREFIXES[priority]}{number:016x}"
        body = {"spec": payload or str(work_ms), "steps": list(steps)}
        status, _ = await self.call("POST", path, body, **more)
        assert status == 200
        return path

    async def state(self, path: str, entry: int = 0) -> str:
        """Return the state of the job at `path`, or the HTTP status if the request was refused."""
        status, document = await self.call("GET", path, entry=entry)
        return document["state"] if status == 200 else str(status)

    async def until_state(self, path: str, state: str, entry: int = 0) -> None:
        """Wait until the job at `path` is in `state`, for at most `WAIT_S`."""
        async with asyncio.timeout(WAIT_S):
            while await self.state(path, entry) != state:  # noqa: ASYNC110
                await asyncio.sleep(0.03)

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until `condition` is true, for at most `WAIT_S`."""
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def starts(self) -> dict[str, list[int]]:
        """Return the sorted run numbers that were started on any worker, by task."""
        starts_by_task: dict[str, list[int]] = {}
        for agent in self.agents:
            for task, runs in agent.worker.started.by_task.items():
                starts_by_task.setdefault(task, []).extend(runs)
        return {task: sorted(runs) for task, runs in starts_by_task.items()}

    def running(self) -> int:
        """Return the number of runs in progress on all workers."""
        return sum(len(agent.worker.runs) for agent in self.agents)


async def assert_stays_true(condition: Callable[[], bool], for_s: float) -> None:
    """Assert that `condition` stays true for `for_s` seconds."""
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        assert condition()
        await asyncio.sleep(0.02)
