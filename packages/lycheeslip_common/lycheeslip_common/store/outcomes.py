"""Results of calls to the store."""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "Conflict",
    "KeyValue",
    "ReadResult",
    "Unreachable",
    "WatchEvent",
    "WriteOutcome",
    "Written",
]


class KeyValue(NamedTuple):
    """One key, its value, the revisions of its last change and its creation, and its lease.

    `create_revision` is 0 if the store does not report it; `lease_id` is 0 if it has no lease or
    the store does not report it.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    lease_id: int = 0


class ReadResult(NamedTuple):
    """Keys as of the store's `revision`."""

    items: tuple[KeyValue, ...]
    revision: int


class WatchEvent(NamedTuple):
    """A change of one key; `value` is empty if the key was `deleted`."""

    key: str
    value: bytes
    mod_revision: int
    deleted: bool


@dataclass(frozen=True, slots=True)
class Written:
    """The write was applied at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write was not applied, as a compared key had changed.

    `current` is the state of that key, None if it doesn't exist.
    """

    current: KeyValue | None


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The call failed; `may_have_run` states whether a write may have been applied."""

    may_have_run: bool
    detail: str = ""


WriteOutcome = Written | Conflict | Unreachable
