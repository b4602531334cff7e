"""Tests of an entry that the store turns away while it serves the others."""

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest
import pytest_asyncio

from tests.harness.broken_store import BrokenStore, Failure
from tests.harness.platform_cell import TIMES, Cell, EntryProcess

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}
BODY = {"spec": "10", "steps": [ONE]}
PATH = f"/normal/{1:016x}"
TASK = f"{1:016x}.0.0.0"
CALLER_TIME_S = 3.0  # of callers that set no other limit
OFFER_S = CALLER_TIME_S / 4  # the time in which a call is decided or refused

pytestmark = pytest.mark.parametrize("failure", list(Failure), ids=lambda kind: kind.value)


@pytest_asyncio.fixture
async def cell(free_port) -> AsyncIterator[Cell]:
    async with Cell(free_port, entries=3) as running:
        await running.until(lambda: all(len(others(entry)) == 2 for entry in running.entries))
        yield running


@pytest_asyncio.fixture
async def broken_store(failure: Failure) -> AsyncIterator[BrokenStore]:
    async with BrokenStore(failure) as broken:
        yield broken


def others(entry: EntryProcess) -> list[str]:
    return entry.board.entries.others(entry.board.address)


def leader_number(cell: Cell) -> int:
    leader = cell.leader()
    assert leader is not None
    return cell.entries.index(leader)


def follower_number(cell: Cell) -> int:
    return (leader_number(cell) + 1) % len(cell.entries)


async def submit_in_time(cell: Cell, entry: int, key: str = "key-a") -> int:
    async with asyncio.timeout(OFFER_S):
        status, _ = await cell.call("POST", PATH, BODY, entry=entry, key=key)
    return status


async def assert_runs_once(cell: Cell) -> None:
    await cell.until_state(PATH, "completed")
    assert cell.starts() == {TASK: [1]}


@pytest.mark.parametrize("number_of", [follower_number, leader_number])
async def test_submission_at_an_entry_without_the_store_is_accepted_by_another_entry(
    cell: Cell, broken_store: BrokenStore, number_of: Callable[[Cell], int]
):
    number = number_of(cell)
    broken_store.cut_off(cell.entries[number].store)
    assert await submit_in_time(cell, number) == 200
    await assert_runs_once(cell)


async def test_submission_is_accepted_long_after_the_store_was_lost(
    cell: Cell, broken_store: BrokenStore
):
    number = leader_number(cell)
    board = cell.entries[number].board
    broken_store.cut_off(cell.entries[number].store)
    await cell.until(lambda: board.leadership is None)
    await asyncio.sleep(TIMES.config_valid_ms / 1_000)
    assert await submit_in_time(cell, number) == 200
    assert await cell.state(PATH, entry=number) in ("queued", "active", "completed")
    await assert_runs_once(cell)


async def test_cancellation_at_an_entry_without_the_store_reaches_the_job(
    cell: Cell, broken_store: BrokenStore
):
    number = follower_number(cell)
    await cell.submit(1, ONE, work_ms=20_000)
    broken_store.cut_off(cell.entries[number].store)
    async with asyncio.timeout(2 * OFFER_S):
        assert (await cell.call("DELETE", PATH, entry=number))[0] == 200
    await cell.until_state(PATH, "cancelled", (number + 1) % 3)


async def test_key_revoked_meanwhile_is_refused_through_an_entry_without_the_store(
    cell: Cell, broken_store: BrokenStore
):
    number = leader_number(cell)
    broken_store.cut_off(cell.entries[number].store)
    cell.keys = ["key-b"]
    version = cell.configure()
    served = [entry for entry in cell.entries if entry is not cell.entries[number]]
    await cell.until(lambda: all(e.board.config.version == version for e in served))
    await cell.until(lambda: cell.entries[number].board.is_store_lost)
    status, _ = await cell.call("POST", PATH, BODY, entry=number, key="key-a")
    assert status == 401
    assert await submit_in_time(cell, number, key="key-b") == 200


async def test_lost_answer_of_the_entry_that_accepted_leads_to_one_job(
    cell: Cell, broken_store: BrokenStore, monkeypatch: pytest.MonkeyPatch
):
    number = follower_number(cell)
    entry = cell.entries[number]
    broken_store.cut_off(entry.store)
    lost = []
    for other in cell.entries:
        answer = other.entry._local_intake.answer

        async def answer_and_lose_the_first(call, request, answer=answer, other=other):
            outcome = await answer(call, request)
            if other is not entry and not lost:
                lost.append(outcome)
                await asyncio.sleep(CALLER_TIME_S)
            return outcome

        monkeypatch.setattr(other.entry._local_intake, "answer", answer_and_lose_the_first)
    assert await submit_in_time(cell, number) == 200
    assert len(lost) == 1
    await assert_runs_once(cell)


async def test_old_leader_steps_down_as_soon_as_another_entry_is_elected(
    cell: Cell, broken_store: BrokenStore
):
    old = cell.leader()
    assert old is not None
    broken_store.cut_off(old.store)
    await cell.until(
        lambda: any(entry.board.is_loaded for entry in cell.entries if entry is not old)
    )
    async with asyncio.timeout(0.5):
        await cell.until(lambda: old.board.leadership is None)
    await cell.until(lambda: cell.leader() is not old and cell.known_workers())


async def test_entry_without_the_store_finds_the_leader_through_the_others(
    cell: Cell, broken_store: BrokenStore
):
    old = cell.leader()
    assert old is not None
    path = await cell.submit(1, ONE)
    await cell.until_state(path, "completed")
    broken_store.cut_off(old.store)
    await cell.until(lambda: old.board.leadership is None and old.board.leader_address)
    await asyncio.sleep(TIMES.config_valid_ms / 1_000 + 0.5)
    number = cell.entries.index(old)
    assert await cell.state(path, entry=number) == "completed"
    assert await cell.call("GET", "/normal/", entry=number) == (200, {"pending": 0})
