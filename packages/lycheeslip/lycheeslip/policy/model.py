"""Input of the planner and the actions that it returns."""

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
    """A job that waits for a placement; `avoided_workers` are workers on which it has failed.

    `expected_run_ms` is estimated from past run times if there are enough, else as declared.
    """

    job_id: str
    spec: JobSpec
    waiting_since_ms: int
    expected_run_ms: int
    attempts: int = 0
    avoided_workers: frozenset[str] = frozenset()


class RunningJob(NamedTuple):
    """A job with a placement, from its reservation to its end."""

    ref: AttemptRef
    spec: JobSpec
    placement: tuple[MemberPlacement, ...]
    started_at_ms: int
    expected_end_at_ms: int
    stopping: bool = False


class WorkerHealth(NamedTuple):
    """Health of a worker compared with the fleet.

    On probation, a worker runs one interruptible task at a time, of a job with one member.
    """

    quarantined_until_ms: int = 0
    probation: bool = False


class RackReservation(NamedTuple):
    """Reservation of a rack for the oldest blocked gang until `until_ms`."""

    job_id: str
    zone: str
    rack: str
    until_ms: int


class FleetView(NamedTuple):
    """Everything that a decision may depend on; all times are wall-clock milliseconds.

    `used_accelerator_ms_by_account` is the decayed usage of ended attempts only.
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
    """Reserve the placement of a waiting job and start its members there."""

    job_id: str
    placement: tuple[MemberPlacement, ...]


@dataclass(frozen=True, slots=True)
class Act:
    """Send a control action, such as a checkpoint or a throttle, to all members of an attempt."""

    ref: AttemptRef
    action: ControlAction
    grace_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class Explain:
    """Reason why a waiting job was not placed in this round.

    `reason` is also the last part of the name of a counter.
    """

    job_id: str
    reason: str
    detail: str


@dataclass(frozen=True, slots=True)
class Hold:
    """Pass this reservation to the next view, so that it moves only if the gang gains time."""

    reservation: RackReservation


Action = Place | Act | Explain | Hold
