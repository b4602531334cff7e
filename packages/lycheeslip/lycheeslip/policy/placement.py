"""Best-fit placement of whole gangs on free accelerators."""

from collections.abc import Iterable
from typing import NamedTuple

from lycheeslip_common.structure.jobs import Adjacency, MemberPlacement, Shape

from lycheeslip.policy.capacity import Capacity
from lycheeslip.policy.demand import Demand, members_that_fit, rack_room, usable_mask
from lycheeslip.policy.free_worker import FreeWorker, RackKey, indices_of, mask_of

__all__ = [
    "Share",
    "choose_shares",
    "find_placement",
    "fits_now",
    "groups",
    "pick_adjacent",
    "pick_member",
]


class Share(NamedTuple):
    """How many members of a gang a worker takes."""

    worker: FreeWorker
    members: int


class _Candidate(NamedTuple):
    """Shares that hold the whole gang; the lowest one is the best fit."""

    misplaced: int
    worker_left: int
    rack_left: int
    first_worker: str
    shares: tuple[Share, ...]


def groups(capacity: Capacity, shape: Shape) -> Iterable[list[FreeWorker]]:
    """Return the sets of workers of which one has to hold the whole gang."""
    if shape.members == 1 or shape.adjacency is Adjacency.SAME_WORKER:
        needed = shape.total_accelerators
        return ([worker] for worker in capacity if worker.info.accelerators >= needed)
    if shape.adjacency is Adjacency.SAME_RACK:
        return capacity.by_rack.values()
    return capacity.by_region.values()


def find_placement(capacity: Capacity, demand: Demand) -> tuple[MemberPlacement, ...] | None:
    """Return the best fit for the whole gang and take it from `capacity`, or None."""
    if demand.shape.members == 1:
        shares = _best_worker(capacity, demand)
    else:
        shares = _best_group(capacity, demand)
    return _take(shares, demand) if shares else None


def fits_now(capacity: Capacity, demand: Demand) -> bool:
    """Return whether the whole gang has a place, without taking it."""
    if demand.shape.members == 1:
        needed = demand.shape.accelerators
        return any(
            members_that_fit(worker, demand) and rack_room(worker, demand) >= needed
            for worker in _with_free(capacity, demand.shape)
        )
    return any(
        choose_shares(_with_free(group, demand.shape), demand)
        for group in groups(capacity, demand.shape)
    )


def _best_worker(capacity: Capacity, demand: Demand) -> tuple[Share, ...]:
    best: FreeWorker | None = None
    best_key: tuple[int, bool, int, int, str] | None = None
    for worker in _with_free(capacity, demand.shape):
        if not members_that_fit(worker, demand):
            continue
        if demand.shape.accelerators > rack_room(worker, demand):
            continue
        free = worker.free.bit_count()
        is_whole = free == worker.info.accelerators
        rack_free = worker.rack.free
        key = _misplaced(worker, demand, 1), is_whole, rack_free, free, worker.worker_id
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return (Share(best, 1),) if best is not None else ()


def _best_group(capacity: Capacity, demand: Demand) -> tuple[Share, ...]:
    best: _Candidate | None = None
    for group in groups(capacity, demand.shape):
        shares = choose_shares(_with_free(group, demand.shape), demand)
        if shares:
            candidate = _candidate(shares, demand)
            if best is None or candidate[:4] < best[:4]:
                best = candidate
    return best.shares if best is not None else ()


def _with_free(group: Iterable[FreeWorker], shape: Shape) -> list[FreeWorker]:
    needed = shape.accelerators
    return [
        worker
        for worker in group
        if worker.resources.slots > 0 and worker.free.bit_count() >= needed
    ]


def choose_shares(group: Iterable[FreeWorker], demand: Demand) -> tuple[Share, ...]:
    """Return shares of the group's workers that hold the whole gang, else none."""
    fits = [Share(worker, fit) for worker in group if (fit := members_that_fit(worker, demand))]
    if sum(share.members for share in fits) < demand.shape.members:
        return ()
    if len(fits) > 1:
        fits.sort(key=lambda share: _fill_order(share.worker, demand))
    return _fill(fits, demand)


def _fill(fits: list[Share], demand: Demand) -> tuple[Share, ...]:
    shares: list[Share] = []
    room_by_rack: dict[RackKey, int] = {}
    per_member = demand.shape.accelerators
    missing = demand.shape.members
    for worker, fit in fits:
        room = room_by_rack.get(worker.rack.key)
        if room is None:
            room = rack_room(worker, demand)
        count = min(fit, missing, room // per_member if per_member else fit)
        room_by_rack[worker.rack.key] = room - count * per_member
        if count:
            shares.append(Share(worker, count))
            missing -= count
        if not missing:
            return tuple(shares)
    return ()


def _candidate(shares: tuple[Share, ...], demand: Demand) -> _Candidate:
    first = shares[0].worker
    return _Candidate(
        misplaced=sum(_misplaced(worker, demand, count) for worker, count in shares),
        worker_left=sum(_left(worker, demand, count) for worker, count in shares),
        rack_left=first.rack.free,
        first_worker=first.worker_id,
        shares=shares,
    )


def _fill_order(worker: FreeWorker, demand: Demand) -> tuple[int, int, int, str]:
    misplaced = _misplaced(worker, demand, 1)
    return misplaced, worker.free.bit_count(), worker.resources.slots, worker.worker_id


def _left(worker: FreeWorker, demand: Demand, count: int) -> int:
    return worker.free.bit_count() - count * demand.shape.accelerators


def _preferred_mask(worker: FreeWorker, demand: Demand) -> int:
    """Return own homes for guaranteed use, and accelerators without a home for other use."""
    if demand.entitled:
        return worker.home_masks.get(demand.account, 0)
    return worker.homeless


def _misplaced(worker: FreeWorker, demand: Demand, count: int) -> int:
    preferred = usable_mask(worker, demand) & _preferred_mask(worker, demand)
    return max(0, count * demand.shape.accelerators - preferred.bit_count())


def _take(shares: tuple[Share, ...], demand: Demand) -> tuple[MemberPlacement, ...]:
    placement = []
    for worker, count in shares:
        for _ in range(count):
            indices = pick_member(worker, demand)
            mask = mask_of(indices)
            worker.take(mask, demand.member_resources, demand.account, demand.interruptible)
            incarnation = worker.state.incarnation
            address = worker.info.address
            placement.append(MemberPlacement(worker.worker_id, incarnation, indices, address))
    return tuple(placement)


def pick_member(worker: FreeWorker, demand: Demand) -> tuple[int, ...]:
    """Return accelerators for one member: preferred homes first, then adjacent ones."""
    count = demand.shape.accelerators
    usable = usable_mask(worker, demand)
    preferred = usable & _preferred_mask(worker, demand)
    if preferred.bit_count() >= count:
        return pick_adjacent(preferred, count)
    rest = pick_adjacent(usable & ~preferred, count - preferred.bit_count())
    return tuple(sorted(indices_of(preferred) + rest))


def pick_adjacent(mask: int, count: int) -> tuple[int, ...]:
    """Return `count` indices of `mask`: of the shortest run that is long enough, if any."""
    if count == 0:
        return ()
    long_enough = [run for run in _runs(mask) if len(run) >= count]
    if long_enough:
        return min(long_enough, key=len)[:count]
    return indices_of(mask)[:count]


def _runs(mask: int) -> list[tuple[int, ...]]:
    runs: list[list[int]] = []
    for index in indices_of(mask):
        if runs and runs[-1][-1] == index - 1:
            runs[-1].append(index)
        else:
            runs.append([index])
    return [tuple(run) for run in runs]
