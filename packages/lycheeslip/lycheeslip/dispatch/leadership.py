"""Elects the leader through a leased key in the store, and keeps a link to it elsewhere.

The revision at which the key was created is the term's epoch. Every write of the leader is
conditional on that revision, so that a leader that was replaced can't write.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import cbor2
from lycheeslip_common.store import Compare, Put
from lycheeslip_common.store.outcomes import Unreachable, Written
from lycheeslip_common.store.port import KeyValueStore, LeaseEnded, LeaseGranted
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning

from lycheeslip.dispatch.board import Board, Leadership
from lycheeslip.dispatch.keys import LEADER_KEY

__all__ = ["Election", "leader_in"]

RETRY_S = 0.25  # a killed leader's lease ends within 2 s; eight tries in that time
RELEASE_TIMEOUT_S = 0.5
DOUBT_FAILURES = 2  # renewals in a row that fail before others are told; one may fail by chance
DOUBT_READ_S = 0.4  # a store that serves this entry answers in 4 ms
AWAY_PAUSE_S = 1.0  # the store is away here too: its return is left to the leader


def leader_in(value: bytes) -> tuple[str, str] | None:
    """Return (node, session address) of the leader that `value` names."""
    try:
        node, address = cbor2.loads(value)
    except Exception:
        return None
    return str(node), str(address)


class Election:
    """Runs for leader whenever there is none, and renews the lease while leading."""

    def __init__(
        self,
        board: Board,
        store: KeyValueStore,
        lead: Callable[[], Awaitable[bool]],
        step_down: Callable[[], None],
        follow: Callable[[str], Coroutine[Any, Any, None]],
        tell_doubt: Callable[[], None],
    ) -> None:
        """`lead` loads what a leader needs; `follow` returns when the link to a leader ends.

        `tell_doubt` tells the others that this leader can't renew its lease.
        """
        self._tell_doubt = tell_doubt
        self._doubted = asyncio.Event()
        self._board = board
        self._store = store
        self._lead = lead
        self._step_down = step_down
        self._follow = follow

    async def run(self) -> None:
        """Lead or follow, for ever; each round lasts as long as the term or the link."""
        while True:
            await self._find_leader()
            await asyncio.sleep(RETRY_S)

    async def release(self) -> None:
        """Give up the lease, so that another entry can lead at once."""
        term = self._board.leadership
        if term is None:
            return
        self._end_term("leaving")
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._store.revoke(term.lease_id)
        except TimeoutError:
            log_warning("leader_lease_not_released", epoch=term.epoch)

    async def _find_leader(self) -> None:
        result = await self._store.read(LEADER_KEY)
        if isinstance(result, Unreachable) or self._board.is_leaving:
            return
        if not result.items:
            await self._run_for_leader()
            return
        item = result.items[0]
        named = leader_in(item.value)
        if named is None or named[1] == self._board.address:
            return  # a term of an earlier process at this address, which will lapse
        self._board.leader_address, self._board.leader_epoch = named[1], item.mod_revision
        if await self._follow_or_succeed(named[1], item.mod_revision):
            await self._serve_term()

    async def _follow_or_succeed(self, address: str, epoch: int) -> bool:
        """Follow a leader until its link ends or it is succeeded; returns whether by this entry."""
        self._doubted.clear()
        tasks = {
            asyncio.create_task(self._follow(address)),
            asyncio.create_task(self._succeed_when_doubted(epoch)),
        }
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()  # a fault of either goes to the supervisor, which logs it
        return self._board.leadership is not None

    def note_doubt(self) -> None:
        """Take in that the leader which this entry follows can't renew its lease."""
        self._doubted.set()

    async def _succeed_when_doubted(self, epoch: int) -> None:
        """Return once the leader of term `epoch` has been succeeded, by this entry or another.

        An entry that the store serves while it turns the leader away need not wait for the
        lease to end: the leader's writes are conditional on its term.
        """
        while True:
            await self._doubted.wait()
            result = await self._store.read(LEADER_KEY, DOUBT_READ_S)
            if isinstance(result, Unreachable) or self._board.is_leaving:
                await asyncio.sleep(AWAY_PAUSE_S)
                self._doubted.clear()
                continue
            self._doubted.clear()
            is_same = any(item.mod_revision == epoch for item in result.items)
            if not is_same or await self._acquire(epoch, self._board.times.leader_lease_ms):
                return

    async def _run_for_leader(self) -> None:
        if await self._acquire(0, 0):
            await self._serve_term()

    async def _acquire(self, expected_revision: int, predecessor_left_ms: int) -> bool:
        """Write the leader's key if it still is of `expected_revision` (0: there is none)."""
        asked_at = steady_ms()
        lease = await self._store.grant(self._board.times.leader_lease_ms)
        if not isinstance(lease, LeaseGranted):
            return False
        value = cbor2.dumps([self._board.node, self._board.address])
        outcome = await self._store.transact(
            [Compare(LEADER_KEY, expected_revision)], [Put(LEADER_KEY, value, lease.lease_id)]
        )
        if not isinstance(outcome, Written):
            await self._store.revoke(lease.lease_id)
            return False
        epoch, now = outcome.revision, steady_ms()
        self._board.leadership = Leadership(
            epoch, lease.lease_id, asked_at + lease.ttl_ms, now + predecessor_left_ms
        )
        self._board.leader_address, self._board.leader_epoch = self._board.address, epoch
        log_event("leader_elected", epoch=epoch, node=self._board.node, succeeded=expected_revision)
        return True

    async def _serve_term(self) -> None:
        renewing = asyncio.create_task(self._keep())
        try:
            await self._begin()
        finally:
            await renewing

    async def _begin(self) -> None:
        """Load what a leader needs, trying again while the store doesn't answer."""
        while self._board.leadership is not None:
            if await self._lead():
                return
            await asyncio.sleep(RETRY_S)

    async def _keep(self) -> None:
        failures = 0
        while (term := self._board.leadership) is not None:
            renew_s = self._board.times.leader_renew_ms / 1_000
            await asyncio.sleep(min(RETRY_S, renew_s) if failures else renew_s)
            asked_at = steady_ms()
            outcome = await self._store.renew(term.lease_id)
            if self._board.leadership is not term:
                return
            match outcome:
                case LeaseGranted(_, ttl_ms):
                    term.valid_until_ms = asked_at + ttl_ms
                    failures = 0
                case LeaseEnded():
                    self._end_term("lease_ended")
                case Unreachable(_, detail):
                    failures += 1
                    self._note_failure(term, failures, detail)

    def _note_failure(self, term: Leadership, failures: int, detail: str) -> None:
        log_warning("leader_renewal_failed", epoch=term.epoch, reason=detail, failures=failures)
        if failures >= DOUBT_FAILURES:
            self._tell_doubt()
        if steady_ms() > term.valid_until_ms + self._board.times.leader_grace_ms:
            self._end_term("unconfirmed")

    def _end_term(self, reason: str) -> None:
        term = self._board.leadership
        if term is None:
            return
        self._board.leadership = None
        self._board.leader_address = ""
        log_event("leader_stepped_down", epoch=term.epoch, reason=reason)
        self._step_down()

    def deposed(self) -> None:
        """End the term: a write showed that another leader has been elected."""
        self._end_term("replaced")
