"""What the planner sees and the actions it decides on."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.structure.jobs import AttemptRef, JobSpec, MemberPlacement
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.config.model import FleetConfig

__all__ = [
    "Action",
    "Act",
    "Explain",
    "FleetView",
    "Hold",
    "HomeMap",
    "Place",
    "RackReservation",
    "RunningJob",
    "WaitingJob",
    "WorkerHealth",
]

HomeMap = Mapping[str, tuple[str, ...]]
"""Account of each accelerator by worker id; "" for an accelerator without a home account."""


class WaitingJob(NamedTuple):
    """A job that waits for a placement; `avoid` names workers where it has failed.

    `expected_run_ms` is learned where there is enough history, else the declaration.
    """

    job_id: str
    spec: JobSpec
    waiting_since_ms: int
    expected_run_ms: int
    attempts: int = 0
    avoid: frozenset[str] = frozenset()


class RunningJob(NamedTuple):
    """A job with a placement, from its reservation to its end."""

    ref: AttemptRef
    spec: JobSpec
    placement: tuple[MemberPlacement, ...]
    started_at_ms: int
    expected_end_at_ms: int
    stopping: bool = False


class WorkerHealth(NamedTuple):
    """How a worker fares in comparison; only one repeatable task at a time on probation."""

    quarantined_until_ms: int = 0
    probation: bool = False


class RackReservation(NamedTuple):
    """Keeps a rack's free accelerators for the oldest blocked gang until `until_ms`."""

    job_id: str
    zone: str
    rack: str
    until_ms: int


class FleetView(NamedTuple):
    """Everything that a decision may depend on; all times are wall-clock milliseconds.

    `used_accelerator_ms_by_account` is decayed past use without what still runs.
    """

    now_ms: int
    config: FleetConfig
    workers_by_id: Mapping[str, WorkerState]
    waiting: tuple[WaitingJob, ...]
    running_by_job: Mapping[str, RunningJob]
    homes: HomeMap
    used_accelerator_ms_by_account: Mapping[str, float]
    health_by_worker: Mapping[str, WorkerHealth]
    reservation: RackReservation | None = None


@dataclass(frozen=True, slots=True)
class Place:
    """Reserve and start a waiting job on these members' workers."""

    job_id: str
    placement: tuple[MemberPlacement, ...]


@dataclass(frozen=True, slots=True)
class Act:
    """Checkpoint, throttle or stop all members of a running attempt."""

    ref: AttemptRef
    action: ControlAction
    grace_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class Explain:
    """Why a waiting job was not placed in this round; `reason` is a counter's suffix."""

    job_id: str
    reason: str
    detail: str


@dataclass(frozen=True, slots=True)
class Hold:
    """Carry this reservation in the next view, so that it moves only for a gain."""

    reservation: RackReservation


Action = Place | Act | Explain | Hold
