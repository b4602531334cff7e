"""Fragmentation: the free accelerators that large jobs can't use."""

from collections.abc import Iterable

from lycheeslip_common.structure.jobs import Shape

from lycheeslip.policy.capacity import Capacity
from lycheeslip.policy.demand import Demand, members_that_fit
from lycheeslip.policy.model import FleetView
from lycheeslip.policy.placement import groups

__all__ = ["fragmentation"]


def fragmentation(view: FleetView) -> float:
    """Return the fraction of free accelerators that the largest shape can't use, from 0 to 1.

    The largest shape is taken from the waiting jobs and the accounts' guarantees.
    """
    capacity = Capacity(view)
    free = sum(worker.free.bit_count() for worker in capacity)
    largest = max(_shapes(view), key=_size, default=None)
    if not free or largest is None or not largest.total_accelerators:
        return 0.0
    demand = Demand("", "", largest, interruptible=True, urgent=False)
    usable = 0
    for group in groups(capacity, largest):
        members = sum(members_that_fit(worker, demand) for worker in group)
        usable += members // largest.members * largest.total_accelerators
    return max(0.0, 1.0 - usable / free)


def _shapes(view: FleetView) -> Iterable[Shape]:
    for job in view.waiting:
        yield job.spec.shape
    for account in view.config.accounts_by_id.values():
        if account.guarantee is not None:
            yield account.guarantee


def _size(shape: Shape) -> tuple[int, int, str]:
    return shape.total_accelerators, shape.accelerators, shape.adjacency.value
