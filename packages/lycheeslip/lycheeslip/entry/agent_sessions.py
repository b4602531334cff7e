"""Sessions with agents: liveness, start permits, directives and reports."""

from lycheeslip_common.structure.fleet import EntryInfo, WorkerState
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.wire.messages import (
    AttemptReport,
    Directive,
    FenceReply,
    Message,
    Ping,
    Pong,
    PrepareReply,
    ReserveReply,
    WorkerGone,
    WorkerUpdate,
)
from lycheeslip_common.wire.session import Session, SessionError

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.outcomes import OutcomeRecorder
from lycheeslip.entry.router import Router
from lycheeslip.entry.workers import apply_worker_update, mark_worker_disconnected

__all__ = ["AgentSessions", "make_directive"]


def make_directive(board: Blackboard, state: WorkerState) -> Directive:
    """Return the directive that the current configuration and home map imply for a worker."""
    config = board.config
    zone = config.zones_by_id.get(state.info.zone)
    in_service = zone.in_service if zone is not None else not config.zones_by_id
    no_homes = ("",) * state.info.accelerators
    return Directive(
        config_revision=config.revision,
        version=board.homes.version,
        zone_in_service=in_service,
        homes=board.homes.homes.get(state.info.worker_id, no_homes),
        lease_ms=config.limits.task_lease_ms,
        gang_lease_ms=config.limits.gang_lease_ms,
    )


class AgentSessions:
    """Serves the agents that use this entry as their home entry."""

    def __init__(self, board: Blackboard, router: Router, outcomes: OutcomeRecorder) -> None:
        """Register sessions with `router` and pass reports to `outcomes`."""
        self._board = board
        self._router = router
        self._outcomes = outcomes
        self._sent_directive_by_worker: dict[str, Directive] = {}
        self._sent_entries_by_worker: dict[str, tuple[EntryInfo, ...]] = {}
        self._pushed_versions = (0, 0)

    async def serve(self, session: Session) -> None:
        """Serve one agent until its session ends; raises SessionError then."""
        worker_id = session.node_id
        previous = self._router.sessions_by_worker.get(worker_id)
        self._router.sessions_by_worker[worker_id] = session
        self._sent_directive_by_worker.pop(worker_id, None)
        self._sent_entries_by_worker[worker_id] = session.entries
        if previous is not None:
            await previous.close()
        log_event("agent_session_opened", worker=worker_id)
        try:
            while True:
                await self._handle(session, await session.receive())
        finally:
            await self._end(session)

    async def push_directives(self) -> None:
        """Send changed directives if the configuration or home map changed since the last push."""
        versions = (self._board.config.revision, self._board.homes.version)
        if versions == self._pushed_versions:
            return
        self._pushed_versions = versions
        for worker_id, session in list(self._router.sessions_by_worker.items()):
            view = self._board.workers_by_id.get(worker_id)
            if view is not None:
                await self._push_directive(session, view.state)

    async def _push_directive(self, session: Session, state: WorkerState) -> None:
        directive = make_directive(self._board, state)
        worker_id = state.info.worker_id
        if self._sent_directive_by_worker.get(worker_id) == directive:
            return
        self._sent_directive_by_worker[worker_id] = directive
        try:
            await session.send(directive)
        except SessionError:
            self._sent_directive_by_worker.pop(worker_id, None)

    async def _handle(self, session: Session, message: Message) -> None:
        match message:
            case Ping():
                await session.send(self._pong(session.node_id, message))
            case WorkerUpdate():
                await self._handle_update(session, message.state)
            case ReserveReply() | PrepareReply() | FenceReply():
                await self._router.deliver_reply(message)
            case AttemptReport():
                await self._outcomes.record_report(message)
            case _:
                self._board.metrics.count("session.unexpected_message")
                log_warning("unexpected_message", worker=session.node_id, kind=type(message))

    async def _handle_update(self, session: Session, state: WorkerState) -> None:
        if state.info.worker_id != session.node_id:
            raise SessionError(
                f"agent {session.node_id} sent the state of worker {state.info.worker_id}"
            )
        own_id = self._board.info.entry_id
        if apply_worker_update(self._board, state, own_id):
            await self._router.to_all_peers(WorkerUpdate(state, own_id))
        await self._push_directive(session, state)

    def _pong(self, worker_id: str, ping: Ping) -> Pong:
        remaining_ms = max(0, self._board.permit_until_ms - monotonic_ms())
        entries = self._board.home_entries()
        changed = entries != self._sent_entries_by_worker.get(worker_id)
        self._sent_entries_by_worker[worker_id] = entries
        return Pong(
            echo_ms=ping.sent_ms,
            config_revision=self._board.config.revision,
            permit_remaining_ms=remaining_ms,
            entries=entries if changed else (),
        )

    async def _end(self, session: Session) -> None:
        worker_id = session.node_id
        if self._router.sessions_by_worker.get(worker_id) is not session:
            return
        del self._router.sessions_by_worker[worker_id]
        view = self._board.workers_by_id.get(worker_id)
        if view is None:
            return
        own_id = self._board.info.entry_id
        incarnation = view.state.incarnation
        mark_worker_disconnected(self._board, worker_id, incarnation, own_id)
        await self._router.to_all_peers(WorkerGone(worker_id, incarnation, own_id))
