"""Faults that the stand-in store can be told to show, and counts of its calls."""

from collections import Counter
from typing import NamedTuple

__all__ = ["CallCounts", "StoreFaults"]

MILLISECONDS_PER_SECOND = 1000


class StoreFaults(NamedTuple):
    """Faults in force; all of them end when the defaults are set again.

    `down` cuts each connection before its call takes effect. `lose_next_answers` writes
    that touch `lose_answers_of_prefix` take effect, then their connection is cut.
    `delay_ms` passes before each call takes effect, or, with `delay_writes_of_prefix`, only
    before writes that touch such keys.
    """

    down: bool = False
    delay_ms: int = 0
    lose_next_answers: int = 0
    lose_answers_of_prefix: str = ""
    delay_writes_of_prefix: str = ""


class CallCounts:
    """Calls by operation, with the largest number in any one second."""

    def __init__(self) -> None:
        """Start at zero."""
        self.calls_by_operation: Counter[str] = Counter()
        self.peak_per_s_by_operation: Counter[str] = Counter()
        self._second = 0
        self._this_second: Counter[str] = Counter()

    def count(self, operation: str, now_ms: int) -> None:
        """Add a call of `operation`; a waiting watch counts once, when it is opened."""
        second = now_ms // MILLISECONDS_PER_SECOND
        if second != self._second:
            self._second = second
            self._this_second.clear()
        self.calls_by_operation[operation] += 1
        for name in (operation, "all"):
            self._this_second[name] += 1
            peak = max(self.peak_per_s_by_operation[name], self._this_second[name])
            self.peak_per_s_by_operation[name] = peak
