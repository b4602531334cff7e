"""Links of this entry: from agents and other entries, and its own link to the leader."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.dialer import Dialer
from lycheeslip_common.workload.fleet import (
    ConfigRelay,
    EntryAddress,
    EntryAddresses,
    EntryAddressesQuery,
    Farewell,
    ForwardedAnswer,
    ForwardedCall,
    Heartbeat,
    HeartbeatReply,
    InvalidMessageError,
    JobQuery,
    JobReply,
    OrderResult,
    QueueQuery,
    QueueReply,
    RecordStored,
    Redirect,
    WorkerReport,
)
from lycheeslip_common.workload.jobs import JobSpec
from lycheeslip_common.workload.link import PEER_ROLE, Link, LinkClosedError, dial
from lycheeslip_common.workload.progress import JobState

from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.calls import Shown
from lycheeslip.dispatch.dispatcher import Dispatcher

__all__ = ["LeaderLink", "LinkServer", "announce_leader", "ask_for_leader", "pending_jobs"]

PEER_TIMEOUT_S = 1.0  # a message follows the opening of a link, and its closing the answer


def pending_jobs(board: Board, queue: str) -> int:
    """Return the number of accepted jobs of `queue` that have not started a task.

    A job counts for its present queue and for the one that this has replaced: the entry that asks
    may have an older configuration.
    """
    return sum(
        job.progress.state == JobState.QUEUED and queue in _queue_names(board, job.progress.spec)
        for job in board.jobs.values()
    )


def _queue_names(board: Board, spec: JobSpec) -> tuple[str, ...]:
    queue = board.queue_of(spec)
    return (spec.queue,) if queue is None else (spec.queue, queue.name)


async def ask_for_leader(address: str, node: str, timeout_s: float) -> Redirect | None:
    """Return the leader that the entry at `address` follows, None if it names none in time."""
    try:
        async with asyncio.timeout(timeout_s):
            link = await dial(address, "entry", node)
            try:
                message = await link.receive(timeout_s)
            finally:
                link.abort()
    except (TimeoutError, LinkClosedError, InvalidMessageError):
        return None
    return message if isinstance(message, Redirect) and message.address else None


async def announce_leader(address: str, node: str, leader: Redirect) -> None:
    """Tell the entry at `address` who leads; returns when it has read that or can't be reached."""
    try:
        link = await dial(address, PEER_ROLE, node)
    except LinkClosedError as error:
        log_warning("entry_unreachable", address=address, reason=error)
        return
    sender = asyncio.create_task(link.run_sender())
    link.post(leader)
    try:
        await link.receive(PEER_TIMEOUT_S)
    except (LinkClosedError, InvalidMessageError):
        return  # the entry closes the link once it has read the message
    finally:
        sender.cancel()
        link.abort()


class OpenedLink(NamedTuple):
    """A link that this entry has accepted; the numbers increase with each one."""

    link: Link
    number: int
    opened_at_ms: int


