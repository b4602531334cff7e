"""Composition root of the entry process: wires its components and runs them until shutdown."""

import asyncio
import importlib
import signal
from collections.abc import Awaitable, Callable

import uvloop
from aiohttp import web
from lycheeslip_common.admission.accept import AdmissionSite
from lycheeslip_common.admission.decision import Reason
from lycheeslip_common.admission.limits import AdmissionLimits
from lycheeslip_common.admission.server import (
    Admission,
    AdmissionRunner,
    ListenerPolicy,
    MetricsObserver,
    RefusalText,
)
from lycheeslip_common.config.settings import EntrySettings
from lycheeslip_common.store import Store
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.logs import configure_logs, log_event, log_warning
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.session import Session, SessionError, listen

from lycheeslip.config.auth import allows_anonymous
from lycheeslip.entry.agent_sessions import AgentSessions
from lycheeslip.entry.attempts import Attempts
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.config_apply import ConfigApply
from lycheeslip.entry.forwarding import Forwarding
from lycheeslip.entry.history import History
from lycheeslip.entry.job_store import JobStore
from lycheeslip.entry.membership import Membership
from lycheeslip.entry.outcomes import OutcomeRecorder
from lycheeslip.entry.peers import Peers
from lycheeslip.entry.planner import Planner
from lycheeslip.entry.recovery import Recovery
from lycheeslip.entry.router import Router
from lycheeslip.entry.store_sync import StoreSync
from lycheeslip.entry.upkeep import Upkeep
from lycheeslip.http.access import make_middleware
from lycheeslip.http.forwarded import ForwardedCalls
from lycheeslip.http.job_calls import JobCalls
from lycheeslip.http.job_handlers import JobHandlers
from lycheeslip.http.operator_handlers import OperatorHandlers
from lycheeslip.http.problems import problem
from lycheeslip.http.submission import MAX_BODY_BYTES
from lycheeslip.http.unrecorded import UnrecordedJobs

__all__ = ["EntryApp", "run_entry"]

LOAD_BALANCER_NOTICE_S = 0.5
OVERLOAD_RETRY_MS = 1_000
Controller = Callable[[], Awaitable[None]]


