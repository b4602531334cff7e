"""Composition root of the agent."""

import asyncio
import signal
from contextlib import suppress

from lycheeslip_common.admission.limits import AdmissionLimits
from lycheeslip_common.config import AgentSettings
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.wire.session import Session, listen
from websockets.asyncio.server import Server

from lycheeslip_agent.adoption import Adoption
from lycheeslip_agent.backend import BackendClient, BackendError
from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.entry_messages import EntryMessages
from lycheeslip_agent.gang_link import serve_members
from lycheeslip_agent.health import BackendHealth
from lycheeslip_agent.runs import Runs
from lycheeslip_agent.sessions import EntrySessions

__all__ = ["Agent"]

HOUSEKEEPING_INTERVAL_S = 1.0
DRAIN_POLL_S = 0.02
LEAVING_NOTICE_S = 0.3


class Agent:
    """One agent process; call `start` and `stop`, or `run` to serve until a signal."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create the controllers; none runs before `start`."""
        self.metrics = Metrics(settings.statsd_address)
        self.board = Blackboard(settings, self.metrics)
        self._backend = BackendClient(settings.backend_address)
        self._runs = Runs(self.board, self._backend)
        self._messages = EntryMessages(self.board, self._runs)
        self.sessions = EntrySessions(self.board, self._messages)
        self._adoption = Adoption(self.board, self._backend, self._runs)
        self._health = BackendHealth(self.board, self._backend)
        self._listener: Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._signalled = asyncio.Event()

    async def start(self) -> None:
        """Listen for gang members, adopt running tasks, and begin to serve entries."""
        settings = self.board.settings
        await self._backend.open()
        self._listener = await listen(
            settings.address,
            settings.fleet_key,
            settings.node_id,
            self._serve_members,
            lambda: (),
            self.metrics,
            AdmissionLimits(**settings.admission._asdict()),
        )
        host, port = next(iter(self._listener.sockets)).getsockname()[:2]
        self.board.address = f"{host}:{port}"
        log_event("agent_listening", address=self.board.address, node=settings.node_id)
        await self._adopt()
        self._tasks = [
            asyncio.create_task(self._run_housekeeping()),
            asyncio.create_task(self.sessions.run()),
        ]

    async def stop(self) -> None:
        """Stop at once; running tasks go on at the backend server until their leases end."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with suppress(asyncio.CancelledError):
                await task
        await self._runs.cancel()
        if self._listener is not None:
            self._listener.close()
            await self._listener.wait_closed()
        await self._backend.close()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._signalled.set)
        starting = asyncio.create_task(self.start())
        signalled = asyncio.create_task(self._signalled.wait())
        await asyncio.wait({starting, signalled}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            await starting
            await asyncio.wait({signalled, *self._tasks}, return_when=asyncio.FIRST_COMPLETED)
            self._raise_if_failed()
            await self.drain()
        starting.cancel()
        await self.stop()

    async def drain(self) -> None:
        """Refuse new work, and return once all tasks have ended and their outcomes are delivered.

        Returns after the drain timeout at the latest.
        """
        until_ms = monotonic_ms() + self.board.settings.drain_timeout_ms
        log_event("terminating", running=len(self.board.runs_by_key))
        self.board.terminating = True
        self.board.set_leaving()
        await asyncio.sleep(LEAVING_NOTICE_S)
        while monotonic_ms() < until_ms:
            if not self.board.runs_by_key and not len(self.board.outbox):
                break
            await asyncio.sleep(DRAIN_POLL_S)
        log_event("terminated", undelivered=len(self.board.outbox))

    def _raise_if_failed(self) -> None:
        for task in self._tasks:
            if task.done():
                task.result()

    async def _serve_members(self, session: Session) -> None:
        await serve_members(self.board, session)

    async def _adopt(self) -> None:
        backoff = Backoff(first_s=0.05, limit_s=1.0)
        while True:
            await self._health.check()
            try:
                if self.board.info is not None:
                    await self._adoption.run()
                    return
            except BackendError as error:
                log_warning("waiting_for_backend_server", reason=error.reason)
            await asyncio.sleep(backoff.next_delay_s())

    async def _run_housekeeping(self) -> None:
        while True:
            if self.board.grants.expire(monotonic_ms()):
                self.board.mark_changed()
            await self._health.check()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
