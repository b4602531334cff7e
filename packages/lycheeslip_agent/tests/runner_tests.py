import asyncio

from lycheeslip_agent.backend import BackendClient, TaskLoad
from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.gang import Member
from lycheeslip_agent.runner import MemberRun
from lycheeslip_common.config.settings import AgentSettings
from lycheeslip_common.structure.fleet import Grant, GrantState
from lycheeslip_common.structure.jobs import AttemptRef, JobKind
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_standins.backend_server import BackendCapacity, BackendServer

LEASE_MS = 60_000
NOBODY = "127.0.0.1:1"
GRANT = Grant("j", 1, 1, 1, "e1", "a", JobKind.BULK, (0,), 1, 256, True, GrantState.RUNNING, 2)
LOAD = TaskLoad("j", 1, 1, 2, (0,), '{"run_ms": 60000}', "", 10_000, "")


async def test_a_member_fails_at_once_when_its_backend_server_dies():
    server = BackendServer("127.0.0.1:0", BackendCapacity("z"))
    await server.start()
    client = BackendClient(server.address)
    await client.open()
    settings = AgentSettings("w1", "r", "z", "rack", NOBODY, (NOBODY,), server.address, "k" * 16)
    member = Member(AttemptRef("j", 1, 1), 1, 0)
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
