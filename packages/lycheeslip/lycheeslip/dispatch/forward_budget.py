"""Limits how many calls an entry passes on to others, most of all while nobody can decide them."""

from lycheeslip_common.utils.clock import steady_ms

__all__ = ["MAX_HELPERS_PER_CALL", "ForwardBudget", "helpers_per_round"]

MAX_HELPERS_PER_ROUND = 3  # one of them is the leader; the store rarely turns so many away at once
MAX_HELPERS_PER_CALL = 9
MANY_UNABLE = 6  # that many entries that could not help a second ago: probably none can
MAX_FORWARDS_PER_S = 20.0
MAX_BURST = 20.0


def helpers_per_round(unable: int) -> int:
    """Return how many entries to ask at most in one round over all that may help.

    Answers an outage of the store for all entries: `unable` entries could not help a moment ago, so
    one at a time is asked, which finds out when any can again.
    """
    return 1 if unable >= MANY_UNABLE else MAX_HELPERS_PER_ROUND


class ForwardBudget:
    """Token bucket of an entry's forwarded calls."""

    def __init__(self) -> None:
        """Start with a full burst."""
        self._tokens = MAX_BURST
        self._refilled_at_ms = steady_ms()

    def take(self) -> bool:
        """Use one token; returns whether there was one."""
        now = steady_ms()
        refill = (now - self._refilled_at_ms) / 1_000 * MAX_FORWARDS_PER_S
        self._tokens = min(MAX_BURST, self._tokens + refill)
        self._refilled_at_ms = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
