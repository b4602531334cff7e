"""Tests of splitting a connection's bytes into requests."""

import pytest
from lycheeslip_common.admission.decision import Reason
from lycheeslip_common.admission.framing import (
    Complete,
    Framer,
    FramerLimits,
    Oversized,
    Unframed,
    WantsContinue,
)

LIMITS = FramerLimits(1_000, 10, 100)
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def frames_of(content, piece=None):
    framer = Framer()
    found = []
    step = piece or len(content)
    for start in range(0, len(content), step):
        framer.feed(content[start : start + step])
        while (frame := framer.next_frame(LIMITS)) is not None:
            found.append(frame)
    return found, framer


@pytest.mark.parametrize("piece", [None, 1, 3, 7])
@pytest.mark.parametrize(
    ("content", "passed_on"),
    [
        (HEAD + b"\r\n", [HEAD + b"\r\n"]),
        (
            b"\r\n" + HEAD + b"Content-Length: 3\r\n\r\nabc",
            [HEAD + b"Content-Length: 3\r\n\r\nabc"],
        ),
        (HEAD + b"\r\n" + HEAD + b"\r\n", [HEAD + b"\r\n"] * 2),
        (CHUNKED + b"1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n", [CHUNKED + b"3\r\nabc\r\n0\r\n\r\n"]),
        (CHUNKED + b"0\r\nTrailer: x\r\n\r\n", [CHUNKED + b"0\r\n\r\n"]),
    ],
)
def test_requests_are_passed_on_whole_in_any_pieces(content, passed_on, piece):
    found, framer = frames_of(content, piece)
    assert found == [Complete(each, "") for each in passed_on]
    assert framer.held_bytes == 0


@pytest.mark.parametrize("piece", [None, 1])
@pytest.mark.parametrize(
    ("content", "reason"),
    [
        (HEAD + b"A: " + b"x" * 2_000, Reason.HEAD_TOO_LARGE),
        (HEAD + b"a:\r\n" * 20, Reason.HEAD_TOO_LARGE),
        (HEAD + b"Content-Length: 101\r\n\r\n", Reason.BODY_TOO_LARGE),
        (CHUNKED + b"32\r\n" + b"x" * 50 + b"\r\n33\r\n", Reason.BODY_TOO_LARGE),
        (CHUNKED + b"0\r\n" + b"a: b\r\n" * 400, Reason.BODY_TOO_LARGE),
    ],
)
def test_oversized_requests_are_refused_before_they_are_held(content, reason, piece):
    found, framer = frames_of(content, piece)
    assert found == [Oversized(reason)]
    assert framer.held_bytes == 0


@pytest.mark.parametrize(
    "content",
    [
        b"\x16\x03\x01",
        b"GET / HTTP/1.1\nHost: x\n\n",
        HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        HEAD + b"Content-Length: -1\r\n\r\n",
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        HEAD + b"A: b\r\n c\r\n\r\n",
        CHUNKED + b"zz\r\n",
        CHUNKED + b"1\r\nabc",
    ],
)
def test_requests_without_a_plain_end_are_left_to_the_parser(content):
    """Guards against a framing that differs from the parser's, and so smuggles a request."""
    found, _ = frames_of(content)
    assert [type(frame) for frame in found] == [Unframed]


def test_client_that_waits_is_told_to_continue_once():
    framer = Framer()
    framer.feed(HEAD + b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n")
    assert framer.next_frame(LIMITS) == WantsContinue()
    framer.feed(b"ab")
    assert framer.next_frame(LIMITS) is None
    framer.feed(b"c")
    assert framer.next_frame(LIMITS) == Complete(HEAD + b"Content-Length: 3\r\n\r\nabc", "")


def test_requests_with_one_credential_share_an_account():
    field = b"Authorization: Bearer %b\r\n\r\n"
    (one, two, three), _ = frames_of(b"".join(HEAD + field % key for key in (b"k", b"k", b"l")))
    assert one.account == two.account != three.account
