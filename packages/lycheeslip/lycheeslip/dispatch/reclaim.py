"""Chooses the runs that give way to an urgent unit at the least loss: pure functions."""

from collections.abc import Sequence
from typing import NamedTuple

from lycheeslip.dispatch.packing import groups_for, pack
from lycheeslip.dispatch.rooms import Occupant, Plan, Preemption, Room, Unit, VictimKey

__all__ = ["reclaim"]


class Victim(NamedTuple):
    """A unit that could give way, with those of its runs that are in the rooms considered."""

    key: VictimKey
    loss: float
    runs: tuple[tuple[Room, Occupant], ...]


class Eviction(NamedTuple):
    """A way to make room: `loss` in core-seconds of the victims' work."""

    loss: float
    rooms: list[Room]
    victims: list[Victim]


def reclaim(unit: Unit, usable: Sequence[Room], plan: Plan, stopped: set[VictimKey]) -> bool:
    """Stop the units whose stop loses least, so that `unit` fits; hold that room back for it.

    What the victims occupy stays occupied until their ends are listed. Room that an earlier round
    has begun to make is held even if the rest has become too dear: what was stopped for it is
    lost already, and runs that were to end by themselves may only be late. Returns whether room
    is being made.
    """
    claimed = _eviction(unit, [room for room in usable if room.node in unit.claimed], stopped)
    options = [claimed, _cheapest_eviction(unit, usable, stopped)]
    best = min(filter(None, options), key=lambda option: option.loss, default=None)
    if best is None:
        return False
    is_affordable = unit.is_guaranteed or best.loss <= unit.work * unit.loss_share
    if not is_affordable:
        if claimed is None:
            return False
        best = claimed
    for room in best.rooms:
        room.take(unit.demand)
    plan.claims[unit.key] = frozenset(room.node for room in best.rooms)
    for victim in best.victims:
        stopped.add(victim.key)
        for room, occupant in victim.runs:
            if is_affordable and not _frees_itself(unit, occupant):
                plan.stops.append(Preemption(room, occupant, unit))
    return True


def _cheapest_eviction(
    unit: Unit, usable: Sequence[Room], stopped: set[VictimKey]
) -> Eviction | None:
    options = [_eviction(unit, group, stopped) for group in groups_for(unit, usable)]
    found = [option for option in options if option is not None]
    return min(found, key=lambda option: option.loss, default=None)


def _victims(unit: Unit, group: Sequence[Room], stopped: set[VictimKey]) -> list[Victim]:
    """Return the units that would give way to `unit`, those that lose least first.

    A gang is one unit, since the stop of one member ends all; other tasks are units each.
    """
    runs: dict[VictimKey, list[tuple[Room, Occupant]]] = {}
    for room in group:
        for occupant in room.occupants:
            key = occupant.unit_key
            if key not in stopped and _gives_way(unit, occupant):
                runs.setdefault(key, []).append((room, occupant))
    victims = [
        Victim(
            key,
            max(0.0 if _frees_itself(unit, run) else run.loss for _, run in members),
            tuple(members),
        )
        for key, members in runs.items()
    ]
    return sorted(victims, key=lambda victim: victim.loss)


def _frees_itself(unit: Unit, occupant: Occupant) -> bool:
    """Return whether a run ends soon enough for `unit` without being stopped for it."""
    return occupant.is_stopping or occupant.remaining_ms < unit.patience_ms


def _gives_way(unit: Unit, occupant: Occupant) -> bool:
    """Return whether a run may be stopped for `unit`: a guarantee outranks what is borrowed."""
    if occupant.is_protected:
        return False
    is_borrowed = unit.is_guaranteed and not occupant.is_guaranteed
    return occupant.is_stopping or occupant.priority > unit.priority or is_borrowed


def _eviction(unit: Unit, group: Sequence[Room], stopped: set[VictimKey]) -> Eviction | None:
    """Return the cheapest way found to fit `unit` into `group`, or None if there is none."""
    chosen: list[Victim] = []
    packed = None
    for victim in _victims(unit, group, stopped):
        chosen.append(victim)
        packed = _packed_without(unit, group, chosen)
        if packed is not None:
            break
    if packed is None:
        return None
    for victim in reversed(list(chosen)):
        fewer = [other for other in chosen if other is not victim]
        repacked = _packed_without(unit, group, fewer)
        if repacked is not None:
            chosen, packed = fewer, repacked
    return Eviction(sum(victim.loss for victim in chosen), packed, chosen)


def _packed_without(
    unit: Unit, group: Sequence[Room], victims: Sequence[Victim]
) -> list[Room] | None:
    """Return the rooms in which `unit` fits once the `victims` have ended."""
    by_node = {room.node: room for room in group}
    trial = {room.node: room.copy() for room in group}
    for victim in victims:
        for room, occupant in victim.runs:
            trial[room.node].give(occupant.demand)
    packed = pack(unit, list(trial.values()))
    return None if packed is None else [by_node[room.node] for room in packed]
