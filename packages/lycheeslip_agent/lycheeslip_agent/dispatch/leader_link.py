"""Finds the leader and keeps a link to it, which renews the lease of the runs."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.workload.dialer import Dialer
from lycheeslip_common.workload.fleet import (
    EntryAddresses,
    EntryAddressesQuery,
    Heartbeat,
    HeartbeatReply,
    InvalidMessageError,
    RecordedEnds,
    Redirect,
    RunTraits,
    StartOrder,
    StopOrder,
)
from lycheeslip_common.workload.link import Link, LinkClosedError, LinkSilentError

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.orders import OrderExecutor

__all__ = ["LeaderLink"]

RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 0.6
SUCCESSOR_LOOKUP_S = 0.3  # only while the leader is unconfirmed; store reads are not rate-limited
REPORT_BATCH_S = 0.01  # batches changes that occur together into one report
REPORT_BATCH_PER_RUN_S = 0.00025  # a report lists all runs, which the leader goes through each time
BEATS_PER_ADDRESSES_QUERY = 10  # entries are replaced some times a day


class LeaderLink:
    """Keeps the agent's link to the current leader, found through entries and the store."""

    def __init__(
        self,
        board: Board,
        orders: OrderExecutor,
        seeds: Sequence[str],
        find_leader: Callable[[], Awaitable[tuple[str, int] | None]],
    ) -> None:
        """`find_leader` reads (address, epoch) from the store; `seeds` are entry addresses.

        The addresses that leaders send go before the seeds.
        """
        self._board = board
        self._orders = orders
        self._seeds = tuple(seeds)
        self._entry_addresses = list(seeds)
        self._dialer = Dialer("agent", board.node)
        self._silent_address = ""
        self._find_leader = find_leader
        self._redirect_address = ""
        self._is_leader_unconfirmed = False

    async def run(self) -> None:
        """Reconnect whenever the link ends."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S)
        attempt = 0
        while True:
            address = await self._next_address(attempt)
            attempt += 1
            if address and await self._run_link(address):
                backoff.reset()
            await asyncio.sleep(backoff.next_delay_s())

    async def _next_address(self, attempt: int) -> str:
        """Return the address to dial: the last redirect, else the stored leader, else any entry.

        The store names a lost leader until its lease ends; other entries know sooner.
        """
        if self._redirect_address:
            address, self._redirect_address = self._redirect_address, ""
            return address
        found = await self._find_leader()
        address = found[0] if found is not None and found[1] >= self._board.epoch else ""
        if address and address != self._silent_address:
            return address
        others = [other for other in self._entry_addresses if other != self._silent_address]
        return others[attempt % len(others)] if others else address

    async def _run_link(self, address: str) -> bool:
        """Open and serve one link; return whether its peer was the leader."""
        board = self._board
        try:
            link = await self._dialer.dial(address)
        except LinkClosedError as error:
            board.counters.count("link_failures")
            log_warning("entry_unreachable", address=address, reason=error)
            self._note_silence(address, error)
            return False
        sender = asyncio.create_task(link.run_sender())
        was_leader = False
        try:
            first = await link.receive(board.times.link_timeout_ms / 1_000)
            if not isinstance(first, Redirect) or first.epoch < board.epoch:
                return False
            if first.address != address:
                self._redirect_address = first.address
                return False
            board.epoch = first.epoch
            self._silent_address = ""
            board.poll_requested.set()
            was_leader = True
            await self._serve(link)
        except (LinkClosedError, InvalidMessageError) as error:
            log_warning("leader_lost", dependency="leader", address=address, reason=error)
            self._note_silence(address, error)
        finally:
            board.link = None
            sender.cancel()
            link.abort()
        return was_leader

    def _note_silence(self, address: str, error: Exception) -> None:
        if isinstance(error, LinkSilentError):
            self._silent_address = address

    async def _serve(self, link: Link) -> None:
        board = self._board
        log_event("leader_linked", address=link.node, epoch=board.epoch)
        senders = [
            asyncio.create_task(self._send_heartbeats(link)),
            asyncio.create_task(self._send_reports(link)),
            asyncio.create_task(self._watch_for_successor(link)),
        ]
        try:
            while self._handle(await link.receive(board.times.link_timeout_ms / 1_000)):
                pass
        finally:
            for task in senders:
                task.cancel()

    def _handle(self, message: object) -> bool:
        """Handle a message; return whether the peer is still the leader."""
        board = self._board
        match message:
            case HeartbeatReply(sent_ms, epoch, is_leader, is_confirmed=is_confirmed):
                if not is_leader or epoch < board.epoch:
                    return False
                self._is_leader_unconfirmed = not is_confirmed
                lease_until_ms = sent_ms + board.times.run_lease_ms if sent_ms else 0
                board.lease_until_ms = max(board.lease_until_ms, lease_until_ms)
            case StartOrder() | StopOrder():
                self._orders.handle(message)
            case RunTraits(lifetime, task):
                if lifetime == board.lifetime:
                    board.traits[task] = message
            case RecordedEnds(lifetime, number):
                if lifetime == board.lifetime:
                    board.last_recorded_end = max(board.last_recorded_end, number)
            case EntryAddresses(addresses):
                self._entry_addresses = list(dict.fromkeys((*addresses, *self._seeds)))
            case Redirect(address, _):
                self._redirect_address = address
                return False
            case _:
                log_warning("unexpected_message", kind=type(message).__name__)
        return True

    async def _send_heartbeats(self, link: Link) -> None:
        beats = 0
        while True:
            link.post(Heartbeat(steady_ms(), self._board.epoch))
            if beats % BEATS_PER_ADDRESSES_QUERY == 0:
                link.post(EntryAddressesQuery())
            beats += 1
            await asyncio.sleep(self._board.times.heartbeat_ms / 1_000)

    async def _watch_for_successor(self, link: Link) -> None:
        """Switch to a newer leader while the current one can't confirm its own leadership."""
        self._is_leader_unconfirmed = False
        while True:
            await asyncio.sleep(SUCCESSOR_LOOKUP_S)
            found = await self._find_leader() if self._is_leader_unconfirmed else None
            if found is not None and found[1] > self._board.epoch:
                log_event("leader_succeeded", address=found[0], epoch=found[1])
                self._redirect_address = found[0]
                link.abort()
                return

    async def _send_reports(self, link: Link) -> None:
        """Send a first report once the worker's lists are known, then one after each change.

        A report without a worker comes first if all earlier lifetimes are known to be over.
        """
        board = self._board
        while board.lifetime is not None and not board.has_run_lists and not board.is_worker_gone:
            board.report_due.clear()
            await board.report_due.wait()
        board.report_due.set()
        while True:
            await board.report_due.wait()
            runs = len(board.running) + len(board.pending_starts)
            await asyncio.sleep(max(REPORT_BATCH_S, REPORT_BATCH_PER_RUN_S * runs))
            board.report_due.clear()
            is_known = board.worker_status is not None and board.has_run_lists
            is_none = board.is_worker_gone or (
                board.worker_status is None and board.is_worker_unused
            )
            if not is_known and not is_none:
                continue
            board.link = link
            link.post(board.report())
