"""Asks the advice service which workers may run a step, for queues that require it."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.operator import AdviceTiming

from lycheeslip.dispatch.board import Board, StepAdvice, Ticket
from lycheeslip.dispatch.placement_model import AdviceRequest, StepKey

__all__ = ["AdviceDecision", "AdvicePort", "AdviceUnavailable", "Advisor"]

ANSWER_MARGIN_MS = 1_000  # past the announced duration; other entries' calls may come first
VALIDITY_MARGIN_MS = 300  # of a ticket: time to write the record and to send the order twice
RETRY_S = 0.25
TICK_S = 0.5  # how often leadership is checked while there are no requests


@dataclass(frozen=True, slots=True)
class AdviceDecision:
    """The service's decision: a ticket for each approved worker id, and the tickets' validity."""

    ticket_by_worker: dict[str, str]
    validity_ms: int


@dataclass(frozen=True, slots=True)
class AdviceUnavailable:
    """No decision was received."""

    reason: str


class AdvicePort(Protocol):
    """The advice service."""

    async def advise(
        self, step: StepKey, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceDecision | AdviceUnavailable:
        """Return which of the workers may run the step; faults are returned, never raised."""

    async def close(self) -> None:
        """Close all connections."""


class Advisor:
    """Makes one call at a time, since the service serializes the calls of a caller.

    Requests of a planning round replace those of earlier rounds.
    """

    def __init__(self, board: Board, port: AdvicePort) -> None:
        """Store decisions in `board.advice`."""
        self._board = board
        self._port = port
        self._requests: dict[StepKey, AdviceRequest] = {}
        self._has_requests = asyncio.Event()

    def begin_term(self) -> None:
        """Remove the decisions and requests of an earlier term."""
        self._board.advice.clear()
        self._requests.clear()

    def replace_requests(self, requests: Sequence[AdviceRequest]) -> None:
        """Replace the pending requests with `requests`, the most urgent of which come first."""
        self._requests = {}
        for request in requests:
            self._requests.setdefault(request.step, request)
        if self._requests:
            self._has_requests.set()

    async def run(self) -> None:
        """Process requests while leading."""
        while self._board.leadership is not None:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._has_requests.wait()
            except TimeoutError:
                continue
            self._has_requests.clear()
            while self._requests and self._board.leadership is not None:
                request = self._requests.pop(next(iter(self._requests)))
                await self._request_decision(request)

    async def _request_decision(self, request: AdviceRequest) -> None:
        timing = self._advice_timing(request.step)
        if timing is None:
            return
        requested_at = steady_ms()
        timeout_ms = timing.duration_ms(len(request.lifetimes)) + ANSWER_MARGIN_MS
        lifetime_by_worker = {lifetime.worker_id: lifetime for lifetime in request.lifetimes}
        outcome = await self._port.advise(
            request.step, list(lifetime_by_worker), timeout_ms / 1_000
        )
        if isinstance(outcome, AdviceUnavailable):
            self._board.counters.count("advice_retries", outcome.reason)
            log_warning("advice_missing", job=request.step[0], reason=outcome.reason)
            await asyncio.sleep(RETRY_S)
        else:
            self._store_decision(request, lifetime_by_worker, outcome, requested_at)
        self._board.planning_needed.set()

    def _advice_timing(self, step: StepKey) -> AdviceTiming | None:
        """Return the timing of a step's advice, None if it needs none.

        Removes the decisions for a step whose job has ended.
        """
        job = self._board.jobs.get(step[0])
        if job is None or job.progress.has_ended or self._board.config is None:
            self._board.advice.pop(step, None)
            return None
        queue = self._board.queue_of(job.progress.spec)
        return queue.advice if queue else None

    def _store_decision(
        self,
        request: AdviceRequest,
        lifetime_by_worker: dict[str, Lifetime],
        decision: AdviceDecision,
        requested_at: int,
    ) -> None:
        stored = self._board.advice.setdefault(request.step, StepAdvice())
        valid_until_ms = requested_at + decision.validity_ms - VALIDITY_MARGIN_MS
        for worker_id, lifetime in lifetime_by_worker.items():
            text = decision.ticket_by_worker.get(worker_id)
            if text is None:
                stored.denied.add(lifetime)
            else:
                stored.tickets[lifetime] = Ticket(text, valid_until_ms)
        log_event(
            "advice_received",
            job=request.step[0],
            step=f"{request.step[1]}.{request.step[2]}",
            asked=len(lifetime_by_worker),
            approved=len(decision.ticket_by_worker),
            took_ms=steady_ms() - requested_at,
            validity_ms=decision.validity_ms,
        )
        self._board.counters.observe_ms("advice", steady_ms() - requested_at)
