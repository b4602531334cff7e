"""Registers the entry in the store under a lease, so that other entries discover it."""

import asyncio

from lycheeslip_common.store import Store
from lycheeslip_common.store.outcomes import ReadResult, Unreachable, Written
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.records import ENTRY_PREFIX, HOLDER_PREFIX, encode_entry

__all__ = ["Membership"]

RENEWALS_PER_LEASE = 3


class Membership:
    """Keeps the entry registered under a lease until it leaves."""

    def __init__(self, board: Blackboard, store: Store, lease_s: int) -> None:
        """Register under a lease of `lease_s` seconds."""
        self._board = board
        self._store = store
        self._lease_s = lease_s
        self._lease_id = 0
        self._holder_revision = 0
        self._holder_key = HOLDER_PREFIX + board.info.entry_id

    async def run(self) -> None:
        """Register, renew the lease, and register again whenever it has expired."""
        backoff = Backoff()
        while not self._board.leaving:
            if not self._lease_id and not await self._register():
                log_warning("entry_not_registered", entry=self._board.info.entry_id)
                await asyncio.sleep(backoff.next_delay_s())
                continue
            backoff.reset()
            await asyncio.sleep(self._lease_s / RENEWALS_PER_LEASE)
            if not self._board.leaving:
                await self._renew()
                await self._prune_holders()

    async def leave(self) -> None:
        """Delete this entry's keys, so that other entries see immediately that it has left."""
        if self._lease_id:
            await self._delete_holder_key()
            await self._store.revoke_lease(self._lease_id)
            self._lease_id = 0

    async def _register(self) -> bool:
        lease = await self._store.grant_lease(self._lease_s)
        if isinstance(lease, Unreachable):
            return False
        if not await self._write_holder_key():
            return False
        key = ENTRY_PREFIX + self._board.info.entry_id
        known = await self._store.read(key)
        if not isinstance(known, ReadResult):
            return False
        expected = known.items[0].mod_revision if known.items else 0
        value = encode_entry(self._board.info)
        outcome = await self._store.write_if(key, value, expected, lease_id=lease)
        if not isinstance(outcome, Written):
            return False
        self._lease_id = lease
        log_event("entry_registered", entry=self._board.info.entry_id, lease=lease)
        return True

    async def _write_holder_key(self) -> bool:
        """Write the holder key, which tells other entries that this one may extend its permits.

        The key has no lease, so it remains if the process is killed. While it is unchanged,
        entries that expected this one still do. Once it has been deleted, they may have dropped
        this entry, so `expected_by` starts empty again.
        """
        known = await self._store.read(self._holder_key)
        if not isinstance(known, ReadResult):
            return False
        revision = known.items[0].mod_revision if known.items else 0
        if revision and revision == self._holder_revision:
            return True
        self._board.expected_by.clear()
        value = encode_entry(self._board.info)
        outcome = await self._store.write_if(self._holder_key, value, revision)
        if not isinstance(outcome, Written):
            return False
        self._holder_revision = outcome.revision
        return True

    async def _delete_holder_key(self) -> None:
        """Set `leaving`, which stops the extension of permits, and delete the holder key."""
        self._board.leaving = True
        known = await self._store.read(self._holder_key)
        if isinstance(known, ReadResult) and known.items:
            await self._store.delete_if(self._holder_key, known.items[0].mod_revision)

    async def _prune_holders(self) -> None:
        """Delete the keys of unleased, disconnected holders that expect this entry.

        Each of them needs the agreement of this entry, which reaches the store, before it
        extends a permit.
        """
        board = self._board
        for entry_id, holder in list(board.permit_holders_by_id.items()):
            is_prunable = entry_id not in board.entries_by_id and entry_id in board.expected_by
            if is_prunable and entry_id not in board.peers_by_id:
                await self._store.delete_if(HOLDER_PREFIX + entry_id, holder.mod_revision)

    async def _renew(self) -> None:
        remaining_s = await self._store.keep_alive(self._lease_id)
        if remaining_s == 0:
            self._board.metrics.count("retry.entry_lease.lapsed")
            log_warning("entry_lease_lapsed", entry=self._board.info.entry_id)
            self._lease_id = 0
