"""Answers callers: by this entry, or by another one if this entry can't decide a call.

A caller doesn't choose its entry and repeats a call only a few times, so what counts is whether any
entry can decide, not whether this one reaches the store.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from functools import partial
from typing import Any, NamedTuple

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.workload.operator import ClientLimits

from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.calls import (
    Accepted,
    Call,
    NotRun,
    Outcome,
    Request,
    Shown,
    Undecided,
    Waiting,
    is_write,
)
from lycheeslip.dispatch.forward_budget import (
    MAX_HELPERS_PER_CALL,
    ForwardBudget,
    helpers_per_round,
)
from lycheeslip.dispatch.forwarding import CallForwarder
from lycheeslip.dispatch.local_intake import LocalIntake

__all__ = ["Intake"]

RETRY_PAUSE_S = 0.25
STORE_WAIT_RATIO = 0.25  # share of a call's time spent on waiting while no entry can decide it
NEXT_TRY_S = 0.3  # a slow store answers within this; then another entry is asked as well
NEXT_HELPER_S = 0.15  # an entry that reaches the store answers within some 10 ms

Try = Callable[[], Coroutine[Any, Any, Outcome]]


class Round(NamedTuple):
    """The result of asking all entries once; a write may have been stored if `may_have_run`."""

    outcome: Outcome
    may_have_run: bool


class Intake:
    """Answers callers at one entry."""

    def __init__(self, board: Board, local: LocalIntake, forwarder: CallForwarder) -> None:
        """Decide calls by `local`; pass those that it can't decide on by `forwarder`."""
        self._board = board
        self._local = local
        self._forwarder = forwarder
        self._budget = ForwardBudget()

    @property
    def max_body_bytes(self) -> int:
        """The configured limit of a request body; 0 without a configuration."""
        return self._board.config.max_body_bytes if self._board.config else 0

    @property
    def client_limits(self) -> ClientLimits:
        """The configured limits on connections of callers."""
        return self._board.config.client_limits if self._board.config else ClientLimits()

    async def answer(self, call: Call, request: Request) -> Outcome:
        """Return the outcome of a call.

        While no entry can decide it, a write is tried again for a quarter of its time.
        """
        wait_ratio = STORE_WAIT_RATIO if is_write(request) else 0
        give_up_at_ms = steady_ms() + call.remaining_s * wait_ratio * 1_000
        may_have_run = False
        outcome: Outcome = NotRun("deadline")
        helpers_left = MAX_HELPERS_PER_CALL
        while call.remaining_s > 0:
            helpers = self._helpers()[:helpers_left]
            helpers_left -= len(helpers)
            outcome, may_have_run_now = await self._ask_all(call, request, helpers)
            may_have_run = may_have_run or may_have_run_now
            if not isinstance(outcome, NotRun | Undecided):
                break
            if steady_ms() >= give_up_at_ms:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        if may_have_run and not _is_success(outcome):
            return Undecided("store_silent")
        return outcome

    def _helpers(self) -> list[str]:
        """Return the entries to ask in the next round; this entry's budget may allow no more."""
        board = self._board
        helpers = board.entries.helpers(board.address, board.leader_address)
        return helpers[: helpers_per_round(board.entries.unable)]

    async def _ask_all(self, call: Call, request: Request, helpers: Sequence[str]) -> Round:
        """Ask this entry and `helpers`, one after the other, until one has decided.

        For a write the next entry is asked after `NEXT_TRY_S` of silence, and the others in steps
        of `NEXT_HELPER_S`: the same record results, whoever writes it. After a refusal the result
        waits for the tries in progress, since one of them may yet store the record.
        """
        tries = self._tries(call, request, helpers)
        next_try_s = NEXT_TRY_S
        in_progress: set[asyncio.Task[Outcome]] = set()
        undecided: Outcome = NotRun("deadline")
        refusal: Outcome | None = None
        may_have_run = False
        try:
            while in_progress or (tries and refusal is None):
                if tries and refusal is None:
                    in_progress.add(asyncio.create_task(tries.pop(0)()))
                done, in_progress = await asyncio.wait(
                    in_progress,
                    timeout=next_try_s if tries and is_write(request) else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                next_try_s = NEXT_HELPER_S
                for task in done:
                    match outcome := _outcome_of(task, request):
                        case NotRun():
                            undecided = outcome
                        case Undecided():
                            undecided, may_have_run = outcome, True
                        case _ if _is_success(outcome):
                            return Round(outcome, may_have_run)
                        case _:
                            refusal = outcome
            return Round(refusal or undecided, may_have_run)
        finally:
            for task in in_progress:
                task.cancel()

    def _tries(self, call: Call, request: Request, helpers: Sequence[str]) -> list[Try]:
        """Return the ways to decide a call in the order in which they are tried.

        This entry comes last for a write while it is known to be cut off from the store.
        """
        here: Try = partial(self._local.answer, call, request)
        elsewhere: list[Try] = [
            partial(self._forward, address, call, request) for address in helpers
        ]
        if self._board.is_store_lost and is_write(request):
            return [*elsewhere, here]
        return [here, *elsewhere]

    async def _forward(self, address: str, call: Call, request: Request) -> Outcome:
        if not self._budget.take():
            self._board.counters.count("forwards_declined")
            return NotRun("forward_budget_spent")
        return await self._forwarder.forward(address, call, request)


def _outcome_of(task: asyncio.Task[Outcome], request: Request) -> Outcome:
    error = task.exception()
    if error is None:
        return task.result()
    log_warning("call_try_failed", error=repr(error))
    return Undecided("try_failed") if is_write(request) else NotRun("try_failed")


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, Accepted | Shown | Waiting)
