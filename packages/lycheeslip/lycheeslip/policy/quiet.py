"""Quiet hours: the calendar of each zone and the limits that it sets for a rack."""

from collections.abc import Iterator
from typing import NamedTuple

from lycheeslip.config.model import QuietHours, Zone

__all__ = ["QuietRule", "active_rule", "strictest_rule"]

MINUTE_MS = 60_000
MINUTES_PER_DAY = 1_440
DAYS_PER_WEEK = 7
EPOCH_WEEKDAY = 3
"""1970-01-01 was a Thursday; Monday is 0."""


class QuietRule(NamedTuple):
    """Limits of quiet hours for each rack of a zone."""

    max_busy: int
    throttle: bool
    urgent_exempt: bool

    def combined(self, other: "QuietRule") -> "QuietRule":
        """Return the strictest combination of both rules."""
        return QuietRule(
            min(self.max_busy, other.max_busy),
            self.throttle or other.throttle,
            self.urgent_exempt and other.urgent_exempt,
        )


def active_rule(zone: Zone | None, now_ms: int) -> QuietRule | None:
    """Return the rule for the zone's racks at `now_ms`, None outside quiet hours."""
    return strictest_rule(zone, now_ms, now_ms)


def strictest_rule(zone: Zone | None, from_ms: int, to_ms: int) -> QuietRule | None:
    """Return the combined rule of all quiet hours from `from_ms` to `to_ms`, None without any."""
    strictest: QuietRule | None = None
    for hours in zone.quiet_hours if zone is not None else ():
        if zone is None or not _overlaps(hours, zone.utc_offset_minutes, from_ms, to_ms):
            continue
        rule = QuietRule(hours.max_busy_per_rack, hours.throttle, hours.urgent_exempt)
        strictest = rule if strictest is None else strictest.combined(rule)
    return strictest


def _overlaps(hours: QuietHours, offset_minutes: int, from_ms: int, to_ms: int) -> bool:
    for day in _candidate_days(
        from_ms + offset_minutes * MINUTE_MS, to_ms + offset_minutes * MINUTE_MS
    ):
        if (day + EPOCH_WEEKDAY) % DAYS_PER_WEEK not in hours.weekdays:
            continue
        starts_minute = day * MINUTES_PER_DAY + hours.from_minute
        length = (hours.to_minute - hours.from_minute) % MINUTES_PER_DAY or MINUTES_PER_DAY
        starts_ms = (starts_minute - offset_minutes) * MINUTE_MS
        if starts_ms <= to_ms and from_ms < starts_ms + length * MINUTE_MS:
            return True
    return False


def _candidate_days(from_local_ms: int, to_local_ms: int) -> Iterator[int]:
    """Return the days since the epoch on which an overlapping window may begin.

    Windows repeat weekly, so that later days need no check.
    """
    day_ms = MINUTES_PER_DAY * MINUTE_MS
    first = from_local_ms // day_ms - 1
    last = min(to_local_ms // day_ms, first + DAYS_PER_WEEK + 1)
    yield from range(first, last + 1)
