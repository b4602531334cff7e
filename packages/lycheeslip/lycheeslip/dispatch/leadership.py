"""Elects the leader through a leased key in the store; other entries keep a link to the leader.

The revision at which a leader wrote the key is the epoch of its term. All writes of the leader are
conditional on that revision, so that a replaced leader can't write.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from lycheeslip_common.store import Compare, Put
from lycheeslip_common.store.outcomes import Unreachable, Written
from lycheeslip_common.store.port import KeyValueStore, LeaseEnded, LeaseGranted
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.leader import decode_leader, encode_leader

from lycheeslip.dispatch.board import Board, Leadership
from lycheeslip.dispatch.keys import LEADER_KEY

__all__ = ["Election", "decode_leader"]

RETRY_S = 0.25  # a killed leader's lease expires within 2 s, which allows eight tries
RELEASE_TIMEOUT_S = 0.5
IN_DOUBT_FAILURES = 2  # failed renewals in a row before others are told; one may fail by chance
TAKEOVER_READ_TIMEOUT_S = 0.4  # a reachable store answers in 4 ms
TAKEOVER_RETRY_S = 1.0  # the store is unreachable here too; lets the leader renew first


class Election:
    """Campaigns for leadership while there is no leader, and renews the lease while leading."""

    def __init__(
        self,
        board: Board,
        store: KeyValueStore,
        lead: Callable[[], Awaitable[bool]],
        step_down: Callable[[], None],
        follow: Callable[[str], Coroutine[Any, Any, None]],
        notify_lease_in_doubt: Callable[[], None],
    ) -> None:
        """`lead` loads the leader's state and returns whether it succeeded.

        `step_down` is called when the term ends; `follow` returns when the link to a leader ends;
        `notify_lease_in_doubt` notifies followers that this leader can't renew its lease.
        """
        self._notify_lease_in_doubt = notify_lease_in_doubt
        self._is_leader_in_doubt = asyncio.Event()
        self._board = board
        self._store = store
        self._lead = lead
        self._step_down = step_down
        self._follow = follow

    async def run(self) -> None:
        """Lead or follow until cancelled; a round lasts as long as the term or the link."""
        while True:
            await self._lead_or_follow()
            await asyncio.sleep(RETRY_S)

    async def release(self) -> None:
        """Revoke the lease, so that another entry can lead at once."""
        term = self._board.leadership
        if term is None:
            return
        self._end_term("leaving")
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._store.revoke(term.lease_id)
        except TimeoutError:
            log_warning("leader_lease_not_released", epoch=term.epoch)

    async def _lead_or_follow(self) -> None:
        result = await self._store.read(LEADER_KEY)
        if isinstance(result, Unreachable) or self._board.is_leaving:
            return
        if not result.items:
            await self._campaign()
            return
        item = result.items[0]
        leader = decode_leader(item.value)
        if leader is None:
            log_warning("leader_record_unusable", revision=item.mod_revision)
            self._board.counters.count("unusable_values", "leader_record")
        if leader is None or leader[1] == self._board.address:
            await self._take_over_unled_term(item.mod_revision)
            return
        self._board.leader_address, self._board.leader_epoch = leader[1], item.mod_revision
        if await self._follow_or_take_over(leader[1], item.mod_revision):
            await self._serve_term()

    async def _take_over_unled_term(self, epoch: int) -> None:
        """Succeed a term that nobody leads although its record is there.

        Another writer replaced the record by one that names no leader; or the term was of this
        address and has ended, as this process stepped down while the store was unreachable, or its
        predecessor at the same address led.
        """
        if await self._acquire(epoch, self._board.times.leader_lease_ms):
            await self._serve_term()

    async def _follow_or_take_over(self, address: str, epoch: int) -> bool:
        """Follow a leader until its link or term ends; returns whether this entry took over."""
        self._is_leader_in_doubt.clear()
        tasks = {
            asyncio.create_task(self._follow(address)),
            asyncio.create_task(self._take_over_when_in_doubt(epoch)),
        }
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()  # raises a failure to the supervisor, which logs it
        return self._board.leadership is not None

    def on_leader_in_doubt(self) -> None:
        """Handle the notice that the followed leader can't renew its lease."""
        self._is_leader_in_doubt.set()

    async def _take_over_when_in_doubt(self, epoch: int) -> None:
        """Return once the leader of term `epoch` was replaced, by this entry or another.

        An entry that reaches the store when the leader can't need not wait for the lease to
        expire: the leader's writes are conditional on its term.
        """
        while True:
            await self._is_leader_in_doubt.wait()
            result = await self._store.read(LEADER_KEY, TAKEOVER_READ_TIMEOUT_S)
            if isinstance(result, Unreachable) or self._board.is_leaving:
                await asyncio.sleep(TAKEOVER_RETRY_S)
                self._is_leader_in_doubt.clear()
                continue
            self._is_leader_in_doubt.clear()
            is_same_term = any(item.mod_revision == epoch for item in result.items)
            if not is_same_term or await self._acquire(epoch, self._board.times.leader_lease_ms):
                return

    async def _campaign(self) -> None:
        if await self._acquire(0, 0):
            await self._serve_term()

    async def _acquire(self, expected_revision: int, predecessor_lease_ms: int) -> bool:
        """Write the leader key if its revision is `expected_revision` (0: the key is absent)."""
        requested_at = steady_ms()
        lease = await self._store.grant(self._board.times.leader_lease_ms)
        if not isinstance(lease, LeaseGranted):
            return False
        value = encode_leader(self._board.node, self._board.address)
        outcome = await self._store.transact(
            [Compare(LEADER_KEY, expected_revision)], [Put(LEADER_KEY, value, lease.lease_id)]
        )
        if not isinstance(outcome, Written):
            await self._store.revoke(lease.lease_id)
            return False
        epoch, now = outcome.revision, steady_ms()
        self._board.leadership = Leadership(
            epoch, lease.lease_id, requested_at + lease.ttl_ms, now + predecessor_lease_ms
        )
        self._board.leader_address, self._board.leader_epoch = self._board.address, epoch
        log_event("leader_elected", epoch=epoch, node=self._board.node, succeeded=expected_revision)
        return True

    async def _serve_term(self) -> None:
        renewal = asyncio.create_task(self._renew_lease())
        try:
            await self._load_term()
        finally:
            await renewal

    async def _load_term(self) -> None:
        """Load the leader's state, with retries while the store doesn't answer."""
        while self._board.leadership is not None:
            if await self._lead():
                return
            await asyncio.sleep(RETRY_S)

    async def _renew_lease(self) -> None:
        failures = 0
        while (term := self._board.leadership) is not None:
            renew_s = self._board.times.leader_renew_ms / 1_000
            await asyncio.sleep(min(RETRY_S, renew_s) if failures else renew_s)
            requested_at = steady_ms()
            outcome = await self._store.renew(term.lease_id)
            if self._board.leadership is not term:
                return
            match outcome:
                case LeaseGranted(_, ttl_ms):
                    term.valid_until_ms = requested_at + ttl_ms
                    failures = 0
                case LeaseEnded():
                    self._end_term("lease_ended")
                case Unreachable(_, detail):
                    failures += 1
                    self._handle_renewal_failure(term, failures, detail)

    def _handle_renewal_failure(self, term: Leadership, failures: int, detail: str) -> None:
        log_warning("leader_renewal_failed", epoch=term.epoch, reason=detail, failures=failures)
        if failures >= IN_DOUBT_FAILURES:
            self._notify_lease_in_doubt()
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

    def on_term_lost(self) -> None:
        """End the term after a write failed because another leader was elected."""
        self._end_term("replaced")
