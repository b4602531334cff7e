"""Tests of the records of learned run times, and of their reading and writing by leaders."""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from lycheeslip.dispatch import run_time_keeper
from lycheeslip.dispatch.board import Board, Leadership
from lycheeslip.dispatch.keys import LEADER_KEY, run_times_key
from lycheeslip.dispatch.run_time_history import History, KindOfStep, RunSample
from lycheeslip.dispatch.run_time_keeper import RunTimeKeeper
from lycheeslip.dispatch.run_time_records import MAX_RECORD_BYTES, decode_queue, encode_queue
from lycheeslip_common.store.outcomes import KeyValue, ReadResult, Unreachable, Written
from lycheeslip_common.store.port import ConditionFailed
from lycheeslip_common.utils.usable import UnusableValueError
from lycheeslip_common.workload.jobs import Demand
from lycheeslip_common.workload.operator import Account

from .builders import board_with

KIND = KindOfStep("q", "a", Demand(1_000, 1_000, 1), False, True)
MS = st.floats(0, 10**11)


def history_of(samples: list[tuple[float, float]], kind: KindOfStep = KIND) -> History:
    history = History()
    for declared_ms, run_ms in samples:
        history.record(RunSample(*kind, declared_ms, run_ms))
        history.record_end(kind, False)
        history.compare(kind, declared_ms, run_ms, run_ms)
    return history


@settings(max_examples=100, deadline=None)
@example([(1.0, 594_257_683.0), (2_592_000_000.0, 1.0)], 1.0)  # a ratio beyond all run times
@given(st.lists(st.tuples(MS, MS), min_size=1, max_size=40), MS)
def test_record_gives_the_same_estimates_as_what_it_was_written_from(samples, declared_ms):
    history = history_of(samples)
    history.record(RunSample(*KIND, 1, 0, has_failed=True, failed_at_ms=1))
    decoded = decode_queue(encode_queue(history, "q"))
    merged = History()
    merged.merge(decoded)
    for other in (decoded, merged):
        *times, source = other.estimate(KIND, declared_ms)
        assert times == pytest.approx(list(history.estimate(KIND, declared_ms)[:-1]))
        assert source == history.estimate(KIND, declared_ms).source
        assert other.is_proven("q") == history.is_proven("q")
        assert other.failure_chance(KIND) == pytest.approx(history.failure_chance(KIND))


def test_record_of_many_kinds_keeps_the_most_recently_used():
    history = History()
    for number in range(120):
        for run_ms in range(1, 60):
            kind = KIND._replace(account=f"account-{number}")
            history.record(RunSample(*kind, run_ms * 997, run_ms * 1_009))
    value = encode_queue(history, "q")
    assert MAX_RECORD_BYTES / 2 < len(value) <= MAX_RECORD_BYTES
    accounts = {key.account for _, key in decode_queue(value).kinds}
    assert "account-119" in accounts
    assert "account-0" not in accounts


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=40) | st.recursive(st.integers() | st.text(), st.lists).map(repr))
def test_malformed_record_is_unusable(value: bytes | str):
    with pytest.raises(UnusableValueError):
        decode_queue(value.encode() if isinstance(value, str) else value)


@pytest.mark.parametrize("count", [0, 2**53])
def test_odd_counts_give_a_usable_estimate(count: int):
    value = encode_queue(history_of([(1_000, 2_000)] * 6), "q").replace(b",96]", b",%d]" % count)
    assert b"%d]" % count in value
    history = History()
    history.merge(decode_queue(value))
    assert 0 < history.estimate(KIND, 1_000).median_ms < 10_000