class LinkServer:
    """Serves agents and entries while this entry leads; redirects them to the leader otherwise.

    A process has one link at a time and opens the next only once it has given up the last. What
    still arrives on an older link, after a partition for example, is out of date and dropped.

    Calls and announcements of other entries are served in any case.
    """

    def __init__(
        self,
        board: Board,
        dispatcher: Dispatcher,
        on_record_stored: Callable[[KeyValue], None],
        answer_forwarded: Callable[[ForwardedCall], Awaitable[ForwardedAnswer]],
        on_leader_announced: Callable[[Redirect], None],
    ) -> None:
        """Pass reports to `dispatcher` and other entries' stored records to `on_record_stored`.

        `answer_forwarded` decides a call of another entry; `on_leader_announced` is called with a
        leader that announces itself.
        """
        self._answer_forwarded = answer_forwarded
        self._on_leader_announced = on_leader_announced
        self._entry_address_by_link: dict[Link, str] = {}
        self._on_record_stored = on_record_stored
        self._board = board
        self._dispatcher = dispatcher
        self._links: set[Link] = set()
        self._link_numbers = itertools.count(1)
        self._newest_by_process: dict[tuple[str, str], OpenedLink] = {}

    async def serve(self, link: Link) -> None:
        """Serve one link until it ends or this entry no longer leads."""
        board = self._board
        if link.role == PEER_ROLE:
            await self._serve_peer(link)
            return
        link.post(Redirect(board.leader_address, board.leader_epoch))
        term = board.leadership
        if term is None or not board.is_loaded or not board.holds_lease:
            await asyncio.sleep(0.05)  # lets the redirect be sent before the link is closed
            return
        self._links.add(link)
        opened = OpenedLink(link, next(self._link_numbers), steady_ms())
        try:
            while True:
                message = await link.receive(board.times.link_timeout_ms / 1_000)
                if board.leadership is not term:
                    return
                if not self._is_newest(opened):
                    self._drop_late_message(link, message)
                    return
                self._handle(opened, message)
        except (LinkClosedError, InvalidMessageError) as error:
            if link.role == "agent":
                log_warning("agent_link_ended", node=link.node, reason=error)
        finally:
            self._links.discard(link)
            self._entry_address_by_link.pop(link, None)
            self._detach_worker(link)

    def _is_newest(self, candidate: OpenedLink) -> bool:
        """Return whether no newer link of the process is in use; close an older one.

        A link is in use from its first message on: the opening of one that the process has given up
        may arrive late, too.
        """
        process = (candidate.link.role, candidate.link.node)
        newest = self._newest_by_process.setdefault(process, candidate)
        if newest.number >= candidate.number:
            return newest is candidate
        self._newest_by_process[process] = candidate
        newest.link.abort()
        return True

    def _drop_late_message(self, link: Link, message: object) -> None:
        kind = type(message).__name__
        log_event("late_message_dropped", role=link.role, node=link.node, kind=kind)
        self._board.counters.count("late_messages_dropped", kind)

    async def _serve_peer(self, link: Link) -> None:
        """Serve one message of another entry; raises LinkClosedError when that closes the link."""
        message = await link.receive(PEER_TIMEOUT_S)
        match message:
            case ForwardedCall():
                link.post(await self._answer_forwarded(message))
                await link.receive(PEER_TIMEOUT_S)
            case Redirect():
                self._on_leader_announced(message)
            case _:
                log_warning("unexpected_message", node=link.node, kind=type(message).__name__)

    def notify_lease_in_doubt(self) -> None:
        """Notify all links that this leader's lease is in doubt, without waiting for heartbeats."""
        term = self._board.leadership
        if term is not None:
            for link in self._links:
                link.post(HeartbeatReply(0, term.epoch, True, is_confirmed=False))

    def close_all(self) -> None:
        """Redirect all links to the next leader, if known, and close them."""
        leader = Redirect(self._board.leader_address, self._board.leader_epoch)
        for link in list(self._links):
            link.post_last(leader)
        self._newest_by_process.clear()  # messages that come after the term are not handled

    def _detach_worker(self, link: Link) -> None:
        view = self._board.workers.get(link.node)
        if view is not None and view.link is link:
            view.link = None
            self._board.planning_needed.set()

    def _handle(self, opened: OpenedLink, message: object) -> None:
        link = opened.link
        match message:
            case Heartbeat(sent_ms, _, config_version):
                self._reply_to_heartbeat(opened, sent_ms)
                if link.role == "entry":
                    self._relay_config(link, config_version)
            case EntryAddress(address):
                self._entry_address_by_link[link] = address
            case EntryAddressesQuery():
                self._send_entry_addresses(link)
            case WorkerReport():
                self._dispatcher.handle_report(link.node, link, message)
            case OrderResult():
                self._dispatcher.handle_order_result(link.node, message)
            case RecordStored(key, value):
                self._on_record_stored(KeyValue(key, value, 0))
            case JobQuery(number, job_id):
                job = self._board.jobs.get(job_id)
                shown = job.shown if job else Shown("")
                link.post(JobReply(number, shown.state, shown.reason))
            case QueueQuery(number, queue):
                link.post(QueueReply(number, pending_jobs(self._board, queue)))
            case Farewell(reason):
                log_event("agent_leaving", node=link.node, reason=reason)
            case _:
                log_warning("unexpected_message", node=link.node, kind=type(message).__name__)

    def _reply_to_heartbeat(self, opened: OpenedLink, sent_ms: int) -> None:
        """Confirm leadership, which extends an agent's lease, while this entry certainly leads.

        Agents get this for `leader_grace_ms` longer; other entries don't, since they campaign
        as soon as the lease in the store may have expired.
        """
        board, link = self._board, opened.link
        term = board.leadership
        if term is None:
            return
        grace_ms = board.times.leader_grace_ms if link.role == "agent" else 0
        if steady_ms() - term.valid_until_ms > grace_ms:
            link.post(HeartbeatReply(sent_ms, term.epoch, False))
            return
        if link.role == "agent" and not self._note_extension(opened):
            sent_ms = 0  # confirms leadership only
        version = board.config.version if board.config else 0
        since_renewal_ms = board.times.leader_lease_ms - (term.valid_until_ms - steady_ms())
        is_confirmed = since_renewal_ms < board.times.lease_in_doubt_ms
        link.post(
            HeartbeatReply(sent_ms, term.epoch, True, version, board.config_age_ms, is_confirmed)
        )

    def _note_extension(self, opened: OpenedLink) -> bool:
        """Note that an agent's lease is extended now; return False if it must not be.

        A new link extends the lease before the first report, since runs may be at work. An agent
        that doesn't reach its worker never reports, and its runs have to count as lost some time.
        """
        board, now = self._board, steady_ms()
        view = board.workers.get(opened.link.node)
        has_reported = view is not None and view.link is opened.link
        if view is not None and has_reported:
            view.heard_at_ms = now
        elif now - opened.opened_at_ms > board.times.link_timeout_ms:
            return False
        board.lease_extended_at_ms[opened.link.node] = now
        return True

    def _send_entry_addresses(self, link: Link) -> None:
        board = self._board
        for address in self._entry_address_by_link.values():
            board.entries.add(address)
        others = board.entries.others(board.address)
        link.post(EntryAddresses((board.address, *others)))

    def _relay_config(self, link: Link, known_version: int) -> None:
        """Send the configuration to an entry with an older one; it may not reach the store."""
        config, item = self._board.config, self._board.config_item
        if config is not None and item is not None and known_version < config.version:
            link.post(ConfigRelay(item.key, item.value, item.mod_revision))


