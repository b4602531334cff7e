"""Background tasks whose failures are logged rather than lost."""

import asyncio
from collections.abc import Coroutine

from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.session import SessionError

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Holds references to tasks until they end, so that they aren't garbage-collected."""

    def __init__(self, metrics: Metrics) -> None:
        """Create an empty set of tasks; lost replies and failures are counted in `metrics`."""
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run `coroutine` in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, SessionError):
            self._metrics.count("reply_lost")
        elif error is not None:
            self._metrics.count("background_failed")
            log_warning("background_failed", error=repr(error))
