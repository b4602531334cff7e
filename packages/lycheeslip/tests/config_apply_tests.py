import asyncio

import pytest_asyncio
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.config_apply import Applied, ConfigApply, RevisionConflict, UnaccountedEntries
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


class EntryComponents:
    """The components of one entry that apply configurations, over a stand-in store."""

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

    def stored_revision(self):
        entry = self.platform.state.read(Range(CONFIG_KEY.encode()))
        return decode_config(entry[0].value)["revision"] if entry else 0

    def write_revision(self, revision):
        stored = {"revision": revision, "text": TEXT, "applied_at_ms": 1, "writer": "other"}
        self.platform.state.apply([Write(CONFIG_KEY.encode(), encode_config(stored))])


@pytest_asyncio.fixture
async def components():
    components = EntryComponents()
    await components.start()
    yield components
    await components.stop()


async def test_apply_is_refused_while_an_unaccounted_entry_may_permit_starts(components):
    key = HOLDER_PREFIX + "e2"
    info = encode_entry(EntryInfo("e2", "r", "z", "", ""))
    assert isinstance(await components.store.write_if(key, info, 0), Written)
    assert await components.config_apply.apply(TEXT, 0) == UnaccountedEntries(("e2",))
    assert components.stored_revision() == 0
    components.board.expected_by.add("e2")
    assert await components.config_apply.apply(TEXT, 0) == UnaccountedEntries(("e2",))
    assert isinstance(await components.store.write_if(HOLDER_PREFIX + "e1", info, 0), Written)
    assert isinstance(await components.config_apply.apply(TEXT, 0), Applied)
    components.board.expected_by.clear()
    assert isinstance(await components.config_apply.apply(TEXT, 1, frozenset({"e2"})), Applied)
    assert isinstance(await components.config_apply.apply(TEXT, 2), Applied)


async def test_a_write_with_a_lost_response_is_applied(components):
    components.platform.set_faults(StoreFaults(lose_next_answers=1))
    assert isinstance(await components.config_apply.apply(TEXT, 0), Applied)
    assert components.stored_revision() == 1


async def test_a_delayed_write_is_not_reported_as_refused(components):
    faults = StoreFaults(delay_ms=300, delay_writes_of_prefix=CONFIG_KEY)
    components.platform.set_faults(faults)
    outcome = await components.config_apply.apply(TEXT, 0)
    components.platform.set_faults(StoreFaults())
    await asyncio.sleep(0.4)
    assert components.stored_revision() == 1
    assert isinstance(outcome, Applied) or (
        isinstance(outcome, Unreachable) and outcome.may_have_run
    )


async def test_a_delayed_write_that_conflicts_is_refused(components):
    faults = StoreFaults(delay_ms=300, delay_writes_of_prefix=CONFIG_KEY)
    components.platform.set_faults(faults)
    applying = asyncio.create_task(components.config_apply.apply(TEXT, 0))
    await asyncio.sleep(0.1)
    components.write_revision(1)
    components.platform.set_faults(StoreFaults())
    assert await applying == RevisionConflict(0, 1)


async def test_a_write_that_may_have_been_replaced_has_an_unknown_outcome(components):
    components.platform.set_faults(StoreFaults(delay_ms=300, delay_writes_of_prefix=CONFIG_KEY))
    applying = asyncio.create_task(components.config_apply.apply(TEXT, 0))
    await asyncio.sleep(0.1)
    components.write_revision(2)
    components.platform.set_faults(StoreFaults())
    outcome = await applying
    assert isinstance(outcome, Unreachable)
    assert outcome.may_have_run
