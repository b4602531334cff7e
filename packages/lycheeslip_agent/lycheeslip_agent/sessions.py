"""The agent's session to one entry: selection, keep-alive and reconnection."""

import asyncio
import random

from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.structure.jobs import AttemptRef
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.rendezvous import ranked
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.wire.messages import (
    AttemptReport,
    GangPhase,
    Message,
    Ping,
    Pong,
    ReportState,
    WorkerUpdate,
)
from lycheeslip_common.wire.session import Session, SessionError, dial

from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.entry_messages import EntryMessages
from lycheeslip_agent.grants import MemberKey

__all__ = ["EntrySessions", "rank_entries"]

ANNOUNCE_INTERVAL_S = 0.8
MIN_SILENCE_MS = 3_000
MIN_PAUSE_MS = 2_000
MAX_SILENT_INTERVALS = 4
MAX_PAUSED_INTERVALS = 3
FAILED_ENTRY_RETRY_MS = 5_000
MIN_MOVE_DELAY_S = 5.0
MAX_MOVE_DELAY_S = 10.0
MIN_HOME_CHECK_S = 0.2
MAX_HOME_CHECK_S = 1.0
AVOIDED_ENTRY_RETRY_MS = 30_000
BATCH_DELAY_S = 0.01


def rank_entries(node_id: str, region: str, entries: list[EntryInfo]) -> list[EntryInfo]:
    """Return the entries by preference: those in `region` first, then by rendezvous hash."""
    by_id = {entry.entry_id: entry for entry in entries}
    preferred = [by_id[entry_id] for entry_id in ranked(node_id, by_id)]
    return sorted(preferred, key=lambda entry: entry.region != region)


