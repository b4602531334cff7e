"""Tests of the bounds on peers that have not identified themselves."""

import asyncio
from contextlib import suppress

import pytest
from lycheeslip_common.admission.limits import derive_limits
from lycheeslip_common.admission.peers import UnidentifiedPeers
from lycheeslip_common.utils.counters import Counters
from lycheeslip_common.workload import link as link_module
from lycheeslip_common.workload.link import dial, listen

LIMITS = derive_limits(200, 300)  # 16 unidentified peers
WAIT_S = 10
CLOSED = b'connections_closed_total{reason="unidentified_peer"} '


@pytest.fixture
async def served(monkeypatch):
    """Return the port of a link listener, the identified links and the counters."""
    monkeypatch.setattr(link_module, "OPEN_TIMEOUT_S", WAIT_S)  # nobody leaves in the meantime
    counters = Counters()
    links = []

    async def handle(link):
        links.append(link)
        await asyncio.sleep(WAIT_S)

    server = await listen("127.0.0.1:0", handle, UnidentifiedPeers(LIMITS, counters))
    yield next(iter(server.sockets)).getsockname()[1], links, counters
    server.close()


async def until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_unidentified_peers_are_bounded_in_number(served):
    """Guards against connections to the port of the links that take all descriptors."""
    port, links, counters = served
    silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(24)]
    await until(lambda: CLOSED + b"8.0" in counters.text())
    for _, writer in silent:
        writer.close()
    await asyncio.sleep(0.1)
    dialled = [await dial(f"127.0.0.1:{port}", "agent", str(number)) for number in range(24)]
    await until(lambda: len(links) == 24)  # identified ones are not limited
    for link in dialled:
        link.abort()


async def test_unidentified_peer_is_bounded_in_bytes(served):
    port, links, counters = served
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000)
    with suppress(ConnectionError):
        assert await asyncio.wait_for(reader.read(), WAIT_S) == b""
    assert CLOSED + b"1.0" in counters.text()
    writer.close()
