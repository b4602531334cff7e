"""Watches the operators' keys in the store and tracks when they were last confirmed."""

import asyncio
from collections.abc import Callable

from lycheeslip_common.store.outcomes import KeyValue, ReadResult, Unreachable
from lycheeslip_common.store.port import ChangedKeys, HistoryLost, KeyValueStore
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.utils.usable import UnusableKeys
from lycheeslip_common.workload.operator import (
    ConfigChange,
    OperatorChange,
    OperatorConfig,
    ZoneChange,
)

from lycheeslip.dispatch.board import Board

__all__ = ["OperatorKeys", "OperatorSync"]

RETRY_FIRST_S = 0.1  # a configuration must take effect within 2 s, store faults included
RETRY_LIMIT_S = 0.5
PROBE_TIMEOUT_S = 0.3  # a slow store answers within this; a watch would take seconds to fail
PROBE_PAUSE_S = 0.15
EARLY_RESPONSE_MS = 100  # a watch that ends more than this early confirms only its start time


class OperatorKeys:
    """The operators' keys and their decoder; provided by the platform adapter."""

    def __init__(
        self,
        prefix: str,
        config_key: str,
        decode: Callable[[KeyValue, bool], OperatorChange | None],
    ) -> None:
        """`decode` turns an item and whether it was deleted into a change, None if unusable."""
        self.prefix = prefix
        self.config_key = config_key
        self.decode = decode


class OperatorSync:
    """Keeps the board's configuration and evacuated zones current; versions only increase."""

    def __init__(self, board: Board, store: KeyValueStore, keys: OperatorKeys) -> None:
        """Read and watch `keys` in `store`."""
        self._board = board
        self._store = store
        self._keys = keys
        self._revision = 0  # up to which changes are applied; 0: all keys must be read
        self._unusable = UnusableKeys(lambda: board.counters.count("unusable_values", "config"))

    @property
    def config_key(self) -> str:
        """The key of the current configuration."""
        return self._keys.config_key

    async def run(self) -> None:
        """Read the operators' keys, then watch for their changes, until cancelled."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S)
        while True:
            if self._board.is_store_lost and not await self.confirm(PROBE_TIMEOUT_S):
                await asyncio.sleep(PROBE_PAUSE_S)
                continue
            if await (self._watch() if self._revision else self.refresh()):
                backoff.reset()
            else:
                await asyncio.sleep(backoff.next_delay_s())

    async def confirm(self, timeout_s: float) -> bool:
        """Read the configuration from the store now; returns whether the store answered."""
        requested_at = steady_ms()
        result = await self._store.read(self._keys.config_key, timeout_s)
        if isinstance(result, Unreachable):
            return False
        for item in result.items:
            self._apply_change(item, False)
        self._confirm_as_of(requested_at)
        self._update_store_state(True, "")
        return True

    def apply(self, item: KeyValue) -> None:
        """Apply an operator's key that another store call or the leader returned."""
        self._apply_change(item, False)

    async def refresh(self) -> bool:
        """Read all operators' keys from the store now; returns whether the store answered.

        An answer that is older than what the watch has applied meanwhile is left out.
        """
        requested_at = steady_ms()
        result = await self._store.read_prefix(self._keys.prefix)
        if isinstance(result, Unreachable):
            self._update_store_state(False, result.detail)
            return False
        self._update_store_state(True, "")
        if result.revision >= self._revision:
            self._replace_all(result)
        if self._board.config is not None:
            self._confirm_as_of(requested_at)
        return True

    def _replace_all(self, result: ReadResult) -> None:
        self._revision = result.revision
        zones_before = set(self._board.evacuated_zones)
        self._board.evacuated_zones.clear()
        for item in result.items:
            self._apply_change(item, False)
        for zone in zones_before - self._board.evacuated_zones:
            log_event("zone_in_service", zone=zone, revision=result.revision)

    async def _watch(self) -> bool:
        """Apply the next changes; returns whether the store answered."""
        requested_at = steady_ms()
        wait_ms = self._board.times.config_watch_ms
        outcome = await self._store.changes(self._keys.prefix, self._revision, wait_ms)
        match outcome:
            case ChangedKeys(events, new_revision):
                self._update_store_state(True, "")
                for event in events:
                    if event.mod_revision > self._revision:  # a read meanwhile had it otherwise
                        item = KeyValue(event.key, event.value, event.mod_revision)
                        self._apply_change(item, event.deleted)
                waited_ms = steady_ms() - requested_at
                is_full_wait = not events and waited_ms >= wait_ms - EARLY_RESPONSE_MS
                self._confirm_as_of(requested_at + (wait_ms - EARLY_RESPONSE_MS) * is_full_wait)
                self._revision = max(self._revision, new_revision)
                return True
            case HistoryLost():
                log_warning("operator_history_lost", revision=self._revision)
                self._revision = 0
                return True
            case Unreachable(_, detail):
                self._update_store_state(False, detail)
                return False

    def _confirm_as_of(self, at_ms: int) -> None:
        self._board.confirmed_at_ms = max(self._board.confirmed_at_ms, at_ms)
        self._board.store_answered_at_ms = steady_ms()

    def _update_store_state(self, is_reachable: bool, detail: str) -> None:
        board = self._board
        if is_reachable and board.is_store_lost:
            log_event("store_regained", dependency="store", age_ms=board.config_age_ms)
        if not is_reachable and not board.is_store_lost:
            log_warning("store_lost", dependency="store", reason=detail)
        board.is_store_lost = not is_reachable

    def _apply_change(self, item: KeyValue, is_deleted: bool) -> None:
        board = self._board
        if self._unusable.holds(item.key, item.mod_revision):
            return
        match self._keys.decode(item, is_deleted):
            case ConfigChange(config) if self._is_newer(config):
                board.config, board.config_item = config, item
                log_event(
                    "config_applied",
                    version=config.version,
                    revision=config.revision,
                    queues=len(config.queues),
                    accounts=",".join(f"{a.name}:{a.guaranteed}" for a in config.accounts),
                )
                board.counters.gauge("config_version", config.version)
                board.planning_needed.set()
            case ZoneChange(zone, True):
                board.evacuated_zones.add(zone)
                log_event("zone_evacuated", zone=zone)
            case ZoneChange(zone, False):
                board.evacuated_zones.discard(zone)
                log_event("zone_in_service", zone=zone)
                board.planning_needed.set()
            case None if item.key == self.config_key and not is_deleted:
                self._unusable.add(item.key, item.mod_revision)
            case _:
                return

    def _is_newer(self, config: OperatorConfig) -> bool:
        return self._board.config is None or config.version > self._board.config.version
