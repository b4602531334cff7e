"""Jobs as declared by callers and as recorded in the platform's store."""

from enum import StrEnum
from hashlib import sha256
from typing import Annotated, NamedTuple

from pydantic import Field
from typing_extensions import TypedDict

__all__ = [
    "Adjacency",
    "AttemptRef",
    "AttemptSummary",
    "JobKind",
    "JobRecord",
    "JobSpec",
    "JobState",
    "LEASE_MS_PER_MEMBER",
    "MAX_ANSWER_BYTES",
    "MAX_MEMBERS",
    "MAX_PAYLOAD_BYTES",
    "MemberPlacement",
    "Shape",
    "StoredVerdict",
    "derive_job_id",
]

MAX_MEMBERS = 128
LEASE_MS_PER_MEMBER = 50
"""Shortest lease of a gang's members, for each member of the gang."""

MAX_PAYLOAD_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 4 * 1024 * 1024
JOB_ID_HEX_DIGITS = 24

Identifier = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$")]


class JobKind(StrEnum):
    """Urgency of a job."""

    URGENT = "urgent"
    DEFERRABLE = "deferrable"
    BULK = "bulk"


class Adjacency(StrEnum):
    """Placement constraint among the members of a gang."""

    ANY = "any"
    SAME_WORKER = "same_worker"
    SAME_RACK = "same_rack"


class JobState(StrEnum):
    """Progress of a recorded job."""

    PENDING = "pending"
    STARTED = "started"
    DONE = "done"


class Shape(NamedTuple):
    """Resources of a gang; all fields except `members` are per member."""

    members: Annotated[int, Field(ge=1, le=MAX_MEMBERS)] = 1
    accelerators: Annotated[int, Field(ge=0, le=64)] = 1
    processors: Annotated[int, Field(ge=0, le=4096)] = 1
    memory_mb: Annotated[int, Field(ge=0, le=64 * 1024 * 1024)] = 256
    adjacency: Adjacency = Adjacency.ANY

    @property
    def total_accelerators(self) -> int:
        """Return the total number of accelerators of the gang."""
        return self.members * self.accelerators


class JobSpec(NamedTuple):
    """A job as declared by its caller.

    `deadline_at_ms` is in wall-clock milliseconds since the Unix epoch, because it must stay
    valid across process restarts (0: none); `expected_run_ms` is the caller's estimate
    (0: none).
    """

    account: Identifier
    kind: JobKind
    shape: Shape
    payload: Annotated[str, Field(max_length=MAX_PAYLOAD_BYTES)] = ""
    repeatable: bool = True
    deadline_at_ms: Annotated[int, Field(ge=0)] = 0
    expected_run_ms: Annotated[int, Field(ge=0)] = 0
    label: Annotated[str, Field(max_length=128)] = ""

    @property
    def interruptible(self) -> bool:
        """Return whether a running attempt may be stopped and retried."""
        return self.repeatable


class AttemptRef(NamedTuple):
    """Identifies an attempt of a job; `epoch` fences off entries that no longer own the job."""

    job_id: str
    epoch: int
    attempt: int

    @property
    def key(self) -> str:
        """Return a string that is unique per attempt, used as the task id prefix."""
        return f"{self.job_id}.{self.attempt}"


class MemberPlacement(NamedTuple):
    """Worker and accelerators assigned to one member of a gang."""

    worker_id: str
    incarnation: str
    accelerators: tuple[int, ...]
    address: str = ""


class AttemptSummary(NamedTuple):
    """A past attempt, shown by `explain`; times are wall-clock milliseconds.

    `blamed` is the worker whose member failed, or "" if it is not known.
    """

    attempt: int
    workers: tuple[str, ...]
    started_at_ms: int
    ended_at_ms: int
    outcome: str
    blamed: str = ""


class StoredVerdict(TypedDict):
    """Stored representation of a verdict; see `structure.verdicts`."""

    tag: str
    reason: str
    may_have_run: bool
    detail: str
    retry_at_ms: int


class JobRecord(TypedDict):
    """A job as stored under `jobs/<job_id>`; times are wall-clock milliseconds.

    `owner` is the id of the entry that manages the job.
    `writer` is a random value that changes with every write, so that a writer that did not
    receive the store's response can tell whether its write took effect.
    """

    job_id: str
    spec: JobSpec
    body_digest: str
    accepted_at_ms: int
    state: JobState
    epoch: int
    attempt: int
    owner: str
    placement: tuple[MemberPlacement, ...]
    attempts: tuple[AttemptSummary, ...]
    cancel_requested: bool
    checkpoint: str
    started_at_ms: int
    done_at_ms: int
    verdict: StoredVerdict | None
    answer_digest: str
    answer_length: int
    answer_chunks: int
    writer: str


def derive_job_id(account: str, idempotency_key: str) -> str:
    """Return the job id for an account's idempotency key."""
    text = f"{account}\0{idempotency_key}".encode()
    return sha256(text).hexdigest()[:JOB_ID_HEX_DIGITS]
