import asyncio

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.membership import Membership
from lycheeslip.entry.records import ENTRY_PREFIX, HOLDER_PREFIX
from lycheeslip_common.store import Store
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_standins.platform_store import PlatformStore

LEASE_S = 1
INFO = EntryInfo("e1", "r", "z", "", "")


async def keys(store):
    entries = await store.read_prefix(ENTRY_PREFIX)
    holders = await store.read_prefix(HOLDER_PREFIX)
    return len(entries.items), len(holders.items)


async def test_an_entry_that_has_left_does_not_register_again():
    platform = PlatformStore("127.0.0.1:0")
    await platform.start()
    store = Store([platform.address], Metrics())
    board = Blackboard(INFO, Metrics())
    membership = Membership(board, store, LEASE_S)
    running = asyncio.create_task(membership.run())
    await asyncio.sleep(0.2)
    assert await keys(store) == (1, 1)
    board.leaving = True
    await membership.leave()
    await asyncio.sleep(LEASE_S)
    assert await keys(store) == (0, 0)
    running.cancel()
    await store.close()
    await platform.stop()
