import pytest
import pytest_asyncio
from lycheeslip.entry import permit_holders
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.permit_holders import PermitHolders
from lycheeslip.entry.records import HOLDER_PREFIX
from lycheeslip_common.store import Store
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_standins.platform_store import PlatformStore


class Cell:
    """Holders of several entries over one stand-in store."""

    async def start(self):
        self.platform = PlatformStore("127.0.0.1:0")
        await self.platform.start()
        self.store = Store([self.platform.address], Metrics(), timeout_s=0.3)

    async def stop(self):
        await self.store.close()
        await self.platform.stop()

    async def add(self, entry_id):
        board = Blackboard(EntryInfo(entry_id, "r", "z", "", ""), Metrics())
        holders = PermitHolders(board, self.store)
        assert await holders.register()
        return board, holders


@pytest_asyncio.fixture
async def cell():
    cell = Cell()
    await cell.start()
    yield cell
    await cell.stop()


async def test_a_holder_that_does_not_know_the_entry_is_unconfirmed(cell):
    await cell.add("old")
    board, holders = await cell.add("new")
    assert await holders.unconfirmed(set()) == {"old"}
    assert await holders.unconfirmed({"old"}) == set()
    board.acknowledged_by.add("old")
    assert await holders.unconfirmed(set()) == set()


async def test_an_entry_whose_key_was_removed_relies_on_nobody(cell):
    _, old = await cell.add("old")
    board, holders = await cell.add("new")
    board.acknowledged_by.add("old")
    assert await old.forget("new") is True
    assert await holders.unconfirmed(set()) == {"old"}
    assert await holders.register()
    assert board.acknowledged_by == set()


async def test_without_the_store_every_other_holder_is_unconfirmed(cell):
    board, holders = await cell.add("new")
    board.holders.add("old")
    board.acknowledged_by.add("old")
    await cell.platform.stop()
    assert await holders.unconfirmed(set()) == {"old"}


@pytest.mark.parametrize(
    ("knows", "is_live", "removed"),
    [(True, False, True), (False, False, False), (True, True, False)],
)
async def test_only_a_lapsed_holder_that_knows_the_entry_is_removed(
    cell, monkeypatch, knows, is_live, removed
):
    monkeypatch.setattr(permit_holders, "REMOVE_AFTER_MS", 0)
    await cell.add("old")
    board, holders = await cell.add("new")
    board.holders.add("old")
    if knows:
        board.acknowledged_by.add("old")
    if is_live:
        board.entries_by_id["old"] = EntryInfo("old", "r", "z", "", "")
    await holders.remove_lapsed()
    left = await cell.store.read(HOLDER_PREFIX + "old")
    assert (not left.items) is removed
