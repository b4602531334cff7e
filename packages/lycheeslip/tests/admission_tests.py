import asyncio
from collections import Counter

import pytest_asyncio
from aiohttp.test_utils import TestClient, TestServer
from lycheeslip.app import EntryApp
from lycheeslip.config.model import Account, FleetConfig, Limits
from lycheeslip.entry.blackboard import AppliedConfig
from lycheeslip_common.config.settings import EntrySettings
from lycheeslip_common.store.outcomes import Unreachable, Written

UNUSED_ADDRESS = "127.0.0.1:1"
BODY = {"account": "a", "shape": {"accelerators": 0}}
SUBMISSIONS = 6


class BlockingStore:
    """Blocks all writes until `unblocked` is set."""

    def __init__(self):
        self.unblocked = asyncio.Event()
        self.outcome = None
        self.writes = 0

    async def write_if(self, key, value, mod_revision):
        self.writes += 1
        revision = self.writes
        await self.unblocked.wait()
        return self.outcome or Written(revision)


@pytest_asyncio.fixture
async def entry(monkeypatch):
    app = EntryApp(
        EntrySettings(
            "e1", "r", "z", UNUSED_ADDRESS, UNUSED_ADDRESS, (UNUSED_ADDRESS,), "0123456789abcdef"
        )
    )
    app.board.synced = app.board.store_reachable = True
    store = BlockingStore()
    monkeypatch.setattr(app._store, "write_if", store.write_if)
    client = TestClient(TestServer(app._web))
    await client.start_server()
    yield app.board, store, client
    await client.close()


def set_limits(board, **limits):
    account_limit = limits.pop("account_limit", 1000)
    config = FleetConfig(
        1, {"a": Account("a", max_waiting_jobs=account_limit)}, limits=Limits(**limits)
    )
    board.applied = AppliedConfig(config, "", 0, 0)


async def submit_concurrently(client, store):
    async def submit():
        async with client.post("/v1/jobs", json=BODY) as response:
            return (await response.json()).get("reason", response.status)

    tasks = [asyncio.create_task(submit()) for _ in range(SUBMISSIONS)]
    await asyncio.sleep(0.2)
    store.unblocked.set()
    return Counter(await asyncio.gather(*tasks))


async def test_records_being_written_count_towards_the_account_limit(entry):
    board, store, client = entry
    set_limits(board, account_limit=2)
    assert await submit_concurrently(client, store) == {202: 2, "account_queue_full": 4}


async def test_records_being_written_count_towards_the_fleet_limit(entry):
    board, store, client = entry
    set_limits(board, max_waiting_jobs=2)
    assert await submit_concurrently(client, store) == {202: 2, "queue_full": 4}


async def test_a_failed_write_frees_its_queue_slot(entry):
    board, store, client = entry
    set_limits(board, account_limit=SUBMISSIONS)
    store.outcome = Unreachable(False)
    assert await submit_concurrently(client, store) == {"store_unreachable": SUBMISSIONS}
    store.outcome = None
    assert await submit_concurrently(client, store) == {202: SUBMISSIONS}
