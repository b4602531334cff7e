import asyncio
import json
import signal
import sys
from hashlib import sha256
from pathlib import Path

import aiohttp
import pytest
import yaml
from lycheeslip_common.structure.fleet import EntryInfo, WorkerState
from lycheeslip_common.structure.jobs import AttemptRef, JobKind, MemberPlacement
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.messages import (
    AnswerRecorded,
    AttemptReport,
    Control,
    ControlAction,
    Directive,
    Fence,
    FenceReply,
    FenceStatus,
    Ping,
    Pong,
    Prepare,
    PrepareReply,
    ReportState,
    Reserve,
    ReserveReply,
    WorkerUpdate,
)
from lycheeslip_common.wire.session import Session, SessionError, dial, listen
from lycheeslip_standins.backend_server import BackendCapacity, BackendServer, expected_answer

pytestmark = pytest.mark.processes

KEY = "a fleet key for tests only"
LEASE_MS = 3_000
GANG_LEASE_MS = 800
ADOPTED_RUN_MS = 5_000  # an agent starts in 1 s, or over 1.5 s on a busy machine
ADOPTION_LEASE_MS = 20_000
PERMIT_MS = 3_000
TIMEOUT_S = 8
TOLERANCE_MS = 400


class FakeEntry:
    """Acts as an entry: answers pings, records reports and sends requests to agents."""

    def __init__(self):
        self.in_service = True
        self.lease_ms = LEASE_MS
        self.permit_ms = PERMIT_MS
        self.confirms_records = True
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
        is_first_update = True
        while True:
            message = await session.receive()
            match message:
                case Ping():
                    await session.send(Pong(message.sent_ms, 1, self.permit_ms, (self.info,)))
                case WorkerUpdate():
                    self.states[session.node_id] = message.state
                    if is_first_update:
                        is_first_update = False
                        await session.send(self.directive())
                case AttemptReport():
                    self.reports.append(message)
                    if self.confirms_records and message.state is not ReportState.RUNNING:
                        await session.send(AnswerRecorded(message.ref))
                case ReserveReply() | PrepareReply() | FenceReply():
                    self.replies[message.request_id] = message
            self.changed.set()

    def directive(self):
        self._version += 1
        homes = ("",) * 8
        return Directive(1, self._version, self.in_service, homes, self.lease_ms, GANG_LEASE_MS)

    async def wait_until(self, condition, timeout_s=TIMEOUT_S):
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    async def request(self, worker, build):
        self._request_id += 1
        request_id = self._request_id
        await self.sessions[worker].send(build(request_id))
        await self.wait_until(lambda: request_id in self.replies)
        return self.replies[request_id]

    async def reserve(self, worker, ref, member=0, members=1, accelerators=(0,), **changes):
        def build(request_id):
            incarnation = self.states[worker].incarnation
            message = Reserve(
                request_id, ref, member, members, "e1", incarnation, "acct", JobKind.BULK,
                accelerators, 1, 256, True, 2_000,
            )  # fmt: skip
            return message._replace(**changes)

        return (await self.request(worker, build)).reason

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
            await self.request(
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

    async def wait_for_outcome(self, ref, timeout_s=TIMEOUT_S):
        def final_reports():
            return [r for r in self.reports if r.ref == ref and r.state != ReportState.RUNNING]

        await self.wait_until(final_reports, timeout_s)
        return final_reports()[0]

    async def wait_until_running(self, ref):
        await self.wait_until(
            lambda: any(r.ref == ref and r.state == ReportState.RUNNING for r in self.reports)
        )

    async def wait_until_connected(self, *workers):
        await self.wait_until(
            lambda: all(w in self.states and self.states[w].directive_version for w in workers)
        )


class Cell:
    """A fake entry and backend servers in the test process, and agents as child processes."""

    def __init__(self, directory: Path):
        self.directory = directory
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.backend_addresses: dict[str, str] = {}
        self.servers: dict[str, BackendServer] = {}
        self.entry = FakeEntry()

    async def spawn(self, name, *args):
        log = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *args, stderr=log
        )

    async def add_worker(self, worker, key=KEY):
        server = BackendServer("127.0.0.1:0", BackendCapacity("z1"))
        await server.start()
        self.servers[worker] = server
        await self.add_agent(worker, server.address, key)

    async def add_workers(self, *workers):
        await asyncio.gather(*(self.add_worker(worker) for worker in workers))
        await self.entry.wait_until_connected(*workers)

    async def add_agent(self, worker, backend_address, key=KEY):
        self.backend_addresses[worker] = backend_address
        settings = {
            "node_id": worker,
            "region": "r1",
            "zone": "z1",
            "rack": "k1",
            "address": "127.0.0.1:0",
            "entry_addresses": [self.entry.address],
            "backend_address": backend_address,
            "fleet_key": key,
        }
        (self.directory / f"{worker}.yaml").write_text(yaml.safe_dump(settings))
        await self.start_agent(worker)

    async def start_agent(self, worker):
        path = self.directory / f"{worker}.yaml"
        await self.spawn(worker, "lycheeslip_agent", "--settings", str(path))

    async def wait_for_log_field(self, name, event, field):
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for line in (self.directory / f"{name}.log").read_text().splitlines():
                    if f"event={event}" in line:
                        return line.split(f"{field}=")[1].split()[0]
                await asyncio.sleep(0.02)

    async def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        async with asyncio.timeout(TIMEOUT_S):
            return await self.processes[name].wait()

    async def events(self, worker):
        async with (
            aiohttp.ClientSession() as http,
            http.get(f"http://{self.backend_addresses[worker]}/admin/log") as response,
        ):
            return (await response.json())["events"]

    async def wait_for_task_end(self, worker, ref, member):
        path = f"/v1/tasks/{ref.key}.{member}?wait_ms=8000"
        async with (
            aiohttp.ClientSession() as http,
            http.get(f"http://{self.backend_addresses[worker]}{path}") as response,
        ):
            return await response.json()

    async def event_names(self, worker):
        return [event["event"] for event in await self.events(worker)]

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in self.servers.values():
            await server.stop()
        await self.entry.stop()


