"""What a waiting job asks of a worker, and how much of it the worker can give."""

from collections.abc import Hashable
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind, Shape

from lycheeslip.policy.free_worker import UNLIMITED, FreeWorker, Resources
from lycheeslip.policy.model import WaitingJob

__all__ = [
    "Demand",
    "demand_of",
    "is_large",
    "may_displace",
    "members_that_fit",
    "rack_room",
    "usable_mask",
]


DISPLACING_RATIO = 2


class Demand(NamedTuple):
    """What one waiting job asks for, and which accelerators it may use.

    `barred_homes` are the accounts whose homes are kept for their own waiting work, and
    `ends_at_ms` is 0 if the run time isn't known. `quiet_zones` are zones whose racks will
    have room for only so many accelerators that can't be stopped before the job ends.
    """

    job_id: str
    account: str
    shape: Shape
    interruptible: bool
    urgent: bool
    avoid: frozenset[str] = frozenset()
    entitled: bool = False
    barred_homes: frozenset[str] = frozenset()
    ends_at_ms: int = 0
    quiet_zones: tuple[tuple[str, int], ...] = ()
    ignore_holds: bool = False
    ignore_quiet: bool = False

    @property
    def member_resources(self) -> Resources:
        """Return what one member takes besides accelerators."""
        return Resources(1, self.shape.processors, self.shape.memory_mb)

    def signature(self) -> Hashable:
        """Return what decides whether the demand fits; two jobs with equal ones fare alike."""
        firm = not self.interruptible
        return (
            self.shape,
            self.urgent,
            self.avoid,
            self.barred_homes,
            self.quiet_zones,
            self.account if firm else "",
            firm,
            self.ends_at_ms if firm or is_large(self.shape) else 0,
        )


def demand_of(job: WaitingJob, now_ms: int, entitled: bool = False) -> Demand:
    """Return what `job` asks for if it starts at `now_ms`."""
    spec = job.spec
    return Demand(
        job_id=job.job_id,
        account=spec.account,
        shape=spec.shape,
        interruptible=spec.interruptible,
        urgent=spec.kind is JobKind.URGENT,
        avoid=job.avoid,
        entitled=entitled,
        ends_at_ms=now_ms + job.expected_run_ms if job.expected_run_ms else 0,
    )


def is_large(shape: Shape) -> bool:
    """Return whether a job needs several accelerators or workers at once."""
    return shape.members > 1 or shape.accelerators > 1


def may_displace(size: int, occupant_size: int) -> bool:
    """Return whether a blocked job may stop one that fills its gap, by their accelerators.

    Only a much smaller job makes way, so that two jobs never stop each other in turns.
    """
    return occupant_size * DISPLACING_RATIO <= size


def usable_mask(worker: FreeWorker, demand: Demand) -> int:
    """Return the free accelerators of `worker` that the demand may use."""
    if not demand.interruptible:
        own = worker.home_masks.get(demand.account, 0)
        return worker.free & (worker.homeless | own)
    mask = worker.free
    for account in demand.barred_homes:
        mask &= ~worker.home_masks.get(account, 0)
    return mask


def members_that_fit(worker: FreeWorker, demand: Demand) -> int:
    """Return how many members of the demand the worker could take, its rack's limit aside."""
    shape = demand.shape
    if worker.resources.slots <= 0 or worker.free.bit_count() < shape.accelerators:
        return 0
    if not _may_use(worker, demand):
        return 0
    room = worker.room_for(demand.account, demand.interruptible)
    fit = room.slots
    if shape.accelerators:
        fit = min(fit, usable_mask(worker, demand).bit_count() // shape.accelerators)
    if shape.processors:
        fit = min(fit, room.processors // shape.processors)
    if shape.memory_mb:
        fit = min(fit, room.memory_mb // shape.memory_mb)
    return max(0, fit)


def rack_room(worker: FreeWorker, demand: Demand) -> int:
    """Return how many accelerators of the worker's rack the demand may make busy."""
    if demand.ignore_quiet:
        return UNLIMITED
    room = worker.rack.room(demand.urgent)
    for zone, cap in demand.quiet_zones:
        if zone == worker.rack.key.zone:
            room = min(room, max(0, cap - worker.rack.firm_busy))
    return room


def _may_use(worker: FreeWorker, demand: Demand) -> bool:
    if worker.worker_id in demand.avoid:
        return False
    if worker.probation and not _fits_probation(worker, demand):
        return False
    return demand.ignore_holds or not worker.held_by or _may_backfill(worker, demand)


def _may_backfill(worker: FreeWorker, demand: Demand) -> bool:
    """Return whether the demand leaves the worker in time to the job that it is held for."""
    if worker.held_by == demand.job_id:
        return True
    size = demand.shape.total_accelerators
    if demand.interruptible and may_displace(worker.held_size, size):
        return True
    return 0 < demand.ends_at_ms <= worker.held_until_ms


def _fits_probation(worker: FreeWorker, demand: Demand) -> bool:
    alone = worker.resources.slots == worker.info.slots
    return alone and demand.interruptible and demand.shape.members == 1
