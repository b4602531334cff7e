"""The store as controllers see it, whichever protocol the platform's store speaks."""

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
    """Nothing was written: a compared key had changed; `items` are the compared keys now."""

    items: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease that the call named has ended; nothing was written."""


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease and its time to live."""

    lease_id: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class ChangedKeys:
    """Changes up to `revision`, oldest first; none if the wait ended without one."""

    events: tuple[WatchEvent, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes asked for are no longer kept; read everything again."""


TransactionOutcome = Written | ConditionFailed | LeaseEnded | Unreachable


class KeyValueStore(Protocol):
    """Conditional writes, leases and watches; no call raises for a fault of the store."""

    async def read(self, key: str, timeout_s: float = ...) -> ReadResult | Unreachable:
        """Return `key` as it stands after this call began."""

    async def read_prefix(self, prefix: str, stale_ok: bool = ...) -> ReadResult | Unreachable:
        """Return all keys that begin with `prefix`."""

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ...
    ) -> TransactionOutcome:
        """Do all writes at once if all `compares` hold, else none."""

    async def grant(self, ttl_ms: int) -> LeaseGranted | Unreachable:
        """Return a new lease."""

    async def renew(self, lease_id: int) -> LeaseGranted | LeaseEnded | Unreachable:
        """Renew a lease."""

    async def revoke(self, lease_id: int) -> Unreachable | None:
        """End a lease and delete its keys."""

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> ChangedKeys | HistoryLost | Unreachable:
        """Return changes under `prefix` since revision `after`, waiting for the first."""

    async def close(self) -> None:
        """Close all connections to the store."""