class FakeStore:
    """Holds records; refuses writes of any term but the last, or answers nothing."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.values: dict[str, bytes] = {}
        self.is_reachable = True
        self.writes = 0

    async def read_prefix(self, prefix: str) -> ReadResult | Unreachable:
        if not self.is_reachable:
            return Unreachable("timeout", "no answer")
        items = (KeyValue(key, value, 1) for key, value in self.values.items())
        return ReadResult(tuple(item for item in items if item.key.startswith(prefix)), 1)

    async def transact(self, compares, puts):
        if not self.is_reachable:
            return Unreachable("timeout", "no answer")
        (compare,) = compares
        assert compare[0] == LEADER_KEY
        if compare[1] != self.epoch:
            return ConditionFailed(())
        self.writes += 1
        self.values |= {put.key: put.value for put in puts}
        return Written(1)


def leader(epoch: int) -> Board:
    board = board_with()
    accounts = tuple(Account(f"a{number}", frozenset(), 0) for number in range(8))
    board.config = board.config._replace(accounts=accounts)
    board.leadership = Leadership(epoch, 1, 0, 0)
    return board


async def lead(board: Board, store: FakeStore, monkeypatch, rounds: int = 3) -> None:
    """Run the keeper of a term for some of its intervals."""
    pauses = 0

    async def sleep(delay_s: float) -> None:
        nonlocal pauses
        pauses += delay_s > 0
        if pauses >= rounds:
            board.leadership = None

    monkeypatch.setattr(run_time_keeper, "asyncio", SimpleNamespace(sleep=sleep))
    await RunTimeKeeper(board, store).run()
    monkeypatch.setattr(run_time_keeper, "asyncio", asyncio)


async def test_new_leader_knows_what_earlier_ones_learned(monkeypatch):
    store, first, second = FakeStore(1), leader(1), leader(2)
    first.history = history_of([(1_000, 4_000)] * 20)
    await lead(first, store, monkeypatch)
    assert (list(store.values), store.writes) == ([run_times_key("q")], 1)
    store.epoch = 2
    await lead(second, store, monkeypatch)
    assert second.history.is_proven("q")
    assert second.history.estimate(KIND, 1_000).median_ms == pytest.approx(4_000, rel=0.02)


async def test_replaced_leader_writes_nothing(monkeypatch):
    store, board = FakeStore(2), leader(1)
    board.history = history_of([(1_000, 4_000)])
    await lead(board, store, monkeypatch)
    assert not store.values


async def test_records_are_merged_only_in_the_term_that_read_them(monkeypatch):
    store, board = FakeStore(1), leader(1)
    store.values[run_times_key("q")] = encode_queue(history_of([(1_000, 4_000)]), "q")
    read_prefix = store.read_prefix

    async def read_late(prefix: str) -> ReadResult | Unreachable:
        result = await read_prefix(prefix)
        board.leadership = Leadership(3, 1, 0, 0)
        return result

    store.read_prefix = read_late
    await lead(board, store, monkeypatch)
    assert not board.history.queues


async def test_unusable_record_is_counted_once_and_the_others_are_merged(monkeypatch):
    store, board = FakeStore(1), leader(1)
    store.values[run_times_key("p")] = b"{"
    store.values[run_times_key("q")] = encode_queue(history_of([(1_000, 4_000)]), "q")
    await lead(board, store, monkeypatch)
    assert list(board.history.queues) == ["q"]
    assert board.counters.value("unusable_values", "run_times") == 1


async def test_nothing_is_replaced_while_the_store_cannot_be_read(monkeypatch):
    store, board = FakeStore(1), leader(1)
    board.history = history_of([(1_000, 4_000)])
    store.is_reachable = False
    await lead(board, store, monkeypatch)
    assert store.writes == 0
    assert list(board.history.changed_queues) == ["q"]


async def test_leader_of_few_accounts_reads_and_writes_nothing(monkeypatch):
    store, board = FakeStore(1), leader(1)
    board.config = board.config._replace(accounts=board.config.accounts[1:])
    store.values[run_times_key("q")] = encode_queue(history_of([(1_000, 4_000)]), "q")
    await lead(board, store, monkeypatch)
    assert not board.history.queues
    assert store.writes == 0
