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


async def count_keys(store):
    entries = await store.read_prefix(ENTRY_PREFIX)
    holders = await store.read_prefix(HOLDER_PREFIX)
    return len(entries.items), len(holders.items)


async def reregister(keep_holder_key):
    """Register, lose the lease and register again; return the entries that still expect it."""
    platform = PlatformStore("127.0.0.1:0")
    await platform.start()
    store = Store([platform.address], Metrics())
    board = Blackboard(INFO, Metrics())
    membership = Membership(board, store, LEASE_S)
    running = asyncio.create_task(membership.run())
    await asyncio.sleep(0.2)
    board.expected_by.add("e2")
    if not keep_holder_key:
        holder = (await store.read_prefix(HOLDER_PREFIX)).items[0]
        await store.delete_if(holder.key, holder.mod_revision)
    for lease_id in list(platform.state.leases_by_id):
        platform.state.revoke(lease_id)
    await asyncio.sleep(LEASE_S)
    assert await count_keys(store) == (1, 1)
    running.cancel()
    await store.close()
    await platform.stop()
    return board.expected_by


async def test_expecting_peers_are_kept_while_the_holder_key_exists():
    assert await reregister(keep_holder_key=True) == {"e2"}


async def test_expecting_peers_are_cleared_with_the_holder_key():
    assert await reregister(keep_holder_key=False) == set()


async def test_an_entry_that_has_left_does_not_register_again():
    platform = PlatformStore("127.0.0.1:0")
    await platform.start()
    store = Store([platform.address], Metrics())
    board = Blackboard(INFO, Metrics())
    membership = Membership(board, store, LEASE_S)
    running = asyncio.create_task(membership.run())
    await asyncio.sleep(0.2)
    assert await count_keys(store) == (1, 1)
    board.leaving = True
    await membership.leave()
    await asyncio.sleep(LEASE_S)
    assert await count_keys(store) == (0, 0)
    running.cancel()
    await store.close()
    await platform.stop()
