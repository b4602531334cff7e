"""Runs one member of an attempt at the backend server, from its load to its end."""

import asyncio

from lycheeslip_common.structure.fleet import Grant
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.wire.messages import Control, ControlAction, GangPhase

from lycheeslip_agent.backend import BackendClient, BackendError, TaskDocument, TaskLoad
from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.gang import STOPPED_BY_ANCHOR, Member
from lycheeslip_agent.gang_link import AnchorLink
from lycheeslip_agent.grants import MemberKey

__all__ = ["MemberRun"]

RETRY_S = 0.1
MIN_RENEW_TIMEOUT_MS = 100
MAX_RENEW_TIMEOUT_MS = 1_000
WAITING_PINGS_PER_LEASE = 16
RUNNING_PINGS_PER_LEASE = 4
MAX_WAITING_INTERVAL_MS = 100
WAITING_MS_PER_MEMBER = 3
GIVE_UP_LEASES = 4
HOLD_MARGIN_MS = 2_000


class MemberRun:
    """One member's task; `member` is its state in the gang and `result` its ended task."""

    def __init__(
        self,
        board: Blackboard,
        backend: BackendClient,
        link: AnchorLink,
        member: Member,
        grant: Grant,
        lease_ms: int,
    ) -> None:
        """Create the run of a member whose task is not loaded yet."""
        self._board = board
        self._backend = backend
        self._link = link
        self.member = member
        self.key = MemberKey(grant.job_id, grant.attempt, grant.member)
        self.lease_ms = lease_ms
        self._members = grant.members
        self.result: TaskDocument | None = None
        self.checkpoint = ""
        self.may_have_started = False
        self._confirmed_until_ms = 0
        self._ended_at_ms = 0
        self._last_answer_at_ms = 0
        self._wake = asyncio.Event()
        self._watcher: asyncio.Task[None] | None = None

    async def load(self, load: TaskLoad) -> str:
        """Load the task; return "" or the reason for a failure."""
        try:
            await self._backend.load(self.key.task_id, load)
        except BackendError as error:
            self._board.metrics.count("backend.load_failed")
            return f"load_failed:{error.reason}"
        return ""

    def adopt(self, lease_deadline_ms: int) -> None:
        """Continue a task that already runs under a lease until `lease_deadline_ms`."""
        self.member.adopt(lease_deadline_ms)
        self.may_have_started = True
        self._confirmed_until_ms = lease_deadline_ms
        self._watcher = asyncio.create_task(self._watch())

    async def run(self) -> None:
        """Ping the anchor and act on its answers until the gang has ended.

        Once its own task has ended, a member also gives up if the anchor stays silent.
        """
        try:
            while not self._is_done():
                phase_before = self.member.phase
                await self._ping_once()
                if self.member.ended and not self._ended_at_ms:
                    await self._end()
                if self.member.phase is phase_before and not self.member.gang_ended:
                    await self._pause()
            await self._end()
        finally:
            if self._watcher is not None:
                self._watcher.cancel()
            await self._link.close()

    def wake(self) -> None:
        """End the pause before the next ping."""
        self._wake.set()

    def abort(self, reason: str) -> None:
        """Fail the member for `reason`, whether it runs or not."""
        self.member.fail(reason)
        self._wake.set()

    def abort_unstarted(self, reason: str) -> None:
        """Fail the member for `reason` unless its task may have been started."""
        if not self.may_have_started:
            self.abort(reason)

    async def control(self, message: Control) -> None:
        """Checkpoint, throttle or stop the task."""
        match message.action:
            case ControlAction.STOP:
                self.abort(f"interrupted:{message.reason}")
            case ControlAction.CHECKPOINT:
                await self._take_checkpoint(message.grace_ms)
                self.abort(f"interrupted:{message.reason}")
            case ControlAction.THROTTLE:
                await self._throttle(True)
            case ControlAction.UNTHROTTLE:
                await self._throttle(False)

    def _is_done(self) -> bool:
        if self.member.gang_ended:
            return True
        give_up_ms = GIVE_UP_LEASES * self.lease_ms
        heard_at_ms = max(self._ended_at_ms, self._last_answer_at_ms)
        return self._ended_at_ms > 0 and monotonic_ms() >= heard_at_ms + give_up_ms

    async def _ping_once(self) -> None:
        now_ms = monotonic_ms()
        self.member.step(now_ms)
        ping = self.member.ping(now_ms, self._board.start_refusal_reason(self.key, now_ms))
        lease = await self._link.exchange(ping, max(1, self.lease_ms // 2))
        now_ms = monotonic_ms()
        if lease is not None:
            self._last_answer_at_ms = now_ms
            self.member.on_lease(lease, now_ms)
        self.member.step(now_ms)
        if self.member.may_start(now_ms):
            await self._start()
        elif self.member.phase is GangPhase.RUNNING:
            await self._renew()
        elif (
            lease is not None
            and ping.phase is GangPhase.PREPARED
            and self._was_armed_before_leaving()
        ):
            # The anchor has not ordered the start, and this ping withdrew the armed state.
            self.abort_unstarted("leaving")

    def _was_armed_before_leaving(self) -> bool:
        return self.key in self._board.grants.armed_before_leaving

    async def _pause(self) -> None:
        match self.member.phase:
            case GangPhase.PREPARED | GangPhase.ARMED:
                waiting_ms = self.lease_ms // WAITING_PINGS_PER_LEASE
                pause_ms = min(MAX_WAITING_INTERVAL_MS, waiting_ms)
                pause_ms = max(pause_ms, self._members * WAITING_MS_PER_MEMBER)
            case _:
                pause_ms = self.lease_ms // RUNNING_PINGS_PER_LEASE
        try:
            async with asyncio.timeout(pause_ms / 1000):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    async def _start(self) -> None:
        now_ms = monotonic_ms()
        reason = self._board.start(self.key, now_ms)
        if reason:
            self._board.count_refusal(reason)
            self.member.fail(reason)
            return
        lease_deadline_ms = self.member.lease_deadline_ms
        not_after_ms = min(self._board.permit.deadline_ms, lease_deadline_ms)
        self.may_have_started = True
        was_unanswered = False
        while monotonic_ms() < not_after_ms:
            try:
                await self._backend.start(self.key.task_id, not_after_ms, lease_deadline_ms)
            except BackendError as error:
                if error.status:
                    # an earlier try may have run, and have crashed the backend server
                    self.may_have_started = was_unanswered
                    self.member.fail(f"start_refused:{error.reason}")
                    return
                was_unanswered = was_unanswered or not error.is_refused
                await asyncio.sleep(RETRY_S)
                continue
            self._confirmed_until_ms = lease_deadline_ms
            self.member.mark_started()
            self._board.mark_changed()
            self._watcher = asyncio.create_task(self._watch())
            log_event("task_started", task=self.key.task_id)
            return
        self.member.fail("start_unanswered")

    async def _renew(self) -> None:
        """Renew the lease at the backend server at every second ping, which halves the calls."""
        deadline_ms = self.member.lease_deadline_ms
        remaining_ms = self._confirmed_until_ms - monotonic_ms()
        if remaining_ms > self.lease_ms * 5 // 8 or deadline_ms <= self._confirmed_until_ms:
            return
        timeout_ms = max(MIN_RENEW_TIMEOUT_MS, min(MAX_RENEW_TIMEOUT_MS, remaining_ms))
        try:
            await self._backend.renew(self.key.task_id, deadline_ms, timeout_ms / 1000)
            self._confirmed_until_ms = deadline_ms
        except BackendError:
            self._board.metrics.count("backend.renew_failed")
            if monotonic_ms() >= self._confirmed_until_ms:
                self.member.fail("backend_lost")

    async def _watch(self) -> None:
        while True:
            try:
                document = await self._backend.watch(self.key.task_id)
            except BackendError as error:
                if error.status == 404:
                    self.abort("task_lost")
                    return
                if error.is_refused:
                    self.abort("backend_lost")
                    return
                await asyncio.sleep(RETRY_S)
                continue
            if document.ended:
                self._record_result(document)
                return

    def _record_result(self, document: TaskDocument) -> None:
        self.result = document
        match document.state:
            case "finished" if document.answer_fault():
                self.member.fail(f"task_failed:{document.answer_fault()}")
            case "finished":
                self.member.mark_finished()
            case "failed":
                self.member.fail("task_failed")
            case "lapsed":
                self.member.fail("lease_lapsed")
            case _:
                self.member.fail("interrupted:stopped_at_backend")
        self._wake.set()

    async def _end(self) -> None:
        """Ensure that the task does not run, then release its resources; a repeat does nothing."""
        if self._ended_at_ms:
            return
        if self.result is None:
            if self.key.member == 0 and self.member.reason == STOPPED_BY_ANCHOR:
                await self._take_checkpoint(0)
            await self._stop_at_backend()
        self._ended_at_ms = monotonic_ms()
        self._board.grants.end(self.key)
        self._board.mark_changed()
        log_event("task_ended", task=self.key.task_id, reason=self.member.reason or "finished")

    async def _stop_at_backend(self) -> None:
        """Stop the task; without an answer, wait until its lease or hold has expired."""
        held = self._board.grants.held_by_key.get(self.key)
        hold_end_ms = held.until_ms + HOLD_MARGIN_MS if held is not None else 0
        expires_at_ms = max(self.member.lease_deadline_ms, hold_end_ms)
        while True:
            try:
                await self._backend.stop(self.key.task_id)
                self.result = await self._backend.task(self.key.task_id)
                return
            except BackendError as error:
                if error.status == 404 or monotonic_ms() >= expires_at_ms:
                    return
            await asyncio.sleep(RETRY_S)

    async def _take_checkpoint(self, grace_ms: int) -> None:
        until_ms = monotonic_ms() + grace_ms
        while self.may_have_started and self.result is None:
            try:
                self.checkpoint = await self._backend.checkpoint(self.key.task_id)
            except BackendError:
                self._board.metrics.count("backend.checkpoint_failed")
            if self.checkpoint or monotonic_ms() >= until_ms:
                return
            await asyncio.sleep(RETRY_S)

    async def _throttle(self, throttled: bool) -> None:
        try:
            await self._backend.throttle(self.key.task_id, throttled)
        except BackendError:
            self._board.metrics.count("backend.throttle_failed")
            return
        self._board.grants.set_throttled(self.key, throttled)
        self._board.mark_changed()
