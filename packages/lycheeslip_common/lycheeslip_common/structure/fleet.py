"""Descriptions of workers and entries that the processes exchange."""

from enum import StrEnum
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind

__all__ = ["EntryInfo", "Grant", "GrantState", "WorkerInfo", "WorkerState"]


class GrantState(StrEnum):
    """Progress of one member of an attempt on its worker."""

    RESERVED = "reserved"
    PREPARED = "prepared"
    RUNNING = "running"
    FINISHED = "finished"


class Grant(NamedTuple):
    """Resources of a worker that its agent has allocated to one member of an attempt.

    `owner` is the id of the entry that manages the attempt.
    """

    job_id: str
    epoch: int
    attempt: int
    member: int
    owner: str
    account: str
    kind: JobKind
    accelerators: tuple[int, ...]
    processors: int
    memory_mb: int
    interruptible: bool
    state: GrantState
    members: int = 1
    started_at_ms: int = 0
    throttled: bool = False


class WorkerInfo(NamedTuple):
    """Static description of a worker; `address` is its agent's listen address."""

    worker_id: str
    region: str
    zone: str
    rack: str
    address: str
    accelerators: int
    processors: int
    memory_mb: int
    slots: int


class WorkerState(NamedTuple):
    """Complete state of a worker; a higher `sequence` supersedes a lower one.

    Each process of the worker's agent has its own `incarnation`.
    """

    info: WorkerInfo
    incarnation: str
    sequence: int
    leaving: bool
    grants: tuple[Grant, ...]
    directive_version: int = 0

    def busy_accelerators(self) -> set[int]:
        """Return the indices of the allocated accelerators."""
        return {index for grant in self.grants for index in grant.accelerators}


class EntryInfo(NamedTuple):
    """A live entry, as stored under `entries/<entry_id>`."""

    entry_id: str
    region: str
    zone: str
    http_address: str
    session_address: str
