"""Records of backend servers, callers and operators that the checker evaluates."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

__all__ = [
    "UNBOUNDED_MS",
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


UNBOUNDED_MS = 1 << 62


class BackendEvent(NamedTuple):
    """One line of a backend server's log; times are in ms of the monotonic clock."""

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
        """Return the job id, attempt and member, which identify the task."""
        return self.job_id, self.attempt, self.member


class RecordedVerdict(NamedTuple):
    """A verdict as received by a caller."""

    tag: str
    may_have_run: bool


class RecordedAnswer(NamedTuple):
    """An answer as received by a caller; `digest` is computed from the received bytes."""

    job_id: str
    digest: str


class CallerRecord(NamedTuple):
    """Everything that one caller observed about one request.

    `cut_off` counts the connections that broke during a call.
    """

    job_id: str
    repeatable: bool
    accepted: bool
    verdicts: tuple[RecordedVerdict, ...] = ()
    answers: tuple[RecordedAnswer, ...] = ()
    expected_digest: str = ""
    cut_off: int = 0


class ZoneChange(NamedTuple):
    """A request to take a zone out of service or return it, as part of a full configuration.

    `accepted_ms` and `revision` are 0 if no acceptance was received. `refused` is true if the
    response stated that nothing changed.
    """

    zone: str
    in_service: bool
    requested_ms: int
    accepted_ms: int
    revision: int = 0
    refused: bool = False


class Leaving(NamedTuple):
    """A backend server that was told to leave at `notified_ms`, and returned at `until_ms`."""

    backend: str
    notified_ms: int
    until_ms: int = UNBOUNDED_MS


class ConfigView(NamedTuple):
    """The configuration revision that a process had applied at `seen_ms`."""

    process: str
    revision: int
    seen_ms: int
    process_started_ms: int = 0


class GuaranteeDemand(NamedTuple):
    """A gang of a guaranteed shape, submitted at `requested_ms`."""

    job_id: str
    members: int
    requested_ms: int


def parse_events(log: Iterable[Mapping[str, Any]], backend: str) -> list[BackendEvent]:
    """Return the events of one backend server's log, without fields that no check uses."""
    fields = [name for name in BackendEvent._fields if name != "backend"]
    return [BackendEvent(**{name: line[name] for name in fields}, backend=backend) for line in log]
