"""Splits a connection's bytes into complete requests, without parsing their fields.

Each request is kept in one buffer until it is complete, since many small pieces cost far more than
their bytes. The body of a chunked request is joined to a single chunk. Requests that aren't framed
plainly are passed on as they are, and the HTTP parser refuses them.
"""

import re
from dataclasses import dataclass
from typing import NamedTuple

from lycheeslip_common.admission.decision import Reason

__all__ = ["Complete", "Framer", "FramerLimits", "Oversized", "Unframed", "WantsContinue"]

HEAD_END = b"\r\n\r\n"
FRAMING_FIELDS = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect|authorization)[ \t]*:[ \t]*([^\r\n]*)",
    re.IGNORECASE,
)
EXPECT_FIELD = re.compile(rb"\r\nexpect[ \t]*:[^\r\n]*", re.IGNORECASE)
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?")
LENGTH = re.compile(rb"[0-9]{1,18}")
MALFORMED_CHUNK = b"zz\r\n"
MAX_CHUNK_LINE_BYTES = 256
ACCOUNT_BYTES = 256  # of a credential, by which requests are grouped


class FramerLimits(NamedTuple):
    """Limits of one request."""

    max_head_bytes: int
    max_head_fields: int
    max_body_bytes: int


@dataclass(frozen=True, slots=True)
class Complete:
    """A whole request; `account` identifies its credential, "" if it has none."""

    content: bytes
    account: str


@dataclass(frozen=True, slots=True)
class WantsContinue:
    """The client waits for "100 Continue" before it sends the body."""


@dataclass(frozen=True, slots=True)
class Unframed:
    """The end of a request can't be told; `content` is for the parser, nothing follows it."""

    content: bytes


@dataclass(frozen=True, slots=True)
class Oversized:
    """The request exceeds a limit; the rest of the connection is to be discarded."""

    reason: Reason


Frame = Complete | WantsContinue | Unframed | Oversized


class MalformedChunkError(ValueError):
    """The chunked body is malformed."""


