"""Callers' requests to the intake and their outcomes, which state what may have happened."""

from dataclasses import dataclass

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.jobs import StepSpec

__all__ = [
    "Accepted",
    "Call",
    "Cancel",
    "Forbidden",
    "JobSubmission",
    "Missing",
    "NotRun",
    "Outcome",
    "QueryPending",
    "QueryState",
    "Request",
    "Shown",
    "Submit",
    "Undecided",
    "Waiting",
    "is_write",
]

RETRY_AFTER_S = 1  # about the time that a leader or a store connection takes to recover


class Call:
    """Target of a call and its client's key; `deadline_ms` is on the steady clock."""

    __slots__ = ("deadline_ms", "host", "key", "path")

    def __init__(self, host: str, path: str, key: str, deadline_ms: int) -> None:
        """Use the host, path and key as received; the answer must be ready by `deadline_ms`."""
        self.host = host
        self.path = path
        self.key = key
        self.deadline_ms = deadline_ms

    @property
    def remaining_s(self) -> float:
        """Seconds left to process the call."""
        return (self.deadline_ms - steady_ms()) / 1_000


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """A job as submitted, before a queue and an account are assigned."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int
    interval_ms: int
    occurrences: int


@dataclass(frozen=True, slots=True)
class Submit:
    """Asks to accept a job."""

    submission: JobSubmission


@dataclass(frozen=True, slots=True)
class Cancel:
    """Asks to cancel a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class QueryState:
    """Asks for the state of a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class QueryPending:
    """Asks for the number of jobs of a queue that have not started."""


Request = Submit | Cancel | QueryState | QueryPending


def is_write(request: Request) -> bool:
    """Return whether the request changes what is stored."""
    return isinstance(request, Submit | Cancel)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job or its cancellation is in the store."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing was or will be stored; the caller may retry after `retry_after_s`."""

    reason: str
    retry_after_s: int = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Undecided:
    """The call may have been stored; a repetition with the same id resolves this.

    The caller may repeat it after `retry_after_s`.
    """

    reason: str
    retry_after_s: int = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Forbidden:
    """The key belongs to no client account."""

    reason: str = "unknown_key"


@dataclass(frozen=True, slots=True)
class Missing:
    """No such job if `is_job`, else no such queue."""

    is_job: bool


@dataclass(frozen=True, slots=True)
class Shown:
    """The state of a job, and why it failed if that wasn't the number of its failed attempts."""

    state: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Waiting:
    """The number of jobs of a queue that have not started."""

    pending: int


Outcome = Accepted | NotRun | Undecided | Forbidden | Missing | Shown | Waiting
