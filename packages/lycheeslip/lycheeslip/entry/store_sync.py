"""Mirrors the platform's store in the blackboard: one read, then a watch from its revision."""

import asyncio

from lycheeslip_common.store import Store, WatchEnded
from lycheeslip_common.store.outcomes import KeyValue, ReadResult, Unreachable
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.structure.jobs import JobRecord
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.utils.usable import UnusableValueError, check_numbers, parse_json, shorten

from lycheeslip.config.loader import ConfigError, parse_config
from lycheeslip.entry.blackboard import AppliedConfig, Blackboard, HomesRecord, PermitHolder
from lycheeslip.entry.records import (
    CONFIG_KEY,
    ENTRY_PREFIX,
    HOLDER_PREFIX,
    HOMES_KEY,
    JOB_PREFIX,
    STATE_PREFIX,
    StoredConfig,
    decode_config,
    decode_entry,
    decode_homes,
    decode_job,
    encode_config,
    job_key,
)

__all__ = ["StoreSync"]


class StoreSync:
    """Reads and watches the state prefix, and reads it again whenever the watch ends."""

    def __init__(self, board: Blackboard, store: Store, confirm_every_ms: int) -> None:
        """Mirror `store` in `board` and confirm the configuration every `confirm_every_ms`."""
        self._board = board
        self._store = store
        self._confirm_every_s = confirm_every_ms / 1000

    async def run(self) -> None:
        """Read and watch until cancelled, with a jittered backoff between reads."""
        backoff = Backoff()
        while True:
            outcome = await self._store.read_prefix(STATE_PREFIX)
            match outcome:
                case ReadResult(items, revision):
                    backoff.reset()
                    self._replace_all(items)
                    await self._watch(revision + 1)
                case Unreachable(detail=detail):
                    log_warning("store_unreachable", detail=detail)
            await asyncio.sleep(backoff.next_delay_s())

    async def confirm(self) -> None:
        """Read the configuration periodically; permits last from the start of a confirming read."""
        while True:
            read_started_at_ms = monotonic_ms()
            outcome = await self._store.read(CONFIG_KEY)
            match outcome:
                case ReadResult(items, _):
                    self._set_reachable(True)
                    for item in items:
                        self.apply_item(item)
                    if await self._is_config_current(items):
                        self._board.confirmed_at_ms = read_started_at_ms
                case Unreachable():
                    self._set_reachable(False)
            await asyncio.sleep(self._confirm_every_s)

    def apply_item(self, item: KeyValue) -> None:
        """Apply one key of the state prefix to the blackboard; malformed values are passed over."""
        unusable_keys = self._board.unusable_keys
        if unusable_keys.holds(item.key, item.mod_revision):
            return
        try:
            if item.key == CONFIG_KEY:
                self._apply_config(item)
            elif item.key == HOMES_KEY:
                self._apply_homes(item)
            elif item.key.startswith(ENTRY_PREFIX):
                info = _decode_entry_of(item, ENTRY_PREFIX)
                self._board.entries_by_id[info.entry_id] = info
            elif item.key.startswith(HOLDER_PREFIX):
                info = _decode_entry_of(item, HOLDER_PREFIX)
                self._board.permit_holders_by_id[info.entry_id] = PermitHolder(
                    info, item.mod_revision
                )
            elif item.key.startswith(JOB_PREFIX):
                self._board.jobs.put(_decode_job_of(item), item.mod_revision)
        except (ValueError, ConfigError) as error:
            if unusable_keys.add(item.key, item.mod_revision):
                log_warning("store_value_malformed", key=item.key, detail=shorten(str(error)))
        else:
            unusable_keys.discard(item.key)

    async def _is_config_current(self, items: tuple[KeyValue, ...]) -> bool:
        """Return whether the stored configuration is not older than the one in force.

        An accepted configuration never reverts, so it is written back if the store was restored
        to an older state, or if another writer replaced it by a value that can't be read. A newer
        revision that can't be read, as one of a later release, is neither followed nor replaced.
        """
        applied = self._board.applied
        stored, is_readable = _stored_revision(items)
        if stored > applied.config.revision and not is_readable:
            return False
        if stored >= applied.config.revision and is_readable:
            return True
        self._board.metrics.count("config.republished")
        log_warning("config_older_in_store", stored=stored, known=applied.config.revision)
        value = encode_config(
            StoredConfig(
                revision=applied.config.revision,
                text=applied.text,
                applied_at_ms=applied.applied_at_ms,
                writer="republished",
            )
        )
        await self._store.write_if(CONFIG_KEY, value, items[0].mod_revision if items else 0)
        return False

    async def _watch(self, from_revision: int) -> None:
        try:
            async for events in self._store.watch(STATE_PREFIX, from_revision):
                for event in events:
                    if event.deleted:
                        self._delete(event.key)
                    else:
                        self.apply_item(KeyValue(event.key, event.value, event.mod_revision))
        except WatchEnded as error:
            self._board.metrics.count("store.watch_ended")
            log_warning("store_watch_ended", detail=error)

    def _replace_all(self, items: tuple[KeyValue, ...]) -> None:
        present = {item.key for item in items}
        for entry_id in list(self._board.entries_by_id):
            if ENTRY_PREFIX + entry_id not in present:
                self._delete(ENTRY_PREFIX + entry_id)
        for entry_id in list(self._board.permit_holders_by_id):
            if HOLDER_PREFIX + entry_id not in present:
                self._delete(HOLDER_PREFIX + entry_id)
        for job_id, job in list(self._board.jobs.by_id.items()):
            if job.is_recorded and JOB_PREFIX + job_id not in present:
                self._board.jobs.remove(job_id)
        for item in items:
            self.apply_item(item)
        self._board.synced = True
        self._board.replan_requested.set()
        log_event("store_synced", keys=len(items))

    def _delete(self, key: str) -> None:
        if key.startswith(ENTRY_PREFIX):
            entry_id = key.removeprefix(ENTRY_PREFIX)
            if entry_id != self._board.info.entry_id:
                self._board.entries_by_id.pop(entry_id, None)
        elif key.startswith(HOLDER_PREFIX):
            entry_id = key.removeprefix(HOLDER_PREFIX)
            self._board.permit_holders_by_id.pop(entry_id, None)
            self._board.contacted_peers.discard(entry_id)
            self._board.expected_by.discard(entry_id)
        elif key.startswith(JOB_PREFIX):
            self._board.jobs.remove(key.removeprefix(JOB_PREFIX))

    def _apply_config(self, item: KeyValue) -> None:
        stored = decode_config(item.value)
        if stored["revision"] <= self._board.config.revision:
            return
        config = parse_config(stored["text"], revision=stored["revision"])
        self._board.applied = AppliedConfig(
            config, stored["text"], stored["applied_at_ms"], item.mod_revision
        )
        self._board.replan_requested.set()
        log_event("config_in_force", revision=config.revision)

    def _apply_homes(self, item: KeyValue) -> None:
        stored = decode_homes(item.value)
        if stored["version"] > self._board.homes.version:
            homes = {worker: tuple(accounts) for worker, accounts in stored["homes"].items()}
            self._board.homes = HomesRecord(stored["version"], homes, item.mod_revision)

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self._board.store_reachable:
            log_event("store_reachability_changed", reachable=reachable)
        self._board.store_reachable = reachable


def _decode_entry_of(item: KeyValue, prefix: str) -> EntryInfo:
    """Decode the description of the entry that the key names; raises ValueError."""
    info = decode_entry(item.value)
    if prefix + info.entry_id != item.key:
        raise ValueError("the value describes an entry other than that of the key")
    return info


def _decode_job_of(item: KeyValue) -> JobRecord:
    """Decode the record of the job that the key names; raises ValueError."""
    record = decode_job(item.value)
    if job_key(record["job_id"]) != item.key:
        raise ValueError("the value is the record of a job other than that of the key")
    return record


def _stored_revision(items: tuple[KeyValue, ...]) -> tuple[int, bool]:
    """Return the revision of the stored configuration and whether all of it can be read.

    The revision is 0 if there is none.
    """
    try:
        return (decode_config(items[0].value)["revision"] if items else 0), True
    except ValueError:
        return _bare_revision(items[0].value), False


def _bare_revision(value: bytes) -> int:
    """Return the revision of a value that is a configuration apart from other fields, else 0."""
    try:
        match parse_json(value):
            case {"revision": int() as revision, "text": str()}:
                check_numbers(revision)
                return revision
    except UnusableValueError:
        return 0
    return 0
