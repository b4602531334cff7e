"""Tests of the messages that pass a call on to another entry."""

import pytest
from hypothesis import given
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
    QueryPending,
    QueryState,
    Shown,
    Submit,
    Undecided,
    Waiting,
)
from lycheeslip.dispatch.entry_directory import EntryDirectory
from lycheeslip.dispatch.forwarding import (
    ForwardedCallServer,
    decode_answer,
    decode_call,
    encode_answer,
    encode_call,
)
from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.fleet import (
    ForwardedAnswer,
    ForwardedCall,
    InvalidMessageError,
    decode,
    encode,
)
from lycheeslip_common.workload.jobs import StepSpec
from lycheeslip_common.workload.operator import OperatorConfig
from lycheeslip_common.workload.times import DispatchTimes

STEP = StepSpec(3, 500, 256, 2, 900, gang=True, label="a")
SUBMISSION = JobSubmission(
    "0123456789abcdef", "payload", (STEP, STEP._replace(after=(0,))), 5, 6, 7
)
REQUESTS = [Submit(SUBMISSION), Cancel("a" * 16), QueryState("b" * 16), QueryPending()]
OUTCOMES = [
    Accepted(),
    Forbidden(),
    Missing(True),
    Missing(False),
    NotRun("store_unavailable", 2),
    Undecided("store_silent"),
    Shown("failed", "crashes_workers"),
    Waiting(12),
]


def call_with(time_ms: int) -> Call:
    return Call("host", "/path/", "key", steady_ms() + time_ms)


@pytest.mark.parametrize("request_", REQUESTS, ids=lambda request: type(request).__name__)
def test_call_is_the_same_after_it_was_passed_on(request_):
    sent = call_with(2_000)
    call, decoded = decode_call(decode(encode(encode_call(sent, request_, 4))))
    assert decoded == request_
    assert (call.host, call.path, call.key) == ("host", "/path/", "key")
    assert abs(call.deadline_ms - sent.deadline_ms) < 500


@pytest.mark.parametrize("outcome", OUTCOMES, ids=lambda outcome: type(outcome).__name__)
def test_outcome_is_the_same_after_it_was_passed_back(outcome):
    assert decode_answer(decode(encode(encode_answer(outcome, None)))) == outcome


@given(st.text(), st.binary())
def test_malformed_call_is_refused_as_an_invalid_message(kind, spec):
    message = ForwardedCall(1, kind, "host", "/path/", "key", 100, "", spec)
    if kind not in ("cancel", "state", "pending"):
        with pytest.raises(InvalidMessageError):
            decode_call(message)


@given(
    st.sampled_from(["Accepted", "NotRun", "Shown", "Call", ""]),
    st.dictionaries(st.text(), st.integers()),
)
def test_malformed_outcome_is_refused_as_an_invalid_message(name, fields):
    try:
        decode_answer(ForwardedAnswer(name, fields))
    except InvalidMessageError:
        return
    assert name == "Accepted"


class Operator:
    """Confirms the configuration by reading `stored`, if there is one."""

    def __init__(self, board: Board, stored: OperatorConfig | None) -> None:
        self._board = board
        self._stored = stored

    async def confirm(self, timeout_s: float) -> bool:
        self._board.config = self._stored or self._board.config
        return self._stored is not None


class Local:
    """Accepts every call."""

    async def answer(self, call: Call, request: object) -> Accepted:
        return Accepted()


def server_with(version: int, stored: int = 0) -> ForwardedCallServer:
    board = Board("entry", "zone", "127.0.0.1:9", DispatchTimes())
    board.config = OperatorConfig(version, 10 + version, (), (), 0)
    board.config_item = KeyValue("op/config", b"text", 10 + version)
    newer = OperatorConfig(stored, 10 + stored, (), (), 0) if stored else None
    return ForwardedCallServer(board, Local(), Operator(board, newer))


async def test_call_is_not_decided_under_a_configuration_older_than_the_asking_entrys():
    message = encode_call(call_with(500), QueryPending(), 3)
    answer = await server_with(version=2).answer(message)
    assert decode_answer(answer) == NotRun("configuration_outdated")


async def test_call_is_decided_once_the_newer_configuration_was_read():
    message = encode_call(call_with(500), QueryPending(), 3)
    answer = await server_with(version=2, stored=3).answer(message)
    assert decode_answer(answer) == Accepted()


@pytest.mark.parametrize(("known", "is_sent"), [(1, True), (2, False)])
async def test_answer_brings_the_newer_configuration_that_decided(known, is_sent):
    answer = await server_with(version=2).answer(encode_call(call_with(500), QueryPending(), known))
    assert (answer.config is not None) == is_sent
    assert decode(encode(answer)) == answer


def test_directory_lists_the_leader_first_and_leaves_out_entries_that_could_not_help():
    seed, own, other, leader = (f"10.0.0.{number}:1" for number in range(1, 5))
    directory = EntryDirectory([seed])
    assert directory.others(own) == [seed]
    for address in (own, other, leader):
        directory.add(address)
    assert directory.helpers(own, leader) == [leader, other, seed]
    assert directory.unable == 0
    directory.avoid(leader)
    assert directory.unable == 1
    assert sorted(directory.helpers(own, leader)) == sorted([other, seed])
    assert set(directory.others(own)) == {other, leader, seed}


@pytest.mark.parametrize(
    "address", ["", "10.0.0.1:70000", "10.0.0.1", "host:1", "10.0.0.1:" + "9" * 5_000]
)
def test_directory_passes_over_an_unusable_address(address):
    directory = EntryDirectory()
    directory.add(address)
    assert directory.others("10.0.0.2:1") == []
