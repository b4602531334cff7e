"""Facts that backend servers, callers and operators recorded, for the checker to judge."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

__all__ = [
    "FOREVER_MS",
    "BackendEvent",
    "CallerRecord",
    "ConfigView",
    "GuaranteeDemand",
    "Leaving",
    "RecordedAnswer",
    "RecordedVerdict",
    "ZoneChange",
    "parse_events",
]


FOREVER_MS = 1 << 62


class BackendEvent(NamedTuple):
    """One line of a backend server's log; times are the machine's monotonic clock."""

    event: str
    job_id: str
    attempt: int
    member: int
    members: int
    zone: str
    monotonic_ms: int
    backend: str = ""

    @property
    def task_id(self) -> tuple[str, int, int]:
        """Return what tells this task from all others."""
        return self.job_id, self.attempt, self.member


class RecordedVerdict(NamedTuple):
    """A verdict as a caller received it."""

    tag: str
    may_have_run: bool


class RecordedAnswer(NamedTuple):
    """An answer as a caller received it; `digest` was computed from the received bytes."""

    job_id: str
    digest: str


class CallerRecord(NamedTuple):
    """All that one caller saw of one request."""

    job_id: str
    repeatable: bool
    accepted: bool
    verdicts: tuple[RecordedVerdict, ...] = ()
    answers: tuple[RecordedAnswer, ...] = ()
    expected_digest: str = ""
    cut_off: int = 0


class ZoneChange(NamedTuple):
    """An operator's change of a zone; `accepted_ms` is 0 if no acceptance was received."""

    zone: str
    in_service: bool
    asked_ms: int
    accepted_ms: int


class Leaving(NamedTuple):
    """A backend server was told to leave at `told_ms`, and came back at `until_ms`."""

    backend: str
    told_ms: int
    until_ms: int = FOREVER_MS


class ConfigView(NamedTuple):
    """The configuration revision that a process had in force at `seen_ms`."""

    process: str
    revision: int
    seen_ms: int
    process_started_ms: int = 0


class GuaranteeDemand(NamedTuple):
    """A gang of a guaranteed shape, asked for at `asked_ms`."""

    job_id: str
    members: int
    asked_ms: int


def parse_events(log: Iterable[Mapping[str, Any]], backend: str) -> list[BackendEvent]:
    """Return the events of one backend server's log."""
    fields = [name for name in BackendEvent._fields if name != "backend"]
    return [BackendEvent(**{name: line[name] for name in fields}, backend=backend) for line in log]
