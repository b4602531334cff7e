"""Which entries may be extending zone permits while they are cut off from the store.

An entry extends its permits only while it hears the same from every other holder that it
knows. Each entry therefore keeps a key without a lease, and one that accepts a configuration
has to be known to every holder: one that doesn't know it may go on without it. A holder whose
lease has lapsed is removed by an entry that it knows, since without that entry's word it
can't extend anything until it has read the store again.
"""

from lycheeslip_common.store import Store
from lycheeslip_common.store.outcomes import KeyValue, ReadResult, Unreachable, Written
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.records import HOLDER_PREFIX, encode_entry

__all__ = ["PermitHolders"]

REMOVE_AFTER_MS = 10_000


class PermitHolders:
    """Keeps this entry's key and removes those of entries that have gone."""

    def __init__(self, board: Blackboard, store: Store) -> None:
        """Keep `board` in step with what this entry writes."""
        self._board = board
        self._store = store
        self._own_revision = 0
        self._lapsed_since_by_holder: dict[str, int] = {}

    async def register(self) -> bool:
        """Write this entry's key; whoever knew the entry before has to say so again."""
        item = await self._read_own()
        if isinstance(item, Unreachable):
            return False
        expected = item.mod_revision if item is not None else 0
        outcome = await self._store.write_if(
            self._own_key, encode_entry(self._board.info), expected
        )
        if not isinstance(outcome, Written):
            return False
        self._own_revision = outcome.revision
        self._board.acknowledged_by.clear()
        self._board.holders.add(self._board.info.entry_id)
        return True

    async def leave(self) -> None:
        """Remove this entry's key, after which it must extend no permit."""
        self._board.holders.discard(self._board.info.entry_id)
        item = await self._read_own()
        if isinstance(item, KeyValue):
            await self._store.delete_if(self._own_key, item.mod_revision)

    async def forget(self, entry_id: str) -> bool | Unreachable:
        """Remove the key of an entry that an operator knows to be gone; False if there is none."""
        outcome = await self._store.read(HOLDER_PREFIX + entry_id)
        if isinstance(outcome, Unreachable):
            return outcome
        if not outcome.items:
            return False
        deleted = await self._store.delete_if(outcome.items[0].key, outcome.items[0].mod_revision)
        return deleted if isinstance(deleted, Unreachable) else True

    async def unconfirmed(self, confirmed: set[str]) -> set[str]:
        """Return the holders that may extend permits without this entry's word.

        `confirmed` are those that have the configuration in force. Without an answer of the
        store, or with this entry's own key gone, it is all the others.
        """
        outcome = await self._store.read_prefix(HOLDER_PREFIX)
        if isinstance(outcome, Unreachable):
            return self._board.holders - confirmed - {self._board.info.entry_id}
        own = [item for item in outcome.items if item.key == self._own_key]
        is_registered = bool(own) and own[0].mod_revision == self._own_revision
        holders = {item.key.removeprefix(HOLDER_PREFIX) for item in outcome.items}
        known = self._board.acknowledged_by if is_registered else set()
        return holders - confirmed - known - {self._board.info.entry_id}

    async def remove_lapsed(self) -> None:
        """Remove holders that know this entry and whose lease has lapsed for a while."""
        lapsed = self._board.holders - self._board.entries_by_id.keys()
        now_ms = monotonic_ms()
        for holder in self._lapsed_since_by_holder.keys() - lapsed:
            del self._lapsed_since_by_holder[holder]
        for holder in lapsed & self._board.acknowledged_by:
            since_ms = self._lapsed_since_by_holder.setdefault(holder, now_ms)
            if now_ms - since_ms >= REMOVE_AFTER_MS and await self.forget(holder) is True:
                log_event("permit_holder_removed", entry=holder)

    async def _read_own(self) -> KeyValue | Unreachable | None:
        outcome = await self._store.read(self._own_key)
        if not isinstance(outcome, ReadResult):
            return outcome
        return outcome.items[0] if outcome.items else None

    @property
    def _own_key(self) -> str:
        return HOLDER_PREFIX + self._board.info.entry_id
