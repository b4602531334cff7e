"""Values that another writer left under the keys of an entry, in a store that is running."""

import asyncio
import base64
import json

import aiohttp
import pytest
import pytest_asyncio
from lycheeslip.config.loader import parse_config
from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import AppliedConfig, Blackboard
from lycheeslip.entry.job_store import JobStore
from lycheeslip.entry.records import (
    CONFIG_KEY,
    ENTRY_PREFIX,
    JOB_PREFIX,
    STATE_PREFIX,
    decode_config,
    encode_config,
    encode_entry,
    encode_job,
)
from lycheeslip.entry.store_sync import StoreSync
from lycheeslip_common.store import Store
from lycheeslip_common.store.outcomes import ReadResult, Unreachable
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.structure.jobs import JobKind, JobSpec, Shape
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_standins.platform_store import PlatformStore

CONFIRM_MS = 20
WAIT_S = 5
TEXT = "zones: {a: {}}\n"
DEEP = b"[" * 100_000
ENTRY = EntryInfo("e2", "r", "a", "127.0.0.1:80", "127.0.0.1:81")


def make_job(job_id):
    return lifecycle.new_record(job_id, JobSpec("a", JobKind.BULK, Shape()), "digest", "e1", 1)


class StoreWithOddValues:
    """An entry's mirror of a store into which anyone writes."""

    async def start(self):
        self.platform = PlatformStore("127.0.0.1:0")
        await self.platform.start()
        self.metrics = Metrics()
        self.store = Store([self.platform.address], self.metrics)
        self.board = Blackboard(EntryInfo("e1", "r", "a", "", ""), self.metrics)
        self.board.applied = AppliedConfig(parse_config(TEXT, revision=3), TEXT, 1, 77)
        self.sync = StoreSync(self.board, self.store, CONFIRM_MS)
        self.tasks = []

    def run(self):
        self.tasks = [asyncio.create_task(step()) for step in (self.sync.run, self.sync.confirm)]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.store.close()
        await self.platform.stop()

    async def put(self, key, value):
        found = await self.store.read(key)
        revision = found.items[0].mod_revision if found.items else 0
        await self.store.write_if(key, value, revision)

    async def until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert not any(task.done() for task in self.tasks)


@pytest_asyncio.fixture
async def odd():
    odd = StoreWithOddValues()
    await odd.start()
    yield odd
    await odd.stop()


@pytest.mark.parametrize(
    "value",
    [
        DEEP,
        encode_config({"revision": 10**30, "text": TEXT, "applied_at_ms": 1, "writer": "w"}),
        b'{"revision":4}',
    ],
    ids=["nested", "number", "fields"],
)
async def test_odd_configuration_ends_no_entry_and_is_replaced_by_the_one_in_force(odd, value):
    await odd.put(CONFIG_KEY, value)
    odd.run()
    await odd.until(lambda: odd.board.confirmed_at_ms > 0)
    stored = (await odd.store.read(CONFIG_KEY)).items[0].value
    assert decode_config(stored)["revision"] == odd.board.config.revision == 3
    assert odd.metrics.counts["store.malformed_value"] == 1


async def test_newer_configuration_with_an_unusable_field_is_not_replaced_by_an_older_one(odd):
    newer = {"revision": 4, "text": TEXT, "applied_at_ms": 2**60, "writer": "w"}
    await odd.put(CONFIG_KEY, encode_config(newer))
    odd.run()
    await odd.until(lambda: odd.metrics.counts["store.malformed_value"] == 1)
    await asyncio.sleep(0.3)
    assert json.loads((await odd.store.read(CONFIG_KEY)).items[0].value) == newer
    assert odd.board.confirmed_at_ms == 0


async def test_odd_entries_are_passed_over_until_their_value_is_usable(odd):
    odd_values = {
        "e3": DEEP,
        "e4": encode_entry(ENTRY._replace(entry_id="e4", session_address="127.0.0.1:700000")),
        "e5": encode_entry(ENTRY._replace(entry_id="e1")),
        "e6": json.dumps({**ENTRY._asdict(), "entry_id": "e6", "zone": 10**30}).encode(),
    }
    for entry_id, value in odd_values.items():
        await odd.put(ENTRY_PREFIX + entry_id, value)
    await odd.put(ENTRY_PREFIX + "e2", encode_entry(ENTRY))
    odd.run()
    await odd.until(lambda: odd.board.synced)
    assert odd.board.entries_by_id.keys() == {"e1", "e2"}
    assert odd.board.entries_by_id["e1"] is odd.board.info
    assert odd.metrics.counts["store.malformed_value"] == len(odd_values)
    await odd.put(ENTRY_PREFIX + "e4", encode_entry(ENTRY._replace(entry_id="e4")))
    await odd.until(lambda: "e4" in odd.board.entries_by_id)


async def test_odd_job_records_are_passed_over(odd):
    record = make_job("j1")
    await odd.put(JOB_PREFIX + "j0", encode_job(make_job("j9")))
    await odd.put(JOB_PREFIX + "j2", encode_job({**make_job("j2"), "epoch": 2**64}))
    await odd.put(JOB_PREFIX + "j3", DEEP)
    await odd.put(JOB_PREFIX + "j1", encode_job(record))
    odd.run()
    await odd.until(lambda: odd.board.synced)
    assert odd.board.jobs.by_id.keys() == {"j1"}


async def test_write_over_an_odd_job_record_fails_and_raises_nothing(odd):
    record = make_job("j1")
    jobs = JobStore(odd.board, odd.store)
    await jobs.create(record)
    await odd.put(JOB_PREFIX + "j1", DEEP)
    for _ in range(3):
        outcome = await jobs.update("j1", lambda known: {**known, "writer": "another"})
        assert isinstance(outcome, Unreachable)
    assert isinstance(await jobs.create(record), Unreachable)
    assert odd.metrics.counts["store.malformed_value"] == 1


async def test_key_that_is_no_text_hides_no_other_key(odd):
    await odd.put(ENTRY_PREFIX + "e2", encode_entry(ENTRY))
    key = base64.b64encode(ENTRY_PREFIX.encode() + b"\xff\xfe").decode()
    body = {
        "compare": [],
        "success": [{"request_put": {"key": key, "value": ""}}],
        "failure": [],
    }
    url = f"http://{odd.platform.address}/v3/kv/txn"
    async with aiohttp.ClientSession() as session, session.post(url, json=body) as response:
        assert response.status == 200
    assert isinstance(await odd.store.read_prefix(STATE_PREFIX), ReadResult)
    odd.run()
    await odd.until(lambda: "e2" in odd.board.entries_by_id)
