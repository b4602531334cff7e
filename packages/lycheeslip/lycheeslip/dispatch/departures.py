"""Recognizes workers that leave one after the other.

In a rolling replacement each batch of new workers joins shortly before a batch of old ones says
that it leaves. A gang on old workers is hit again and again, one on new workers is not.
"""

from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms, wall_ms

__all__ = ["Departures", "is_exposed", "record_departure"]

PAUSE_MS = 5_000  # without a departure for this long, the workers that are left stay
JOIN_LEAD_MS = 5_000  # a replacement has started and is known before the old worker says it leaves


class Departures(NamedTuple):
    """Departures of a service's workers without a long pause.

    The first notice was given at `first_at_ms`, Unix time, which is comparable with the start of a
    worker; the last one at `last_at_ms` on the steady clock.
    """

    first_at_ms: int
    last_at_ms: int


def record_departure(departures: Departures | None) -> Departures:
    """Return the departures with that of a worker which has just said that it leaves."""
    now_ms = steady_ms()
    if departures is None or now_ms - departures.last_at_ms > PAUSE_MS:
        return Departures(wall_ms(), now_ms)
    return departures._replace(last_at_ms=now_ms)


def is_exposed(departures: Departures | None, born_ms: int) -> bool:
    """Return whether a worker that started at Unix time `born_ms` may be among the next to leave.

    Workers that started with the departures or after them replace those that leave.
    """
    if departures is None or steady_ms() - departures.last_at_ms > PAUSE_MS:
        return False
    return born_ms < departures.first_at_ms - JOIN_LEAD_MS
