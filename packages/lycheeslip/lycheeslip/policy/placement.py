"""Best-fit placement of whole gangs on free accelerators."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lycheeslip_common.structure.jobs import Adjacency, JobKind, MemberPlacement, Shape

from lycheeslip.policy.capacity import Capacity, FreeWorker, Resources
from lycheeslip.policy.model import WaitingJob

__all__ = ["Demand", "demand_of", "find_placement", "groups", "members_that_fit", "usable_mask"]


class Demand(NamedTuple):
    """What one waiting job asks for, and which accelerators it may use.

    `barred_homes` are the accounts whose homes are kept for their own waiting work, and
    `ends_at_ms` is 0 if the run time isn't known.
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

    @property
    def member_resources(self) -> Resources:
        """Return what one member takes besides accelerators."""
        return Resources(1, self.shape.processors, self.shape.memory_mb)


def demand_of(
    job: WaitingJob,
    now_ms: int,
    entitled: bool = False,
    barred_homes: frozenset[str] = frozenset(),
) -> Demand:
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
        barred_homes=barred_homes,
        ends_at_ms=now_ms + job.expected_run_ms if job.expected_run_ms else 0,
    )


def usable_mask(worker: FreeWorker, demand: Demand) -> int:
    """Return the free accelerators of `worker` that the demand may use."""
    if not demand.interruptible:
        own = worker.home_masks.get(demand.account, 0)
        return worker.free & (worker.homeless | own)
    mask = worker.free
    for account in demand.barred_homes:
        mask &= ~worker.home_masks.get(account, 0)
    return mask


def may_use(worker: FreeWorker, demand: Demand) -> bool:
    """Return whether the demand may use `worker` at all."""
    if worker.worker_id in demand.avoid:
        return False
    if worker.probation and not _fits_probation(worker, demand):
        return False
    if not worker.held_by or worker.held_by == demand.job_id or demand.interruptible:
        return True
    return 0 < demand.ends_at_ms <= worker.held_until_ms


def _fits_probation(worker: FreeWorker, demand: Demand) -> bool:
    alone = worker.resources.slots == worker.info.slots
    return alone and demand.interruptible and demand.shape.members == 1


def members_that_fit(worker: FreeWorker, demand: Demand) -> int:
    """Return how many members of the demand the worker could take now."""
    shape = demand.shape
    if worker.resources.slots <= 0 or worker.free.bit_count() < shape.accelerators:
        return 0
    if not may_use(worker, demand):
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


def groups(capacity: Capacity, shape: Shape) -> Iterable[list[FreeWorker]]:
    """Return the sets of workers of which one has to hold the whole gang."""
    if shape.members == 1 or shape.adjacency is Adjacency.SAME_WORKER:
        return ([worker] for worker in capacity)
    if shape.adjacency is Adjacency.SAME_RACK:
        return capacity.by_rack.values()
    return capacity.by_region.values()


class _Candidate(NamedTuple):
    """A group of workers that can hold the gang; the lowest one is the best fit."""

    misplaced: int
    worker_left: int
    rack_left: int
    group_left: int
    first_worker: str
    fits: tuple[tuple[FreeWorker, int], ...]


def find_placement(capacity: Capacity, demand: Demand) -> tuple[MemberPlacement, ...] | None:
    """Return the best fit for the whole gang and take it from `capacity`, or None."""
    best: _Candidate | None = None
    for group in groups(capacity, demand.shape):
        candidate = _candidate(capacity, group, demand)
        if candidate is not None and (best is None or candidate[:5] < best[:5]):
            best = candidate
    if best is None:
        return None
    return _take(best.fits, demand)


def _candidate(capacity: Capacity, group: list[FreeWorker], demand: Demand) -> _Candidate | None:
    fits = [(worker, fit) for worker in group if (fit := members_that_fit(worker, demand))]
    if sum(fit for _, fit in fits) < demand.shape.members:
        return None
    fits.sort(key=lambda pair: _fill_order(pair[0], demand))
    chosen = tuple(_fill(fits, demand.shape.members))
    first = chosen[0][0]
    rack_left = sum(worker.free.bit_count() for worker in capacity.by_rack[first.rack])
    return _Candidate(
        misplaced=sum(_misplaced(worker, demand, count) for worker, count in chosen),
        worker_left=sum(_left(worker, demand, count) for worker, count in chosen),
        rack_left=rack_left,
        group_left=sum(worker.free.bit_count() for worker in group),
        first_worker=first.worker_id,
        fits=chosen,
    )


def _fill(fits: list[tuple[FreeWorker, int]], members: int) -> Iterator[tuple[FreeWorker, int]]:
    for worker, fit in fits:
        count = min(fit, members)
        if count:
            yield worker, count
        members -= count


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


def _take(fits: Iterable[tuple[FreeWorker, int]], demand: Demand) -> tuple[MemberPlacement, ...]:
    placement = []
    for worker, count in fits:
        for _ in range(count):
            indices = _pick(worker, demand)
            mask = sum(1 << index for index in indices)
            worker.take(mask, demand.member_resources, demand.account, demand.interruptible)
            placement.append(
                MemberPlacement(
                    worker.worker_id, worker.state.incarnation, indices, worker.info.address
                )
            )
    return tuple(placement)


def _pick(worker: FreeWorker, demand: Demand) -> tuple[int, ...]:
    """Return accelerators of one member: preferred homes first, then adjacent ones."""
    count = demand.shape.accelerators
    usable = usable_mask(worker, demand)
    preferred = usable & _preferred_mask(worker, demand)
    if preferred.bit_count() >= count:
        return pick_adjacent(preferred, count)
    rest = pick_adjacent(usable & ~preferred, count - preferred.bit_count())
    return tuple(sorted(_indices(preferred) + rest))


def pick_adjacent(mask: int, count: int) -> tuple[int, ...]:
    """Return `count` indices of `mask`: of the shortest run that is long enough, if any."""
    if count == 0:
        return ()
    long_enough = [run for run in _runs(mask) if len(run) >= count]
    if long_enough:
        return min(long_enough, key=len)[:count]
    return _indices(mask)[:count]


def _indices(mask: int) -> tuple[int, ...]:
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


def _runs(mask: int) -> list[tuple[int, ...]]:
    runs: list[list[int]] = []
    for index in _indices(mask):
        if runs and runs[-1][-1] == index - 1:
            runs[-1].append(index)
        else:
            runs.append([index])
    return [tuple(run) for run in runs]