@pytest.fixture
async def cell(tmp_path):
    cell = Cell(tmp_path)
    await cell.entry.start()
    yield cell
    await cell.stop()


def payload(run_ms=100, **fields):
    return json.dumps({"run_ms": run_ms, **fields})


async def test_agent_reports_the_answer_until_the_entry_has_recorded_it(cell):
    await cell.spawn("b1", "lycheeslip_standins.backend_server", "--zone", "z1")
    address = await cell.wait_for_log_field("b1", "backend_server_listening", "address")
    await cell.add_agent("w1", address)
    await cell.entry.wait_until_connected("w1")
    cell.entry.confirms_records = False
    ref = AttemptRef("j1", 1, 1)
    assert await cell.entry.run(["w1"], ref, payload()) == [""]
    report = await cell.entry.wait_for_outcome(ref)
    assert report.state is ReportState.ANSWERED
    assert report.answer == expected_answer(payload())
    cell.entry.reports.clear()
    assert (await cell.entry.wait_for_outcome(ref)) == report
    assert await cell.event_names("w1") == ["prepared", "started", "finished"]


async def test_empty_answer_is_reported_with_its_digest(cell):
    await cell.add_workers("w1")
    ref = AttemptRef("j1", 1, 1)
    await cell.entry.run(["w1"], ref, payload(answer_bytes=-1))
    report = await cell.entry.wait_for_outcome(ref)
    assert (report.state, report.answer) == (ReportState.ANSWERED, b"")
    assert report.digest == sha256(b"").hexdigest()


async def test_gang_runs_on_every_member_and_reports_one_answer(cell):
    workers = ["w1", "w2", "w3"]
    await cell.add_workers(*workers)
    ref = AttemptRef("j1", 1, 1)
    assert await cell.entry.run(workers, ref, payload(400)) == ["", "", ""]
    report = await cell.entry.wait_for_outcome(ref)
    assert (report.state, report.answer) == (ReportState.ANSWERED, expected_answer(payload(400)))
    for worker in workers:
        assert await cell.event_names(worker) == ["prepared", "started", "finished"]


async def test_restarted_agent_adopts_the_running_task(cell):
    cell.entry.lease_ms = ADOPTION_LEASE_MS
    await cell.add_workers("w1")
    ref = AttemptRef("j1", 1, 1)
    await cell.entry.run(["w1"], ref, payload(ADOPTED_RUN_MS))
    await cell.entry.wait_until_running(ref)
    first = cell.entry.states["w1"].incarnation
    await cell.kill("w1")
    await cell.start_agent("w1")
    await cell.entry.wait_until(lambda: cell.entry.states["w1"].incarnation != first)
    assert [grant.job_id for grant in cell.entry.states["w1"].grants] == ["j1"]
    report = await cell.entry.wait_for_outcome(ref)
    assert (report.state, report.answer) == (
        ReportState.ANSWERED,
        expected_answer(payload(ADOPTED_RUN_MS)),
    )
    assert await cell.event_names("w1") == ["prepared", "started", "finished"]


async def test_restarted_agent_reports_an_unrecorded_answer(cell):
    await cell.add_workers("w1")
    cell.entry.confirms_records = False
    ref = AttemptRef("j1", 1, 1)
    await cell.entry.run(["w1"], ref, payload())
    report = await cell.entry.wait_for_outcome(ref)
    await cell.kill("w1")
    cell.entry.reports.clear()
    await cell.start_agent("w1")
    assert (await cell.entry.wait_for_outcome(ref)) == report


