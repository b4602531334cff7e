"""Checks of the quiet hours of each zone."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lycheeslip.config.loader import LocatedConfig
from lycheeslip.config.model import QuietHours, Zone
from lycheeslip.config_checks.finding import Check, Note, Severity

__all__ = ["QUIET_HOURS_CHECKS"]

MINUTES_PER_DAY = 1_440
MINUTES_PER_WEEK = 7 * MINUTES_PER_DAY


class _Window(NamedTuple):
    """Quiet hours with their key, and the minutes of the week in which they hold."""

    path: tuple[str, ...]
    quiet: QuietHours
    minutes: int
    """A bit mask; bit 0 is the first minute of Monday."""


def _windows(zone: Zone) -> list[_Window]:
    return [
        _Window(("zones", zone.zone_id, "quiet_hours", str(index)), quiet, _minutes_of_week(quiet))
        for index, quiet in enumerate(zone.quiet_hours)
    ]


def _minutes_of_week(quiet: QuietHours) -> int:
    length = (quiet.to_minute - quiet.from_minute) % MINUTES_PER_DAY or MINUTES_PER_DAY
    minutes = 0
    for day in quiet.weekdays:
        minutes |= ((1 << length) - 1) << (day * MINUTES_PER_DAY + quiet.from_minute)
    # Hours that begin on Sunday continue on the following Monday.
    return (minutes | minutes >> MINUTES_PER_WEEK) & ((1 << MINUTES_PER_WEEK) - 1)


def _union(windows: Iterable[_Window]) -> int:
    minutes = 0
    for window in windows:
        minutes |= window.minutes
    return minutes


def _is_at_least_as_strict(quiet: QuietHours, other: QuietHours) -> bool:
    return (
        quiet.max_busy_per_rack <= other.max_busy_per_rack
        and quiet.throttle >= other.throttle
        and quiet.urgent_exempt <= other.urgent_exempt
    )


def _empty_window(located: LocatedConfig) -> Iterator[Note]:
    """Report 24:00 to 00:00, the same time of day; the loader rejects only equal times."""
    for zone in located.config.zones_by_id.values():
        for window in _windows(zone):
            if window.quiet.from_minute == MINUTES_PER_DAY and window.quiet.to_minute == 0:
                message = (
                    'from "24:00" to "00:00" holds for the whole following day; '
                    'write from "00:00" to "24:00" with that day, or remove the entry'
                )
                yield Note((*window.path, "from"), message)


def _starts_next_day(located: LocatedConfig) -> Iterator[Note]:
    for zone in located.config.zones_by_id.values():
        for window in _windows(zone):
            if window.quiet.from_minute == MINUTES_PER_DAY and window.quiet.to_minute:
                message = (
                    '"24:00" is the end of the named days, so that the hours hold on the days '
                    'after them; write "00:00" and name those days'
                )
                yield Note((*window.path, "from"), message)


def _covered(located: LocatedConfig) -> Iterator[Note]:
    """Report windows that change nothing, since the strictest one that holds counts."""
    for zone in located.config.zones_by_id.values():
        remaining = _windows(zone)
        for window in reversed(_windows(zone)):
            covering = [
                other
                for other in remaining
                if other.path != window.path
                and other.minutes & window.minutes
                and _is_at_least_as_strict(other.quiet, window.quiet)
            ]
            if window.minutes & ~_union(covering):
                continue
            # A removed window covers no other, so that one of two equal ones is kept.
            remaining = [other for other in remaining if other.path != window.path]
            names = ", ".join(f"quiet_hours.{other.path[-1]}" for other in covering)
            message = f"is covered by {names}, which limit at least as much; remove it"
            yield Note(window.path, message)


def _exemption_overridden(located: LocatedConfig) -> Iterator[Note]:
    """Report exemptions without effect, since all quiet hours that hold must exempt."""
    for zone in located.config.zones_by_id.values():
        windows = _windows(zone)
        binding = _union(window for window in windows if not window.quiet.urgent_exempt)
        for window in windows:
            if window.quiet.urgent_exempt and not window.minutes & ~binding:
                message = (
                    "has no effect, since other quiet hours without it hold all of the time; "
                    "set it there too or remove it"
                )
                yield Note((*window.path, "urgent_exempt"), message)


def _limit_not_reached(located: LocatedConfig) -> Iterator[Note]:
    for zone in located.config.zones_by_id.values():
        largest_rack = _accelerators_of_largest_rack(zone)
        for window in _windows(zone):
            limit = window.quiet.max_busy_per_rack
            if largest_rack and limit >= largest_rack and not window.quiet.throttle:
                message = (
                    f"{limit} limits nothing, since a rack of the zone has at most "
                    f"{largest_rack} accelerators; lower it or remove the entry"
                )
                yield Note((*window.path, "max_busy_per_rack"), message)


def _accelerators_of_largest_rack(zone: Zone) -> int:
    """Return the accelerators of a full rack, 0 if the zone declares no hardware."""
    per_rack = zone.accelerators_per_worker * zone.workers_per_rack
    return min(zone.accelerators, per_rack) if per_rack else zone.accelerators


def _zone_always_quiet(located: LocatedConfig) -> Iterator[Note]:
    for zone in located.config.zones_by_id.values():
        closed = _union(
            window
            for window in _windows(zone)
            if window.quiet.max_busy_per_rack == 0 and not window.quiet.urgent_exempt
        )
        if zone.in_service and closed == (1 << MINUTES_PER_WEEK) - 1:
            message = (
                "let no task start at any time of the week, though the zone is in service; "
                "shorten them, or set in_service to false"
            )
            yield Note(("zones", zone.zone_id, "quiet_hours"), message)


QUIET_HOURS_CHECKS = (
    Check("quiet_hours_empty", Severity.ERROR, _empty_window),
    Check("quiet_hours_next_day", Severity.WARNING, _starts_next_day),
    Check("quiet_hours_covered", Severity.WARNING, _covered),
    Check("urgent_exempt_overridden", Severity.WARNING, _exemption_overridden),
    Check("quiet_hours_limit_nothing", Severity.WARNING, _limit_not_reached),
    Check("zone_always_quiet", Severity.ERROR, _zone_always_quiet),
)
