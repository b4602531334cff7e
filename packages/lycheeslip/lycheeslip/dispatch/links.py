"""Links of this entry: agents and other entries that link up, and its own link to the leader."""

import asyncio
from collections.abc import Callable

from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import (
    ConfigRelay,
    Farewell,
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
from lycheeslip_common.workload.link import Link, LinkClosedError, dial
from lycheeslip_common.workload.progress import JobState

from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.dispatcher import Dispatcher

__all__ = ["LeaderLink", "LinkServer", "pending_jobs"]


DOUBTED_RENEWALS = 1.8  # since the last one that succeeded: one has failed or is late


def pending_jobs(board: Board, queue: str) -> int:
    """Return how many accepted jobs of `queue` have not started a task."""
    return sum(
        job.progress.spec.queue == queue and job.progress.state == JobState.QUEUED
        for job in board.jobs.values()
    )


class LinkServer:
    """Serves agents and entries while this entry leads; names the leader to them otherwise."""

    def __init__(
        self, board: Board, dispatcher: Dispatcher, take_stored: Callable[[KeyValue], None]
    ) -> None:
        """Pass reports to `dispatcher`, and what other entries have stored to `take_stored`."""
        self._take_stored = take_stored
        self._board = board
        self._dispatcher = dispatcher
        self._links: set[Link] = set()

    async def serve(self, link: Link) -> None:
        """Serve one link until it ends or this entry no longer leads."""
        board = self._board
        link.post(Redirect(board.leader_address, board.leader_epoch))
        if board.leadership is None or not board.is_loaded:
            await asyncio.sleep(0.05)  # lets the redirect out before the link is dropped
            return
        self._links.add(link)
        try:
            while board.leadership is not None:
                message = await link.receive(board.times.link_timeout_ms / 1_000)
                self._handle(link, message)
        except (LinkClosedError, InvalidMessageError) as error:
            if link.role == "agent":
                log_warning("agent_link_ended", node=link.node, reason=error)
        finally:
            self._links.discard(link)
            self._forget(link)

    def tell_doubt(self) -> None:
        """Tell everybody that this leader's lease is in doubt, ahead of their heartbeats."""
        term = self._board.leadership
        if term is not None:
            for link in self._links:
                link.post(HeartbeatReply(0, term.epoch, True, is_confirmed=False))

    def drop_all(self) -> None:
        """End all links: this entry no longer leads."""
        for link in list(self._links):
            link.post(Redirect("", 0))
            link.abort()

    def _forget(self, link: Link) -> None:
        view = self._board.workers.get(link.node)
        if view is not None and view.link is link:
            view.link = None
            self._board.work_to_plan.set()

    def _handle(self, link: Link, message: object) -> None:
        match message:
            case Heartbeat(sent_ms, _, config_version):
                self._extend(link, sent_ms)
                if link.role == "entry":
                    self._relay_config(link, config_version)
            case WorkerReport():
                self._dispatcher.take_report(link.node, link, message)
            case OrderResult():
                self._dispatcher.take_order_result(link.node, message)
            case RecordStored(key, value):
                self._take_stored(KeyValue(key, value, 0))
            case JobQuery(number, job_id):
                job = self._board.jobs.get(job_id)
                link.post(JobReply(number, job.recorded_state.value if job else ""))
            case QueueQuery(number, queue):
                link.post(QueueReply(number, pending_jobs(self._board, queue)))
            case Farewell(reason):
                log_event("agent_leaving", node=link.node, reason=reason)
            case _:
                log_warning("unexpected_message", node=link.node, kind=type(message).__name__)

    def _extend(self, link: Link, sent_ms: int) -> None:
        """Extend an agent's lease while this entry certainly leads, and a little longer.

        Other entries run for leader as soon as the lease in the store may have ended.
        """
        board = self._board
        term = board.leadership
        if term is None:
            return
        overhang_ms = board.times.leader_grace_ms if link.role == "agent" else 0
        if steady_ms() - term.valid_until_ms > overhang_ms:
            link.post(HeartbeatReply(sent_ms, term.epoch, False))
            return
        view = board.workers.get(link.node)
        if view is not None and view.link is link:
            view.heard_at_ms = steady_ms()
        version = board.config.version if board.config else 0
        unrenewed_ms = board.times.leader_lease_ms - (term.valid_until_ms - steady_ms())
        is_confirmed = unrenewed_ms < DOUBTED_RENEWALS * board.times.leader_renew_ms
        link.post(
            HeartbeatReply(sent_ms, term.epoch, True, version, board.config_age_ms, is_confirmed)
        )

    def _relay_config(self, link: Link, known_version: int) -> None:
        """Send the configuration to an entry that the store may have turned away."""
        config, item = self._board.config, self._board.config_item
        if config is not None and item is not None and known_version < config.version:
            link.post(ConfigRelay(item.key, item.value, item.mod_revision))


class LeaderLink:
    """The entry's link to the leader, by which it asks about jobs and queues."""

    def __init__(
        self,
        board: Board,
        note_config: Callable[[KeyValue], None],
        note_doubt: Callable[[], None],
    ) -> None:
        """Start without a link; configurations that the leader relays go to `note_config`.

        `note_doubt` is called when the leader says that its lease is in doubt.
        """
        self._note_doubt = note_doubt
        self._board = board
        self._note_config = note_config
        self._link: Link | None = None
        self._number = 0
        self._answers: dict[int, asyncio.Future[JobReply | QueueReply]] = {}

    async def follow(self, address: str) -> None:
        """Hold a link to the leader at `address` until it ends or says that it doesn't lead."""
        try:
            link = await dial(address, "entry", self._board.node)
        except LinkClosedError as error:
            log_warning("leader_unreachable", address=address, reason=error)
            return
        sender = asyncio.create_task(link.run_sender())
        beating = asyncio.create_task(self._beat(link))
        self._link = link
        log_event("leader_linked", address=address, epoch=self._board.leader_epoch)
        try:
            while not self._board.is_leaving:
                message = await link.receive(self._board.times.link_timeout_ms / 1_000)
                if not self._take(message):
                    return
        except (LinkClosedError, InvalidMessageError) as error:
            log_warning("leader_lost", dependency="leader", address=address, reason=error)
        finally:
            self._link = None
            beating.cancel()
            sender.cancel()
            link.abort()

    def _take(self, message: object) -> bool:
        match message:
            case HeartbeatReply(sent_ms, _, is_leader, version, age_ms, is_confirmed):
                self._confirm_config(version, sent_ms - age_ms)
                if not is_confirmed:
                    self._note_doubt()
                return is_leader
            case ConfigRelay(key, value, revision):
                self._note_config(KeyValue(key, value, revision))
            case Redirect(address, _):
                return bool(address)
            case JobReply(number, _) | QueueReply(number, _):
                waiting = self._answers.pop(number, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(message)
        return True

    def _confirm_config(self, version: int, at_ms: int) -> None:
        """Take over the leader's confirmation if it is of the version that is known here."""
        board = self._board
        if board.config is not None and board.config.version == version:
            board.confirmed_at_ms = max(board.confirmed_at_ms, at_ms)

    async def _beat(self, link: Link) -> None:
        while True:
            version = self._board.config.version if self._board.config else 0
            link.post(Heartbeat(steady_ms(), self._board.leader_epoch, version))
            await asyncio.sleep(self._board.times.heartbeat_ms / 1_000)

    def tell_stored(self, item: KeyValue) -> None:
        """Tell the leader of a record ahead of its watch; a lost message costs only time."""
        if self._link is not None:
            self._link.post(RecordStored(item.key, item.value))

    async def job_state(self, job_id: str, timeout_s: float) -> str:
        """Return the job's state as the leader has recorded it, or "" if it doesn't say."""
        self._number += 1
        answer = await self._ask(JobQuery(self._number, job_id), timeout_s)
        return answer.state if isinstance(answer, JobReply) else ""

    async def pending(self, queue: str, timeout_s: float) -> int | None:
        """Return the number of jobs of `queue` that wait, or None if the leader doesn't say."""
        self._number += 1
        answer = await self._ask(QueueQuery(self._number, queue), timeout_s)
        return answer.pending if isinstance(answer, QueueReply) else None

    async def _ask(
        self, query: JobQuery | QueueQuery, timeout_s: float
    ) -> JobReply | QueueReply | None:
        link = self._link
        if link is None:
            return None
        future: asyncio.Future[JobReply | QueueReply] = asyncio.get_running_loop().create_future()
        self._answers[query.number] = future
        link.post(query)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self._answers.pop(query.number, None)
