"""Keeps the worker's lease and its lists of runs up to date."""

import asyncio
from enum import StrEnum

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import EndedRun, Lifetime, RunningRun

from lycheeslip_agent.dispatch.board import LONG_AGO_MS, Board
from lycheeslip_agent.dispatch.worker_port import (
    NoAnswer,
    NoWorker,
    OtherLifetime,
    Rejected,
    RunLists,
    Taken,
    WorkerPort,
    WorkerStatus,
)

__all__ = ["HeartbeatOutcome", "WorkerLists"]

POLL_WAIT_MS = 1_500  # poll interval of an idle worker; it answers at once when a run ends
SHORT_POLL_WAIT_MS = 300  # latencies cover half a second; calls within the instance are cheap
POLLS_PER_LEASE = 4  # each poll extends the lease, so one may be lost and another late
UNRECORDED_PAUSE_S = 0.1  # limits the poll rate while unrecorded ends are answered at once
RETRY_S = 0.2
GONE_AFTER_REFUSED_CONNECTIONS = 3  # a restarting process listens again within two attempts
CHECKPOINT_REPORT_MS = 1_000  # checkpoints change once per second
CONFIRM_LIMIT_MS = 600  # the worker waits for an answer to its heartbeat for 1 s
CONFIRM_RETRY_S = 0.05
FENCE = "fence"  # reason for which a worker rejects an epoch lower than it has seen


class HeartbeatOutcome(StrEnum):
    """What became of a heartbeat."""

    ACCEPTED = "accepted"
    OTHER_LIFETIME = "other_lifetime"  # of another worker, or of an earlier lifetime
    UNCONFIRMED = "unconfirmed"  # the worker did not say whether it is of its present lifetime


