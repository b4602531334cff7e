"""Chooses the runs to preempt for an urgent unit at the least cost: pure functions."""

from collections.abc import Sequence
from typing import NamedTuple

from lycheeslip_common.workload.jobs import Demand

from lycheeslip.dispatch.packing import candidate_groups, pack
from lycheeslip.dispatch.placement_model import (
    NO_DEMAND,
    DeclinedPreemption,
    PlacedRun,
    Plan,
    Preemption,
    Unit,
    VictimKey,
    WorkerCapacity,
    cores_of,
)
from lycheeslip.dispatch.preemption_cost import choice_cost, may_be_preempted

__all__ = ["reclaim"]


class Victim(NamedTuple):
    """A preemptible task or gang, with its runs on the workers considered.

    `cost` is the work that it loses and what its delay counts for, in core-seconds. It counts more
    in the choice of victims each time, so that a burst doesn't stop the same work again and again.
    """

    key: VictimKey
    cost: float
    weighted_cost: float
    runs: tuple[tuple[WorkerCapacity, PlacedRun], ...]


class Eviction(NamedTuple):
    """Victims to stop and the workers then used; both costs are those of all victims.

    Runs that end within `patience_ms` are waited for instead; the wait counts as `wait_cost`.
    """

    cost: float
    weighted_cost: float
    wait_cost: float
    patience_ms: float
    workers: list[WorkerCapacity]
    victims: list[Victim]


def reclaim(unit: Unit, usable_workers: Sequence[WorkerCapacity], plan: Plan) -> bool:
    """Preempt the victims that cost least so that `unit` fits, and claim that capacity for it.

    The victims' capacity stays allocated until workers report their ends. Capacity claimed by an
    earlier round stays claimed even if the remaining victims have become too costly: the work
    stopped for it is lost already, and runs that were to end by themselves may only be late.
    Returns whether capacity is being freed.
    """
    claimed_group = [worker for worker in usable_workers if worker.node in unit.claimed_nodes]
    claimed_eviction = _cheapest_eviction(unit, [claimed_group], plan)
    groups = list(candidate_groups(unit, usable_workers))
    options = [claimed_eviction, _cheapest_eviction(unit, groups, plan)]
    best = min(filter(None, options), key=_total_cost, default=None)
    if best is None:
        return False
    max_cost = unit.work * unit.max_loss_ratio
    is_affordable = unit.is_guaranteed or best.cost <= max_cost
    if not is_affordable:
        plan.declined.append(DeclinedPreemption(unit, best.cost, max_cost))
        if claimed_eviction is None:
            return False
        best = claimed_eviction
    for worker in best.workers:
        worker.claim(unit)
    plan.claims[unit.key] = frozenset(worker.node for worker in best.workers)
    for victim in best.victims:
        plan.preempted.add(victim.key)
        for worker, placed_run in victim.runs:
            if is_affordable and not _ends_in_time(placed_run, best.patience_ms):
                plan.stops.append(Preemption(worker, placed_run, unit))
    return True


def _cheapest_eviction(
    unit: Unit, groups: Sequence[Sequence[WorkerCapacity]], plan: Plan
) -> Eviction | None:
    """Return the eviction that costs least, with and without a wait for runs to end."""
    options = [
        _eviction(unit, group, plan, patience_ms)
        for group in groups
        for patience_ms in {0.0, unit.wait_budget_ms}
    ]
    return min(filter(None, options), key=_total_cost, default=None)


def _total_cost(eviction: Eviction) -> float:
    return eviction.weighted_cost + eviction.wait_cost


def _victims(
    unit: Unit,
    group: Sequence[WorkerCapacity],
    plan: Plan,
    patience_ms: float,
) -> list[Victim]:
    """Return the preemptible victims for `unit`, least cost first.

    A gang is one victim, since the stop of one member ends all; other tasks are one each.
    """
    runs: dict[VictimKey, list[tuple[WorkerCapacity, PlacedRun]]] = {}
    for worker in group:
        for placed_run in worker.placed_runs:
            key = placed_run.victim_key
            if key in plan.preempted or not _is_preemptible_for(unit, placed_run):
                continue
            if not plan.limits_repeats or _may_be_preempted_again(unit, placed_run):
                runs.setdefault(key, []).append((worker, placed_run))
    victims = [_victim(unit, key, members, plan, patience_ms) for key, members in runs.items()]
    return sorted(victims, key=lambda victim: victim.weighted_cost)


def _victim(
    unit: Unit,
    key: VictimKey,
    members: Sequence[tuple[WorkerCapacity, PlacedRun]],
    plan: Plan,
    patience_ms: float,
) -> Victim:
    cost = max(_cost(unit, run, patience_ms) for _, run in members)
    times = max(run.times_preempted for _, run in members)
    cores = sum(cores_of(run.demand) for _, run in members)
    weighted_cost = choice_cost(cost, cores, times, plan.limits_repeats)
    return Victim(key, cost, weighted_cost, tuple(members))


