"""Tests of the order in which reads and changes of the operators' keys take effect."""

import asyncio

from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.operator_sync import OperatorKeys, OperatorSync
from lycheeslip_common.store.outcomes import KeyValue, ReadResult, WatchEvent
from lycheeslip_common.store.port import ChangedKeys
from lycheeslip_common.workload.operator import ZoneChange
from lycheeslip_common.workload.times import DispatchTimes


def decode_zone(item: KeyValue, is_deleted: bool) -> ZoneChange:
    return ZoneChange(item.key.removeprefix("op/"), not is_deleted)


class Store:
    """Answers a read as of `read` once `answer_read` is set, and a watch with `changed`."""

    def __init__(self, read: ReadResult, changed: ChangedKeys) -> None:
        self.answer_read = asyncio.Event()
        self._read = read
        self._changed = changed

    async def read_prefix(self, prefix: str) -> ReadResult:
        await self.answer_read.wait()
        return self._read

    async def changes(self, prefix: str, after: int, wait_ms: int) -> ChangedKeys:
        return self._changed


def sync_with(store: Store) -> tuple[OperatorSync, Board]:
    board = Board("entry", "zone", "127.0.0.1:9", DispatchTimes())
    return OperatorSync(board, store, OperatorKeys("op/", "op/config", decode_zone)), board


async def test_evacuation_is_not_forgotten_by_a_read_that_began_before_it():
    event = WatchEvent("op/a", b"1", 11, False)
    store = Store(ReadResult((), 10), ChangedKeys((event,), 11))
    sync, board = sync_with(store)
    refresh = asyncio.create_task(sync.refresh())
    await asyncio.sleep(0)
    await sync._watch()
    store.answer_read.set()
    assert await refresh
    assert board.evacuated_zones == {"a"}


async def test_evacuation_that_was_read_is_not_undone_by_an_older_change():
    event = WatchEvent("op/a", b"", 9, True)
    store = Store(ReadResult((KeyValue("op/a", b"1", 10),), 10), ChangedKeys((event,), 9))
    sync, board = sync_with(store)
    store.answer_read.set()
    assert await sync.refresh()
    await sync._watch()
    assert board.evacuated_zones == {"a"}
