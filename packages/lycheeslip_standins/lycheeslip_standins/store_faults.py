"""Fault injection settings and call counters of the stand-in store."""

from collections import Counter
from typing import NamedTuple

__all__ = ["CallCounts", "StoreFaults"]

MILLISECONDS_PER_SECOND = 1000


class StoreFaults(NamedTuple):
    """Active faults; setting the defaults clears all of them.

    `down` ends all watches and aborts the connection of each call before it takes effect. The next
    `lose_next_answers` writes to keys with the prefix `lose_answers_of_prefix` take effect, but
    their connection is aborted instead of answered. `delay_ms` delays each call before it takes
    effect, or only writes to keys with the prefix `delay_writes_of_prefix` if that is set. Events
    of watches are always delayed by `delay_ms`.
    """

    down: bool = False
    delay_ms: int = 0
    lose_next_answers: int = 0
    lose_answers_of_prefix: str = ""
    delay_writes_of_prefix: str = ""


class CallCounts:
    """Number of calls by operation, with the highest number in any one second."""

    def __init__(self) -> None:
        """Start with all counters at zero."""
        self.calls_by_operation: Counter[str] = Counter()
        self.peak_per_s_by_operation: Counter[str] = Counter()
        self._second = 0
        self._calls_this_second: Counter[str] = Counter()

    def count(self, operation: str, now_ms: int) -> None:
        """Count a call of `operation`; a watch counts once, when it is opened."""
        second = now_ms // MILLISECONDS_PER_SECOND
        if second != self._second:
            self._second = second
            self._calls_this_second.clear()
        self.calls_by_operation[operation] += 1
        for name in (operation, "all"):
            self._calls_this_second[name] += 1
            peak = max(self.peak_per_s_by_operation[name], self._calls_this_second[name])
            self.peak_per_s_by_operation[name] = peak