def _may_be_preempted_again(unit: Unit, placed_run: PlacedRun) -> bool:
    if placed_run.is_stopping:  # its capacity becomes free in any case
        return True
    return may_be_preempted(placed_run.times_preempted, unit.is_guaranteed)


def _cost(unit: Unit, placed_run: PlacedRun, patience_ms: float) -> float:
    if _ends_in_time(placed_run, patience_ms):
        return 0.0
    return placed_run.loss + (0.0 if _can_start_later(unit, placed_run) else placed_run.delay_cost)


def _can_start_later(unit: Unit, placed_run: PlacedRun) -> bool:
    """Return whether a run preempted now meets its objective if it starts again after `unit`."""
    return unit.frees_at_ms < placed_run.latest_start_ms


def _ends_in_time(placed_run: PlacedRun, patience_ms: float) -> bool:
    """Return whether a run ends within `patience_ms` without a further stop."""
    return placed_run.is_stopping or placed_run.remaining_ms < patience_ms


def _wait_cost(unit: Unit, victims: Sequence[Victim], patience_ms: float) -> float:
    """Return what the wait for the victims that aren't stopped counts for, in core-seconds.

    A unit that waits for all of its slack puts all of its own work at risk.
    """
    waits_ms = [
        run.remaining_ms
        for victim in victims
        for _, run in victim.runs
        if not run.is_stopping and run.remaining_ms < patience_ms
    ]
    return unit.work * max(waits_ms, default=0.0) / max(1.0, unit.slack_ms)


def _is_preemptible_for(unit: Unit, placed_run: PlacedRun) -> bool:
    """Return whether a run may be preempted for `unit`.

    A guaranteed unit may preempt any run that is not guaranteed, as that borrows capacity. Other
    units may preempt runs of their own priority that can wait until they are done. These must have
    the later latest start, so that two units never preempt each other in turn.
    """
    if placed_run.is_protected:
        return False
    is_peer_that_can_wait = (
        placed_run.priority == unit.priority
        and not placed_run.is_guaranteed
        and unit.latest_start_ms < placed_run.latest_start_ms
        and _can_start_later(unit, placed_run)
    )
    return (
        placed_run.is_stopping
        or placed_run.priority > unit.priority
        or (unit.is_guaranteed and not placed_run.is_guaranteed)
        or is_peer_that_can_wait
    )


def _eviction(
    unit: Unit,
    group: Sequence[WorkerCapacity],
    plan: Plan,
    patience_ms: float,
) -> Eviction | None:
    """Return low-cost victims without which `unit` fits into `group`, None if there are none."""
    trial = EvictionTrial(unit, group)
    chosen: list[Victim] = []
    for victim in _victims(unit, group, plan, patience_ms):
        if trial.fits:
            break
        trial.evict(victim)
        chosen.append(victim)
    if not trial.fits:
        return None
    needed: list[Victim] = []
    for victim in reversed(chosen):  # those that cost most first
        trial.restore(victim)
        if not trial.fits:
            trial.evict(victim)
            needed.append(victim)
    return Eviction(
        sum(victim.cost for victim in needed),
        sum(victim.weighted_cost for victim in needed),
        _wait_cost(unit, needed, patience_ms),
        patience_ms,
        trial.workers(),
        needed,
    )


class EvictionTrial:
    """Tracks, without a copy of any worker, how many tasks of a unit fit as victims are evicted."""

    def __init__(self, unit: Unit, group: Sequence[WorkerCapacity]) -> None:
        """Start with no victim evicted from the workers of `group`."""
        self._unit = unit
        self._group = group
        self._freed_by_node: dict[str, Demand] = {}
        self._slots_by_node = {worker.node: worker.task_slots(unit) for worker in group}
        self._slots = sum(self._slots_by_node.values())

    @property
    def fits(self) -> bool:
        """Whether the whole unit fits without the evicted victims."""
        return self._slots >= len(self._unit.indexes)

    def evict(self, victim: Victim) -> None:
        """Free the capacity of a victim's runs."""
        for worker, placed_run in victim.runs:
            self._free(worker, placed_run.demand, 1)

    def restore(self, victim: Victim) -> None:
        """Take back the capacity of an evicted victim's runs."""
        for worker, placed_run in victim.runs:
            self._free(worker, placed_run.demand, -1)

    def workers(self) -> list[WorkerCapacity]:
        """Return a worker for each task; call it only if the unit `fits`."""
        chosen = pack(self._unit, self._group, self._task_slots)
        assert chosen is not None
        return chosen

    def _free(self, worker: WorkerCapacity, demand: Demand, sign: int) -> None:
        before = self._freed_by_node.get(worker.node, NO_DEMAND)
        freed = Demand(*(a + sign * b for a, b in zip(before, demand, strict=True)))
        self._freed_by_node[worker.node] = freed
        slots = worker.task_slots(self._unit, freed)
        self._slots += slots - self._slots_by_node[worker.node]
        self._slots_by_node[worker.node] = slots

    def _task_slots(self, worker: WorkerCapacity, _: Unit) -> int:
        return self._slots_by_node[worker.node]
