"""Asks the advice service which workers may run a step, for queues whose policy demands it."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.operator import AdviceTiming

from lycheeslip.dispatch.board import Board, StepAdvice, Ticket
from lycheeslip.dispatch.rooms import AdviceRequest, StepKey

__all__ = ["Advised", "AdvicePort", "Advisor", "Unadvised"]

ANSWER_MARGIN_MS = 1_000  # past the announced duration; calls of other entries wait in turn
VALIDITY_MARGIN_MS = 300  # of a ticket: the record, the order and one repetition of it
RETRY_S = 0.25
TICK_S = 0.5  # requests of a later planning round replace earlier ones


@dataclass(frozen=True, slots=True)
class Advised:
    """The decision: a ticket for each approved worker's id, and how long tickets hold."""

    ticket_by_worker: dict[str, str]
    validity_ms: int


@dataclass(frozen=True, slots=True)
class Unadvised:
    """No decision was made, or it was lost."""

    reason: str


class AdvicePort(Protocol):
    """The advice service."""

    async def advise(
        self, step: StepKey, worker_ids: Sequence[str], timeout_s: float
    ) -> Advised | Unadvised:
        """Return which of the workers may run the step; never raises for a fault."""

    async def close(self) -> None:
        """Close all connections."""


class Advisor:
    """Makes one call at a time, since the service takes each caller's calls in turn."""

    def __init__(self, board: Board, port: AdvicePort) -> None:
        """Write decisions to `board.advice`."""
        self._board = board
        self._port = port
        self._requests: dict[StepKey, AdviceRequest] = {}
        self._wanted = asyncio.Event()

    def begin_term(self) -> None:
        """Forget what an earlier term knew."""
        self._board.advice.clear()
        self._requests.clear()

    def want(self, requests: Sequence[AdviceRequest]) -> None:
        """Replace the requests that wait, most urgent first."""
        self._requests = {}
        for request in requests:
            self._requests.setdefault(request.step, request)
        if self._requests:
            self._wanted.set()

    async def run(self) -> None:
        """Ask for ever, while leading."""
        while self._board.leadership is not None:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wanted.wait()
            except TimeoutError:
                continue
            self._wanted.clear()
            while self._requests and self._board.leadership is not None:
                request = self._requests.pop(next(iter(self._requests)))
                await self._ask(request)

    async def _ask(self, request: AdviceRequest) -> None:
        terms = self._terms_of(request.step)
        if terms is None:
            return
        asked_at = steady_ms()
        timeout_ms = terms.duration_ms(len(request.lifetimes)) + ANSWER_MARGIN_MS
        by_worker = {lifetime.worker_id: lifetime for lifetime in request.lifetimes}
        outcome = await self._port.advise(request.step, list(by_worker), timeout_ms / 1_000)
        if isinstance(outcome, Unadvised):
            self._board.counters.count("advice_retries", outcome.reason)
            log_warning("advice_missing", job=request.step[0], reason=outcome.reason)
            await asyncio.sleep(RETRY_S)
        else:
            self._note(request, by_worker, outcome, asked_at)
        self._board.work_to_plan.set()

    def _terms_of(self, step: StepKey) -> AdviceTiming | None:
        job = self._board.jobs.get(step[0])
        if job is None or job.progress.has_ended or self._board.config is None:
            self._board.advice.pop(step, None)
            return None
        queue = self._board.config.queue_named(job.progress.spec.queue)
        return queue.advice if queue else None

    def _note(
        self,
        request: AdviceRequest,
        by_worker: dict[str, Lifetime],
        advised: Advised,
        asked_at: int,
    ) -> None:
        known = self._board.advice.setdefault(request.step, StepAdvice())
        valid_until_ms = asked_at + advised.validity_ms - VALIDITY_MARGIN_MS
        for worker_id, lifetime in by_worker.items():
            text = advised.ticket_by_worker.get(worker_id)
            if text is None:
                known.denied.add(lifetime)
            else:
                known.tickets[lifetime] = Ticket(text, valid_until_ms)
        log_event(
            "advice_received",
            job=request.step[0],
            step=f"{request.step[1]}.{request.step[2]}",
            asked=len(by_worker),
            approved=len(advised.ticket_by_worker),
            took_ms=steady_ms() - asked_at,
            validity_ms=advised.validity_ms,
        )
        self._board.counters.observe_ms("advice", steady_ms() - asked_at)
