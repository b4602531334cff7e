"""Findings about a valid configuration, and the checks that produce them."""

from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import NamedTuple

from lycheeslip_common.config.yaml_lines import Path

from lycheeslip.config.loader import LocatedConfig

__all__ = ["ChangeCheck", "Check", "Finding", "Note", "Severity", "locate"]


class Severity(StrEnum):
    """Whether a finding fails the check.

    ERROR: the configuration promises something that it can't hold, contradicts itself, or lets
    in callers that it is meant to keep out. WARNING: a key has no effect, or has one that is
    easily overlooked.
    """

    ERROR = "error"
    WARNING = "warning"


class Note(NamedTuple):
    """What a check found: the path of the key to change, and what to change."""

    path: Path
    message: str


class Check(NamedTuple):
    """A check of one configuration; `code` identifies its findings and never changes."""

    code: str
    severity: Severity
    find: Callable[[LocatedConfig], Iterator[Note]]


class ChangeCheck(NamedTuple):
    """A check of the change from the configuration `before` to `after`."""

    code: str
    severity: Severity
    find: Callable[[LocatedConfig, LocatedConfig], Iterator[Note]]


class Finding(NamedTuple):
    """A note with its code, its severity and the line of its key, which counts from 1."""

    code: str
    severity: Severity
    source: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        """Return the format of compiler messages, so that editors can jump to the line."""
        key = f"{self.key}: " if self.key else ""
        return f"{self.source}:{self.line}: {key}{self.severity}: {self.message} [{self.code}]"


def locate(check: Check | ChangeCheck, note: Note, located: LocatedConfig) -> Finding:
    """Return the finding of a note, at the line of its key or of the closest key in the file."""
    document = located.document
    line, key = document.line_of(note.path), ".".join(note.path)
    return Finding(check.code, check.severity, document.source, line, key, note.message)
