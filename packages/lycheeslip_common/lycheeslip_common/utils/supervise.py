"""Keeps a controller running: a fault in one must not end the process."""

import asyncio
from collections.abc import Awaitable, Callable

from lycheeslip_common.utils.counters import Counters
from lycheeslip_common.utils.logs import log_warning

__all__ = ["supervise"]

FAULT_PAUSE_S = 0.2  # a controller that fails at once costs five tries a second


async def supervise(controller: Callable[[], Awaitable[None]], counters: Counters) -> None:
    """Run `controller` until it returns; one that raises is logged, counted and run again."""
    while True:
        try:
            return await controller()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            name = controller.__qualname__
            log_warning("controller_failed", controller=name, error=repr(error))
            counters.count("controller_faults", name)
            await asyncio.sleep(FAULT_PAUSE_S)
