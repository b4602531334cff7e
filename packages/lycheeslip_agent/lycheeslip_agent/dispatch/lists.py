"""Keeps the worker's lease and its lists of runs up to date."""

import asyncio

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import EndedRun, RunningRun

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.worker_port import (
    Announced,
    Held,
    NoAnswer,
    NoWorker,
    OtherLifetime,
    Rejected,
    WorkerPort,
)

__all__ = ["WorkerLists"]

WAIT_MS = 1_500  # a quiet worker costs one call in this time; ends answer at once
SHORT_WAIT_MS = 300  # latencies cover half a second, and calls on this instance cost little
CALLS_PER_LEASE = 4  # each call extends the lease; one may be lost, another late
UNRECORDED_PAUSE_S = 0.1  # ends not yet recorded answer at once; this bounds the calls meanwhile
RETRY_S = 0.2
GONE_AFTER_REFUSALS = 3  # a process that restarts listens again within two tries
CHECKPOINT_REPORT_MS = 1_000  # checkpoints change once a second


class WorkerLists:
    """Long-polls the worker; each call extends its lease as far as the agent's own reaches."""

    def __init__(self, board: Board, worker: WorkerPort) -> None:
        """Write what `worker` lists to `board`."""
        self._board = board
        self._worker = worker
        self._refusals = 0
        self._reported_at_ms = 0
        self._started_at_ms: dict[tuple[str, int], int] = {}

    def note_heartbeat(self, announced: Announced) -> bool:
        """Take in a worker's heartbeat; returns whether it is of the newest life."""
        board = self._board
        known = board.announced
        if known is not None:
            if announced.lifetime.born_ms < known.lifetime.born_ms:
                log_warning("stale_heartbeat", lifetime=announced.lifetime)
                return False
            is_same = announced.lifetime == known.lifetime
            if is_same and announced.sequence <= known.sequence:
                return True
            if not is_same:
                self._begin_lifetime(announced)
        if known is None:
            self._begin_lifetime(announced)
        if known is None or known._replace(sequence=0, remaining_ms=0) != announced._replace(
            sequence=0, remaining_ms=0
        ):
            board.to_report.set()
        board.announced = announced
        board.is_gone = False
        return True

    def _begin_lifetime(self, announced: Announced) -> None:
        board = self._board
        log_event("worker_announced", lifetime=announced.lifetime, service=announced.service)
        board.running.clear()
        board.ended = ()
        board.recorded_number = 0
        board.clock_ms = 0
        board.has_lists = False
        board.traits.clear()
        board.announced = announced
        self._started_at_ms.clear()
        self._refusals = 0
        board.to_hold.set()

    def note_departure(self, worker_id: str) -> bool:
        """Take in that a worker leaves; returns whether it is the one that is known."""
        announced = self._board.announced
        if announced is None or announced.lifetime.worker_id != worker_id:
            return False
        log_event("worker_leaves", lifetime=announced.lifetime)
        self._board.announced = announced._replace(is_ready=False)
        self._board.to_report.set()
        return True

    def note_started(self, task: str, run: int, checkpoint: str) -> None:
        """Take note of a start that the worker has confirmed, ahead of its next list."""
        self._started_at_ms[(task, run)] = steady_ms()
        self._board.running[task] = RunningRun(task, run, checkpoint, 0)

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            board = self._board
            if board.lifetime is None or board.epoch == 0:
                board.to_hold.clear()
                await board.to_hold.wait()
                continue
            await self._poll()

    async def _poll(self) -> None:
        board = self._board
        lifetime = board.lifetime
        assert lifetime is not None
        has_unrecorded = any(end.number > board.recorded_number for end in board.ended)
        lease = board.lease_on_worker_clock()
        wait_ms = self._wait_ms(lease) if board.has_lists and not has_unrecorded else 0
        asked_at = steady_ms()
        outcome = await self._worker.hold(
            lifetime, lease, board.epoch, board.recorded_number, wait_ms
        )
        if board.lifetime != lifetime:
            return
        match outcome:
            case Held(clock_ms, born_ms, running, ended):
                if born_ms and born_ms != lifetime.born_ms:
                    log_warning("worker_reborn", lifetime=lifetime, born_ms=born_ms)
                    await asyncio.sleep(RETRY_S)
                    return
                self._refusals = 0
                board.note_clock(clock_ms)
                self._take_lists(asked_at, running, ended)
                if has_unrecorded:
                    await asyncio.sleep(UNRECORDED_PAUSE_S)
            case NoWorker():
                await self._note_refusal()
            case OtherLifetime():
                log_warning("worker_lifetime_over", lifetime=lifetime)
                self._note_gone()
                await asyncio.sleep(RETRY_S)
            case Rejected(reason):
                log_warning("hold_rejected", reason=reason, epoch=board.epoch)
                await asyncio.sleep(RETRY_S)
            case NoAnswer(detail):
                board.counters.count("worker_silences")
                log_warning("worker_silent", reason=detail)
                await asyncio.sleep(RETRY_S)

    def _wait_ms(self, lease: int) -> int:
        """Return how long to wait for an end.

        Less while latencies have to be watched, and while runs wait for their lease, which an
        agent that has just started does not hold yet.
        """
        board = self._board
        is_pacing = any(board.filling_runs()) and any(board.serving_runs())
        is_short = is_pacing or (board.running and not lease)
        longest = board.times.run_lease_ms // CALLS_PER_LEASE
        return min(SHORT_WAIT_MS if is_short else WAIT_MS, longest)

    async def _note_refusal(self) -> None:
        self._refusals += 1
        if self._refusals == GONE_AFTER_REFUSALS:
            self._note_gone()
        await asyncio.sleep(RETRY_S)

    def _note_gone(self) -> None:
        """Take note that the worker's process has ended, and with it all runs."""
        board = self._board
        if board.is_gone:
            return
        log_event("worker_gone", lifetime=board.lifetime, running=len(board.running))
        board.is_gone = True
        board.running.clear()
        board.ended = ()
        board.has_lists = False
        board.to_report.set()

    def _take_lists(
        self, asked_at: int, running: tuple[RunningRun, ...], ended: tuple[EndedRun, ...]
    ) -> None:
        board = self._board
        listed = {run.task: run for run in running}
        over = {(end.task, end.run) for end in ended}
        for key, started_at in list(self._started_at_ms.items()):
            task, run = key
            known = board.running.get(task)
            if started_at < asked_at or key in over or known is None or known.run != run:
                del self._started_at_ms[key]
            elif task not in listed:
                listed[task] = known
        is_changed = (
            not board.has_lists
            or {run.task: run.run for run in listed.values()}
            != {run.task: run.run for run in board.running.values()}
            or {end.number for end in ended} != {end.number for end in board.ended}
        )
        is_due = steady_ms() - self._reported_at_ms >= CHECKPOINT_REPORT_MS and any(
            run.checkpoint for run in running
        )
        board.running = listed
        board.ended = ended
        board.has_lists = True
        board.lists_taken.set()
        if is_changed or is_due:
            self._reported_at_ms = steady_ms()
            board.to_report.set()
