"""Decides which waiting units start where, and which runs are preempted: pure functions.

A unit is a whole gang or a single task. Units are placed in order of priority and latest
start. Capacity is claimed for an urgent unit while runs are being stopped for it, and reserved for
a blocked gang.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from lycheeslip_common.workload.jobs import Demand

from lycheeslip.dispatch.approval import advice_request, approved, with_ticket
from lycheeslip.dispatch.packing import (
    candidate_groups,
    choose_workers,
    fits_one_rack_when_drained,
    fits_when_drained,
    free_accelerators,
    is_remote,
    pack,
)
from lycheeslip.dispatch.placement_model import (
    MAX_STARTING,
    URGENT_PRIORITY,
    Plan,
    StepKey,
    Unit,
    WorkerCapacity,
)
from lycheeslip.dispatch.reclaim import reclaim
from lycheeslip.dispatch.slices import run_at_once

__all__ = ["plan_round", "plan_units"]


class UnitKind(NamedTuple):
    """Units of one kind fit onto the same workers; `step_key` is None if the step is irrelevant."""

    step_key: StepKey | None
    service: str
    label: str
    demand: Demand
    avoided_workers: frozenset[str]
    is_isolated: bool
    starts_apart: bool
    avoids_reserve: bool
    is_last_attempt: bool
    may_use_reserved: bool


def plan_round(
    units: Sequence[Unit],
    workers: Sequence[WorkerCapacity],
    reserve: int = 0,
    is_view_complete: bool = True,
) -> Plan:
    """Return the starts and preemptions of a round; allocates the starts in `workers`.

    `reserve` accelerators of each service are kept for urgent units and for units that are cheap
    to stop, as long as the others may wait. While workers are still connecting to a new leader
    (not `is_view_complete`) only urgent units start. While such a unit has a wait budget left, no
    run is stopped for it, and it waits for a worker on its data rack or for a single rack.
    """
    plan = Plan()
    run_at_once(plan_units(plan, units, workers, reserve, is_view_complete))
    return plan


def plan_units(
    plan: Plan,
    units: Sequence[Unit],
    workers: Sequence[WorkerCapacity],
    reserve: int,
    is_view_complete: bool,
) -> Iterator[None]:
    """Add the decisions of `plan_round` to `plan`; yields where it may pause."""
    _mark_reserve(workers, reserve)
    blocked_kinds: set[UnitKind] = set()
    for unit in sorted(units, key=_priority_key):
        if not is_view_complete and unit.priority != URGENT_PRIORITY:
            break
        yield
        kind = _kind(unit)
        if kind in blocked_kinds:  # capacity only shrinks within a round
            plan.blocked.append(unit)
            continue
        usable_workers = _usable_workers(unit, workers)
        may_wait_for_view = not is_view_complete and unit.wait_budget_ms > 0
        chosen = _choose_workers(unit, with_ticket(unit, usable_workers))
        if chosen is None or (may_wait_for_view and is_remote(unit, chosen)):
            _free_capacity(unit, usable_workers, plan, may_wait_for_view)
            if unit.priority != URGENT_PRIORITY:
                blocked_kinds.add(kind)
            continue
        for worker in chosen:
            worker.allocate_task(unit)
        plan.starts.append((unit, chosen))


def _kind(unit: Unit) -> UnitKind:
    """Return what decides whether a blocked unit that isn't urgent fits, and what follows if not.

    Single tasks that nothing is reserved for are alike whatever step they are of.
    """
    is_of_its_step = unit.is_gang or unit.is_isolated or unit.advice or unit.max_per_worker
    return UnitKind(
        unit.step_key if is_of_its_step else None,
        unit.service,
        unit.label,
        unit.demand,
        unit.avoided_workers,
        unit.is_isolated,
        unit.starts_apart,
        unit.is_costly_to_stop and unit.may_wait,
        unit.is_last_attempt,
        unit.may_use_reserved,
    )


def _choose_workers(unit: Unit, workers: list[WorkerCapacity]) -> list[WorkerCapacity] | None:
    """Return a worker for each task of `unit`, on reserved capacity only if there is no other."""
    chosen = choose_workers(unit, workers)
    if chosen is not None or not unit.may_use_reserved:
        return chosen
    chosen = choose_workers(unit, [worker.without_reservations() for worker in workers])
    if chosen is None:
        return None
    by_node = {worker.node: worker for worker in workers}
    return [by_node[worker.node] for worker in chosen]


def _free_capacity(
    unit: Unit,
    usable_workers: list[WorkerCapacity],
    plan: Plan,
    may_wait_for_view: bool,
) -> None:
    """Request advice, preempt runs or reserve capacity, so that a blocked unit can start later."""
    plan.blocked.append(unit)
    plan.advice_requests += advice_request(unit, usable_workers)
    eligible = approved(unit, usable_workers)
    may_reclaim = unit.priority == URGENT_PRIORITY and not may_wait_for_view
    is_freeing_capacity = may_reclaim and reclaim(unit, eligible, plan)
    if is_freeing_capacity:
        return
    if unit.is_isolated and not plan.has_isolation_reserve:
        plan.has_isolation_reserve = _reserve(unit, eligible)
    elif unit.is_gang and not unit.is_isolated:
        _reserve(unit, eligible)


def _priority_key(unit: Unit) -> tuple[int, bool, float, int, str]:
    return (
        unit.priority,
        not unit.is_guaranteed,
        unit.latest_start_ms,
        unit.waiting_since_ms,
        unit.job_id,
    )


def _usable_workers(unit: Unit, workers: Sequence[WorkerCapacity]) -> list[WorkerCapacity]:
    """Return the workers that `unit` may use, without those that failed it if others remain."""
    allowed = [worker for worker in workers if _may_use(unit, worker)]
    if unit.avoided_workers:
        untried = [
            worker for worker in allowed if worker.lifetime.worker_id not in unit.avoided_workers
        ]
        allowed = _preferably(unit, allowed, untried)
    return _without_slow(unit, _without_suspects(unit, allowed))


def _without_slow(unit: Unit, workers: list[WorkerCapacity]) -> list[WorkerCapacity]:
    """Return the workers on which an urgent unit can still meet its latency objective.

    Answers a load of urgent work while some workers take several times as long: the first capacity
    that is free is often that of a slow worker, also of the one that the unit was moved off. A unit
    that is late already takes any worker.
    """
    if unit.priority != URGENT_PRIORITY or unit.is_late:
        return workers
    return _preferably(unit, workers, [worker for worker in workers if not worker.is_slow])


def _without_suspects(unit: Unit, workers: list[WorkerCapacity]) -> list[WorkerCapacity]:
    """Return the workers that are fit for a unit whose failure costs more than its own run.

    Answers a load of gangs while some workers fail all that they start: one member's failure ends
    all others, and a job of two attempts fails with the second. Single tasks with attempts left
    find out whether a suspect works again. A unit that wouldn't fit without suspects uses them.
    """
    if not (unit.is_gang or unit.is_last_attempt):
        return workers
    return _preferably(unit, workers, [worker for worker in workers if not worker.is_suspect])


def _preferably(
    unit: Unit, workers: list[WorkerCapacity], preferred: list[WorkerCapacity]
) -> list[WorkerCapacity]:
    """Return those `preferred` of `workers` if `unit` would fit onto them, else all."""
    if len(preferred) == len(workers) or not fits_when_drained(unit, preferred):
        return workers
    # a gang of one rack isn't split for the sake of a better worker
    if unit.same_rack and not fits_one_rack_when_drained(unit, preferred):
        return workers if fits_one_rack_when_drained(unit, workers) else preferred
    return preferred


def _may_use(unit: Unit, worker: WorkerCapacity) -> bool:
    if worker.is_reserved and unit.is_costly_to_stop and unit.may_wait:
        return False
    # the next round places more, so that what is more urgent need not wait for all of a burst
    is_deferrable = unit.priority != URGENT_PRIORITY and not unit.is_gang
    if is_deferrable and worker.starting >= MAX_STARTING:
        return False
    if unit.advice is not None and worker.lifetime in unit.advice.denied:
        return False
    return worker.service == unit.service and (not unit.label or unit.label in worker.labels)


def _mark_reserve(workers: Sequence[WorkerCapacity], reserve: int) -> None:
    """Add whole racks to the reserve until it has `reserve` accelerators of each service.

    The racks with the smallest share of runs that are costly to stop come first.
    """
    racks: dict[tuple[str, str], list[WorkerCapacity]] = {}
    for worker in workers:
        racks.setdefault((worker.service, worker.rack), []).append(worker)
    reserved: Counter[str] = Counter()
    for (service, _), group in sorted(racks.items(), key=lambda item: _costly_share(item[1])):
        if reserved[service] >= reserve:
            continue
        for worker in group:
            worker.is_reserved = True
            reserved[service] += worker.total.accelerators


def _costly_share(group: Sequence[WorkerCapacity]) -> tuple[float, str]:
    """Return the share of accelerators held by runs that are costly to stop, and the rack."""
    total = sum(worker.total.accelerators for worker in group)
    held = sum(
        placed_run.demand.accelerators
        for worker in group
        for placed_run in worker.placed_runs
        if placed_run.is_costly_to_stop
    )
    return (held / max(1, total), group[0].rack)


def _reserve(unit: Unit, usable_workers: Sequence[WorkerCapacity]) -> bool:
    """Reserve the emptiest group for a blocked unit, so that smaller units don't starve it.

    Nothing is reserved where lasting runs keep the unit out: it would wait for ever, and all units
    after it. Returns whether there is a group that is large enough.
    """
    for group in sorted(
        candidate_groups(unit, usable_workers), key=free_accelerators, reverse=True
    ):
        if unit.is_isolated:
            group = sorted(group, key=lambda worker: -worker.free_accelerators)
        chosen = pack(unit, group, WorkerCapacity.task_slots_when_drained)
        if chosen is None:
            continue
        for worker in chosen:
            worker.reserve(unit)
        return True
    return False
