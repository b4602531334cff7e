"""Asks the worker of an agent that has just started whether runs of before can be in progress."""

import asyncio

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.worker_port import WorkerPort

__all__ = ["WorkerProbe"]

PROBE_INTERVAL_S = 0.05  # calls within the instance are cheap, and end with the first heartbeat


class WorkerProbe:
    """Finds out, before the worker's first heartbeat, that its earlier lifetimes are over."""

    def __init__(self, board: Board, worker: WorkerPort) -> None:
        """Call `worker` and write the answer to `board`."""
        self._board = board
        self._worker = worker

    async def run(self) -> None:
        """Ask until the worker is known to be new, or until it sends a heartbeat."""
        board = self._board
        started_at_ms = steady_ms()
        while board.worker_status is None:
            if await self._worker.is_unused():
                log_event("worker_unused", took_ms=steady_ms() - started_at_ms)
                board.is_worker_unused = True
                board.report_due.set()
                return
            await asyncio.sleep(PROBE_INTERVAL_S)
