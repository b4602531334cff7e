"""Parses and formats durations, amounts of memory, times of day and UTC offsets."""

import re
from typing import Annotated

from lycheeslip_common.config.reference import Display
from lycheeslip_common.config.validation import validation_error
from pydantic import AfterValidator, BeforeValidator, Field

__all__ = [
    "DurationMs",
    "MemoryMb",
    "MinuteOfDay",
    "UtcOffsetMinutes",
    "duration_range",
    "format_duration",
    "format_memory",
    "format_time_of_day",
    "format_utc_offset",
    "parse_duration",
    "parse_memory",
]

MILLISECONDS_BY_UNIT = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
MEGABYTES_BY_UNIT = {"MB": 1, "GB": 1_024, "TB": 1_024 * 1_024}
MINUTES_PER_HOUR = 60
MINUTES_PER_DAY = 24 * MINUTES_PER_HOUR
MIN_UTC_OFFSET_MINUTES = -12 * MINUTES_PER_HOUR
MAX_UTC_OFFSET_MINUTES = 14 * MINUTES_PER_HOUR
MAX_SHOWN_CHARACTERS = 40


def _parse_quantity(value: object, scale_by_unit: dict[str, int], example: str) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        raise validation_error(f"needs a unit, such as {example}; got {value}")
    match = re.fullmatch(r"([0-9]{1,12})\s?([A-Za-z]+)", value) if isinstance(value, str) else None
    if match is None:
        shown = repr(value)[:MAX_SHOWN_CHARACTERS]
        raise validation_error(
            f"must be a whole number with a unit, such as {example}; got {shown}"
        )
    number, unit = match.groups()
    if unit not in scale_by_unit:
        known = ", ".join(scale_by_unit)
        raise validation_error(
            f"unknown unit {unit[:MAX_SHOWN_CHARACTERS]!r}; known units: {known}"
        )
    return int(number) * scale_by_unit[unit]


def parse_duration(value: object) -> int:
    """Return a duration such as 10s in milliseconds; raises ValueError."""
    return _parse_quantity(value, MILLISECONDS_BY_UNIT, "800ms, 10s, 5m, 12h or 1d")


def parse_memory(value: object) -> int:
    """Return an amount of memory such as 16GB in megabytes; raises ValueError."""
    return _parse_quantity(value, MEGABYTES_BY_UNIT, "512MB or 16GB")


def _parse_minute_of_day(value: object) -> int:
    match = re.fullmatch(r"([0-9]{2}):([0-9]{2})", value) if isinstance(value, str) else None
    if match is None:
        shown = repr(value)[:MAX_SHOWN_CHARACTERS]
        raise validation_error(f'must be a local time such as "22:00"; got {shown}')
    hours, minutes = int(match[1]), int(match[2])
    total = hours * MINUTES_PER_HOUR + minutes
    if minutes >= MINUTES_PER_HOUR or total > MINUTES_PER_DAY:
        raise validation_error(f"must be between 00:00 and 24:00; got {value}")
    return total


def _parse_utc_offset(value: object) -> int:
    pattern = r"([+-])([0-9]{2}):([0-9]{2})"
    match = re.fullmatch(pattern, value) if isinstance(value, str) else None
    if match is None:
        shown = repr(value)[:MAX_SHOWN_CHARACTERS]
        raise validation_error(f'must be an offset from UTC such as "+05:30"; got {shown}')
    magnitude = int(match[2]) * MINUTES_PER_HOUR + int(match[3])
    minutes = -magnitude if match[1] == "-" else magnitude
    in_range = MIN_UTC_OFFSET_MINUTES <= minutes <= MAX_UTC_OFFSET_MINUTES
    if int(match[3]) >= MINUTES_PER_HOUR or not in_range:
        raise validation_error(f"must be between -12:00 and +14:00; got {value}")
    return minutes


def duration_range(minimum: str, maximum: str) -> AfterValidator:
    """Return a validator that rejects durations outside the range `minimum` to `maximum`."""
    minimum_ms, maximum_ms = parse_duration(minimum), parse_duration(maximum)

    def check(value: int) -> int:
        if not minimum_ms <= value <= maximum_ms:
            raise validation_error(
                f"must be between {minimum} and {maximum}; got {format_duration(value)}"
            )
        return value

    return AfterValidator(check)


def format_duration(milliseconds: int) -> str:
    """Return a duration in the largest unit that divides it exactly."""
    for unit, scale in reversed(MILLISECONDS_BY_UNIT.items()):
        if milliseconds and milliseconds % scale == 0:
            return f"{milliseconds // scale}{unit}"
    return f"{milliseconds}ms"


def format_memory(megabytes: int) -> str:
    """Return an amount of memory in the largest unit that divides it exactly."""
    for unit, scale in reversed(MEGABYTES_BY_UNIT.items()):
        if megabytes and megabytes % scale == 0:
            return f"{megabytes // scale}{unit}"
    return f"{megabytes}MB"


def format_time_of_day(minute: int) -> str:
    """Return minutes after midnight as a time such as 07:00."""
    return f"{minute // MINUTES_PER_HOUR:02}:{minute % MINUTES_PER_HOUR:02}"


def format_utc_offset(minutes: int) -> str:
    """Return an offset from UTC such as +05:30."""
    return f"{'-' if minutes < 0 else '+'}{format_time_of_day(abs(minutes))}"


DurationMs = Annotated[
    int,
    BeforeValidator(parse_duration),
    Display("duration: 800ms, 10s, 5m, 12h, 1d", format_duration),
]
"""A duration such as 800ms, 10s, 5m, 12h or 1d."""

MemoryMb = Annotated[
    int,
    Field(le=64 * 1_024 * 1_024),
    BeforeValidator(parse_memory),
    Display("memory: 512MB, 16GB, 1TB", format_memory),
]
"""An amount of memory such as 512MB or 16GB (1GB is 1024MB)."""

MinuteOfDay = Annotated[
    int, BeforeValidator(_parse_minute_of_day), Display('local time: "22:00"', format_time_of_day)
]
"""A local time of day such as "22:00"; "24:00" is the end of the day."""

UtcOffsetMinutes = Annotated[
    int, BeforeValidator(_parse_utc_offset), Display('offset: "+05:30"', format_utc_offset)
]
"""An offset from UTC such as "+05:30"."""