class Framer:
    """Holds the bytes of a connection that don't make a complete request yet."""

    __slots__ = (
        "_account",
        "_body",
        "_body_end",
        "_buffer",
        "_chunk_left",
        "_fields",
        "_head",
        "_is_ended",
        "_scanned",
        "_trailer_bytes",
        "_wants_continue",
    )

    def __init__(self) -> None:
        """Start before the first request of a connection."""
        self._buffer = bytearray()
        self._is_ended = False
        self._start_request()

    def _start_request(self) -> None:
        self._head = b""
        self._account = ""
        self._scanned = self._fields = 0
        self._body_end = 0  # of a request of known length, within the buffer
        self._body: bytearray | None = None  # of a chunked request
        self._chunk_left = -2  # -2: before a size, -1: before the end of a chunk, -3: trailers
        self._trailer_bytes = 0
        self._wants_continue = False

    @property
    def held_bytes(self) -> int:
        """Number of bytes held."""
        return len(self._buffer) + len(self._head) + len(self._body or b"")

    @property
    def is_in_body(self) -> bool:
        """Whether the head of the request is complete."""
        return bool(self._head) or self._body_end > 0

    @property
    def account(self) -> str:
        """What identifies the credential of the request whose body is being received."""
        return self._account

    def feed(self, content: bytes) -> None:
        """Append received bytes."""
        if not self._is_ended:
            self._buffer += content

    def clear(self) -> None:
        """Drop everything that is held, and whatever follows."""
        self._buffer = bytearray()
        self._start_request()
        self._is_ended = True

    def next_frame(self, limits: FramerLimits) -> Frame | None:
        """Return what the bytes held amount to next, None if more of them are needed."""
        if self._is_ended:
            return None
        if not self.is_in_body:
            frame = self._read_head(limits)
            if frame is not None or not self.is_in_body:
                return frame
        frame = self._read_chunks(limits) if self._body is not None else self._read_body()
        if frame is None and self._wants_continue:
            self._wants_continue = False
            return WantsContinue()
        return frame

    def _end(self, frame: Frame) -> Frame:
        self.clear()
        return frame

    def _unframed(self) -> Frame:
        return self._end(Unframed(bytes(self._buffer)))

    def _read_head(self, limits: FramerLimits) -> Frame | None:
        """Find the end of the head; its lines are counted before anything is made of them."""
        buffer = self._buffer
        while buffer.startswith(b"\r\n"):  # allowed between requests
            del buffer[:2]
        if not buffer or buffer == b"\r":
            return None
        if not 65 <= buffer[0] <= 90:  # no method starts so
            return self._unframed()
        found = buffer.find(HEAD_END, max(0, self._scanned - len(HEAD_END)))
        end = found + len(HEAD_END) if found >= 0 else len(buffer)
        ends_of_lines = buffer.count(b"\n", self._scanned, end)
        self._fields += ends_of_lines
        self._scanned = end
        # The request line and the empty one are no fields.
        if end > limits.max_head_bytes or self._fields > limits.max_head_fields + 2:
            return self._end(Oversized(Reason.HEAD_TOO_LARGE))
        if ends_of_lines and buffer.count(b"\n", 0, end) != buffer.count(b"\r\n", 0, end):
            return self._unframed()
        return self._read_framing(end, limits) if found >= 0 else None

    def _read_framing(self, end: int, limits: FramerLimits) -> Frame | None:
        head = bytes(self._buffer[:end])
        value_by_name: dict[bytes, bytes] = {}
        for name, value in FRAMING_FIELDS.findall(head):
            key = name.lower()
            if key in value_by_name and key != b"authorization":
                return self._unframed()
            value_by_name[key] = value.strip()
        length = value_by_name.get(b"content-length", b"0")
        coding = value_by_name.get(b"transfer-encoding")
        is_folded = b"\r\n " in head or b"\r\n\t" in head
        is_ambiguous = coding is not None and (
            b"content-length" in value_by_name or coding.lower() != b"chunked"
        )
        if is_folded or is_ambiguous or not LENGTH.fullmatch(length):
            return self._unframed()
        if int(length) > limits.max_body_bytes:
            return self._end(Oversized(Reason.BODY_TOO_LARGE))
        credential = value_by_name.get(b"authorization", b"")[:ACCOUNT_BYTES]
        self._account = str(hash(credential)) if credential else ""
        if value_by_name.get(b"expect", b"").lower() == b"100-continue":
            self._wants_continue = coding is not None or int(length) > 0
            head = EXPECT_FIELD.sub(b"", head)
        del self._buffer[:end]
        self._head = head
        self._body_end = int(length)
        if coding is not None:
            self._body = bytearray()
        return None

    def _read_body(self) -> Frame | None:
        if len(self._buffer) < self._body_end:
            return None
        content = self._head + self._buffer[: self._body_end]
        del self._buffer[: self._body_end]
        return self._completed(content)

    def _completed(self, content: bytes) -> Frame:
        frame = Complete(content, self._account)
        if not self._buffer:
            self._buffer = bytearray()  # a cleared one keeps its memory
        self._start_request()
        return frame

    def _read_chunks(self, limits: FramerLimits) -> Frame | None:
        """Move the content of received chunks to the body."""
        try:
            position, is_complete = self._join_chunks(limits)
        except MalformedChunkError:
            return self._end(Unframed(self._joined() + MALFORMED_CHUNK))
        except OverflowError:
            return self._end(Oversized(Reason.BODY_TOO_LARGE))
        del self._buffer[:position]
        if not is_complete:
            return None
        return self._completed(self._joined() + b"0\r\n\r\n")

    def _joined(self) -> bytes:
        """Return the head and the chunks received so far as one chunk."""
        body = self._body
        return self._head + (b"%x\r\n%b\r\n" % (len(body), bytes(body)) if body else b"")

    def _join_chunks(self, limits: FramerLimits) -> tuple[int, bool]:
        """Return how much of the buffer is read, and whether the body is complete.

        Raises MalformedChunkError, and OverflowError for a body above the limit.
        """
        buffer, body = self._buffer, self._body
        assert body is not None
        position = 0
        while True:
            if self._chunk_left >= 0:
                taken = min(self._chunk_left, len(buffer) - position)
                body += buffer[position : position + taken]
                position += taken
                self._chunk_left -= taken
                if self._chunk_left:
                    return position, False
                self._chunk_left = -1
            if self._chunk_left == -1:
                if len(buffer) < position + 2:
                    return position, False
                if buffer[position : position + 2] != b"\r\n":
                    raise MalformedChunkError
                position += 2
                self._chunk_left = -2
            end = buffer.find(b"\r\n", position)
            if self._chunk_left == -3:
                if end == position:
                    return position + 2, True
                self._trailer_bytes += max(0, end - position)
                if max(self._trailer_bytes, len(buffer) - position) > limits.max_head_bytes:
                    raise OverflowError
                if end < 0:
                    return position, False
                position = end + 2
                continue
            if end < 0 or end - position > MAX_CHUNK_LINE_BYTES:
                if len(buffer) - position > MAX_CHUNK_LINE_BYTES:
                    raise MalformedChunkError
                return position, False
            size = CHUNK_SIZE.fullmatch(bytes(buffer[position:end]))
            if size is None:
                raise MalformedChunkError
            self._chunk_left = int(size[1], 16)
            if len(body) + self._chunk_left > limits.max_body_bytes:
                raise OverflowError
            position = end + 2
            if self._chunk_left == 0:
                self._chunk_left = -3
