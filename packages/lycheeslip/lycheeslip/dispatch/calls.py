"""Calls of callers to the intake, and their outcomes, each of which says what may have happened."""

from dataclasses import dataclass

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.jobs import StepSpec

__all__ = [
    "Accepted",
    "Call",
    "Draft",
    "Forbidden",
    "Missing",
    "NotRun",
    "Outcome",
    "Shown",
    "Undecided",
    "Waiting",
]

RETRY_AFTER_S = 1  # told to callers; a leader's or a store connection's recovery takes about this
ANSWER_MARGIN_MS = 300  # kept of the caller's deadline for the way back


class Call:
    """Where a call goes and with which key; `deadline_ms` is on the steady clock."""

    __slots__ = ("deadline_ms", "host", "key", "path")

    def __init__(self, host: str, path: str, key: str, deadline_ms: int) -> None:
        """Take the call's target as it was received."""
        self.host = host
        self.path = path
        self.key = key
        self.deadline_ms = deadline_ms

    @property
    def remaining_s(self) -> float:
        """Time left in seconds, less what the way back takes."""
        return (self.deadline_ms - ANSWER_MARGIN_MS - steady_ms()) / 1_000


@dataclass(frozen=True, slots=True)
class Draft:
    """A job as submitted, before it has a queue and an account."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int
    interval_ms: int
    occurrences: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job, or its cancellation, is in the store."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing was stored and nothing will be; the caller may come back after `retry_after_s`."""

    reason: str
    retry_after_s: int = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Undecided:
    """The call may have been stored; repeating it with the same id settles that."""

    reason: str


@dataclass(frozen=True, slots=True)
class Forbidden:
    """The key is not one of any client account."""

    reason: str = "unknown_key"


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no such queue, or (`is_job`) no such job."""

    is_job: bool


@dataclass(frozen=True, slots=True)
class Shown:
    """The state of a job."""

    state: str


@dataclass(frozen=True, slots=True)
class Waiting:
    """How many jobs of a queue have not started."""

    pending: int


Outcome = Accepted | NotRun | Undecided | Forbidden | Missing | Shown | Waiting