class EntrySessions:
    """Keeps one session open and sends the worker's state and its outcomes over it."""

    def __init__(self, board: Blackboard, messages: EntryMessages) -> None:
        """Prepare the sessions; `run` opens the first one."""
        self._board = board
        self._messages = messages
        self._backoff = Backoff(first_s=0.05, limit_s=2.0)
        self._retry_at_ms_by_address: dict[str, int] = {}
        self._avoided_until_ms_by_entry: dict[str, int] = {}
        self._announced_gangs: set[MemberKey] = set()
        self._last_received_ms = 0
        self._next_session: Session | None = None
        self._redirected = False
        self._seed_index = random.randrange(len(board.settings.entry_addresses))
        self.sent_bytes = 0
        self.received_bytes = 0

    async def run(self) -> None:
        """Keep a session open until cancelled."""
        while True:
            address = self._choose_address()
            try:
                session = self._next_session or await self._dial(address)
            except SessionError as error:
                await self._wait_after_failure(address, error)
                continue
            self._next_session = None
            try:
                await self._serve(session)
            except SessionError as error:
                log_warning("session_ended", entry=session.node_id, reason=error)
                self._board.metrics.count("session.ended")
                await self._wait_after_failure(address, error)
            finally:
                self.sent_bytes += session.sent_bytes
                self.received_bytes += session.received_bytes
                await session.close()

    async def _dial(self, address: str) -> Session:
        settings = self._board.settings
        routed_address = settings.routes.get(address, address)
        return await dial(routed_address, settings.fleet_key, "agent", settings.node_id)

    def _choose_address(self) -> str:
        for entry in self._ranked():
            if self._is_usable(entry):
                return entry.session_address
        seeds = self._board.settings.entry_addresses
        self._seed_index = (self._seed_index + 1) % len(seeds)
        return seeds[self._seed_index]

    def _ranked(self) -> list[EntryInfo]:
        settings = self._board.settings
        entries = list(self._board.entries_by_id.values())
        return rank_entries(settings.node_id, settings.region, entries)

    async def _wait_after_failure(self, address: str, error: SessionError) -> None:
        self._retry_at_ms_by_address[address] = monotonic_ms() + FAILED_ENTRY_RETRY_MS
        self._redirected = False
        delay_s = self._backoff.next_delay_s()
        log_warning("waiting_for_entry", address=address, delay_s=f"{delay_s:.2f}", reason=error)
        self._board.metrics.count("retry.session")
        await asyncio.sleep(delay_s)

    async def _serve(self, session: Session) -> None:
        """Serve a session until it fails or a session to a preferred entry replaces it.

        If the entry names a preferred entry, the session ends at once so that `run` dials that
        one; after such a redirection, none follows until a session fails.
        """
        if session.entries:
            self._board.entries_by_id = {entry.entry_id: entry for entry in session.entries}
        if self._preferred_over(session) is not None and not self._redirected:
            self._redirected = True
            return
        log_event("session_opened", entry=session.node_id)
        self._announced_gangs.clear()
        self._last_received_ms = monotonic_ms()
        self._board.outbox.resend()
        self._board.mark_changed()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(session))
                group.create_task(self._ping(session))
                group.create_task(self._announce(session))
                group.create_task(self._move_to_preferred(session))
        except* SessionError as errors:
            raise SessionError(str(errors.exceptions[0])) from None
        except* _MoveError:
            log_event("session_moves", from_entry=session.node_id)

    def _preferred_over(self, session: Session) -> EntryInfo | None:
        """Return the most preferred usable entry, None if the session has a better one or it."""
        for entry in self._ranked():
            if entry.entry_id == session.node_id:
                return None
            if self._is_usable(entry):
                return entry
        return None

    def _is_usable(self, entry: EntryInfo) -> bool:
        """Return whether an entry has neither failed recently nor been left without a permit."""
        avoided_until_ms = self._avoided_until_ms_by_entry.get(entry.entry_id, 0)
        return not self._has_failed(entry) and monotonic_ms() >= avoided_until_ms

    def _has_failed(self, entry: EntryInfo) -> bool:
        return monotonic_ms() < self._retry_at_ms_by_address.get(entry.session_address, 0)

    def _next_home(self, session: Session, must_leave: bool) -> EntryInfo | None:
        """Return the entry to move to; one left before is better than one without a permit."""
        best = self._preferred_over(session)
        if best is None and must_leave:
            best = next((entry for entry in self._ranked() if not self._has_failed(entry)), None)
        return best

    def _is_listed(self, session: Session) -> bool:
        return session.node_id in self._board.entries_by_id

    def _must_leave(self, session: Session) -> bool:
        """Return whether this entry has lost the store alone, and its last permit has ended.

        An entry that reaches the store again before then keeps its agents.
        """
        is_permitted = monotonic_ms() < self._board.permit.deadline_ms
        return not self._is_listed(session) and not is_permitted

    async def _receive(self, session: Session) -> None:
        while True:
            message = await session.receive()
            self._last_received_ms = monotonic_ms()
            if isinstance(message, Pong):
                self._backoff.reset()

            async def reply(answer: Message) -> None:
                await session.send(answer)

            await self._messages.handle(message, reply)

    async def _ping(self, session: Session) -> None:
        last_ping_ms = monotonic_ms()
        while True:
            now_ms = monotonic_ms()
            interval_ms = self._board.permit.ping_interval_ms()
            # After a pause of this process, the entry's messages may still be unread.
            if now_ms - last_ping_ms > max(MIN_PAUSE_MS, MAX_PAUSED_INTERVALS * interval_ms):
                self._last_received_ms = now_ms
            silence_ms = max(MIN_SILENCE_MS, MAX_SILENT_INTERVALS * interval_ms)
            if now_ms - self._last_received_ms > silence_ms:
                raise SessionError("no message from the entry within the silence limit")
            directive = self._board.permit.directive
            await session.send(Ping(now_ms, directive.version if directive is not None else 0))
            last_ping_ms = now_ms
            await asyncio.sleep(interval_ms / 1000)

    async def _move_to_preferred(self, session: Session) -> None:
        """End this session once one to a preferred entry is open.

        The random delays keep the agents from moving all at once.
        """
        while True:
            await self._wait_to_move(session)
            must_leave = self._must_leave(session)
            best = self._next_home(session, must_leave)
            if best is None:
                continue
            address = best.session_address
            try:
                self._next_session = await self._dial(address)
            except SessionError:
                self._retry_at_ms_by_address[address] = monotonic_ms() + FAILED_ENTRY_RETRY_MS
                continue
            if must_leave:
                # The entry would be preferred again as soon as it reaches the store for a moment.
                avoided_until_ms = monotonic_ms() + AVOIDED_ENTRY_RETRY_MS
                self._avoided_until_ms_by_entry[session.node_id] = avoided_until_ms
                self._board.metrics.count("session.left_without_permit")
            raise _MoveError

    async def _wait_to_move(self, session: Session) -> None:
        """Wait for a long random delay, or until the entry must be left."""
        delay_s = random.uniform(MIN_MOVE_DELAY_S, MAX_MOVE_DELAY_S)
        move_at_ms = monotonic_ms() + round(delay_s * 1000)
        while True:
            await asyncio.sleep(random.uniform(MIN_HOME_CHECK_S, MAX_HOME_CHECK_S))
            is_due = monotonic_ms() >= move_at_ms and self._is_listed(session)
            if is_due or self._must_leave(session):
                return

    async def _announce(self, session: Session) -> None:
        board = self._board
        while True:
            if board.changed.is_set():
                board.changed.clear()
                state = board.next_state()
                if state is not None:
                    await session.send(WorkerUpdate(state))
            for report in [*self._new_running(), *board.outbox.take_due(monotonic_ms())]:
                await session.send(report)
            try:
                async with asyncio.timeout(ANNOUNCE_INTERVAL_S):
                    await board.changed.wait()
                await asyncio.sleep(BATCH_DELAY_S)
            except TimeoutError:
                continue

    def _new_running(self) -> list[AttemptReport]:
        """Return RUNNING reports of the gangs not yet reported in this session."""
        reports = []
        for key, anchor in self._board.anchors_by_key.items():
            held = self._board.grants.held_by_key.get(key)
            if held is None or not anchor.all_started or anchor.phase is not GangPhase.RUNNING:
                continue
            if key not in self._announced_gangs:
                self._announced_gangs.add(key)
                reports.append(self._running_report(anchor.ref, held.grant.owner))
        return reports

    def _running_report(self, ref: AttemptRef, owner: str) -> AttemptReport:
        worker_id = self._board.settings.node_id
        state = ReportState.RUNNING
        return AttemptReport(ref, owner, worker_id, state, b"", "", "", "", 0)


class _MoveError(Exception):
    """Ends a session that one to a preferred entry replaces."""
