"""Restarts controllers that fail, so that an error in one does not end the process."""

import asyncio
from collections.abc import Awaitable, Callable

from lycheeslip_common.utils.counters import Counters
from lycheeslip_common.utils.logs import log_warning

__all__ = ["supervise"]

RESTART_DELAY_S = 0.2  # limits a controller that fails immediately to five restarts per second


async def supervise(controller: Callable[[], Awaitable[None]], counters: Counters) -> None:
    """Run `controller` until it returns; log and count each exception and restart it."""
    while True:
        try:
            return await controller()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            name = controller.__qualname__
            log_warning("controller_failed", controller=name, error=repr(error))
            counters.count("controller_faults", name)
            await asyncio.sleep(RESTART_DELAY_S)
