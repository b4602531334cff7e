"""Runs long work in slices, between which the event loop runs everything else.

The work is an iterator that yields wherever it may be paused. What it has read before a pause may
have changed after it.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator

from lycheeslip_common.utils.clock import steady_ms

__all__ = ["run_at_once", "run_in_slices"]

MAX_SLICE_MS = 20  # the renewal of the leader's lease takes some turns of the event loop


async def run_in_slices(work: Iterator[None], may_continue: Callable[[], bool]) -> bool:
    """Run `work` with pauses; return whether it was completed.

    It is abandoned if `may_continue` returns false after a pause.
    """
    began_at_ms = steady_ms()
    for _ in work:
        if steady_ms() - began_at_ms >= MAX_SLICE_MS:
            await asyncio.sleep(0)
            if not may_continue():
                return False
            began_at_ms = steady_ms()
    return True


def run_at_once(work: Iterator[None]) -> None:
    """Run `work` without a pause."""
    deque(work, maxlen=0)
