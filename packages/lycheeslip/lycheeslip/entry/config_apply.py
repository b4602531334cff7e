"""Applies a configuration atomically and reports it accepted only once it is in force."""

import asyncio
import secrets
from dataclasses import dataclass

from lycheeslip_common.store import Store
from lycheeslip_common.store.outcomes import (
    Conflict,
    KeyValue,
    Unreachable,
    Written,
)
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.utils.logs import log_event

from lycheeslip.config.loader import ConfigError, parse_config
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.records import (
    CONFIG_KEY,
    HISTORY_PREFIX,
    HOLDER_PREFIX,
    StoredConfig,
    decode_config,
    encode_config,
    history_key,
)
from lycheeslip.entry.store_sync import StoreSync

__all__ = ["Applied", "ConfigApply", "Invalid", "RevisionConflict", "UnaccountedEntries"]

CONFIRM_POLL_S = 0.05
HOLDER_POLL_S = 0.2
WRITER_ID_BYTES = 8


@dataclass(frozen=True, slots=True)
class Applied:
    """The configuration is in force; `confirmed_by` lists the entries that confirmed it."""

    revision: int
    confirmed_by: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """The revision in force is not the expected one; nothing changed."""

    expected: int
    current: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration is invalid; nothing changed."""

    error: ConfigError


@dataclass(frozen=True, slots=True)
class UnaccountedEntries:
    """Entries that have not left may still permit starts independently; nothing changed."""

    entry_ids: tuple[str, ...]


class ConfigApply:
    """Writes configurations and keeps their history."""

    def __init__(self, board: Blackboard, store: Store, sync: StoreSync, permit_ms: int) -> None:
        """Wait at most `permit_ms` for peers; older permits have expired by then."""
        self._board = board
        self._store = store
        self._sync = sync
        self._permit_ms = permit_ms

    async def apply(
        self, text: str, expected_revision: int, without: frozenset[str] = frozenset()
    ) -> Applied | RevisionConflict | Invalid | UnaccountedEntries | Unreachable:
        """Apply the configuration `text` if the current revision is `expected_revision`.

        `without` lists entries that the operator declares as stopped.
        """
        revision = expected_revision + 1
        try:
            parse_config(text, revision=revision)
        except ConfigError as error:
            return Invalid(error)
        unaccounted = await self._find_unaccounted_entries(without)
        if isinstance(unaccounted, Unreachable):
            return Unreachable(False, unaccounted.detail)
        if unaccounted:
            return UnaccountedEntries(unaccounted)
        mod_revision = await self._check_revision(expected_revision)
        if not isinstance(mod_revision, int):
            return mod_revision
        stored = StoredConfig(
            revision=revision,
            text=text,
            applied_at_ms=wall_ms(),
            writer=secrets.token_hex(WRITER_ID_BYTES),
        )
        outcome = await self._write(stored, mod_revision)
        match outcome:
            case Written(written_at):
                item = KeyValue(CONFIG_KEY, encode_config(stored), written_at)
                self._sync.apply_item(item)
                confirmed_by = await self._wait_for_peers(revision)
                log_event("config_applied", revision=revision, confirmed_by=confirmed_by)
                return Applied(revision, confirmed_by)
            case Conflict(KeyValue(value=value)):
                return RevisionConflict(expected_revision, _revision_in(value))
            case Conflict():
                return RevisionConflict(expected_revision, 0)
            case Unreachable():
                return outcome

    async def _check_revision(self, expected_revision: int) -> int | RevisionConflict | Unreachable:
        """Return the mod revision of the configuration key, 0 if absent, for the next write."""
        current = await self._store.read(CONFIG_KEY)
        if isinstance(current, Unreachable):
            return Unreachable(False, current.detail)
        known = _revision_in(current.items[0].value) if current.items else 0
        newest = max(known, self._board.config.revision)
        if newest != expected_revision:
            return RevisionConflict(expected_revision, newest)
        return current.items[0].mod_revision if current.items else 0

    async def history(self) -> list[StoredConfig] | Unreachable:
        """Return all applied configurations, oldest first."""
        outcome = await self._store.read_prefix(HISTORY_PREFIX)
        if isinstance(outcome, Unreachable):
            return outcome
        found = [_decode_or_none(item.value) for item in outcome.items]
        return [stored for stored in found if stored is not None]

    async def _write(
        self, stored: StoredConfig, mod_revision: int
    ) -> Written | Conflict | Unreachable:
        value = encode_config(stored)
        outcome = await self._store.write_if(CONFIG_KEY, value, mod_revision)
        if isinstance(outcome, Unreachable) and outcome.may_have_run:
            outcome = await self._resolve_lost_response(stored, mod_revision, outcome)
        if isinstance(outcome, Written):
            await self._store.write_if(history_key(stored["revision"]), value, 0)
        return outcome

    async def _resolve_lost_response(
        self, stored: StoredConfig, mod_revision: int, lost: Unreachable
    ) -> Written | Conflict | Unreachable:
        """Repeat the write, since the first one may still be in flight.

        Both expect the same mod revision, so only one of them can take effect. If a later
        revision is stored, it may have replaced this one and the outcome stays unknown.
        """
        self._board.metrics.count("retry.store.lost_answer")
        value = encode_config(stored)
        outcome = await self._store.write_if(CONFIG_KEY, value, mod_revision)
        if not isinstance(outcome, Conflict) or outcome.current is None:
            return lost if isinstance(outcome, Unreachable) else outcome
        current = _decode_or_none(outcome.current.value)
        if current is None:
            return lost
        if current["writer"] == stored["writer"]:
            return Written(outcome.current.mod_revision)
        return outcome if current["revision"] <= stored["revision"] else lost

    async def _find_unaccounted_entries(
        self, without: frozenset[str]
    ) -> tuple[str, ...] | Unreachable:
        """Return the entries that may extend permits without the agreement of this one.

        Each entry writes a holder key when it starts and deletes it when it leaves. An entry
        that expects this one extends no permit without the agreement of this one. Holder keys
        of entries in `without` are deleted. The check is repeated for at most `permit_ms`.
        """
        until_ms = monotonic_ms() + self._permit_ms
        while True:
            held = await self._store.read_prefix(HOLDER_PREFIX)
            if isinstance(held, Unreachable):
                return held
            holders_by_id = {item.key.removeprefix(HOLDER_PREFIX): item for item in held.items}
            for entry_id in without & holders_by_id.keys():
                holder = holders_by_id[entry_id]
                await self._store.delete_if(holder.key, holder.mod_revision)
            own_id = self._board.info.entry_id
            expected_by = self._board.expected_by if own_id in holders_by_id else set()
            unaccounted_ids = holders_by_id.keys() - expected_by - without - {own_id}
            if not unaccounted_ids or monotonic_ms() >= until_ms:
                return tuple(sorted(unaccounted_ids))
            await asyncio.sleep(HOLDER_POLL_S)

    async def _wait_for_peers(self, revision: int) -> tuple[str, ...]:
        """Wait until all expected peers confirm `revision`, or all older permits have expired.

        Returns the ids of the entries that confirmed it, this one included.
        """
        own_id = self._board.info.entry_id
        until_ms = monotonic_ms() + self._permit_ms
        while monotonic_ms() < until_ms:
            if self._confirmed(revision) >= self._board.expected_peers():
                break
            await asyncio.sleep(CONFIRM_POLL_S)
        return tuple(sorted(self._confirmed(revision) | {own_id}))

    def _confirmed(self, revision: int) -> set[str]:
        return {
            peer
            for peer, status in self._board.peers_by_id.items()
            if status.config_revision >= revision
        }


def _decode_or_none(value: bytes) -> StoredConfig | None:
    try:
        return decode_config(value)
    except ValueError:
        return None


def _revision_in(value: bytes) -> int:
    """Return the revision of a stored configuration, 0 if another writer made it unreadable."""
    stored = _decode_or_none(value)
    return stored["revision"] if stored is not None else 0
