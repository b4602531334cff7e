"""Resource demand of a waiting job, and how many of its members fit on a worker."""

from collections.abc import Hashable
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind, Shape

from lycheeslip.policy.model import WaitingJob
from lycheeslip.policy.worker_capacity import UNLIMITED, Resources, WorkerCapacity

__all__ = [
    "Demand",
    "demand_of",
    "is_large",
    "may_preempt",
    "members_that_fit",
    "rack_headroom",
    "usable_mask",
]


PREEMPTION_SIZE_RATIO = 2


class Demand(NamedTuple):
    """Resources that one waiting job requests, and restrictions on where it may run.

    `excluded_home_accounts` are accounts whose home accelerators are left to their own
    waiting jobs. `ends_at_ms` is the expected end, or 0 if the run time is unknown.
    `quiet_zones` lists zone ids with the limit per rack on accelerators busy with
    uninterruptible tasks, for quiet hours that begin before the job is expected to end; it is
    set only for uninterruptible jobs. The `ignore_` flags leave out a rule, to explain
    why a job waits or to choose workers for it that aren't usable yet.
    """

    job_id: str
    account: str
    shape: Shape
    interruptible: bool
    urgent: bool
    avoided_workers: frozenset[str] = frozenset()
    within_guarantee: bool = False
    excluded_home_accounts: frozenset[str] = frozenset()
    ends_at_ms: int = 0
    quiet_zones: tuple[tuple[str, int], ...] = ()
    ignore_reservations: bool = False
    ignore_quiet: bool = False

    @property
    def member_resources(self) -> Resources:
        """Return the resources of one member apart from accelerators."""
        return Resources(1, self.shape.processors, self.shape.memory_mb)

    def signature(self) -> Hashable:
        """Return a key of the fields that decide whether the demand fits.

        In the same state of the fleet, demands with equal keys either both fit or both don't.
        The `ignore_` flags are left out.
        """
        uninterruptible = not self.interruptible
        return (
            self.shape,
            self.urgent,
            self.avoided_workers,
            self.excluded_home_accounts,
            self.quiet_zones,
            self.account if uninterruptible else "",
            uninterruptible,
            self.ends_at_ms if uninterruptible or is_large(self.shape) else 0,
        )


def demand_of(job: WaitingJob, now_ms: int, within_guarantee: bool = False) -> Demand:
    """Return the demand of `job` if it starts at `now_ms`."""
    spec = job.spec
    return Demand(
        job_id=job.job_id,
        account=spec.account,
        shape=spec.shape,
        interruptible=spec.interruptible,
        urgent=spec.kind is JobKind.URGENT,
        avoided_workers=job.avoided_workers,
        within_guarantee=within_guarantee,
        ends_at_ms=now_ms + job.expected_run_ms if job.expected_run_ms else 0,
    )


def is_large(shape: Shape) -> bool:
    """Return whether a job has several members, or one that uses several accelerators.

    Such a job counts as a gang when workers are reserved.
    """
    return shape.members > 1 or shape.accelerators > 1


def may_preempt(size: int, occupant_size: int) -> bool:
    """Return whether a blocked job may preempt a running one, given their accelerators.

    The running job must be at most half the size of the blocked one, so that two jobs never
    preempt each other in turn.
    """
    return occupant_size * PREEMPTION_SIZE_RATIO <= size


def usable_mask(worker: WorkerCapacity, demand: Demand) -> int:
    """Return a bit mask of the free accelerators of `worker` that the demand may use."""
    if not demand.interruptible:
        own = worker.home_masks.get(demand.account, 0)
        return worker.free & (worker.homeless | own)
    mask = worker.free
    for account in demand.excluded_home_accounts:
        mask &= ~worker.home_masks.get(account, 0)
    return mask


def members_that_fit(worker: WorkerCapacity, demand: Demand) -> int:
    """Return how many members of the demand fit on the worker, ignoring the limit of its rack."""
    shape = demand.shape
    if worker.resources.slots <= 0 or worker.free.bit_count() < shape.accelerators:
        return 0
    if not _may_use(worker, demand):
        return 0
    available = worker.resources_available_to(demand.account, demand.interruptible)
    fit = available.slots
    if shape.accelerators:
        fit = min(fit, usable_mask(worker, demand).bit_count() // shape.accelerators)
    if shape.processors:
        fit = min(fit, available.processors // shape.processors)
    if shape.memory_mb:
        fit = min(fit, available.memory_mb // shape.memory_mb)
    return max(0, fit)


def rack_headroom(worker: WorkerCapacity, demand: Demand) -> int:
    """Return how many more accelerators of the worker's rack the demand may make busy."""
    if demand.ignore_quiet:
        return UNLIMITED
    headroom = worker.rack.headroom(demand.urgent)
    for zone, limit in demand.quiet_zones:
        if zone == worker.rack.key.zone:
            headroom = min(headroom, max(0, limit - worker.rack.uninterruptible_busy))
    return headroom


def _may_use(worker: WorkerCapacity, demand: Demand) -> bool:
    if worker.worker_id in demand.avoided_workers:
        return False
    if worker.probation and not _fits_probation(worker, demand):
        return False
    return demand.ignore_reservations or not worker.reserved_for or _may_backfill(worker, demand)


def _may_backfill(worker: WorkerCapacity, demand: Demand) -> bool:
    """Return whether the demand may use the worker without delaying the job it is reserved for."""
    if worker.reserved_for == demand.job_id:
        return True
    size = demand.shape.total_accelerators
    if demand.interruptible and may_preempt(worker.reserved_size, size):
        return True
    return 0 < demand.ends_at_ms <= worker.reserved_until_ms


def _fits_probation(worker: WorkerCapacity, demand: Demand) -> bool:
    is_idle = worker.resources.slots == worker.info.slots
    return is_idle and demand.interruptible and demand.shape.members == 1
