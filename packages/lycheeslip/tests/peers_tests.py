"""Sessions to other entries, whose addresses come from records in the store."""

import asyncio
from contextlib import asynccontextmanager

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.forwarding import Forwarding
from lycheeslip.entry.peers import Peers
from lycheeslip.entry.router import Router
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.session import listen

KEY = "a fleet key for tests only"
WAIT_S = 5
ODD_ADDRESS = "127.0.0.1:700000"


def entry_info(entry_id, session_address=""):
    return EntryInfo(entry_id, "r", "z", "", session_address)


@asynccontextmanager
async def listening_peer(joined):
    """Run entry e2, which sets `joined` for each session; yields its description."""

    async def serve(session):
        joined.set()
        while True:
            await session.receive()

    server = await listen("127.0.0.1:0", KEY, "e2", serve, lambda: (), Metrics())
    port = next(iter(server.sockets)).getsockname()[1]
    try:
        yield entry_info("e2", f"127.0.0.1:{port}")
    finally:
        server.close()
        await server.wait_closed()


async def run_until(peers, condition):
    running = asyncio.create_task(peers.run())
    try:
        async with asyncio.timeout(WAIT_S):
            await condition()
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def test_entry_with_an_odd_address_is_dialled_again_once_its_address_is_usable():
    joined = asyncio.Event()
    board = Blackboard(entry_info("e1"), Metrics())
    board.entries_by_id["e2"] = entry_info("e2", ODD_ADDRESS)
    router = Router(board)
    peers = Peers(board, router, None, Forwarding(board, router), KEY, {}, 2_500)
    async with listening_peer(joined) as usable:

        async def follow_the_record():
            while not board.metrics.counts["retry.peer.unreachable"]:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            board.entries_by_id["e2"] = usable
            await joined.wait()

        await run_until(peers, follow_the_record)


async def test_session_to_a_peer_is_opened_again_after_an_unexpected_error():
    joined = asyncio.Event()
    board = Blackboard(entry_info("e1"), Metrics())
    router = Router(board)
    peers = Peers(board, router, None, Forwarding(board, router), KEY, {}, 2_500)

    async def fail(session):
        raise RuntimeError("unexpected")

    async def wait_for_two_sessions():
        for _ in range(2):
            await joined.wait()
            joined.clear()

    peers.serve = fail
    async with listening_peer(joined) as usable:
        board.entries_by_id["e2"] = usable
        await run_until(peers, wait_for_two_sessions)
