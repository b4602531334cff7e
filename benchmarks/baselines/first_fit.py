"""First-fit placement for the baselines, within the limits that agents enforce."""

from lycheeslip.policy.capacity import Capacity
from lycheeslip.policy.demand import Demand, members_that_fit, rack_headroom, usable_mask
from lycheeslip.policy.placement import groups
from lycheeslip.policy.worker_capacity import WorkerCapacity, indices_of, mask_of
from lycheeslip_common.structure.jobs import MemberPlacement

__all__ = ["place_first"]


def place_first(capacity: Capacity, demand: Demand) -> tuple[MemberPlacement, ...]:
    """Allocate the first group of workers that holds the gang, lowest accelerator indices first.

    Returns an empty tuple if no group does.
    """
    for group in groups(capacity, demand.shape):
        fits = [(worker, members_that_fit(worker, demand)) for worker in group]
        if sum(fit for _, fit in fits) < demand.shape.members or not _has_rack_room(group, demand):
            continue
        return _allocate(fits, demand)
    return ()


def _has_rack_room(group: list[WorkerCapacity], demand: Demand) -> bool:
    needed = demand.shape.total_accelerators
    return all(rack_headroom(worker, demand) >= needed for worker in group)


def _allocate(
    fits: list[tuple[WorkerCapacity, int]], demand: Demand
) -> tuple[MemberPlacement, ...]:
    placement: list[MemberPlacement] = []
    for worker, fit in fits:
        for _ in range(min(fit, demand.shape.members - len(placement))):
            indices = indices_of(usable_mask(worker, demand))[: demand.shape.accelerators]
            used = demand.member_resources
            worker.allocate(mask_of(indices), used, demand.account, demand.interruptible)
            state = worker.state
            placement.append(
                MemberPlacement(worker.worker_id, state.incarnation, indices, state.info.address)
            )
    return tuple(placement)
