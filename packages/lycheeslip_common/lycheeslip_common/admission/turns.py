"""Large documents, counted before they are built and processed one after the other."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ["TooManyWaitingError", "Turns", "count_objects"]

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)


class TooManyWaitingError(Exception):
    """As many documents as allowed are waiting already."""


class Turns:
    """Lets one document at a time be processed, and a bounded number wait."""

    def __init__(self, max_waiting: int) -> None:
        """Let at most `max_waiting` documents wait."""
        self._max_waiting = max_waiting
        self._waiting = 0
        self._lock = asyncio.Lock()

    @asynccontextmanager
    async def take(self) -> AsyncIterator[None]:
        """Wait for a turn; raises TooManyWaitingError at once if too many wait."""
        if self._lock.locked() and self._waiting >= self._max_waiting:
            raise TooManyWaitingError
        self._waiting += 1
        try:
            await self._lock.acquire()
        finally:
            self._waiting -= 1
        try:
            yield
        finally:
            self._lock.release()


def count_objects(content: bytes, enough: int) -> int:
    """Return how many objects the JSON text `content` has, exactly if they are more than `enough`.

    Otherwise braces within strings count, too, since searching for strings takes longer.
    """
    braces = content.count(b"{")
    return braces if braces <= enough else STRING.sub(b"", content).count(b"{")
