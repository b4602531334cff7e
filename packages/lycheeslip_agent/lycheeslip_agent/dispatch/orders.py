"""Executes start and stop orders, with retries until the outcome is certain."""

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.workload.fleet import Lifetime, OrderResult, StartOrder, StopOrder

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.lists import WorkerLists
from lycheeslip_agent.dispatch.shared_calls import SharedCall
from lycheeslip_agent.dispatch.worker_port import (
    HoldOutcome,
    NoAnswer,
    NoWorker,
    OrderOutcome,
    OtherLifetime,
    Rejected,
    RunLists,
    Taken,
    WorkerPort,
)

__all__ = ["OrderExecutor"]

RETRY_S = 0.1
# A worker that refuses stops is overloaded or unhealthy, for seconds or for a call by chance.
REFUSED_RETRY_FIRST_S = 0.4
REFUSED_RETRY_LIMIT_S = 2.0
UNHEALTHY = "unhealthy"  # reason for which a worker refuses single calls, or all for a while
SILENT = "silent"  # reason of an order that isn't sent, since the worker may carry it out late
SILENCE_MS = 700  # some calls may be lost by chance, but hardly four in a row
# Of the 64 connections that a worker takes; the other half is for polls, checks and speed limits.
MAX_STARTS_AT_ONCE = 16
MAX_STOPS_AT_ONCE = 16
# Reasons of rejected starts whose run may have begun: earlier, or without having been listed yet.
UNCERTAIN_REASONS = frozenset({"old", "not_listed"})
CHECK_VALID_MS = 300  # from the begin of a check; a worker that crashes takes longer to be back


@dataclass(frozen=True, slots=True)
class CheckExpired:
    """No start was sent, since the check before it had become too old in the queue of starts."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No start was sent, since the worker did not confirm its lifetime in the check before it.

    `reason` is that of the order's result if it is given up; the check took `waited_ms`.
    """

    reason: str
    waited_ms: int


class Listing(Enum):
    """Where the worker's lists show a run."""

    RUNNING = auto()
    ENDED = auto()
    ABSENT = auto()