async def test_restarted_agent_refuses_requests_for_its_old_incarnation(cell):
    await cell.add_workers("w1")
    ref, reserved = AttemptRef("j1", 1, 1), AttemptRef("j2", 1, 1)
    assert await cell.entry.reserve("w1", ref) == ""
    old_state = cell.entry.states["w1"]
    await cell.kill("w1")
    await cell.start_agent("w1")
    await cell.entry.wait_until(
        lambda: cell.entry.states["w1"].incarnation != old_state.incarnation
    )
    await cell.entry.wait_until_connected("w1")
    old_incarnation = {"incarnation": old_state.incarnation}
    assert await cell.entry.reserve("w1", reserved, **old_incarnation) == "other_incarnation"
    cell.entry.states["w1"] = old_state
    assert await cell.entry.prepare(["w1"], ref, payload()) == "other_incarnation"
    assert await cell.event_names("w1") == []


@pytest.mark.parametrize("killed_worker", ["w1", "w2"])
async def test_gang_that_loses_an_agent_stops_within_the_gang_lease(cell, killed_worker):
    workers = ["w1", "w2"]
    await cell.add_workers(*workers)
    ref = AttemptRef("j1", 1, 1)
    await cell.entry.run(workers, ref, payload(20_000))
    await cell.entry.wait_until_running(ref)
    killed_at_ms = monotonic_ms()
    await cell.kill(killed_worker)
    ended_at_ms = []
    for member, worker in enumerate(workers):
        await cell.wait_for_task_end(worker, ref, member)
        ended_at_ms.append((await cell.events(worker))[-1]["monotonic_ms"])
    assert max(ended_at_ms) - killed_at_ms <= GANG_LEASE_MS + TOLERANCE_MS
    if killed_worker == "w2":
        report = await cell.entry.wait_for_outcome(ref)
        assert (report.state, report.blamed) == (ReportState.LOST, "w2")
        assert report.worker_id == "w1"
        return
    await cell.start_agent(killed_worker)
    assert (await cell.entry.wait_for_outcome(ref)).state is ReportState.LOST


async def test_sigterm_lets_the_running_task_end_and_refuses_new_ones(cell):
    await cell.add_workers("w1")
    ref = AttemptRef("j1", 1, 1)
    await cell.entry.run(["w1"], ref, payload(1_000))
    await cell.entry.wait_until_running(ref)
    cell.processes["w1"].send_signal(signal.SIGTERM)
    await cell.entry.wait_until(lambda: cell.entry.states["w1"].leaving)
    new_ref = AttemptRef("j2", 1, 1)
    assert await cell.entry.reserve("w1", new_ref, accelerators=(1,)) == "leaving"
    assert (await cell.entry.wait_for_outcome(ref)).state is ReportState.ANSWERED
    assert await asyncio.wait_for(cell.processes["w1"].wait(), TIMEOUT_S) == 0


async def test_drained_agent_stays_up_and_refuses_work_until_undrained(cell):
    await cell.add_workers("w1")
    ref = AttemptRef("j1", 1, 1)
    assert await cell.entry.reserve("w1", ref) == ""
    drain = Control(AttemptRef("", 0, 0), 0, ControlAction.STOP, 0, "drain")
    await cell.entry.sessions["w1"].send(drain)
    await cell.entry.wait_until(lambda: cell.entry.states["w1"].leaving)
    assert await cell.entry.prepare(["w1"], ref, payload()) == "leaving"
    assert cell.processes["w1"].returncode is None
    undrain = drain._replace(action=ControlAction.UNTHROTTLE, reason="undrain")
    await cell.entry.sessions["w1"].send(undrain)
    await cell.entry.wait_until(lambda: not cell.entry.states["w1"].leaving)
    assert await cell.entry.reserve("w1", AttemptRef("j2", 1, 1), accelerators=(1,)) == ""


