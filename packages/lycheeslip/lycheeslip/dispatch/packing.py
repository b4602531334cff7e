"""Fits whole units into rooms, best rooms first: pure functions."""

from collections.abc import Iterable, Sequence

from lycheeslip.dispatch.rooms import Room, Unit

__all__ = [
    "choose_rooms",
    "could_hold",
    "free_accelerators",
    "groups_for",
    "is_remote",
    "pack",
]


def choose_rooms(unit: Unit, rooms: Sequence[Room]) -> list[Room] | None:
    """Return a room for each member of `unit`, or None if they don't all fit now."""
    for group in groups_for(unit, rooms):
        chosen = pack(unit, group)
        if chosen is not None:
            return chosen
    return None


def groups_for(unit: Unit, rooms: Sequence[Room]) -> Iterable[list[Room]]:
    """Yield sets of rooms to try, best first.

    Members that work together stay on one rack if any rack is large enough for them.
    """
    ranked = sorted(rooms, key=lambda room: _rank(unit, room))
    if not unit.same_rack:
        yield ranked
        return
    racks: dict[str, list[Room]] = {}
    for room in ranked:
        racks.setdefault(room.rack, []).append(room)
    yield from sorted(racks.values(), key=free_accelerators)
    if not any(could_hold(unit, group) for group in racks.values()):
        yield ranked


def free_accelerators(group: Sequence[Room]) -> int:
    """Return the free accelerators of all rooms together."""
    return sum(room.free_accelerators for room in group)


def could_hold(unit: Unit, group: Sequence[Room]) -> bool:
    """Return whether the rooms of `group` would hold the whole unit if they were empty."""
    emptied = [room.copy() for room in group]
    for room in emptied:
        room.free_cpu, room.free_memory, room.free_accelerators = room.total
    return pack(unit, emptied) is not None


def is_remote(unit: Unit, chosen: Sequence[Room]) -> bool:
    """Return whether `unit` would run slowly in these rooms: off its data, or on several racks."""
    racks = {room.rack for room in chosen}
    is_off_data = bool(unit.data_rack) and racks != {unit.data_rack}
    return is_off_data or (unit.same_rack and len(racks) > 1)


def _rank(unit: Unit, room: Room) -> tuple[int, int, bool, bool, int, str]:
    """Prefer the data's rack and sound workers, keep the reserve, then take the tightest fit.

    Runs that are costly to stop are kept apart from the others, so that whole workers can be
    freed at little loss.
    """
    is_far = bool(unit.data_rack) and room.rack != unit.data_rack
    is_misplaced = room.is_reserved == unit.is_costly_to_stop
    is_mixed = room.holds_costly != unit.is_costly_to_stop
    return (is_far, room.failures, is_misplaced, is_mixed, room.free_accelerators, room.node)


def pack(unit: Unit, ranked: Sequence[Room]) -> list[Room] | None:
    """Return the first room of `ranked` that fits for each member, or None if one fits nowhere."""
    trial = [(room, room.copy()) for room in ranked]
    chosen: list[Room] = []
    for _ in unit.indexes:
        for room, attempt in trial:
            if not attempt.admits(unit):
                continue
            attempt.add(unit)
            chosen.append(room)
            break
        else:
            return None
    return chosen