class LeaderLink:
    """The entry's link to the leader, over which it queries jobs and queues."""

    def __init__(
        self,
        board: Board,
        on_config: Callable[[KeyValue], None],
        on_leader_in_doubt: Callable[[], None],
        on_leader_announced: Callable[[Redirect], None],
    ) -> None:
        """Start without a link; configurations relayed by the leader go to `on_config`.

        `on_leader_in_doubt` is called when the leader reports that its lease is in doubt,
        `on_leader_announced` when the peer names a leader.
        """
        self._on_leader_announced = on_leader_announced
        self._dialer = Dialer("entry", board.node)
        self._on_leader_in_doubt = on_leader_in_doubt
        self._board = board
        self._on_config = on_config
        self._link: Link | None = None
        self._last_query_number = 0
        self._pending_replies: dict[int, asyncio.Future[JobReply | QueueReply]] = {}

    async def follow(self, address: str) -> None:
        """Keep a link to the leader at `address` until the link ends or the peer doesn't lead."""
        try:
            await self._follow(address)
        finally:
            # not named to others any more, unless a newer leader is known
            if self._board.leader_address == address:
                self._board.leader_address = ""

    async def _follow(self, address: str) -> None:
        try:
            link = await self._dialer.dial(address)
        except LinkClosedError as error:
            log_warning("leader_unreachable", address=address, reason=error)
            return
        sender = asyncio.create_task(link.run_sender())
        link.post(EntryAddress(self._board.address))
        heartbeats = asyncio.create_task(self._send_heartbeats(link))
        self._link = link
        log_event("leader_linked", address=address, epoch=self._board.leader_epoch)
        try:
            while not self._board.is_leaving:
                message = await link.receive(self._board.times.link_timeout_ms / 1_000)
                if not self._handle(message, address):
                    return
        except (LinkClosedError, InvalidMessageError) as error:
            log_warning("leader_lost", dependency="leader", address=address, reason=error)
        finally:
            self._link = None
            heartbeats.cancel()
            sender.cancel()
            link.abort()

    def _handle(self, message: object, followed: str) -> bool:
        """Handle a message of the peer at `followed`; returns whether to keep the link."""
        match message:
            case HeartbeatReply(sent_ms, _, is_leader, version, age_ms, is_confirmed):
                self._confirm_config(version, sent_ms - age_ms)
                if not is_confirmed:
                    self._on_leader_in_doubt()
                return is_leader
            case ConfigRelay(key, value, revision):
                self._on_config(KeyValue(key, value, revision))
            case EntryAddresses(addresses):
                for address in addresses:
                    self._board.entries.add(address)
            case Redirect(address, _):
                if address:
                    self._on_leader_announced(message)
                return address == followed
            case JobReply(number, _, _) | QueueReply(number, _):
                future = self._pending_replies.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(message)
        return True

    def _confirm_config(self, version: int, at_ms: int) -> None:
        """Adopt the leader's confirmation if it is for this entry's configuration version."""
        board = self._board
        if board.config is not None and board.config.version == version:
            board.confirmed_at_ms = max(board.confirmed_at_ms, at_ms)

    async def _send_heartbeats(self, link: Link) -> None:
        while True:
            version = self._board.config.version if self._board.config else 0
            link.post(Heartbeat(steady_ms(), self._board.leader_epoch, version))
            link.post(EntryAddressesQuery())
            await asyncio.sleep(self._board.times.heartbeat_ms / 1_000)

    def send_stored_record(self, item: KeyValue) -> None:
        """Send a stored record to the leader ahead of its watch; a lost message only costs time."""
        if self._link is not None:
            self._link.post(RecordStored(item.key, item.value))

    async def job_state(self, job_id: str, timeout_s: float) -> Shown | None:
        """Return the job's state as recorded by the leader, None if unknown or without a reply."""
        self._last_query_number += 1
        reply = await self._query(JobQuery(self._last_query_number, job_id), timeout_s)
        if not isinstance(reply, JobReply) or not reply.state:
            return None
        return Shown(reply.state, reply.reason)

    async def pending(self, queue: str, timeout_s: float) -> int | None:
        """Return the number of jobs of `queue` not yet started, None without a reply."""
        self._last_query_number += 1
        reply = await self._query(QueueQuery(self._last_query_number, queue), timeout_s)
        return reply.pending if isinstance(reply, QueueReply) else None

    async def _query(
        self, query: JobQuery | QueueQuery, timeout_s: float
    ) -> JobReply | QueueReply | None:
        link = self._link
        if link is None:
            return None
        future: asyncio.Future[JobReply | QueueReply] = asyncio.get_running_loop().create_future()
        self._pending_replies[query.number] = future
        link.post(query)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self._pending_replies.pop(query.number, None)
