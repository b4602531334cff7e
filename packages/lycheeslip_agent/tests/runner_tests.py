import asyncio

import pytest
from lycheeslip_agent.backend import REFUSED, BackendClient, BackendError, TaskLoad
from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.gang import Member
from lycheeslip_agent.grants import HeldGrant
from lycheeslip_agent.runner import MemberRun
from lycheeslip_common.config.settings import AgentSettings
from lycheeslip_common.structure.fleet import Grant, GrantState
from lycheeslip_common.structure.jobs import AttemptRef, JobKind
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.messages import Directive, GangLease, GangPhase, Pong
from lycheeslip_standins.backend_server import BackendCapacity, BackendServer

LEASE_MS = 60_000
REF = AttemptRef("j", 1, 1)
CLOSED = "127.0.0.1:1"  # nothing listens here
GRANT = Grant("j", 1, 1, 1, "e1", "a", JobKind.BULK, (0,), 1, 256, True, GrantState.RUNNING, 2)
LOAD = TaskLoad("j", 1, 1, 2, (0,), '{"run_ms": 60000}', "", 10_000, "")


async def test_a_member_fails_at_once_when_its_backend_server_dies():
    server = BackendServer("127.0.0.1:0", BackendCapacity("z"))
    await server.start()
    client = BackendClient(server.address)
    await client.open()
    settings = AgentSettings("w1", "r", "z", "rack", CLOSED, (CLOSED,), server.address, "k" * 16)
    member = Member(REF, 1, 0)
    run = MemberRun(Blackboard(settings, Metrics()), client, None, member, GRANT, LEASE_MS)
    lease_until_ms = monotonic_ms() + LEASE_MS
    await client.load("j.1.1", LOAD)
    await client.start("j.1.1", lease_until_ms, lease_until_ms)
    run.adopt(lease_until_ms)
    await asyncio.sleep(0.1)
    assert not member.ended
    await server.stop()
    await asyncio.sleep(0.5)
    assert member.reason == "backend_lost"
    await client.close()


class ScriptedAnchor:
    """Answers each ping with the next scripted phase; the worker leaves at the second ping."""

    def __init__(self, board, *phases):
        self.board = board
        self.phases = list(phases)
        self.pings = []

    async def exchange(self, ping, timeout_ms):
        self.pings.append(ping.phase)
        lease = GangLease(REF, 1, ping.sent_ms, self.phases.pop(0), LEASE_MS)
        if len(self.pings) == 2:
            self.board.draining = True
            self.board.set_leaving()
        return lease

    async def close(self):
        pass


@pytest.mark.parametrize(
    ("decision", "reason"), [(GangPhase.RUNNING, "start_unanswered"), (GangPhase.ARMED, "leaving")]
)
async def test_an_armed_member_of_a_leaving_worker_pings_its_anchor_before_it_aborts(
    decision, reason
):
    settings = AgentSettings("w1", "r", "z", "rack", CLOSED, (CLOSED,), CLOSED, "k" * 16)
    board = Blackboard(settings, Metrics())
    board.permit.on_directive(Directive(1, 1, True, (), LEASE_MS, LEASE_MS))
    board.permit.on_pong(Pong(monotonic_ms(), 1, 300), monotonic_ms())
    grant = GRANT._replace(state=GrantState.PREPARED)
    until_ms = monotonic_ms() + LEASE_MS
    anchor = ScriptedAnchor(board, GangPhase.ARMED, GangPhase.ARMED, decision, GangPhase.STOP)
    run = MemberRun(board, BackendClient(CLOSED), anchor, Member(REF, 1, until_ms), grant, LEASE_MS)
    board.grants.held_by_key[run.key] = HeldGrant(grant, until_ms)
    board.runs_by_key[run.key] = run
    async with asyncio.timeout(5):
        for _ in range(3):
            await run._ping_once()
    assert anchor.pings == [GangPhase.PREPARED, GangPhase.ARMED, GangPhase.PREPARED]
    assert run.member.reason == reason


class ScriptedBackend:
    """Fails each start with the next scripted error."""

    def __init__(self, *errors):
        self.errors = list(errors)

    async def start(self, *_):
        raise self.errors.pop(0)


@pytest.mark.parametrize(
    ("first_reason", "may_have_started"), [("connection reset", True), (REFUSED, False)]
)
async def test_a_start_that_crashed_its_backend_server_is_not_reported_as_not_started(
    first_reason, may_have_started
):
    settings = AgentSettings("w1", "r", "z", "rack", CLOSED, (CLOSED,), CLOSED, "k" * 16)
    board = Blackboard(settings, Metrics())
    board.permit.on_directive(Directive(1, 1, True, (), LEASE_MS, LEASE_MS))
    board.permit.on_pong(Pong(monotonic_ms(), 1, 300), monotonic_ms())
    grant = GRANT._replace(state=GrantState.PREPARED)
    until_ms = monotonic_ms() + LEASE_MS
    backend = ScriptedBackend(BackendError(0, first_reason), BackendError(404, "no_such_task"))
    member = Member(REF, 1, until_ms)
    member.adopt(until_ms)
    run = MemberRun(board, backend, None, member, grant, LEASE_MS)
    board.grants.held_by_key[run.key] = HeldGrant(grant, until_ms)
    await run._start()
    assert member.reason == "start_refused:no_such_task"
    assert run.may_have_started is may_have_started
