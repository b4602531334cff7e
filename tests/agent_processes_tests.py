import asyncio
import json
import signal
import sys
from pathlib import Path

import aiohttp
import pytest
import yaml
from lycheeslip_common.structure.fleet import EntryInfo, WorkerState
from lycheeslip_common.structure.jobs import AttemptRef, JobKind, MemberPlacement
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.messages import (
    AnswerRecorded,
    AttemptReport,
    Directive,
    FenceReply,
    Ping,
    Pong,
    Prepare,
    PrepareReply,
    ReportState,
    Reserve,
    ReserveReply,
    WorkerUpdate,
)
from lycheeslip_common.wire.session import Session, listen
from lycheeslip_standins.backend_server import expected_answer

pytestmark = pytest.mark.processes

KEY = "a fleet key for tests only"
LEASE_MS = 3_000
GANG_LEASE_MS = 800
PERMIT_MS = 3_000
WAIT_S = 8


class FakeEntry:
    """Answers pings, and lets a test reserve and prepare members on agents."""

    def __init__(self):
        self.in_service = True
        self.permit_ms = PERMIT_MS
        self.records = True
        self.states: dict[str, WorkerState] = {}
        self.sessions: dict[str, Session] = {}
        self.reports: list[AttemptReport] = []
        self.replies: dict[int, object] = {}
        self.changed = asyncio.Event()
        self._request_id = 0
        self._version = 0

    async def start(self, address="127.0.0.1:0", key=KEY):
        self.server = await listen(address, key, "e1", self._handle, lambda: (), Metrics())
        self.address = f"127.0.0.1:{next(iter(self.server.sockets)).getsockname()[1]}"
        self.info = EntryInfo("e1", "r1", "z1", "", self.address)

    async def stop(self):
        self.server.close()
        await self.server.wait_closed()

    async def _handle(self, session):
        self.sessions[session.node_id] = session
        fresh = True
        while True:
            message = await session.receive()
            match message:
                case Ping():
                    await session.send(Pong(message.sent_ms, 1, self.permit_ms, (self.info,)))
                case WorkerUpdate():
                    self.states[session.node_id] = message.state
                    if fresh:
                        fresh = False
                        await session.send(self.directive())
                case AttemptReport():
                    self.reports.append(message)
                    if self.records and message.state is not ReportState.RUNNING:
                        await session.send(AnswerRecorded(message.ref))
                case ReserveReply() | PrepareReply() | FenceReply():
                    self.replies[message.request_id] = message
            self.changed.set()

    def directive(self):
        self._version += 1
        homes = ("",) * 8
        return Directive(1, self._version, self.in_service, homes, LEASE_MS, GANG_LEASE_MS)

    async def until(self, condition, timeout_s=WAIT_S):
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    async def ask(self, worker, build):
        self._request_id += 1
        request_id = self._request_id
        await self.sessions[worker].send(build(request_id))
        await self.until(lambda: request_id in self.replies)
        return self.replies[request_id]

    async def reserve(self, worker, ref, member=0, members=1, accelerators=(0,), **changes):
        def build(request_id):
            incarnation = self.states[worker].incarnation
            message = Reserve(
                request_id, ref, member, members, "e1", incarnation, "acct", JobKind.BULK,
                accelerators, 1, 256, True, 2_000,
            )  # fmt: skip
            return message._replace(**changes)

        return (await self.ask(worker, build)).reason

    async def prepare(self, workers, ref, payload, member=0, accelerators=(0,)):
        placement = tuple(
            MemberPlacement(
                w, self.states[w].incarnation, accelerators, self.states[w].info.address
            )
            for w in workers
        )
        worker = workers[member]
        incarnation = self.states[worker].incarnation
        return (
            await self.ask(
                worker,
                lambda r: Prepare(r, ref, member, incarnation, placement, payload, "", 2_000),
            )
        ).reason

    async def run(self, workers, ref, payload):
        members = len(workers)
        for member, worker in enumerate(workers):
            assert await self.reserve(worker, ref, member, members) == ""
        return await asyncio.gather(
            *(self.prepare(workers, ref, payload, member) for member in range(members))
        )

    async def outcome(self, ref, timeout_s=WAIT_S):
        def found():
            return [r for r in self.reports if r.ref == ref and r.state != ReportState.RUNNING]

        await self.until(found, timeout_s)
        return found()[0]

    async def ran(self, ref):
        await self.until(
            lambda: any(r.ref == ref and r.state == ReportState.RUNNING for r in self.reports)
        )

    async def up(self, *workers):
        await self.until(
            lambda: all(w in self.states and self.states[w].directive_version for w in workers)
        )


