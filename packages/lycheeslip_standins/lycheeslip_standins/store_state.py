"""State of the stand-in store: keys, revisions, leases and history, without I/O."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "Comparison",
    "CompactedError",
    "Deletion",
    "Entry",
    "Event",
    "LeaseNotFoundError",
    "Range",
    "StoreState",
    "ValueTooLargeError",
    "Write",
]

MAX_VALUE_BYTES = 1024 * 1024
MAX_HISTORY_EVENTS = 20_000
MILLISECONDS_PER_SECOND = 1000
NO_END = b"\0"


class LeaseNotFoundError(Exception):
    """The named lease has lapsed or was never granted."""


class ValueTooLargeError(Exception):
    """A value is over a megabyte."""


class CompactedError(Exception):
    """The history no longer reaches back to the wanted revision."""


class Entry(NamedTuple):
    """One key as it stands."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


class Event(NamedTuple):
    """One change of a key."""

    entry: Entry
    deleted: bool


class Range(NamedTuple):
    """Keys from `key` up to before `end`; `key` alone if `end` is empty."""

    key: bytes
    end: bytes = b""

    def includes(self, key: bytes) -> bool:
        """Return whether `key` lies in this range."""
        if not self.end:
            return key == self.key
        return self.key <= key and (self.end == NO_END or key < self.end)


class Comparison(NamedTuple):
    """Holds if `key` was last changed at `mod_revision` (0: it doesn't exist)."""

    key: bytes
    mod_revision: int


class Write(NamedTuple):
    """Sets `key` to `value`."""

    key: bytes
    value: bytes
    lease_id: int = 0


class Deletion(NamedTuple):
    """Deletes all keys of `range`."""

    range: Range


@dataclass(slots=True)
class Lease:
    """A granted lease; `deadline_ms` is on the caller's monotonic clock."""

    ttl_s: int
    deadline_ms: int


class StoreState:
    """A linearizable key-value store; every transaction that changes a key is one revision."""

    def __init__(self) -> None:
        """Start empty, at revision 1."""
        self.revision = 1
        self.compacted_revision = 0
        self.entries_by_key: dict[bytes, Entry] = {}
        self.leases_by_id: dict[int, Lease] = {}
        self._events: deque[Event] = deque()
        self._next_lease_id = 1

    def read(self, wanted: Range) -> list[Entry]:
        """Return the keys of `wanted` in order."""
        if not wanted.end:
            entry = self.entries_by_key.get(wanted.key)
            return [entry] if entry else []
        return [
            self.entries_by_key[key] for key in sorted(filter(wanted.includes, self.entries_by_key))
        ]

    def holds(self, comparisons: Iterable[Comparison]) -> bool:
        """Return whether all `comparisons` hold."""
        return all(self._mod_revision(key) == revision for key, revision in comparisons)

    def apply(self, operations: Iterable[Write | Deletion]) -> None:
        """Do all `operations` as one revision, or none if one can't be done."""
        operations = list(operations)
        for operation in operations:
            self._check(operation)
        revision = self.revision + 1
        changed = False
        for operation in operations:
            match operation:
                case Write():
                    self._put(operation, revision)
                    changed = True
                case Deletion(wanted):
                    changed = self._delete(self.read(wanted), revision) or changed
        if changed:
            self.revision = revision
        self._trim_history()

    def grant(self, ttl_s: int, now_ms: int) -> int:
        """Return the id of a new lease."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self.leases_by_id[lease_id] = Lease(ttl_s, now_ms + ttl_s * MILLISECONDS_PER_SECOND)
        return lease_id

    def keep_alive(self, lease_id: int, now_ms: int) -> int:
        """Renew a lease and return its whole time to live, 0 if it has lapsed."""
        self.expire(now_ms)
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.deadline_ms = now_ms + lease.ttl_s * MILLISECONDS_PER_SECOND
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        if self.leases_by_id.pop(lease_id, None) is None:
            raise LeaseNotFoundError
        revision = self.revision + 1
        held = [entry for entry in self.entries_by_key.values() if entry.lease_id == lease_id]
        if self._delete(held, revision):
            self.revision = revision

    def expire(self, now_ms: int) -> None:
        """End all leases whose deadline has passed."""
        lapsed = [
            lease_id for lease_id, lease in self.leases_by_id.items() if lease.deadline_ms <= now_ms
        ]
        for lease_id in lapsed:
            self.revoke(lease_id)

    def events_since(self, wanted: Range, revision: int) -> list[Event]:
        """Return the changes of `wanted` at or after `revision`, in order."""
        if revision <= self.compacted_revision:
            raise CompactedError
        return [
            event
            for event in self._events
            if event.entry.mod_revision >= revision and wanted.includes(event.entry.key)
        ]

    def compact(self) -> None:
        """Forget all history."""
        self._events.clear()
        self.compacted_revision = self.revision

    def _mod_revision(self, key: bytes) -> int:
        entry = self.entries_by_key.get(key)
        return entry.mod_revision if entry else 0

    def _check(self, operation: Write | Deletion) -> None:
        if not isinstance(operation, Write):
            return
        if len(operation.value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError
        if operation.lease_id and operation.lease_id not in self.leases_by_id:
            raise LeaseNotFoundError

    def _put(self, write: Write, revision: int) -> None:
        old = self.entries_by_key.get(write.key)
        created = old.create_revision if old else revision
        version = old.version + 1 if old else 1
        entry = Entry(write.key, write.value, created, revision, version, write.lease_id)
        self.entries_by_key[write.key] = entry
        self._events.append(Event(entry, deleted=False))

    def _delete(self, entries: list[Entry], revision: int) -> bool:
        for entry in entries:
            del self.entries_by_key[entry.key]
            tombstone = Entry(entry.key, b"", 0, revision, 0, 0)
            self._events.append(Event(tombstone, deleted=True))
        return bool(entries)

    def _trim_history(self) -> None:
        while len(self._events) > MAX_HISTORY_EVENTS:
            self.compacted_revision = self._events.popleft().entry.mod_revision
        while self._events and self._events[0].entry.mod_revision <= self.compacted_revision:
            self._events.popleft()
