"""Lets many orders share the calls that have the same answer for all of them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, NamedTuple, TypeVar

from lycheeslip_common.utils.clock import steady_ms

__all__ = ["SharedAnswer", "SharedCall"]

Outcome = TypeVar("Outcome")


class SharedAnswer(NamedTuple, Generic[Outcome]):
    """The outcome of a call that began at `began_at_ms` on the steady clock, and its duration."""

    outcome: Outcome
    began_at_ms: int
    took_ms: int


class SharedCall(Generic[Outcome]):
    """One call at a time; its answer goes to all who asked before it began."""

    def __init__(self, call: Callable[[], Awaitable[Outcome]]) -> None:
        """Share the outcomes of `call`, which must not raise."""
        self._call = call
        self._running: asyncio.Task[SharedAnswer[Outcome]] | None = None
        self._next: asyncio.Task[SharedAnswer[Outcome]] | None = None

    async def ask(self) -> SharedAnswer[Outcome]:
        """Return the answer to a call that begins after this one was made."""
        if self._next is None:
            self._next = asyncio.create_task(self._run_after(self._running))
        return await asyncio.shield(self._next)

    async def _run_after(
        self, previous: asyncio.Task[SharedAnswer[Outcome]] | None
    ) -> SharedAnswer[Outcome]:
        if previous is not None:
            await asyncio.wait({previous})
        self._running, self._next = self._next, None
        began_at_ms = steady_ms()
        outcome = await self._call()
        return SharedAnswer(outcome, began_at_ms, steady_ms() - began_at_ms)
