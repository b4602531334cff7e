"""Interface to the store of multi-step jobs, independent of the store's protocol."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from lycheeslip_common.store.gateway import Compare, Put
from lycheeslip_common.store.outcomes import KeyValue, ReadResult, Unreachable, WatchEvent, Written

__all__ = [
    "ChangedKeys",
    "ConditionFailed",
    "HistoryLost",
    "KeyValueStore",
    "LeaseEnded",
    "LeaseGranted",
    "TransactionOutcome",
]


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """Nothing was written, as a compared key had changed.

    `items` is the current state of the compared keys.
    """

    items: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease has ended; nothing was written."""


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease and its time to live."""

    lease_id: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class ChangedKeys:
    """Changes up to `revision`, oldest first; empty if none occurred during the wait."""

    events: tuple[WatchEvent, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer keeps the requested changes; the keys must be read again."""


TransactionOutcome = Written | ConditionFailed | LeaseEnded | Unreachable


class KeyValueStore(Protocol):
    """Reads, conditional writes, leases and watches; failures are returned, not raised."""

    async def read(self, key: str, timeout_s: float = ...) -> ReadResult | Unreachable:
        """Return `key` in a state no older than this call."""

    async def read_prefix(self, prefix: str, stale_ok: bool = ...) -> ReadResult | Unreachable:
        """Return all keys that begin with `prefix`; `stale_ok` allows an outdated state."""

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ...
    ) -> TransactionOutcome:
        """Apply all writes atomically if all `compares` hold, otherwise none."""

    async def grant(self, ttl_ms: int) -> LeaseGranted | Unreachable:
        """Grant a lease of `ttl_ms`."""

    async def renew(self, lease_id: int) -> LeaseGranted | LeaseEnded | Unreachable:
        """Renew a lease for its time to live."""

    async def revoke(self, lease_id: int) -> Unreachable | None:
        """Revoke a lease and delete its keys."""

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> ChangedKeys | HistoryLost | Unreachable:
        """Return changes under `prefix` after revision `after`; wait up to `wait_ms` for one."""

    async def close(self) -> None:
        """Close all connections to the store."""
