"""Keeps the leader's learned run times in the store, and merges those of earlier leaders."""

import asyncio
from collections.abc import Iterable, Iterator

from lycheeslip_common.store import Compare, Put
from lycheeslip_common.store.outcomes import KeyValue, Unreachable, Written
from lycheeslip_common.store.port import KeyValueStore
from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.utils.usable import UnusableKeys, UnusableValueError

from lycheeslip.dispatch.board import Board, Leadership
from lycheeslip.dispatch.keys import LEADER_KEY, RUN_TIMES_PREFIX, run_times_key
from lycheeslip.dispatch.run_samples import is_learning
from lycheeslip.dispatch.run_time_records import decode_queue, encode_queue
from lycheeslip.dispatch.slices import run_in_slices

__all__ = ["RunTimeKeeper"]

WRITE_INTERVAL_S = 2.0  # the records of jobs are more urgent, and the store limits the rate
MAX_QUEUES_PER_WRITE = 8  # of 64 KB each


class RunTimeKeeper:
    """Reads the records of run times once in a term, then writes those that change.

    Nothing waits for it: without records the declared run times count until enough is learned.
    """

    def __init__(self, board: Board, store: KeyValueStore) -> None:
        """Keep `board.history` in `store`."""
        self._board = board
        self._store = store
        self._unusable = UnusableKeys(lambda: board.counters.count("unusable_values", "run_times"))

    async def run(self) -> None:
        """Merge and write while this entry leads."""
        term = self._board.leadership
        is_merged = False
        while term is not None and self._board.leadership is term:
            if is_learning(self._board):
                # a write before the merge would replace what earlier leaders learned
                is_merged = is_merged or await self._merge(term)
                if is_merged:
                    await self._write(term)
            await asyncio.sleep(WRITE_INTERVAL_S)

    async def _merge(self, term: Leadership) -> bool:
        """Merge the records of earlier leaders; return whether they were read in this term."""
        result = await self._store.read_prefix(RUN_TIMES_PREFIX)
        if isinstance(result, Unreachable) or self._board.leadership is not term:
            return False
        return await run_in_slices(
            self._merge_all(result.items), lambda: self._board.leadership is term
        )

    def _merge_all(self, items: Iterable[KeyValue]) -> Iterator[None]:
        for item in items:
            try:
                self._board.history.merge(decode_queue(item.value))
            except UnusableValueError as error:
                if self._unusable.add(item.key, item.mod_revision):
                    log_warning("run_times_unusable", key=item.key, reason=error)
            yield

    async def _write(self, term: Leadership) -> None:
        """Write the queues that changed, those that have waited longest first."""
        history = self._board.history
        names = list(history.changed_queues)[:MAX_QUEUES_PER_WRITE]
        puts = []
        for name in names:
            history.changed_queues.pop(name)
            if name in history.queues:
                puts.append(Put(run_times_key(name), encode_queue(history, name)))
            await asyncio.sleep(0)
        if not puts:
            return
        outcome = await self._store.transact([Compare(LEADER_KEY, term.epoch)], puts)
        if not isinstance(outcome, Written):
            history.changed_queues.update(dict.fromkeys(names))
