import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from lycheeslip_common.structure.fleet import Grant, GrantState, WorkerInfo, WorkerState
from lycheeslip_common.structure.jobs import AttemptRef, JobKind
from lycheeslip_common.wire.codec import MalformedFrameError, decode, encode
from lycheeslip_common.wire.messages import (
    CallKind,
    Fence,
    ForwardedAnswer,
    ForwardedCall,
    Ping,
    Release,
    WorkerUpdate,
)

GRANT = Grant("job", 1, 2, 0, "e1", "acct", JobKind.BULK, (0, 1), 2, 256, True, GrantState.RUNNING)
INFO = WorkerInfo("w1", "r1", "z1", "rack", "127.0.0.1:1", 8, 60, 1000, 8)


@pytest.mark.parametrize(
    "message",
    [
        Ping(12, 3),
        Release(AttemptRef("job", 1, 2), 0),
        ForwardedCall(1, CallKind.SUBMIT, "k", "digest", b"{}", 2, 3, 4),
        ForwardedAnswer(1, True, False, 429, (("a", "b"),), b"{}", 5),
        WorkerUpdate(WorkerState(INFO, "i1", 4, False, (GRANT,)), "e1"),
    ],
)
def test_decode_reverses_encode(message):
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "frame",
    [
        "text",
        b"",
        b"\xff",
        cbor2.dumps({"a": 1}),
        cbor2.dumps([1]),
        cbor2.dumps([2, "Ping", 1, 1]),
        cbor2.dumps([1, "Pong?", 1]),
        cbor2.dumps([1, ["Ping"], 1]),
        cbor2.dumps([1, "Ping", 1]),
        cbor2.dumps([1, "Ping", "x", None]),
        cbor2.dumps([1, "Ping", 1, 2, 3]),
        encode(Fence(1, "job", 2, 3))[:-2],
    ],
)
def test_malformed_frame_raises_malformed_frame_error(frame):
    with pytest.raises(MalformedFrameError):
        decode(frame)


@given(st.binary(max_size=64))
def test_arbitrary_bytes_decode_or_raise_malformed_frame_error(frame):
    try:
        decode(frame)
    except MalformedFrameError:
        return