class OrderExecutor:
    """Executes each order in its own task; an order that is already in progress is ignored.

    A burst of orders has to wait for its turn at the worker, which is no fault of the worker's.
    """

    def __init__(self, board: Board, worker: WorkerPort, lists: WorkerLists) -> None:
        """Call `worker`, and pass confirmed starts on to `lists`."""
        self._board = board
        self._worker = worker
        self._lists = lists
        self._tasks: dict[tuple[str, int, str], asyncio.Task[None]] = {}
        self._stopped: set[tuple[str, int]] = set()
        self._starts = asyncio.Semaphore(MAX_STARTS_AT_ONCE)
        self._stops = asyncio.Semaphore(MAX_STOPS_AT_ONCE)
        self._checks = SharedCall(self._check_lifetime)
        self._listings = SharedCall(self._read_lists)

    def handle(self, order: StartOrder | StopOrder) -> None:
        """Start executing `order` in the background."""
        match order:
            case StartOrder():
                self._spawn((order.task, order.run, "start"), self._start(order))
            case StopOrder():
                self._stopped.add((order.task, order.run))
                self._spawn((order.task, order.run, "stop"), self._stop(order))

    def _spawn(self, key: tuple[str, int, str], work) -> None:  # type: ignore[no-untyped-def]
        if key in self._tasks:
            work.close()
            return
        task = asyncio.create_task(work)
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    async def _start(self, order: StartOrder) -> None:
        """Start a run, or report why it isn't started.

        A start may be carried out late, and a repeated one would start the run again in the next
        lifetime of a worker that keeps its id. So one is sent only once the worker has answered in
        the lifetime that the order is for. A repeated order may have been sent, without an answer,
        by an earlier process of this agent.
        """
        board = self._board
        run_key = (order.task, order.run)
        board.pending_starts[run_key] = steady_ms()
        was_unanswered = order.is_repeated and not board.has_seen_whole_lifetime
        silent_ms = 0
        try:
            while True:
                refusal = self._refusal_reason(order)
                if refusal == "worker_gone" and was_unanswered:
                    return  # it may have run; the leader ends it with its worker
                if refusal:
                    await self._report_not_started(order, refusal, was_unanswered)
                    return
                match await self._check_and_start(order):
                    case CheckExpired():
                        continue
                    case NotSent(reason, waited_ms):
                        silent_ms += waited_ms
                        if silent_ms >= SILENCE_MS and not was_unanswered:
                            self._post_result(order.lifetime, order.task, order.run, reason)
                            return
                        board.counters.count("start_retries", reason)
                        await asyncio.sleep(RETRY_S)
                        silent_ms += int(RETRY_S * 1_000)
                    case Taken():
                        took_ms = steady_ms() - board.pending_starts[run_key]
                        log_event("run_started", task=order.task, run=order.run, took_ms=took_ms)
                        board.counters.observe_ms("start_order", took_ms)
                        self._lists.record_run_started(order.task, order.run, order.checkpoint)
                        return
                    case Rejected(reason):
                        await self._report_not_started(order, reason, was_unanswered)
                        return
                    case OtherLifetime() | NoWorker() if not was_unanswered:
                        self._post_result(order.lifetime, order.task, order.run, "worker_gone")
                        return
                    case OtherLifetime() | NoWorker():
                        await asyncio.sleep(RETRY_S)
                    case NoAnswer(detail):
                        was_unanswered = True
                        board.counters.count("start_retries", "no_answer")
                        log_warning(
                            "start_unanswered", task=order.task, run=order.run, reason=detail
                        )
                        await asyncio.sleep(RETRY_S)
        finally:
            board.pending_starts.pop(run_key, None)
            board.start_sent_at_ms.pop(run_key, None)
            board.report_due.set()

    async def _check_and_start(self, order: StartOrder) -> OrderOutcome | NotSent | CheckExpired:
        """Send a start if the worker answers in the lifetime that the order is for."""
        (lifetime, check), began_at_ms, took_ms = await self._checks.ask()
        if lifetime != order.lifetime:
            return CheckExpired()
        # the lifetime may be over after a pause of this process
        if isinstance(check, NoAnswer) or took_ms > CHECK_VALID_MS:
            return NotSent(SILENT, took_ms)
        if check == Rejected(UNHEALTHY):
            return NotSent(UNHEALTHY, took_ms)
        if not isinstance(check, Taken):
            return check
        async with self._starts:
            if steady_ms() - began_at_ms > CHECK_VALID_MS or self._refusal_reason(order):
                return CheckExpired()
            board = self._board
            epoch = max(order.epoch, board.epoch)
            board.start_sent_at_ms[(order.task, order.run)] = steady_ms()
            return await self._worker.start(order, board.lease_end_on_worker_ms(), epoch)

    async def _check_lifetime(self) -> tuple[Lifetime | None, OrderOutcome]:
        """Check the worker's present lifetime; return that and the outcome."""
        lifetime = self._board.lifetime
        if lifetime is None:
            return None, NoWorker()
        return lifetime, await self._worker.check_lifetime(lifetime, self._board.epoch)

    def _refusal_reason(self, order: StartOrder) -> str:
        """Return why the order must not be executed now, or "" if it may."""
        board = self._board
        if (order.task, order.run) in self._stopped:
            return "stopped"
        if board.worker_status is None or board.lifetime != order.lifetime or board.is_worker_gone:
            return "worker_gone"
        if not board.worker_status.is_ready:
            return "draining"
        if board.lease_end_on_worker_ms() == 0:
            return "no_lease"
        return ""

    async def _report_not_started(
        self, order: StartOrder, reason: str, was_unanswered: bool
    ) -> None:
        """Report that the order started no run, once no delayed copy of it can start one.

        A rejection for one of `UNCERTAIN_REASONS` is handled like a start without an answer.
        """
        if was_unanswered or reason in UNCERTAIN_REASONS:
            await self._fence_run(order)
            await self._report_if_absent(order, reason)
        else:
            self._post_result(order.lifetime, order.task, order.run, reason)

    async def _stop(self, order: StopOrder) -> None:
        outcome = await self._fence_run(order)
        log_event("stop_done", task=order.task, run=order.run, outcome=type(outcome).__name__)
        await self._report_if_absent(order, "absent")

    async def _report_if_absent(self, order: StartOrder | StopOrder, reason: str) -> None:
        """Report a run that the worker lists neither as running nor as ended.

        The leader learns the state of a listed run from the agent's worker reports.
        """
        while self._is_current(order.lifetime):
            listing = await self._listing(order)
            if listing is Listing.ABSENT:
                self._post_result(order.lifetime, order.task, order.run, reason)
            if listing is not None:
                return
            await asyncio.sleep(RETRY_S)
        self._post_result(order.lifetime, order.task, order.run, "worker_gone")

    async def _listing(self, order: StartOrder | StopOrder) -> Listing | None:
        """Return where the worker lists the run of `order`, None if it does not answer."""
        lifetime, lists = (await self._listings.ask()).outcome
        if lifetime != order.lifetime or not isinstance(lists, RunLists):
            return None
        key = (order.task, order.run)
        if any((run.task, run.run) == key for run in lists.running):
            return Listing.RUNNING
        if any((end.task, end.run) == key for end in lists.ended):
            return Listing.ENDED
        return Listing.ABSENT

    async def _read_lists(self) -> tuple[Lifetime | None, HoldOutcome]:
        """Read the lists of the worker's present lifetime; return that and the outcome."""
        board = self._board
        lifetime = board.lifetime
        if lifetime is None:
            return None, NoWorker()
        return lifetime, await self._worker.hold(
            lifetime, 0, board.epoch, board.last_recorded_end, 0
        )

    async def _fence_run(self, order: StartOrder | StopOrder) -> OrderOutcome:
        """Repeat the stop of a run until the worker confirms it or is gone.

        A worker that refuses a stop has done nothing: a delayed start may still begin the run. The
        stop is pointless once the run is listed as ended, or as running despite a refused start.
        """
        board = self._board
        backoff = Backoff(REFUSED_RETRY_FIRST_S, REFUSED_RETRY_LIMIT_S)
        while True:
            async with self._stops:
                outcome = await self._worker.stop(
                    order.lifetime, order.task, order.run, board.epoch
                )
            if isinstance(outcome, Taken):
                return outcome
            if not self._is_current(order.lifetime):
                return NoWorker()
            board.counters.count("stop_retries", _retry_reason(outcome))
            if not isinstance(outcome, Rejected):
                await asyncio.sleep(RETRY_S)
                continue
            listing = await self._listing(order)
            is_wanted = isinstance(order, StartOrder) and listing is Listing.RUNNING
            if is_wanted or listing is Listing.ENDED:
                return outcome
            await asyncio.sleep(backoff.next_delay_s())

    def _is_current(self, lifetime: Lifetime) -> bool:
        return self._board.lifetime == lifetime and not self._board.is_worker_gone

    def _post_result(self, lifetime: Lifetime, task: str, run: int, reason: str) -> None:
        log_event("order_without_run", task=task, run=run, reason=reason)
        self._board.counters.count("orders_without_run", reason)
        self._board.post(OrderResult(lifetime, task, run, reason))


def _retry_reason(outcome: OrderOutcome) -> str:
    """Return why an order with this outcome is repeated."""
    match outcome:
        case Rejected(reason):
            return reason
        case OtherLifetime():
            return "other_lifetime"
        case NoWorker():
            return "no_worker"
        case _:
            return "no_answer"
