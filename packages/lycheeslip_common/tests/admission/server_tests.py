"""Tests of servers under admission control, by clients on loopback connections."""

import asyncio
from contextlib import suppress

import pytest
from aiohttp import web
from lycheeslip_common.admission import server as server_module
from lycheeslip_common.admission.accept import AdmissionSite
from lycheeslip_common.admission.limits import AdmissionLimits
from lycheeslip_common.admission.server import Admission, AdmissionServer, ListenerPolicy
from lycheeslip_common.utils.counters import Counters

LIMITS = AdmissionLimits(
    4_000_000, 10, 5, head_timeout_ms=300, body_timeout_ms=300, response_timeout_ms=300
)
MAX_BODY_BYTES = 1_000_000
HEAD = b"POST /path HTTP/1.1\r\nHost: x\r\n"
WAIT_S = 10


class Served:
    """A server that answers each request with the length of its body."""

    def __init__(self):
        self.counters = Counters()
        self.admission = Admission(LIMITS, self.counters)
        self.bodies = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def start(self):
        async def answer(request):
            self.bodies.append(await request.read())
            await self.may_answer.wait()
            return web.Response(text=f"<{len(self.bodies[-1])}>")

        policy = ListenerPolicy(lambda: MAX_BODY_BYTES)
        server = AdmissionServer(answer, self.admission, policy, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = AdmissionSite(self._runner, "127.0.0.1:0", self.admission)
        await site.start()
        self.port = site._server.port

    async def stop(self):
        await self._runner.cleanup()

    async def send(self, *pieces):
        """Send pieces on a new connection; return its reader and writer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        return reader, writer

    async def until_closed(self, *pieces):
        """Return all that is answered until the server closes the connection."""
        reader, writer = await self.send(*pieces)
        async with asyncio.timeout(WAIT_S):
            answer = await reader.read()
        writer.close()
        return answer


@pytest.fixture
async def served():
    served = Served()
    await served.start()
    yield served
    await served.stop()


CLOSING = HEAD + b"Connection: close\r\n"


@pytest.mark.parametrize(
    ("pieces", "length"),
    [
        ([CLOSING + b"\r\n"], 0),
        ([CLOSING + b"Content-Length: 3\r\n\r\n", b"ab", b"c"], 3),
        ([CLOSING + b"Content-Length: 1000000\r\n\r\n", b"x" * 1_000_000], 1_000_000),
        ([CLOSING + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", b"2\r\nbc\r\n0\r\n\r\n"], 3),
        ([HEAD + b"\r\n" + CLOSING + b"Content-Length: 2\r\n\r\nab"], 2),
    ],
)
async def test_requests_within_the_limits_are_answered(served, pieces, length):
    assert (await served.until_closed(*pieces)).endswith(f"<{length}>".encode())
    assert served.admission.ledger.held_bytes == 0


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([HEAD + b"Content-Length: 1000001\r\n\r\n"], b"413"),
        ([HEAD + b"Content-Length: 1500000\r\n\r\n", b"x" * 1_500_000], b"413"),
        ([HEAD + b"Transfer-Encoding: chunked\r\n\r\nF4241\r\n", b"x"], b"413"),
        ([HEAD + b"a:\r\n" * 20_000], b"431"),
        ([HEAD + b"a: " + b"x" * 20_000], b"431"),
        ([HEAD], b"408"),
        ([HEAD + b"Content-Length: 5\r\n\r\nab"], b"408"),
        ([HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"], b"400"),
        ([b"\x16\x03\x01"], b"400"),
    ],
)
async def test_requests_outside_the_limits_are_refused_and_closed(served, pieces, status):
    """Guards against reading on, and against a reset before the client has the refusal."""
    answer = await served.until_closed(*pieces)
    assert answer.split(b" ")[1] == status
    assert served.admission.ledger.held_bytes == 0


async def test_client_that_expects_it_is_told_to_continue(served):
    reader, writer = await served.send(
        CLOSING + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    )
    assert b"100 Continue" in await reader.readuntil(b"\r\n\r\n")
    writer.write(b"ab")
    assert (await reader.read()).endswith(b"<2>")


async def test_pipelined_requests_are_queued_up_to_the_limit(served):
    """Guards against parsing and holding whatever a client sends behind a request in progress."""
    served.may_answer.clear()
    reader, writer = await served.send((HEAD + b"\r\n") * 5_000)
    await asyncio.sleep(0.1)
    assert len(served.bodies) == 1
    assert served.admission.ledger.held_bytes < 300_000
    served.may_answer.set()
    async with asyncio.timeout(WAIT_S):
        for _ in range(5_000):
            await reader.readuntil(b"<0>")
    writer.close()


async def test_unread_responses_end_the_connection(served):
    _, writer = await served.send()
    writer.transport.pause_reading()

    async def send_on():
        while True:
            writer.write((HEAD + b"\r\n") * 100)
            await writer.drain()

    with pytest.raises(ConnectionError):
        await asyncio.wait_for(send_on(), WAIT_S)
    writer.close()


async def test_connections_above_the_limit_are_refused(served):
    opened = [await served.send() for _ in range(LIMITS.max_connections)]
    await asyncio.sleep(0.1)
    answer = await served.until_closed(CLOSING)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1\r\n" in answer
    assert answer.endswith(b'{"reason":"overloaded"}')
    assert b'connections_closed_total{reason="overloaded"}' in served.counters.text()
    for _, writer in opened:
        writer.close()


async def test_error_in_a_decision_closes_only_its_connection(served, monkeypatch):
    """Guards against a fault of admission control that ends the process or the listener."""
    _, idle = await served.send()

    def fail(*_, **__):
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr(server_module, "decide", fail)
        for _ in range(2):
            with suppress(ConnectionError):
                assert b"<0>" not in await served.until_closed(CLOSING + b"\r\n")
    assert (await served.until_closed(CLOSING + b"\r\n")).endswith(b"<0>")
    assert not idle.transport.is_closing()
    idle.close()