class EntryApp:
    """One entry process; `start` and `stop` also allow embedding it in another program."""

    def __init__(self, settings: EntrySettings) -> None:
        """Wire the components described by `settings`; nothing runs before `start`."""
        self._settings = settings
        times = settings.times
        metrics = Metrics(settings.statsd_address)
        info = EntryInfo(
            settings.node_id,
            settings.region,
            settings.zone,
            settings.http_address,
            settings.session_address,
        )
        self.board = Blackboard(info, metrics)
        self._store = Store(settings.store_addresses, metrics)
        self._router = Router(self.board)
        jobs = JobStore(self.board, self._store)
        history = History(metrics)
        self.board.jobs.observers.append(history)
        outcomes = OutcomeRecorder(self.board, self._router, jobs, history.health)
        self._sync = StoreSync(self.board, self._store, times.confirm_every_ms)
        self._membership = Membership(self.board, self._store, times.entry_lease_s)
        self._agents = AgentSessions(self.board, self._router, outcomes)
        forwarding = Forwarding(self.board, self._router)
        self._peers = Peers(
            self.board,
            self._router,
            outcomes,
            forwarding,
            settings.fleet_key,
            settings.routes,
            times.permit_ms,
        )
        self._attempts = attempts = Attempts(self.board, self._router, jobs)
        plan = importlib.import_module(settings.policy_module).plan
        self._planner = Planner(
            self.board, self._router, attempts, history, plan, times.plan_every_ms
        )
        self.board.jobs.observers.append(self._planner)
        self._recovery = Recovery(
            self.board, self._router, jobs, attempts, times.worker_lost_after_ms
        )
        self._upkeep = Upkeep(
            self.board, self._store, jobs, self._agents, history.health, times.permit_ms
        )
        config_apply = ConfigApply(self.board, self._store, self._sync, times.permit_ms)
        self._web = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[make_middleware(self.board, settings.allow_remote_without_tokens)],
        )
        unrecorded = UnrecordedJobs(self.board, self._router, jobs, outcomes)
        calls = JobCalls(self.board, jobs, unrecorded)
        allow_remote = settings.allow_remote_without_tokens
        forwarding.decide = ForwardedCalls(self.board, calls, allow_remote).decide
        JobHandlers(self.board, jobs, calls, forwarding).add_routes(self._web)
        operators = OperatorHandlers(self.board, self._router, config_apply, history.health)
        operators.add_routes(self._web)
        self._admission = Admission(
            AdmissionLimits(**settings.admission._asdict()), MetricsObserver(metrics)
        )
        self._runner = AdmissionRunner(
            self._web,
            self._admission,
            ListenerPolicy(lambda: MAX_BODY_BYTES, refusal_text=self._refusal_text),
            access_log=None,
            handle_signals=False,
            shutdown_timeout=times.shutdown_wait_ms / 1000,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = asyncio.Event()

    async def start(self) -> None:
        """Open the listening sockets and start the controllers."""
        settings = self._settings
        self._sessions = await listen(
            settings.session_address,
            settings.fleet_key,
            settings.node_id,
            self._serve_session,
            self.board.home_entries,
            self.board.metrics,
            self._admission.limits,
        )
        await self._runner.setup()
        await AdmissionSite(self._runner, settings.http_address, self._admission).start()
        controllers: tuple[Controller, ...] = (
            self._sync.run,
            self._sync.confirm,
            self._membership.run,
            self._peers.run,
            self._planner.run,
            self._recovery.run,
            self._upkeep.keep_permits,
            self._upkeep.keep_homes,
            self._upkeep.keep_retention,
        )
        self._tasks = [
            asyncio.create_task(self._supervise(controller)) for controller in controllers
        ]
        if allows_anonymous(self.board.config):
            log_warning("open_until_tokens_are_declared", entry=settings.node_id)
        log_event("entry_started", entry=settings.node_id, http=settings.http_address)

    async def stop(self) -> None:
        """Shut down gracefully: finish open requests, release the lease, close the sessions."""
        self.board.leaving = True
        await self._membership.leave()
        self.board.jobs.wake_all()
        await asyncio.sleep(LOAD_BALANCER_NOTICE_S)
        await self._attempts.wait_until_idle()
        await self._runner.cleanup()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._sessions.close()
        await self._sessions.wait_closed()
        await self._store.close()
        log_event("entry_stopped", entry=self._settings.node_id)

    def _refusal_text(self, status: int, reason: str) -> RefusalText:
        """Return the body of a refusal before any handler has run."""
        self.board.metrics.count(f"refuse.{reason}")
        retry_in_ms = OVERLOAD_RETRY_MS if reason == Reason.OVERLOADED else 0
        response = problem(status, reason, "The request did not run.", retry_in_ms=retry_in_ms)
        return RefusalText(response.content_type, (response.text or "").encode())

    async def _serve_session(self, session: Session) -> None:
        match session.role:
            case "agent":
                await self._agents.serve(session)
            case "entry":
                await self._peers.serve(session)
            case role:
                raise SessionError(f"unknown role {role!r}")

    async def _supervise(self, controller: Controller) -> None:
        """Run a controller; an exception ends the process, so that its instance is replaced."""
        try:
            await controller()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log_warning("controller_failed", controller=controller.__qualname__, error=repr(error))
            self.failed.set()


def run_entry(settings: EntrySettings) -> int:
    """Run an entry until SIGTERM or SIGINT and return the exit code."""
    configure_logs(settings.log_level)
    return uvloop.run(_run(settings))


async def _run(settings: EntrySettings) -> int:
    entry = EntryApp(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await entry.start()
    waits = [asyncio.create_task(event.wait()) for event in (stopping, entry.failed)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    await entry.stop()
    return 1 if entry.failed.is_set() else 0
