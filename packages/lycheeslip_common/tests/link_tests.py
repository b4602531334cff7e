"""Tests of how links queue and send messages."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace

import pytest
import pytest_asyncio
from lycheeslip_common.workload import link as link_module
from lycheeslip_common.workload.fleet import Heartbeat, HeartbeatReply, Lifetime, StartOrder
from lycheeslip_common.workload.link import Link, LinkClosedError, dial, listen

BURST = 20_000
ORDER = StartOrder(1, Lifetime("i-1", 1), "a" * 16 + ".0.0.0", 1, "x" * 4_000, "")
Serve = Callable[[Callable[[Link], Awaitable[None]]], Awaitable[Link]]


@pytest_asyncio.fixture
async def serve() -> AsyncIterator[Serve]:
    """Return a function that listens with a handler and returns the dialler's end of a link."""
    servers, links = [], []

    async def open_link(handle: Callable[[Link], Awaitable[None]]) -> Link:
        server = await listen("127.0.0.1:0", handle)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        link = await dial(f"127.0.0.1:{port}", "agent", "side-1")
        links.append(link)
        return link

    yield open_link
    for link in links:
        link.abort()
    for server in servers:
        server.close()


async def test_burst_of_any_length_reaches_a_peer_that_reads(serve: Serve):
    # Guards against a burst that closes its link, and is sent again and again over the next one.
    async def handle(link: Link) -> None:
        for number in range(BURST):
            link.post(Heartbeat(number, 1))
        await link.receive(60)

    link = await serve(handle)
    received = [await link.receive(10) for _ in range(BURST)]
    assert received == [Heartbeat(number, 1) for number in range(BURST)]


async def test_burst_leaves_time_for_other_work_of_the_process():
    # Guards against links of others that are held up while one gets very many messages.
    sent = []

    async def send(frame: bytes) -> None:
        sent.append(frame)

    link = Link(SimpleNamespace(send=send, transport=None))
    for number in range(BURST):
        link.post(Heartbeat(number, 1))
    sender = asyncio.create_task(link.run_sender())
    turns = 0
    while len(sent) < BURST and not link.is_closed:
        await asyncio.sleep(0)
        turns += 1
    sender.cancel()
    assert turns >= BURST // 100


async def test_peer_that_reads_nothing_is_given_up(serve: Serve, monkeypatch):
    # Guards against messages that pile up for a peer that is stuck.
    monkeypatch.setattr(link_module, "SEND_TIMEOUT_S", 0.3)
    served: asyncio.Future[Link] = asyncio.get_running_loop().create_future()

    async def handle(link: Link) -> None:
        served.set_result(link)
        for _ in range(BURST):
            link.post(ORDER)
        with pytest.raises(LinkClosedError):
            await link.receive(60)

    await serve(handle)  # the dialler's end is never read
    link = await served
    async with asyncio.timeout(10):
        while not link.is_closed:  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def test_last_message_is_sent_before_the_link_is_closed(serve: Serve):
    async def handle(link: Link) -> None:
        link.post_last(HeartbeatReply(1, 2, False))
        await link.receive(60)

    link = await serve(handle)
    assert await link.receive(10) == HeartbeatReply(1, 2, False)
    with pytest.raises(LinkClosedError):
        await link.receive(10)
