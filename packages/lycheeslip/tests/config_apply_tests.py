import asyncio

import pytest_asyncio
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.config_apply import Applied, ConfigApply, RevisionConflict, Unaccounted
from lycheeslip.entry.records import (
    CONFIG_KEY,
    HOLDER_PREFIX,
    decode_config,
    encode_config,
    encode_entry,
)
from lycheeslip.entry.store_sync import StoreSync
from lycheeslip_common.store import Store
from lycheeslip_common.store.outcomes import Unreachable, Written
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_standins.platform_store import PlatformStore
from lycheeslip_standins.store_faults import StoreFaults
from lycheeslip_standins.store_state import Range, Write

TEXT = "zones: {a: {}}\n"


class Bench:
    """One entry's parts that apply configurations, over a stand-in store."""

    async def start(self):
        self.platform = PlatformStore("127.0.0.1:0")
        await self.platform.start()
        metrics = Metrics()
        self.store = Store([self.platform.address], metrics, timeout_s=0.2)
        self.board = board = Blackboard(EntryInfo("e1", "r", "z", "", ""), metrics)
        sync = StoreSync(board, self.store, 500)
        self.config_apply = ConfigApply(board, self.store, sync, permit_ms=200)

    async def stop(self):
        await self.store.close()
        await self.platform.stop()

    def in_store(self):
        entry = self.platform.state.read(Range(CONFIG_KEY.encode()))
        return decode_config(entry[0].value)["revision"] if entry else 0

    def change_again(self, revision):
        stored = {"revision": revision, "text": TEXT, "applied_at_ms": 1, "writer": "other"}
        self.platform.state.apply([Write(CONFIG_KEY.encode(), encode_config(stored))])


@pytest_asyncio.fixture
async def bench():
    bench = Bench()
    await bench.start()
    yield bench
    await bench.stop()


async def test_an_entry_that_may_still_permit_starts_must_be_accounted_for(bench):
    key = HOLDER_PREFIX + "e2"
    info = encode_entry(EntryInfo("e2", "r", "z", "", ""))
    assert isinstance(await bench.store.write_if(key, info, 0), Written)
    assert await bench.config_apply.apply(TEXT, 0) == Unaccounted(("e2",))
    assert bench.in_store() == 0
    bench.board.known_by.add("e2")
    assert isinstance(await bench.config_apply.apply(TEXT, 0), Applied)
    bench.board.known_by.clear()
    assert isinstance(await bench.config_apply.apply(TEXT, 1, frozenset({"e2"})), Applied)
    assert isinstance(await bench.config_apply.apply(TEXT, 2), Applied)


async def test_a_lost_answer_is_an_acceptance(bench):
    bench.platform.set_faults(StoreFaults(lose_next_answers=1))
    assert isinstance(await bench.config_apply.apply(TEXT, 0), Applied)
    assert bench.in_store() == 1


async def test_a_write_that_may_still_land_is_not_refused(bench):
    faults = StoreFaults(delay_ms=300, delay_writes_of_prefix=CONFIG_KEY)
    bench.platform.set_faults(faults)
    outcome = await bench.config_apply.apply(TEXT, 0)
    bench.platform.set_faults(StoreFaults())
    await asyncio.sleep(0.4)
    assert bench.in_store() == 1
    assert isinstance(outcome, Applied) or (
        isinstance(outcome, Unreachable) and outcome.may_have_run
    )


async def test_a_late_write_that_lost_to_another_is_refused(bench):
    faults = StoreFaults(delay_ms=300, delay_writes_of_prefix=CONFIG_KEY)
    bench.platform.set_faults(faults)
    applying = asyncio.create_task(bench.config_apply.apply(TEXT, 0))
    await asyncio.sleep(0.1)
    bench.change_again(1)
    bench.platform.set_faults(StoreFaults())
    assert await applying == RevisionConflict(0, 1)


async def test_a_write_that_may_have_been_overwritten_is_not_refused(bench):
    bench.platform.set_faults(StoreFaults(delay_ms=300, delay_writes_of_prefix=CONFIG_KEY))
    applying = asyncio.create_task(bench.config_apply.apply(TEXT, 0))
    await asyncio.sleep(0.1)
    bench.change_again(2)
    bench.platform.set_faults(StoreFaults())
    outcome = await applying
    assert isinstance(outcome, Unreachable)
    assert outcome.may_have_run
