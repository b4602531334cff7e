"""Finds the leader, keeps a link to it, and with it the lease of the runs."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.workload.fleet import (
    Heartbeat,
    HeartbeatReply,
    InvalidMessageError,
    RecordedEnds,
    Redirect,
    RunTraits,
    StartOrder,
    StopOrder,
)
from lycheeslip_common.workload.link import Link, LinkClosedError, dial

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.orders import Orders

__all__ = ["LeaderLink"]

RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 0.6
SUCCESSOR_LOOKUP_S = 0.3  # while the leader's lease is in doubt; such reads are not rate-limited
REPORT_PAUSE_S = 0.01  # changes that come together share a report


class LeaderLink:
    """Links up with whoever leads; entries and the store tell who that is."""

    def __init__(
        self,
        board: Board,
        orders: Orders,
        seeds: Sequence[str],
        find_leader: Callable[[], Awaitable[tuple[str, int] | None]],
    ) -> None:
        """`find_leader` asks the store for (address, epoch); `seeds` are entries to ask."""
        self._board = board
        self._orders = orders
        self._seeds = list(seeds)
        self._find_leader = find_leader
        self._hint = ""
        self._is_in_doubt = False

    async def run(self) -> None:
        """Link up again whenever the link ends."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S)
        attempt = 0
        while True:
            address = await self._next_address(attempt)
            attempt += 1
            if address and await self._hold_link(address):
                backoff.reset()
            await asyncio.sleep(backoff.next_delay_s())

    async def _next_address(self, attempt: int) -> str:
        """Return whom to dial: where the last answer pointed, the store's leader, or a seed."""
        if self._hint:
            address, self._hint = self._hint, ""
            return address
        found = await self._find_leader()
        if found is not None and found[1] >= self._board.epoch:
            return found[0]
        return self._seeds[attempt % len(self._seeds)] if self._seeds else ""

    async def _hold_link(self, address: str) -> bool:
        """Serve one link; returns whether its peer was the leader."""
        board = self._board
        try:
            link = await dial(address, "agent", board.node)
        except LinkClosedError as error:
            board.counters.count("link_failures")
            log_warning("entry_unreachable", address=address, reason=error)
            return False
        sender = asyncio.create_task(link.run_sender())
        was_leader = False
        try:
            first = await link.receive(board.times.link_timeout_ms / 1_000)
            if not isinstance(first, Redirect) or first.epoch < board.epoch:
                return False
            if first.address != address:
                self._hint = first.address
                return False
            board.epoch = first.epoch
            board.to_hold.set()
            was_leader = True
            await self._serve(link)
        except (LinkClosedError, InvalidMessageError) as error:
            log_warning("leader_lost", dependency="leader", address=address, reason=error)
        finally:
            board.link = None
            sender.cancel()
            link.abort()
        return was_leader

    async def _serve(self, link: Link) -> None:
        board = self._board
        log_event("leader_linked", address=link.node, epoch=board.epoch)
        speaking = [
            asyncio.create_task(self._beat(link)),
            asyncio.create_task(self._report(link)),
            asyncio.create_task(self._watch_for_successor(link)),
        ]
        try:
            while self._take(await link.receive(board.times.link_timeout_ms / 1_000)):
                pass
        finally:
            for task in speaking:
                task.cancel()

    def _take(self, message: object) -> bool:
        """Handle a message; returns whether the peer still leads."""
        board = self._board
        match message:
            case HeartbeatReply(sent_ms, epoch, is_leader, is_confirmed=is_confirmed):
                if not is_leader or epoch < board.epoch:
                    return False
                self._is_in_doubt = not is_confirmed
                lease_until_ms = sent_ms + board.times.run_lease_ms
                board.lease_until_ms = max(board.lease_until_ms, lease_until_ms)
            case StartOrder() | StopOrder():
                self._orders.take(message)
            case RunTraits(lifetime, task):
                if lifetime == board.lifetime:
                    board.traits[task] = message
            case RecordedEnds(lifetime, number):
                if lifetime == board.lifetime:
                    board.recorded_number = max(board.recorded_number, number)
            case Redirect(address, _):
                self._hint = address
                return False
            case _:
                log_warning("unexpected_message", kind=type(message).__name__)
        return True

    async def _beat(self, link: Link) -> None:
        while True:
            link.post(Heartbeat(steady_ms(), self._board.epoch))
            await asyncio.sleep(self._board.times.heartbeat_ms / 1_000)

    async def _watch_for_successor(self, link: Link) -> None:
        """Move on to a newer leader while the present one can't tell whether it still leads."""
        self._is_in_doubt = False
        while True:
            await asyncio.sleep(SUCCESSOR_LOOKUP_S)
            found = await self._find_leader() if self._is_in_doubt else None
            if found is not None and found[1] > self._board.epoch:
                log_event("leader_succeeded", address=found[0], epoch=found[1])
                self._hint = found[0]
                link.abort()
                return

    async def _report(self, link: Link) -> None:
        """Send a first report once the worker's lists are known, then one for each change."""
        board = self._board
        while board.lifetime is not None and not board.has_lists and not board.is_gone:
            board.to_report.clear()
            await board.to_report.wait()
        board.to_report.set()
        while True:
            await board.to_report.wait()
            await asyncio.sleep(REPORT_PAUSE_S)
            board.to_report.clear()
            if board.announced is None or not (board.has_lists or board.is_gone):
                continue
            board.link = link
            link.post(board.report())
