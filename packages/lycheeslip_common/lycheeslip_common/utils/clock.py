"""Clocks in milliseconds; promises rest on the monotonic one only."""

import time

__all__ = ["monotonic_ms", "steady_ms", "wall_ms"]

NANOSECONDS_PER_MILLISECOND = 1_000_000


def monotonic_ms() -> int:
    """Return this machine's monotonic clock, shared by all of its processes."""
    return time.monotonic_ns() // NANOSECONDS_PER_MILLISECOND


def wall_ms() -> int:
    """Return wall-clock milliseconds since the epoch, for calendars, job deadlines and logs."""
    return time.time_ns() // NANOSECONDS_PER_MILLISECOND


def steady_ms() -> int:
    """Return milliseconds of a clock that never jumps and counts the time while suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