async def test_suspended_agent_loses_its_task_and_starts_none_after_its_permit_expired(cell):
    workers = ["w1", "w2"]
    await cell.add_workers(*workers)
    ref, held = AttemptRef("j1", 1, 1), AttemptRef("j2", 1, 1)
    await cell.entry.run(workers, ref, payload(20_000))
    await cell.entry.wait_until_running(ref)
    assert await cell.entry.reserve("w2", held, accelerators=(1,), hold_ms=60_000) == ""
    frozen_at_ms = monotonic_ms()
    cell.processes["w2"].send_signal(signal.SIGSTOP)
    for member, worker in enumerate(workers):
        await cell.wait_for_task_end(worker, ref, member)
    assert monotonic_ms() - frozen_at_ms <= GANG_LEASE_MS + TOLERANCE_MS
    assert (await cell.entry.wait_for_outcome(ref)).state is ReportState.LOST
    await asyncio.sleep((frozen_at_ms + PERMIT_MS - monotonic_ms()) / 1000)
    cell.entry.permit_ms = 0
    cell.processes["w2"].send_signal(signal.SIGCONT)
    await cell.entry.prepare(["w2"], held, payload(), accelerators=(1,))
    assert (await cell.entry.wait_for_outcome(held)).state is ReportState.NOT_STARTED
    assert await cell.event_names("w2") == ["prepared", "started", "lapsed", "prepared", "stopped"]


async def test_agent_starts_no_task_while_its_zone_is_out_of_service(cell):
    await cell.add_workers("w1")
    reserved, new_ref = AttemptRef("j1", 1, 1), AttemptRef("j2", 1, 1)
    assert await cell.entry.reserve("w1", reserved) == ""
    cell.entry.in_service = False
    directive = cell.entry.directive()
    await cell.entry.sessions["w1"].send(directive)
    await cell.entry.wait_until(
        lambda: cell.entry.states["w1"].directive_version == directive.version
    )
    assert await cell.entry.reserve("w1", new_ref, accelerators=(1,)) == "zone_out_of_service"
    assert await cell.entry.prepare(["w1"], reserved, payload()) == ""
    assert (await cell.entry.wait_for_outcome(reserved)).state is ReportState.NOT_STARTED
    assert await cell.event_names("w1") == ["prepared", "stopped"]


async def test_fenced_reservation_is_never_started(cell):
    await cell.add_workers("w1")
    ref = AttemptRef("j1", 1, 1)
    assert await cell.entry.reserve("w1", ref) == ""
    reply = await cell.entry.request("w1", lambda r: Fence(r, "j1", 2, 1))
    assert reply.status is FenceStatus.NEVER_STARTED
    assert reply.incarnation == cell.entry.states["w1"].incarnation
    assert await cell.entry.prepare(["w1"], ref, payload()) == "fenced_epoch"
    assert await cell.event_names("w1") == []


async def test_checkpoint_of_an_interrupted_task_is_reported(cell):
    await cell.add_workers("w1")
    ref = AttemptRef("j1", 1, 1)
    await cell.entry.run(["w1"], ref, payload(20_000))
    await cell.entry.wait_until_running(ref)
    await asyncio.sleep(0.1)
    control = Control(ref, 0, ControlAction.CHECKPOINT, 500, "reclaim")
    await cell.entry.sessions["w1"].send(control)
    report = await cell.entry.wait_for_outcome(ref)
    assert (report.state, report.reason) == (ReportState.INTERRUPTED, "interrupted:reclaim")
    assert 50 <= int(report.checkpoint) < 2_000


async def test_malformed_frame_ends_only_its_session(cell):
    await cell.add_workers("w1")
    incarnation = cell.entry.states["w1"].incarnation
    session = cell.entry.sessions["w1"]
    await session.send_frame(b"\xff not a message")
    await cell.entry.wait_until(lambda: cell.entry.sessions["w1"] is not session)
    ref = AttemptRef("j1", 1, 1)
    await cell.entry.wait_until_connected("w1")
    await cell.entry.run(["w1"], ref, payload())
    assert (await cell.entry.wait_for_outcome(ref)).state is ReportState.ANSWERED
    member = await dial(cell.entry.states["w1"].info.address, KEY, "member", "w9")
    await member.send_frame(b"\xff not a message")
    with pytest.raises(SessionError):
        await member.receive()
    assert cell.entry.states["w1"].incarnation == incarnation
    assert cell.processes["w1"].returncode is None


async def test_wrong_fleet_key_opens_no_session_in_either_direction(cell):
    await cell.add_worker("w1", "another key of this fleet")
    await cell.wait_for_log_field("w1", "waiting_for_entry", "address")
    assert cell.entry.sessions == {}
    address = await cell.wait_for_log_field("w1", "agent_listening", "address")
    with pytest.raises(SessionError):
        await dial(address, KEY, "member", "w9")
    member = await dial(address, "another key of this fleet", "entry", "w9")
    with pytest.raises(SessionError):
        await member.receive()


async def test_agent_reconnects_after_the_entry_was_unreachable(cell):
    await cell.add_workers("w1")
    address = cell.entry.address
    await cell.entry.stop()
    await cell.wait_for_log_field("w1", "waiting_for_entry", "address")
    cell.entry = FakeEntry()
    await cell.entry.start(address)
    await cell.entry.wait_until_connected("w1")
