"""Best-fit placement of gangs on free accelerators, all members or none."""

from collections.abc import Iterable
from typing import NamedTuple

from lycheeslip_common.structure.jobs import Adjacency, MemberPlacement, Shape

from lycheeslip.policy.capacity import Capacity
from lycheeslip.policy.demand import Demand, members_that_fit, rack_headroom, usable_mask
from lycheeslip.policy.worker_capacity import RackKey, WorkerCapacity, indices_of, mask_of

__all__ = [
    "Allocation",
    "choose_allocations",
    "find_placement",
    "fits_now",
    "groups",
    "pick_adjacent",
    "pick_member",
]


class Allocation(NamedTuple):
    """The number of members of a gang allocated to a worker."""

    worker: WorkerCapacity
    members: int


class _Candidate(NamedTuple):
    """Allocations of the whole gang; the candidate that sorts lowest is the best fit."""

    non_preferred: int
    worker_free_after: int
    rack_free: int
    first_worker: str
    allocations: tuple[Allocation, ...]


def groups(capacity: Capacity, shape: Shape) -> Iterable[list[WorkerCapacity]]:
    """Return groups of workers, one per worker, rack or region depending on the adjacency.

    All members of the gang must be placed within one group.
    """
    if shape.members == 1 or shape.adjacency is Adjacency.SAME_WORKER:
        needed = shape.total_accelerators
        return ([worker] for worker in capacity if worker.info.accelerators >= needed)
    if shape.adjacency is Adjacency.SAME_RACK:
        return capacity.by_rack.values()
    return capacity.by_region.values()


def find_placement(capacity: Capacity, demand: Demand) -> tuple[MemberPlacement, ...] | None:
    """Allocate the best fit for the whole gang from `capacity`; return None if there is none."""
    if demand.shape.members == 1:
        allocations = _best_worker(capacity, demand)
    else:
        allocations = _best_group(capacity, demand)
    return _allocate(allocations, demand) if allocations else None


def fits_now(capacity: Capacity, demand: Demand) -> bool:
    """Return whether the whole gang fits now, without allocating it."""
    if demand.shape.members == 1:
        needed = demand.shape.accelerators
        return any(
            members_that_fit(worker, demand) and rack_headroom(worker, demand) >= needed
            for worker in _with_free_accelerators(capacity, demand.shape)
        )
    return any(
        choose_allocations(_with_free_accelerators(group, demand.shape), demand)
        for group in groups(capacity, demand.shape)
    )


def _best_worker(capacity: Capacity, demand: Demand) -> tuple[Allocation, ...]:
    best: WorkerCapacity | None = None
    best_key: tuple[int, bool, int, int, str] | None = None
    for worker in _with_free_accelerators(capacity, demand.shape):
        if not members_that_fit(worker, demand):
            continue
        if demand.shape.accelerators > rack_headroom(worker, demand):
            continue
        free = worker.free.bit_count()
        all_free = free == worker.info.accelerators
        rack_free = worker.rack.free
        key = _non_preferred_count(worker, demand, 1), all_free, rack_free, free, worker.worker_id
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return (Allocation(best, 1),) if best is not None else ()


def _best_group(capacity: Capacity, demand: Demand) -> tuple[Allocation, ...]:
    best: _Candidate | None = None
    for group in groups(capacity, demand.shape):
        allocations = choose_allocations(_with_free_accelerators(group, demand.shape), demand)
        if allocations:
            candidate = _candidate(allocations, demand)
            if best is None or candidate[:4] < best[:4]:
                best = candidate
    return best.allocations if best is not None else ()


def _with_free_accelerators(group: Iterable[WorkerCapacity], shape: Shape) -> list[WorkerCapacity]:
    needed = shape.accelerators
    return [
        worker
        for worker in group
        if worker.resources.slots > 0 and worker.free.bit_count() >= needed
    ]


def choose_allocations(group: Iterable[WorkerCapacity], demand: Demand) -> tuple[Allocation, ...]:
    """Return allocations of the whole gang to workers of the group, empty if it doesn't fit."""
    fits = [
        Allocation(worker, fit) for worker in group if (fit := members_that_fit(worker, demand))
    ]
    if sum(allocation.members for allocation in fits) < demand.shape.members:
        return ()
    if len(fits) > 1:
        fits.sort(key=lambda allocation: _fill_order(allocation.worker, demand))
    return _fill(fits, demand)


