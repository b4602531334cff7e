import asyncio

import pytest_asyncio
from lycheeslip.config.loader import parse_config
from lycheeslip.entry.blackboard import AppliedConfig, Blackboard, HomesRecord, WorkerView
from lycheeslip.entry.records import (
    CONFIG_KEY,
    HOMES_KEY,
    decode_config,
    decode_homes,
    encode_config,
    encode_homes,
)
from lycheeslip.entry.store_sync import StoreSync
from lycheeslip.entry.upkeep import Upkeep
from lycheeslip.policy.health import HealthByWorker
from lycheeslip_common.store import Store
from lycheeslip_common.structure.fleet import EntryInfo, WorkerInfo, WorkerState
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_standins.platform_store import PlatformStore

CONFIRM_MS = 20
TEXT = "zones: {a: {}}\n"


class RestoredStore:
    """Components of an entry over a store restored to a state older than the entry's own."""

    async def start(self):
        self.platform = PlatformStore("127.0.0.1:0")
        await self.platform.start()
        self.store = Store([self.platform.address], Metrics())
        self.board = Blackboard(EntryInfo("e1", "r", "a", "", ""), Metrics())
        self.board.applied = AppliedConfig(parse_config(TEXT, revision=3), TEXT, 1, 77)
        old = {"revision": 1, "text": "zones: {}\n", "applied_at_ms": 1, "writer": "w"}
        await self.store.write_if(CONFIG_KEY, encode_config(old), 0)
        homes = {"version": 1, "homes": {}}
        await self.store.write_if(HOMES_KEY, encode_homes(homes), 0)

    async def stop(self):
        await self.store.close()
        await self.platform.stop()

    async def value(self, key):
        return (await self.store.read(key)).items[0].value


@pytest_asyncio.fixture
async def restored():
    restored = RestoredStore()
    await restored.start()
    yield restored
    await restored.stop()


async def test_a_newer_configuration_is_written_back_and_never_reverts(restored):
    confirming = asyncio.create_task(
        StoreSync(restored.board, restored.store, CONFIRM_MS).confirm()
    )
    await asyncio.sleep(10 * CONFIRM_MS / 1000)
    confirming.cancel()
    assert decode_config(await restored.value(CONFIG_KEY))["revision"] == 3
    assert restored.board.config.revision == 3
    assert restored.board.confirmed_at_ms > 0


async def test_the_home_map_is_written_with_a_version_above_the_newest(restored):
    info = WorkerInfo("w1", "r", "a", "k", "", 8, 60, 1000, 8)
    restored.board.workers_by_id["w1"] = WorkerView(WorkerState(info, "i", 1, False, ()), "e1")
    restored.board.homes = HomesRecord(5, {}, 99)
    upkeep = Upkeep(restored.board, restored.store, None, None, HealthByWorker(), 2_500)
    for _ in range(2):
        await upkeep.renew_homes()
    assert decode_homes(await restored.value(HOMES_KEY))["version"] == 6
