"""Packs whole units onto workers, in order of preference: pure functions."""

from collections.abc import Callable, Iterable, Sequence

from lycheeslip.dispatch.placement_model import Unit, WorkerCapacity

__all__ = [
    "candidate_groups",
    "choose_workers",
    "fits_one_rack_when_drained",
    "fits_when_drained",
    "free_accelerators",
    "is_remote",
    "pack",
]


def choose_workers(unit: Unit, workers: Sequence[WorkerCapacity]) -> list[WorkerCapacity] | None:
    """Return a worker for each task of `unit`, or None if they don't all fit now.

    Workers without room for a task are left out before any is ranked, since on a full fleet that
    is most of them for each unit that waits.
    """
    with_room = [worker for worker in workers if worker.fits(unit.demand)]
    if pack(unit, with_room) is None:
        return None
    for group in candidate_groups(unit, workers if unit.same_rack else with_room):
        chosen = pack(unit, group)
        if chosen is not None:
            return chosen
    return None


def candidate_groups(
    unit: Unit, workers: Sequence[WorkerCapacity]
) -> Iterable[list[WorkerCapacity]]:
    """Yield groups of workers to try, in order of preference.

    A `same_rack` gang stays on one rack if any rack is large enough for it. The racks with the
    fewest free accelerators come first.
    """
    ranked = sorted(workers, key=lambda worker: _rank(unit, worker))
    if not unit.same_rack:
        yield ranked
        return
    racks: dict[str, list[WorkerCapacity]] = {}
    for worker in ranked:
        racks.setdefault(worker.rack, []).append(worker)
    yield from sorted(racks.values(), key=free_accelerators)
    if not fits_one_rack_when_drained(unit, ranked):
        yield ranked


def free_accelerators(group: Sequence[WorkerCapacity]) -> int:
    """Return the sum of the free accelerators of the group."""
    return sum(worker.free_accelerators for worker in group)


def fits_when_drained(unit: Unit, group: Sequence[WorkerCapacity]) -> bool:
    """Return whether the whole unit would fit onto the workers of `group` beside lasting runs."""
    return pack(unit, group, WorkerCapacity.task_slots_when_drained) is not None


def fits_one_rack_when_drained(unit: Unit, workers: Sequence[WorkerCapacity]) -> bool:
    """Return whether the whole unit would fit onto the workers of one rack beside lasting runs."""
    racks: dict[str, list[WorkerCapacity]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return any(fits_when_drained(unit, group) for group in racks.values())


def is_remote(unit: Unit, chosen: Sequence[WorkerCapacity]) -> bool:
    """Return whether `unit` would be slow: off its data's rack, or split despite `same_rack`."""
    racks = {worker.rack for worker in chosen}
    is_off_data = bool(unit.data_rack) and racks != {unit.data_rack}
    return is_off_data or (unit.same_rack and len(racks) > 1)


def _rank(
    unit: Unit, worker: WorkerCapacity
) -> tuple[int, int, bool, int, bool, bool, bool, int, int, str]:
    """Return a sort key: data rack, healthy and fast workers, reserve, then the best fit.

    While workers are replaced in turn, units that save their progress fill those that may leave
    next and keep the others free for units that would have to start again.

    Runs that are costly to stop are packed apart from the others, so that whole workers can be
    preempted at little loss. A gang that is lost with any of its workers takes few of them, which
    answers a load of such gangs while workers leave at short notice.
    """
    is_lost_with_any_worker = unit.is_gang and unit.is_costly_to_stop
    fewest_workers = -worker.task_slots(unit) if is_lost_with_any_worker else 0
    is_off_rack = bool(unit.data_rack) and worker.rack != unit.data_rack
    is_in_wrong_pool = worker.is_reserved == unit.is_costly_to_stop
    mixes_stop_costs = worker.has_costly_run != unit.is_costly_to_stop
    return (
        is_off_rack,
        worker.failures,
        worker.is_slow,
        worker.slowness if unit.prefers_fast else 0,
        worker.is_exposed != unit.saves_progress,
        is_in_wrong_pool,
        mixes_stop_costs,
        fewest_workers,
        worker.free_accelerators,
        worker.node,
    )


def pack(
    unit: Unit,
    ranked: Sequence[WorkerCapacity],
    task_slots: Callable[[WorkerCapacity, Unit], int] = WorkerCapacity.task_slots,
) -> list[WorkerCapacity] | None:
    """Return the first fitting worker of `ranked` for each task, or None if they don't all fit.

    `task_slots` returns how many tasks of a unit a worker can take.
    """
    missing = len(unit.indexes)
    chosen: list[WorkerCapacity] = []
    for worker in ranked:
        slots = min(missing, task_slots(worker, unit))
        chosen += [worker] * slots
        missing -= slots
        if not missing:
            return chosen
    return None
