"""Elects the leader through a leased key in the store; other entries keep a link to the leader.

The revision at which a leader wrote the key is the epoch of its term. All writes of the leader are
conditional on that revision, so that a replaced leader can't write.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from lycheeslip_common.store import Compare, Put
from lycheeslip_common.store.outcomes import KeyValue, Unreachable, Written
from lycheeslip_common.store.port import KeyValueStore, LeaseEnded, LeaseGranted
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.usable import is_usable_address
from lycheeslip_common.workload.fleet import Redirect
from lycheeslip_common.workload.leader import decode_leader, encode_leader

from lycheeslip.dispatch.board import Board, Leadership
from lycheeslip.dispatch.keys import LEADER_KEY
from lycheeslip.dispatch.links import announce_leader, ask_for_leader

__all__ = ["Election", "campaign_delay_ms", "decode_leader"]

RETRY_S = 0.25  # a killed leader's lease expires within 2 s, which allows eight tries
RELEASE_TIMEOUT_S = 0.5
IN_DOUBT_FAILURES = 2  # failed renewals in a row before others are told; one may fail by chance
READ_TIMEOUT_S = 0.4  # a reachable store answers in 4 ms
TAKEOVER_RETRY_S = 1.0  # the store is unreachable here too; lets the leader renew first
ASK_TIMEOUT_S = 0.3  # other entries answer within a few ms
LOAD_LEASES = 2  # a reachable store takes a few calls of a few ms
ASK_PERIOD_MS = 1_000  # a leader announces itself too, so this finds only what that has missed
STRONG_PROCESSOR = 1.0  # cores; a leader of 160 workers uses half of one
WEAK_DELAY_MS = 300  # a stronger entry reads the leader's key every 0.25 s


def campaign_delay_ms(processor: float) -> int:
    """Return how long an entry with `processor` cores leaves a free term to stronger entries.

    Answers deployments whose entries differ: a leader plans for all, so a weak one holds up all.
    """
    return 0 if processor >= STRONG_PROCESSOR else WEAK_DELAY_MS


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
        self._followed_changed = asyncio.Event()  # the followed leader is in doubt or replaced
        self._announced: Redirect | None = None
        self._ask_again_at_ms = 0
        self._predecessor_lease_id = 0
        self._renewal: asyncio.Task[None] | None = None
        self._board = board
        self._store = store
        self._lead = lead
        self._step_down = step_down
        self._follow = follow

    async def run(self) -> None:
        """Lead or follow until cancelled; a round lasts as long as the term or the link."""
        while True:
            await self._lead_or_follow()
            if self._announced is None:
                await asyncio.sleep(RETRY_S)

    async def release(self, reason: str = "leaving") -> None:
        """Revoke the lease, so that another entry can lead at once."""
        term = self._board.leadership
        if term is None:
            return
        self._end_term(reason)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._store.revoke(term.lease_id)
        except TimeoutError:
            log_warning("leader_lease_not_released", epoch=term.epoch)

    async def _lead_or_follow(self) -> None:
        if self._announced is not None:
            announced, self._announced = self._announced, None
            await self._follow_leader(announced)
            return
        result = await self._store.read(LEADER_KEY, READ_TIMEOUT_S)
        if self._board.is_leaving:
            return
        if isinstance(result, Unreachable):
            found = await self._ask_entries()
            if found is not None:
                await self._follow_leader(found)
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
            await self._take_over_unled_term(item)
            return
        await self._follow_leader(Redirect(leader[1], item.mod_revision))

    async def _follow_leader(self, leader: Redirect) -> None:
        """Follow `leader` unless a newer one has announced itself; lead after a takeover."""
        if self._announced is not None or leader.epoch < self._board.leader_epoch:
            return
        self._board.leader_address, self._board.leader_epoch = leader
        if await self._follow_or_take_over(leader.address, leader.epoch):
            await self._serve_term()

    async def _ask_entries(self) -> Redirect | None:
        """Return the newest leader that other entries follow, while the store can't be read."""
        board = self._board
        if steady_ms() < self._ask_again_at_ms:
            return None
        self._ask_again_at_ms = steady_ms() + ASK_PERIOD_MS
        answers = await asyncio.gather(
            *(
                ask_for_leader(address, board.node, ASK_TIMEOUT_S)
                for address in board.entries.others(board.address)
            )
        )
        leaders = [
            leader
            for leader in answers
            if leader is not None
            and leader.address != board.address
            and leader.epoch >= board.leader_epoch
        ]
        return max(leaders, key=lambda leader: leader.epoch, default=None)

    def on_leader_announced(self, leader: Redirect) -> None:
        """Follow a leader of a newer term: the store has it, so all earlier terms are over."""
        board = self._board
        if leader.epoch <= board.leader_epoch or leader.address == board.address:
            return
        if not is_usable_address(leader.address):
            return
        self._announced = leader
        if board.leadership is not None:
            self._end_term("replaced", leader)
        board.leader_address, board.leader_epoch = leader
        self._followed_changed.set()

    async def _take_over_unled_term(self, record: KeyValue) -> None:
        """Succeed a term that nobody leads although its record is there.

        Another writer replaced the record by one that names no leader; or the term was of this
        address and has ended, as this process stepped down while the store was unreachable, or its
        predecessor at the same address led.
        """
        if await self._acquire(record.mod_revision, record.lease_id):
            await self._serve_term()

    async def _follow_or_take_over(self, address: str, epoch: int) -> bool:
        """Follow a leader until its link or term ends; returns whether this entry took over."""
        self._followed_changed.clear()
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
        self._followed_changed.set()

    async def _take_over_when_in_doubt(self, epoch: int) -> None:
        """Return once the leader of term `epoch` was replaced, by this entry or another.

        An entry that reaches the store when the leader can't need not wait for the lease to
        expire: the leader's writes are conditional on its term.
        """
        while True:
            await self._followed_changed.wait()
            self._followed_changed.clear()
            if self._announced is not None:
                return
            result = await self._store.read(LEADER_KEY, READ_TIMEOUT_S)
            if isinstance(result, Unreachable) or self._board.is_leaving:
                await asyncio.sleep(TAKEOVER_RETRY_S)
                self._followed_changed.clear()
                if self._announced is not None:
                    return
                continue
            record = next((item for item in result.items if item.mod_revision == epoch), None)
            if record is None or await self._acquire(epoch, record.lease_id):
                return

    async def _campaign(self) -> None:
        if await self._acquire(0, 0):
            await self._serve_term()

    async def _acquire(self, expected_revision: int, predecessor_lease_id: int) -> bool:
        """Write the leader key if its revision is `expected_revision` (0: the key is absent).

        The lease of a predecessor may not have expired; 0 if there is none.
        """
        if self._board.campaign_delay_ms:
            await asyncio.sleep(self._board.campaign_delay_ms / 1_000)
            if self._board.is_leaving or self._announced is not None:
                return False
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
        if epoch < self._board.leader_epoch:  # the write is old news: this process was suspended
            await self._store.revoke(lease.lease_id)
            return False
        predecessor_lease_ms = self._board.times.leader_lease_ms if expected_revision else 0
        self._board.leadership = Leadership(
            epoch, lease.lease_id, requested_at + lease.ttl_ms, now + predecessor_lease_ms
        )
        self._predecessor_lease_id = predecessor_lease_id
        self._board.leader_address, self._board.leader_epoch = self._board.address, epoch
        log_event("leader_elected", epoch=epoch, node=self._board.node, succeeded=expected_revision)
        return True

    async def _serve_term(self) -> None:
        renewal = self._renewal = asyncio.create_task(self._renew_lease())
        ending = asyncio.create_task(self._end_predecessor())
        try:
            await self._load_term()
            await asyncio.wait({renewal})
        finally:
            renewal.cancel()
            ending.cancel()
            self._end_term("failed")  # has ended already unless a controller failed
        if not renewal.cancelled():
            renewal.result()  # raises a failure to the supervisor, which logs it

    async def _end_predecessor(self) -> None:
        """Revoke the predecessor's lease, which it could renew and so take its term for valid."""
        term, lease_id = self._board.leadership, self._predecessor_lease_id
        while lease_id and term is not None and self._board.leadership is term:
            outcome = await self._store.revoke(lease_id)
            term.predecessor_until_ms = steady_ms() + self._board.times.leader_lease_ms
            if outcome is None:
                return
            await asyncio.sleep(RETRY_S)

    async def _load_term(self) -> None:
        """Load the leader's state, with retries; another entry may be able to if this one can't."""
        term = self._board.leadership
        give_up_at_ms = steady_ms() + LOAD_LEASES * self._board.times.leader_lease_ms
        while term is not None and self._board.leadership is term:
            if await self._lead():
                await self._announce_term(Redirect(self._board.address, term.epoch))
                return
            if steady_ms() > give_up_at_ms:
                await self.release("not_loaded")
            await asyncio.sleep(RETRY_S)

    async def _announce_term(self, leader: Redirect) -> None:
        """Tell all known entries who leads; the predecessor may have no other way to learn it."""
        board = self._board
        await asyncio.gather(
            *(
                announce_leader(address, board.node, leader)
                for address in board.entries.others(board.address)
            )
        )

    async def _renew_lease(self) -> None:
        failures = 0
        while (term := self._board.leadership) is not None:
            renew_s = self._board.times.leader_renew_ms / 1_000
            await asyncio.sleep(self._board.times.renewal_retry_ms / 1_000 if failures else renew_s)
            requested_at = steady_ms()
            outcome = await self._store.renew(term.lease_id)
            if self._board.leadership is not term:
                return
            match outcome:
                case LeaseGranted(_, ttl_ms):
                    term.valid_until_ms = requested_at + ttl_ms
                    if failures:
                        self._board.planning_needed.set()  # nothing was planned without the lease
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

    def _end_term(self, reason: str, successor: Redirect | None = None) -> None:
        term = self._board.leadership
        if term is None:
            return
        self._board.leadership = None
        self._board.leader_address = successor.address if successor else ""
        self._board.leader_epoch = successor.epoch if successor else term.epoch
        log_event("leader_stepped_down", epoch=term.epoch, reason=reason)
        if self._renewal is not None:
            self._renewal.cancel()
        self._step_down()

    def on_term_lost(self) -> None:
        """End the term after a write failed because another leader was elected."""
        self._end_term("replaced")
