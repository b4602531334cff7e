"""Tests of how the outcomes of several entries become one answer."""

import asyncio
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.calls import (
    Accepted,
    Call,
    Cancel,
    Forbidden,
    JobSubmission,
    Missing,
    NotRun,
    Outcome,
    QueryState,
    Shown,
    Submit,
    Undecided,
)
from lycheeslip.dispatch.forward_budget import MANY_UNABLE, MAX_BURST, MAX_HELPERS_PER_CALL
from lycheeslip.dispatch.intake import Intake
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.times import DispatchTimes

OTHERS = ("127.0.0.1:1", "127.0.0.1:2")
SUBMIT = Submit(JobSubmission("0" * 16, "", (), 0, 0, 0))
AWAY = NotRun("store_unavailable")
LOST = Undecided("store_silent")
TIME_MS = 120  # one round of tries, and a part of the next


class StoppedEntries:
    """Entries whose outcomes are given; counts the calls to each."""

    def __init__(self, outcome_by_address: dict[str, Outcome]) -> None:
        self._outcome_by_address = outcome_by_address
        self.calls: list[str] = []

    async def forward(self, address: str, call: Call, request: object) -> Outcome:
        self.calls.append(address)
        return self._outcome_by_address[address]

    async def answer(self, call: Call, request: object) -> Outcome:
        return await self.forward("here", call, request)


def ask(request: object, outcomes: tuple[Outcome, ...]) -> tuple[Outcome, list[str]]:
    board = Board("entry", "zone", "127.0.0.1:9", DispatchTimes(), OTHERS)
    entries = StoppedEntries(dict(zip(("here", *OTHERS), outcomes, strict=True)))
    call = Call("host", "/path/", "key", steady_ms() + TIME_MS)
    return asyncio.run(Intake(board, entries, entries).answer(call, request)), entries.calls


@pytest.mark.parametrize("request_", [SUBMIT, Cancel("0" * 16)], ids=["submit", "cancel"])
@pytest.mark.parametrize("outcomes", list(product([AWAY, LOST, Accepted(), Forbidden()], repeat=3)))
def test_write_is_called_not_run_only_if_no_entry_may_have_run_it(request_, outcomes):
    outcome, calls = ask(request_, outcomes)
    tried = [outcomes[("here", *OTHERS).index(address)] for address in calls]
    if Accepted() in tried:
        assert outcome == Accepted()
    elif LOST in tried:
        assert isinstance(outcome, Undecided)
    elif Forbidden() in tried:
        assert outcome == Forbidden()
    else:
        assert isinstance(outcome, NotRun)


@pytest.mark.parametrize(
    "outcomes", list(product([AWAY, Shown("active"), Missing(True)], repeat=3))
)
def test_query_is_answered_by_the_first_entry_that_can(outcomes):
    outcome, calls = ask(QueryState("0" * 16), outcomes)
    able = [decided for decided in outcomes if decided != AWAY]
    assert outcome == (able[0] if able else AWAY)
    assert len(calls) == len(set(calls))


@settings(max_examples=25, deadline=None)
@given(st.permutations([0.0, 0.01, 0.02]), st.permutations([AWAY, LOST, Accepted()]))
def test_acceptance_is_the_answer_in_whatever_order_entries_answer(delays, outcomes):
    board = Board("entry", "zone", "127.0.0.1:9", DispatchTimes(), OTHERS)
    board.is_store_lost = True

    class Delayed(StoppedEntries):
        async def forward(self, address: str, call: Call, request: object) -> Outcome:
            await asyncio.sleep(delays[("here", *OTHERS).index(address)])
            return await super().forward(address, call, request)

    entries = Delayed(dict(zip(("here", *OTHERS), outcomes, strict=True)))
    call = Call("host", "/path/", "key", steady_ms() + 1_000)
    assert asyncio.run(Intake(board, entries, entries).answer(call, SUBMIT)) == Accepted()


def ask_unable_entries(calls: int, time_ms: int) -> list[str]:
    """Return the entries that an entry asks for `calls` submissions at once while none can help."""
    others = [f"127.0.0.1:{port}" for port in range(1, 35)]
    board = Board("entry", "zone", "127.0.0.1:99", DispatchTimes(), others)
    board.is_store_lost = True

    class Unable(StoppedEntries):
        async def forward(self, address: str, call: Call, request: object) -> Outcome:
            if address != "here":
                self.calls.append(address)
                board.entries.avoid(address)
            return AWAY

    entries = Unable({})
    intake = Intake(board, entries, entries)

    async def ask_all() -> list[Outcome]:
        submissions = (
            intake.answer(Call("host", "/path/", "key", steady_ms() + time_ms), SUBMIT)
            for _ in range(calls)
        )
        return await asyncio.gather(*submissions)

    assert all(isinstance(outcome, NotRun) for outcome in asyncio.run(ask_all()))
    return entries.calls


def test_call_that_nobody_can_decide_is_passed_on_a_few_times_only():
    assert 1 <= len(ask_unable_entries(1, 3_000)) <= MAX_HELPERS_PER_CALL


def test_entry_passes_few_calls_on_while_nobody_can_decide():
    asked = ask_unable_entries(40, 1_200)
    assert len(asked) <= 2 * MAX_BURST
    assert len(set(asked)) > MANY_UNABLE


def test_other_entries_are_asked_in_turn_after_the_leader():
    board = Board("entry", "zone", "127.0.0.1:9", DispatchTimes(), OTHERS)
    board.entries.add("127.0.0.1:3")
    first = [board.entries.helpers("127.0.0.1:9", "127.0.0.1:3") for _ in range(4)]
    assert {helpers[0] for helpers in first} == {"127.0.0.1:3"}
    assert {helpers[1] for helpers in first} == set(OTHERS)


async def test_silent_helper_costs_a_caller_less_time_than_a_silent_store():
    """A caller that waits for three seconds has its answer after less than a quarter of them."""
    board = Board("entry", "zone", "127.0.0.1:9", DispatchTimes(), OTHERS)
    first_asked_at_ms: dict[str, int] = {}

    async def answer(address: str) -> Outcome:
        first_asked_at_ms.setdefault(address, steady_ms())
        if address != OTHERS[1]:
            await asyncio.sleep(10)
        return Accepted()

    class Entries:
        async def forward(self, address: str, call: Call, request: object) -> Outcome:
            return await answer(address)

        async def answer(self, call: Call, request: object) -> Outcome:
            return await answer("here")

    entries = Entries()
    began_at_ms = steady_ms()
    call = Call("host", "/path/", "key", began_at_ms + 3_000)
    assert await Intake(board, entries, entries).answer(call, SUBMIT) == Accepted()
    waits_ms = [at_ms - began_at_ms for at_ms in first_asked_at_ms.values()]
    assert list(first_asked_at_ms) == ["here", *OTHERS]
    assert waits_ms[2] < 3_000 / 4 * 2 / 3