class Cell:
    """An entry inside the test, and processes of agents and backend servers."""

    def __init__(self, directory: Path):
        self.directory = directory
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.backends: dict[str, str] = {}
        self.entry = FakeEntry()

    async def spawn(self, name, *args):
        log = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *args, stderr=log
        )

    async def add_worker(self, worker, key=KEY):
        await self.spawn(f"b-{worker}", "lycheeslip_standins.backend_server", "--zone", "z1")
        address = await self.logged(f"b-{worker}", "backend_server_listening", "address")
        self.backends[worker] = address
        settings = {
            "node_id": worker,
            "region": "r1",
            "zone": "z1",
            "rack": "k1",
            "address": "127.0.0.1:0",
            "entry_addresses": [self.entry.address],
            "backend_address": address,
            "fleet_key": key,
        }
        (self.directory / f"{worker}.yaml").write_text(yaml.safe_dump(settings))
        await self.start_agent(worker)

    async def start_agent(self, worker):
        path = self.directory / f"{worker}.yaml"
        await self.spawn(worker, "lycheeslip_agent", "--settings", str(path))

    async def logged(self, name, event, field):
        async with asyncio.timeout(WAIT_S):
            while True:
                for line in (self.directory / f"{name}.log").read_text().splitlines():
                    if f"event={event}" in line:
                        return line.split(f"{field}=")[1].split()[0]
                await asyncio.sleep(0.02)

    async def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        async with asyncio.timeout(WAIT_S):
            return await self.processes[name].wait()

    async def events(self, worker):
        async with (
            aiohttp.ClientSession() as http,
            http.get(f"http://{self.backends[worker]}/admin/log") as response,
        ):
            return (await response.json())["events"]

    async def kinds(self, worker):
        return [event["event"] for event in await self.events(worker)]

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.entry.stop()


@pytest.fixture
async def cell(tmp_path):
    cell = Cell(tmp_path)
    await cell.entry.start()
    yield cell
    await cell.stop()


def payload(run_ms=100, **fields):
    return json.dumps({"run_ms": run_ms, **fields})


async def test_a_job_runs_and_its_answer_is_reported_until_it_is_recorded(cell):
    await cell.add_worker("w1")
    await cell.entry.up("w1")
    cell.entry.records = False
    ref = AttemptRef("j1", 1, 1)
    assert await cell.entry.run(["w1"], ref, payload()) == [""]
    report = await cell.entry.outcome(ref)
    assert report.state is ReportState.ANSWERED
    assert report.answer == expected_answer(payload())
    cell.entry.reports.clear()
    assert (await cell.entry.outcome(ref)) == report
    assert await cell.kinds("w1") == ["prepared", "started", "finished"]


async def test_a_gang_starts_and_answers_as_one(cell):
    workers = ["w1", "w2", "w3"]
    for worker in workers:
        await cell.add_worker(worker)
    await cell.entry.up(*workers)
    ref = AttemptRef("j1", 1, 1)
    assert await cell.entry.run(workers, ref, payload(400)) == ["", "", ""]
    report = await cell.entry.outcome(ref)
    assert (report.state, report.answer) == (ReportState.ANSWERED, expected_answer(payload(400)))
    for worker in workers:
        assert await cell.kinds(worker) == ["prepared", "started", "finished"]
