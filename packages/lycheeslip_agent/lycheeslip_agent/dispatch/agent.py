"""Composition root of the agent's dispatch: wires its controllers and runs them."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.utils.supervise import supervise
from lycheeslip_common.workload.fleet import Farewell

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.leader_link import LeaderLink
from lycheeslip_agent.dispatch.lists import WorkerLists
from lycheeslip_agent.dispatch.orders import OrderExecutor
from lycheeslip_agent.dispatch.pacing import Pacer
from lycheeslip_agent.dispatch.probe import WorkerProbe
from lycheeslip_agent.dispatch.sampler import ProgressSampler
from lycheeslip_agent.dispatch.worker_port import WorkerPort

__all__ = ["DispatchAgent"]


class DispatchAgent:
    """Owns the controllers of one agent.

    The caller passes the worker's heartbeats and deregistrations on to `lists`.
    """

    def __init__(
        self,
        board: Board,
        worker: WorkerPort,
        seeds: Sequence[str],
        find_leader: Callable[[], Awaitable[tuple[str, int] | None]],
    ) -> None:
        """Create the controllers; none runs before `start`."""
        self.board = board
        self._worker = worker
        self.lists = WorkerLists(board, worker)
        orders = OrderExecutor(board, worker, self.lists)
        self._pacer = Pacer(board, worker)
        self._probe = WorkerProbe(board, worker)
        self._sampler = ProgressSampler(board, worker)
        self._link = LeaderLink(board, orders, seeds, find_leader)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the controllers as supervised tasks."""
        log_event("agent_started", node=self.board.node)
        self._tasks = [
            asyncio.create_task(supervise(controller, self.board.counters))
            for controller in (
                self.lists.run,
                self._link.run,
                self._pacer.run,
                self._probe.run,
                self._sampler.run,
            )
        ]

    async def stop(self) -> None:
        """Stop the controllers; runs continue under the worker's lease until an agent returns."""
        self.board.post(Farewell("terminated"))
        await asyncio.sleep(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._worker.close()
        log_event("agent_stopped", node=self.board.node)
