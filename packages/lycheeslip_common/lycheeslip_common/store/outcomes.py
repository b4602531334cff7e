"""What can come of a call to the platform's store."""

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
    """One key with its value and the store revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0


class ReadResult(NamedTuple):
    """Keys as of `revision`; the read was served no earlier than it was asked."""

    items: tuple[KeyValue, ...]
    revision: int


class WatchEvent(NamedTuple):
    """A change of one key; `deleted` leaves `value` empty."""

    key: str
    value: bytes
    mod_revision: int
    deleted: bool


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not take effect: a compared key had changed; `current` is its state."""

    current: KeyValue | None


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No answer; `may_have_run` says whether the write may have taken effect."""

    may_have_run: bool
    detail: str = ""


WriteOutcome = Written | Conflict | Unreachable
