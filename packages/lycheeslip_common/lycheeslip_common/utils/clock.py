"""Clocks in milliseconds; guarantees rely only on clocks that never jump.

All processes of a machine share the values of each clock.
"""

import time

__all__ = ["monotonic_ms", "steady_ms", "wall_ms"]

NANOSECONDS_PER_MILLISECOND = 1_000_000


def monotonic_ms() -> int:
    """Return the machine's monotonic clock, which stops while the machine is suspended."""
    return time.monotonic_ns() // NANOSECONDS_PER_MILLISECOND


def wall_ms() -> int:
    """Return wall-clock milliseconds since the Unix epoch, for calendars, deadlines and logs."""
    return time.time_ns() // NANOSECONDS_PER_MILLISECOND


def steady_ms() -> int:
    """Return the machine's monotonic clock that also runs while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
