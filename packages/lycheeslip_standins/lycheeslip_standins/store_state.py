"""In-memory state of the stand-in store: keys, revisions, leases and history. Performs no I/O."""

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
UNBOUNDED_END = b"\0"


class LeaseNotFoundError(Exception):
    """The lease has expired or was never granted."""


class ValueTooLargeError(Exception):
    """A value exceeds `MAX_VALUE_BYTES`."""


class CompactedError(Exception):
    """The requested revision has been compacted."""


class Entry(NamedTuple):
    """The current value of a key, with its revisions and lease."""

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
    """Keys from `key` inclusive to `end` exclusive; only `key` if `end` is empty.

    An `end` of `UNBOUNDED_END` includes all keys from `key` on.
    """

    key: bytes
    end: bytes = b""

    def includes(self, key: bytes) -> bool:
        """Return whether `key` is in this range."""
        if not self.end:
            return key == self.key
        return self.key <= key and (self.end == UNBOUNDED_END or key < self.end)


class Comparison(NamedTuple):
    """True if `key` was last modified at `mod_revision`; 0 means that the key does not exist."""

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
    """A granted lease; `deadline_ms` is in ms of the caller's monotonic clock."""

    ttl_s: int
    deadline_ms: int


class StoreState:
    """A linearizable key-value store; each transaction that changes a key creates one revision."""

    def __init__(self) -> None:
        """Start empty, at revision 1."""
        self.revision = 1
        self.compacted_revision = 0
        self.entries_by_key: dict[bytes, Entry] = {}
        self.leases_by_id: dict[int, Lease] = {}
        self._events: deque[Event] = deque()
        self._next_lease_id = 1

    def read(self, key_range: Range) -> list[Entry]:
        """Return the entries of `key_range` in key order."""
        if not key_range.end:
            entry = self.entries_by_key.get(key_range.key)
            return [entry] if entry else []
        return [
            self.entries_by_key[key]
            for key in sorted(filter(key_range.includes, self.entries_by_key))
        ]

    def holds(self, comparisons: Iterable[Comparison]) -> bool:
        """Return whether all `comparisons` are true."""
        return all(self._mod_revision(key) == revision for key, revision in comparisons)

    def apply(self, operations: Iterable[Write | Deletion]) -> None:
        """Apply all `operations` as one revision, or none of them if one is invalid.

        Raises `ValueTooLargeError` or `LeaseNotFoundError` if a write is invalid.
        """
        operations = list(operations)
        for operation in operations:
            self._validate(operation)
        revision = self.revision + 1
        changed = False
        for operation in operations:
            match operation:
                case Write():
                    self._put(operation, revision)
                    changed = True
                case Deletion(key_range):
                    changed = self._delete(self.read(key_range), revision) or changed
        if changed:
            self.revision = revision
        self._trim_history()

    def grant(self, ttl_s: int, now_ms: int) -> int:
        """Grant a lease of `ttl_s` seconds and return its id."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self.leases_by_id[lease_id] = Lease(ttl_s, now_ms + ttl_s * MILLISECONDS_PER_SECOND)
        return lease_id

    def keep_alive(self, lease_id: int, now_ms: int) -> int:
        """Renew a lease and return its full time to live in seconds, 0 if it has expired."""
        self.expire(now_ms)
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.deadline_ms = now_ms + lease.ttl_s * MILLISECONDS_PER_SECOND
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; raises `LeaseNotFoundError` if there is none."""
        if self.leases_by_id.pop(lease_id, None) is None:
            raise LeaseNotFoundError
        revision = self.revision + 1
        leased_entries = [
            entry for entry in self.entries_by_key.values() if entry.lease_id == lease_id
        ]
        if self._delete(leased_entries, revision):
            self.revision = revision

    def expire(self, now_ms: int) -> None:
        """Revoke all leases whose deadline has passed."""
        expired_ids = [
            lease_id for lease_id, lease in self.leases_by_id.items() if lease.deadline_ms <= now_ms
        ]
        for lease_id in expired_ids:
            self.revoke(lease_id)

    def events_since(self, key_range: Range, revision: int) -> list[Event]:
        """Return the events of `key_range` from `revision` on; raises `CompactedError`."""
        if revision <= self.compacted_revision:
            raise CompactedError
        return [
            event
            for event in self._events
            if event.entry.mod_revision >= revision and key_range.includes(event.entry.key)
        ]

    def compact(self) -> None:
        """Discard the history up to the current revision."""
        self._events.clear()
        self.compacted_revision = self.revision

    def _mod_revision(self, key: bytes) -> int:
        entry = self.entries_by_key.get(key)
        return entry.mod_revision if entry else 0

    def _validate(self, operation: Write | Deletion) -> None:
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
