"""Jobs as callers declare them and as the platform's store records them."""

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
    "MAX_ANSWER_BYTES",
    "MAX_MEMBERS",
    "MAX_PAYLOAD_BYTES",
    "MemberPlacement",
    "Shape",
    "StoredVerdict",
    "derive_job_id",
]

MAX_MEMBERS = 128
MAX_PAYLOAD_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 4 * 1024 * 1024
JOB_ID_HEX_DIGITS = 24

Identifier = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$")]


class JobKind(StrEnum):
    """How soon a caller needs the answer."""

    URGENT = "urgent"
    DEFERRABLE = "deferrable"
    BULK = "bulk"


class Adjacency(StrEnum):
    """Where the members of one gang must lie in relation to each other."""

    ANY = "any"
    SAME_WORKER = "same_worker"
    SAME_RACK = "same_rack"


class JobState(StrEnum):
    """Progress of a recorded job."""

    PENDING = "pending"
    STARTED = "started"
    DONE = "done"


class Shape(NamedTuple):
    """Resources of a gang; every figure but `members` counts for one member."""

    members: Annotated[int, Field(ge=1, le=MAX_MEMBERS)] = 1
    accelerators: Annotated[int, Field(ge=0, le=64)] = 1
    processors: Annotated[int, Field(ge=0, le=4096)] = 1
    memory_mb: Annotated[int, Field(ge=0, le=64 * 1024 * 1024)] = 256
    adjacency: Adjacency = Adjacency.ANY

    @property
    def total_accelerators(self) -> int:
        """Return the number of accelerators of the whole gang."""
        return self.members * self.accelerators


class JobSpec(NamedTuple):
    """A job as its caller declares it.

    `deadline_at_ms` is wall-clock milliseconds since the epoch (0: none), since it
    outlives processes; `expected_run_ms` is the caller's own estimate (0: none).
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
        """Return whether a running attempt may be stopped and tried again."""
        return self.repeatable


class AttemptRef(NamedTuple):
    """Names one attempt at a job; `epoch` fences out entries that lost the job."""

    job_id: str
    epoch: int
    attempt: int

    @property
    def key(self) -> str:
        """Return a text form that is unique per attempt, used as the task id prefix."""
        return f"{self.job_id}.{self.attempt}"


class MemberPlacement(NamedTuple):
    """Where one member of a gang is placed."""

    worker_id: str
    incarnation: str
    accelerators: tuple[int, ...]
    address: str = ""


class AttemptSummary(NamedTuple):
    """One past attempt, for `explain`; times are wall-clock milliseconds.

    `blamed` names the worker whose member failed, "" where none is known.
    """

    attempt: int
    workers: tuple[str, ...]
    started_at_ms: int
    ended_at_ms: int
    outcome: str
    blamed: str = ""


class StoredVerdict(TypedDict):
    """A verdict in the form that the store keeps; see `structure.verdicts`."""

    tag: str
    reason: str
    may_have_run: bool
    detail: str
    retry_at_ms: int


class JobRecord(TypedDict):
    """A job in the store under `jobs/<job_id>`; times are wall-clock milliseconds.

    `writer` is a random value that changes with every write, so that a writer whose
    answer was lost can tell whether its own write took effect.
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
    """Return the job id that belongs to an account's idempotency key."""
    text = f"{account}\0{idempotency_key}".encode()
    return sha256(text).hexdigest()[:JOB_ID_HEX_DIGITS]
