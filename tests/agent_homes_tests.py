"""The entry that an agent keeps its session to, while entries lose the store."""

import asyncio

import pytest
import pytest_asyncio
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.rendezvous import ranked

from tests.harness.callers import Callers, JobRequest
from tests.harness.fleet import Fleet, FleetLayout

pytestmark = pytest.mark.processes

WORKER = "worker-01"
PERMIT_MS = 2_500
# The last permit ends, the agent checks its home within 1 s, and a planning round follows.
START_BOUND_MS = PERMIT_MS + 1_000 + 1_500


@pytest_asyncio.fixture
async def fleet(tmp_path):
    fleet = Fleet(FleetLayout(workers=1, zones=("zone-a",)), tmp_path)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


def homes(fleet):
    """Return the entries to which the worker's agent has opened sessions, in order."""
    log = (fleet.folder / f"{WORKER}.log").read_text()
    events = [line for line in log.splitlines() if "event=session_opened" in line]
    return [line.partition(" entry=")[2].split()[0] for line in events]


async def start_time_ms(fleet):
    """Return when the first task was started, 0 if none was."""
    return next((e.monotonic_ms for e in await fleet.events() if e.event == "started"), 0)


async def test_a_job_starts_at_an_agent_whose_home_alone_has_lost_the_store(fleet):
    home, other, _ = ranked(WORKER, fleet.entries_by_id)
    assert homes(fleet)[-1] == home
    cut_at_ms = monotonic_ms()
    await fleet.set_route(f"{home}.store", refuse=True)
    await asyncio.sleep(PERMIT_MS / 1000)
    callers = Callers([fleet.http_by_entry[other]], seed=1)
    record = await callers.run(JobRequest("k", repeatable=False), timeout_s=20)
    assert [verdict.tag for verdict in record.verdicts] == ["answered"]
    assert await start_time_ms(fleet) - cut_at_ms <= START_BOUND_MS
    assert homes(fleet)[-1] == other


async def test_agents_keep_their_home_while_no_entry_reaches_the_store(fleet):
    before = homes(fleet)
    await fleet.set_routes(suffix=".store", refuse=True)
    await asyncio.sleep(2 * START_BOUND_MS / 1000)
    assert homes(fleet) == before
