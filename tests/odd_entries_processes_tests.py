"""Odd entries among those of running processes: none ends, and the others are followed."""

import asyncio

import pytest
import pytest_asyncio
from lycheeslip.entry.records import CONFIG_KEY, ENTRY_PREFIX, JOB_PREFIX, encode_entry
from lycheeslip_common.store import Store
from lycheeslip_common.store.outcomes import Written
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.metrics import Metrics

from tests.harness.callers import JobRequest
from tests.harness.fleet import Fleet, FleetLayout

pytestmark = pytest.mark.processes

DEEP = b"[" * 100_000
OBSERVED_S = 3.0  # several confirmations of the configuration and polls of the membership
ODD_VALUES = {
    ENTRY_PREFIX + "zz-nested": DEEP,
    ENTRY_PREFIX
    + "zz-port": encode_entry(
        EntryInfo("zz-port", "region-1", "zone-a", "127.0.0.1:1", "127.0.0.1:700000")
    ),
    ENTRY_PREFIX
    + "zz-digits": encode_entry(
        EntryInfo("zz-digits", "region-1", "zone-a", "127.0.0.1:1", "127.0.0.1:" + "9" * 5_000)
    ),
    ENTRY_PREFIX + "zz-number": b'{"entry_id":' + b"9" * 5_000 + b"}",
    JOB_PREFIX + "zz-nested": DEEP,
    CONFIG_KEY: DEEP,
}


@pytest_asyncio.fixture
async def fleet(tmp_path):
    fleet = Fleet(FleetLayout(entries=2, workers=2), tmp_path)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


async def test_odd_entries_end_no_process_and_the_others_are_followed(fleet):
    processes = [*fleet.entries_by_id.values(), *fleet.agents_by_id.values()]
    store = Store([fleet.store_address], Metrics())
    for key, value in ODD_VALUES.items():
        found = await store.read(key)
        revision = found.items[0].mod_revision if found.items else 0
        assert isinstance(await store.write_if(key, value, revision), Written)
    await asyncio.sleep(OBSERVED_S)
    await store.close()
    assert all(process.is_running for process in processes)
    for address in fleet.http_by_entry.values():
        document = await fleet.get(address, "/v1/fleet")
        assert {item["entry_id"] for item in document["entries"]} == fleet.entries_by_id.keys()
    request = JobRequest("after the odd entries")
    for address in fleet.http_by_entry.values():
        url = f"http://{address}/v1/jobs?wait_ms=2000"
        headers = {"Idempotency-Key": request.key}
        async with fleet.http.post(url, json=request.body, headers=headers) as response:
            assert response.status in (200, 202), await response.text()