class WorkerLists:
    """Long-polls the worker; each poll extends its lease up to the end of the agent's own."""

    def __init__(self, board: Board, worker: WorkerPort) -> None:
        """Poll `worker` and write its run lists to `board`."""
        self._board = board
        self._worker = worker
        self._refused_connections = 0
        self._reported_at_ms = 0
        self._answered_at_ms = 0
        self._unanswered_since_ms = 0
        self._started_at_ms: dict[tuple[str, int], int] = {}

    async def handle_heartbeat(self, worker_status: WorkerStatus) -> HeartbeatOutcome:
        """Handle a heartbeat that reached this agent.

        It may be another worker's, or have been delayed until after the lifetime that sent it. So
        one that names a new lifetime counts only once the worker has confirmed it at its address.
        """
        board = self._board
        lifetime = worker_status.lifetime
        if not self._is_current(lifetime):
            outcome = await self._confirm_lifetime(lifetime)
            if outcome is not HeartbeatOutcome.ACCEPTED:
                log_warning(
                    "heartbeat_rejected", lifetime=lifetime, known=board.lifetime, reason=outcome
                )
                board.counters.count("heartbeats_rejected", outcome)
                return outcome
        known = board.worker_status
        if known is None or known.lifetime != lifetime:
            self._begin_lifetime(worker_status)
        elif worker_status.sequence <= known.sequence:
            return HeartbeatOutcome.ACCEPTED
        if known is None or known._replace(sequence=0, remaining_ms=0) != worker_status._replace(
            sequence=0, remaining_ms=0
        ):
            board.report_due.set()
        was_ready = board.worker_status is None or board.worker_status.is_ready
        if was_ready and not worker_status.is_ready:
            log_event(
                "worker_draining",
                lifetime=worker_status.lifetime,
                remaining_ms=worker_status.remaining_ms,
                running=len(board.running),
            )
        board.worker_status = worker_status
        board.is_worker_gone = False
        return HeartbeatOutcome.ACCEPTED

    def _is_current(self, lifetime: Lifetime) -> bool:
        return lifetime == self._board.lifetime and not self._board.is_worker_gone

    async def _confirm_lifetime(self, lifetime: Lifetime) -> HeartbeatOutcome:
        """Ask the worker whether it is `lifetime`, for at most `CONFIRM_LIMIT_MS`."""
        board = self._board
        until_ms = steady_ms() + CONFIRM_LIMIT_MS
        while steady_ms() < until_ms:
            match await self._worker.confirm_lifetime(lifetime, board.epoch):
                case Taken():
                    return HeartbeatOutcome.ACCEPTED
                case OtherLifetime():
                    return HeartbeatOutcome.OTHER_LIFETIME
                case Rejected(reason) if reason == FENCE and board.worker_status is None:
                    # a new agent doesn't know the epoch yet; the id is that of the worker
                    return HeartbeatOutcome.ACCEPTED
                case _:
                    await asyncio.sleep(CONFIRM_RETRY_S)
        return HeartbeatOutcome.UNCONFIRMED

    def _begin_lifetime(self, worker_status: WorkerStatus) -> None:
        board = self._board
        self._record_crash()
        log_event(
            "worker_announced", lifetime=worker_status.lifetime, service=worker_status.service
        )
        has_seen_another = board.worker_clock_ms > 0
        board.has_seen_whole_lifetime = board.is_worker_unused or has_seen_another
        board.running.clear()
        board.ended = ()
        board.last_recorded_end = 0
        board.worker_clock_ms = 0
        board.has_run_lists = False
        board.traits.clear()
        board.worker_status = worker_status
        board.begun_at_ms.clear()
        self._started_at_ms.clear()
        self._answered_at_ms = steady_ms()
        self._unanswered_since_ms = 0
        self._refused_connections = 0
        board.poll_requested.set()

    def handle_deregistration(self, worker_id: str) -> bool:
        """Handle a worker's deregistration; return False if another worker is known here."""
        worker_status = self._board.worker_status
        if worker_status is None:
            return True
        if worker_status.lifetime.worker_id != worker_id:
            return False
        log_event("worker_leaves", lifetime=worker_status.lifetime)
        self._board.worker_status = worker_status._replace(is_ready=False)
        self._board.report_due.set()
        return True

    def record_run_started(self, task: str, run: int, checkpoint: str) -> None:
        """Record a start that the worker has confirmed but not listed yet."""
        self._answered_at_ms = steady_ms()
        self._unanswered_since_ms = 0
        self._started_at_ms[(task, run)] = steady_ms()
        self._board.begun_at_ms.setdefault((task, run), steady_ms())
        self._board.running[task] = RunningRun(task, run, checkpoint, 0)

    async def run(self) -> None:
        """Poll the worker until cancelled."""
        while True:
            board = self._board
            if board.lifetime is None or board.epoch == 0:
                board.poll_requested.clear()
                await board.poll_requested.wait()
                continue
            await self._poll()

    async def _poll(self) -> None:
        board = self._board
        lifetime = board.lifetime
        assert lifetime is not None
        has_unrecorded = any(end.number > board.last_recorded_end for end in board.ended)
        lease_end_ms = board.lease_end_on_worker_ms()
        wait_ms = (
            self._poll_wait_ms(lease_end_ms) if board.has_run_lists and not has_unrecorded else 0
        )
        polled_at_ms = steady_ms()
        outcome = await self._worker.hold(
            lifetime, lease_end_ms, board.epoch, board.last_recorded_end, wait_ms
        )
        if board.lifetime != lifetime:
            return
        if isinstance(outcome, Rejected):
            self._unanswered_since_ms = 0
        elif not isinstance(outcome, RunLists) and not self._unanswered_since_ms:
            self._unanswered_since_ms = steady_ms()
        match outcome:
            case RunLists(clock_ms, born_ms, running, ended):
                if born_ms and born_ms != lifetime.born_ms:
                    log_warning("worker_reborn", lifetime=lifetime, born_ms=born_ms)
                    await asyncio.sleep(RETRY_S)
                    return
                self._refused_connections = 0
                self._answered_at_ms = steady_ms()
                self._unanswered_since_ms = 0
                board.record_worker_clock(clock_ms)
                self._apply_lists(polled_at_ms, running, ended)
                if has_unrecorded:
                    await asyncio.sleep(UNRECORDED_PAUSE_S)
            case NoWorker():
                await self._count_refused_connection()
            case OtherLifetime():
                log_warning("worker_lifetime_over", lifetime=lifetime)
                self._mark_worker_gone()
                await asyncio.sleep(RETRY_S)
            case Rejected(reason):
                log_warning("hold_rejected", reason=reason, epoch=board.epoch)
                await asyncio.sleep(RETRY_S)
            case NoAnswer(detail):
                board.counters.count("worker_silences")
                log_warning("worker_silent", reason=detail)
                await asyncio.sleep(RETRY_S)

    def _poll_wait_ms(self, lease_end_ms: int) -> int:
        """Return how long the worker may hold the poll open until a run ends.

        The wait is short while filling runs are paced by latency, and while runs are listed but
        the agent holds no lease to extend theirs with, as just after its start.
        """
        board = self._board
        is_pacing = any(board.filling_runs()) and any(board.serving_runs())
        is_short = is_pacing or (board.running and not lease_end_ms)
        max_wait_ms = board.times.run_lease_ms // POLLS_PER_LEASE
        return min(SHORT_POLL_WAIT_MS if is_short else POLL_WAIT_MS, max_wait_ms)

    async def _count_refused_connection(self) -> None:
        self._refused_connections += 1
        if self._refused_connections == GONE_AFTER_REFUSED_CONNECTIONS:
            self._mark_worker_gone()
        await asyncio.sleep(RETRY_S)

    def _mark_worker_gone(self) -> None:
        """Record that the worker's process, and with it every run, has ended."""
        board = self._board
        if board.is_worker_gone:
            return
        log_event("worker_gone", lifetime=board.lifetime, running=len(board.running))
        self._record_crash()
        board.is_worker_gone = True
        board.running.clear()
        board.ended = ()
        board.has_run_lists = False
        board.report_due.set()

    def _record_crash(self) -> None:
        """Record that the current lifetime has crashed, unless it ended for another reason.

        A worker that leaves says so first, and one that was cut off was silent for long. A loss of
        power ends the agent too, which then knows of no earlier lifetime.
        """
        board = self._board
        status = board.worker_status
        if status is None or board.is_worker_gone or not status.is_ready:
            return
        silence_ms = steady_ms() - self._answered_at_ms
        if silence_ms > self._worker.max_crash_silence_ms:
            return
        # the first call that fails tells best when, since one is nearly always under way
        crash = board.record_crash(
            status.lifetime,
            self._unanswered_since_ms or steady_ms(),
            self._worker.max_order_delay_ms,
        )
        board.counters.count("worker_crashes")
        log_warning(
            "worker_crashed",
            lifetime=status.lifetime,
            running=len(board.running),
            starting=len(board.pending_starts),
            silence_ms=silence_ms,
            ago_ms=steady_ms() - crash.at_ms,
            youngest_run_ms=crash.runs[0].since_ms if crash.runs else -1,
        )

    def _apply_lists(
        self, polled_at_ms: int, running: tuple[RunningRun, ...], ended: tuple[EndedRun, ...]
    ) -> None:
        """Store the worker's lists, plus the runs that it confirmed after the poll was sent."""
        board = self._board
        listed = {run.task: run for run in running}
        ended_runs = {(end.task, end.run) for end in ended}
        for key, started_at_ms in list(self._started_at_ms.items()):
            task, run = key
            known = board.running.get(task)
            if (
                started_at_ms < polled_at_ms
                or key in ended_runs
                or known is None
                or known.run != run
            ):
                del self._started_at_ms[key]
            elif task not in listed:
                listed[task] = known
        is_changed = (
            not board.has_run_lists
            or {run.task: run.run for run in listed.values()}
            != {run.task: run.run for run in board.running.values()}
            or {end.number for end in ended} != {end.number for end in board.ended}
        )
        is_due = steady_ms() - self._reported_at_ms >= CHECKPOINT_REPORT_MS and any(
            run.checkpoint for run in running
        )
        self._record_begins(listed)
        board.running = listed
        board.ended = ended
        board.has_run_lists = True
        board.lists_updated.set()
        if is_changed or is_due:
            self._reported_at_ms = steady_ms()
            board.report_due.set()

    def _record_begins(self, listed: dict[str, RunningRun]) -> None:
        """Record when each listed run began."""
        board = self._board
        first_seen_ms = steady_ms() if board.has_run_lists else LONG_AGO_MS
        board.begun_at_ms = {
            (task, run.run): board.begun_at_ms.get((task, run.run), first_seen_ms)
            for task, run in listed.items()
        }