def _fill(fits: list[Allocation], demand: Demand) -> tuple[Allocation, ...]:
    allocations: list[Allocation] = []
    headroom_by_rack: dict[RackKey, int] = {}
    per_member = demand.shape.accelerators
    missing = demand.shape.members
    for worker, fit in fits:
        headroom = headroom_by_rack.get(worker.rack.key)
        if headroom is None:
            headroom = rack_headroom(worker, demand)
        count = min(fit, missing, headroom // per_member if per_member else fit)
        headroom_by_rack[worker.rack.key] = headroom - count * per_member
        if count:
            allocations.append(Allocation(worker, count))
            missing -= count
        if not missing:
            return tuple(allocations)
    return ()


def _candidate(allocations: tuple[Allocation, ...], demand: Demand) -> _Candidate:
    first = allocations[0].worker
    return _Candidate(
        non_preferred=sum(
            _non_preferred_count(worker, demand, count) for worker, count in allocations
        ),
        worker_free_after=sum(
            _worker_free_after(worker, demand, count) for worker, count in allocations
        ),
        rack_free=first.rack.free,
        first_worker=first.worker_id,
        allocations=allocations,
    )


def _fill_order(worker: WorkerCapacity, demand: Demand) -> tuple[int, int, int, str]:
    non_preferred = _non_preferred_count(worker, demand, 1)
    return non_preferred, worker.free.bit_count(), worker.resources.slots, worker.worker_id


def _worker_free_after(worker: WorkerCapacity, demand: Demand, count: int) -> int:
    return worker.free.bit_count() - count * demand.shape.accelerators


def _preferred_mask(worker: WorkerCapacity, demand: Demand) -> int:
    """Return the account's home accelerators for jobs within its guarantee, else homeless ones."""
    if demand.within_guarantee:
        return worker.home_masks.get(demand.account, 0)
    return worker.homeless


def _non_preferred_count(worker: WorkerCapacity, demand: Demand, count: int) -> int:
    preferred = usable_mask(worker, demand) & _preferred_mask(worker, demand)
    return max(0, count * demand.shape.accelerators - preferred.bit_count())


def _allocate(allocations: tuple[Allocation, ...], demand: Demand) -> tuple[MemberPlacement, ...]:
    placement = []
    for worker, count in allocations:
        for _ in range(count):
            indices = pick_member(worker, demand)
            mask = mask_of(indices)
            worker.allocate(mask, demand.member_resources, demand.account, demand.interruptible)
            incarnation = worker.state.incarnation
            address = worker.info.address
            placement.append(MemberPlacement(worker.worker_id, incarnation, indices, address))
    return tuple(placement)


def pick_member(worker: WorkerCapacity, demand: Demand) -> tuple[int, ...]:
    """Return the accelerators for one member: preferred ones first, adjacent ones if possible."""
    count = demand.shape.accelerators
    usable = usable_mask(worker, demand)
    preferred = usable & _preferred_mask(worker, demand)
    if preferred.bit_count() >= count:
        return pick_adjacent(preferred, count)
    rest = pick_adjacent(usable & ~preferred, count - preferred.bit_count())
    return tuple(sorted(indices_of(preferred) + rest))


def pick_adjacent(mask: int, count: int) -> tuple[int, ...]:
    """Return `count` indices of `mask`, from the shortest contiguous run that is long enough.

    Without such a run the lowest indices are returned.
    """
    if count == 0:
        return ()
    long_enough = [run for run in _contiguous_runs(mask) if len(run) >= count]
    if long_enough:
        return min(long_enough, key=len)[:count]
    return indices_of(mask)[:count]


def _contiguous_runs(mask: int) -> list[tuple[int, ...]]:
    runs: list[list[int]] = []
    for index in indices_of(mask):
        if runs and runs[-1][-1] == index - 1:
            runs[-1].append(index)
        else:
            runs.append([index])
    return [tuple(run) for run in runs]
