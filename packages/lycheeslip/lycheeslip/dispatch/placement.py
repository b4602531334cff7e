"""Decides which waiting units start where, and which runs give way: pure functions.

A unit is a whole gang or a single task. Units are placed in order of priority and age; room is
held back for an urgent unit whose room is still being freed, and for a gang that is blocked.
"""

from collections import Counter
from collections.abc import Sequence

from lycheeslip.dispatch.approval import advice_request, approved, with_ticket
from lycheeslip.dispatch.packing import (
    choose_rooms,
    could_hold,
    free_accelerators,
    groups_for,
    is_remote,
    pack,
)
from lycheeslip.dispatch.reclaim import reclaim
from lycheeslip.dispatch.rooms import URGENT_PRIORITY, Plan, Room, Unit, VictimKey

__all__ = ["plan_round"]


def plan_round(
    units: Sequence[Unit],
    rooms: Sequence[Room],
    reserve: int = 0,
    is_view_whole: bool = True,
) -> Plan:
    """Return what to start and stop; `rooms` are changed to what is then free.

    `reserve` accelerators of each service are kept for urgent units and for what can be stopped
    at little loss, as long as other units can wait. While workers are still linking up
    (not `is_view_whole`) only urgent units start; as long as one has patience, nothing is stopped
    for it, and it waits for a place near its data or on one rack.
    """
    plan = Plan()
    _mark_reserved(rooms, reserve)
    stopped: set[VictimKey] = set()
    for unit in sorted(units, key=_order):
        if not is_view_whole and unit.priority != URGENT_PRIORITY:
            break
        usable = _usable(unit, rooms)
        may_wait_for_view = not is_view_whole and unit.patience_ms > 0
        chosen = choose_rooms(unit, with_ticket(unit, usable))
        if chosen is None or (may_wait_for_view and is_remote(unit, chosen)):
            _make_room(unit, usable, plan, stopped, may_wait_for_view)
            continue
        for room in chosen:
            room.add(unit)
        plan.starts.append((unit, chosen))
    return plan


def _make_room(
    unit: Unit, usable: list[Room], plan: Plan, stopped: set[VictimKey], may_wait_for_view: bool
) -> None:
    """Do what lets a blocked unit start later: ask for advice, stop others, or hold room back."""
    plan.blocked.append(unit)
    plan.advice_requests += advice_request(unit, usable)
    worthwhile = approved(unit, usable)
    may_reclaim = unit.priority == URGENT_PRIORITY and not may_wait_for_view
    is_making_room = may_reclaim and reclaim(unit, worthwhile, plan, stopped)
    if unit.is_gang and not is_making_room:
        _hold_back(unit, worthwhile)


def _order(unit: Unit) -> tuple[int, int, int, str]:
    return (unit.priority, not unit.is_guaranteed, unit.waiting_since_ms, unit.job_id)


def _usable(unit: Unit, rooms: Sequence[Room]) -> list[Room]:
    """Return the rooms that `unit` may use, without workers that failed it if others are left."""
    allowed = [room for room in rooms if _may_use(unit, room)]
    untried = [room for room in allowed if room.lifetime.worker_id not in unit.avoided_workers]
    return untried or allowed


def _may_use(unit: Unit, room: Room) -> bool:
    if room.is_reserved and unit.is_costly_to_stop and unit.may_wait:
        return False
    if unit.advice is not None and room.lifetime in unit.advice.denied:
        return False
    return room.service == unit.service and (not unit.label or unit.label in room.labels)


def _mark_reserved(rooms: Sequence[Room], reserve: int) -> None:
    """Reserve the racks that are held least by runs that are costly to stop."""
    racks: dict[tuple[str, str], list[Room]] = {}
    for room in rooms:
        racks.setdefault((room.service, room.rack), []).append(room)
    reserved: Counter[str] = Counter()
    for (service, _), group in sorted(racks.items(), key=lambda item: _costly(item[1])):
        if reserved[service] >= reserve:
            continue
        for room in group:
            room.is_reserved = True
            reserved[service] += room.total.accelerators


def _costly(group: Sequence[Room]) -> tuple[float, str]:
    """Return the share of a rack's accelerators that are held by runs costly to stop."""
    total = sum(room.total.accelerators for room in group)
    held = sum(
        occupant.demand.accelerators
        for room in group
        for occupant in room.occupants
        if occupant.is_costly_to_stop
    )
    return (held / max(1, total), group[0].rack)


def _hold_back(unit: Unit, usable: Sequence[Room]) -> None:
    """Hold the emptiest rooms back for a blocked gang, so that smaller units don't starve it."""
    for group in sorted(groups_for(unit, usable), key=free_accelerators, reverse=True):
        if not could_hold(unit, group):
            continue
        emptied = [room.copy() for room in group]
        for room in emptied:
            room.free_cpu, room.free_memory, room.free_accelerators = room.total
        chosen = pack(unit, emptied) or []
        by_node = {room.node: room for room in group}
        for room in chosen:
            by_node[room.node].take(unit.demand)
        return
