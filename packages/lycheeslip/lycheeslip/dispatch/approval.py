"""Which rooms a unit may use by the advice service's decisions, and what to ask next."""

from collections.abc import Sequence

from lycheeslip.dispatch.packing import choose_rooms
from lycheeslip.dispatch.rooms import URGENT_PRIORITY, AdviceRequest, Room, Unit

__all__ = ["advice_request", "approved", "with_ticket"]

MAX_WORKERS_ASKED = 30  # a decision takes longer for each worker; objectives allow for this many


def with_ticket(unit: Unit, rooms: Sequence[Room]) -> list[Room]:
    """Return the rooms in which `unit` may start now."""
    if unit.advice is None:
        return list(rooms)
    return [room for room in rooms if room.lifetime in unit.advice.ticketed]


def approved(unit: Unit, rooms: Sequence[Room]) -> list[Room]:
    """Return the rooms that are worth freeing for `unit`, with or without a valid ticket."""
    if unit.advice is None:
        return list(rooms)
    return [room for room in rooms if room.lifetime in unit.advice.approved]


def advice_request(unit: Unit, rooms: Sequence[Room]) -> list[AdviceRequest]:
    """Return the request that would let a blocked `unit` start, if there is one.

    Approved workers are asked about first, since only their tickets have run out. Where nothing
    fits, only an urgent unit asks: others can be stopped for it.
    """
    if unit.advice is None:
        return []
    chosen = choose_rooms(unit, approved(unit, rooms)) or choose_rooms(unit, rooms)
    if chosen is None and unit.priority != URGENT_PRIORITY:
        return []
    first = {room.lifetime for room in chosen or ()}
    lacking = [room for room in rooms if room.lifetime not in unit.advice.ticketed]
    lacking.sort(key=lambda room: (room.lifetime not in first, not room.fits(unit.demand)))
    asked = tuple(room.lifetime for room in lacking[:MAX_WORKERS_ASKED])
    return [AdviceRequest(unit.step_key, asked)] if asked else []
