"""The entry that an agent keeps its session to, as the entries list each other."""

import asyncio
from contextlib import asynccontextmanager

import pytest
import pytest_asyncio
from lycheeslip_agent import sessions
from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.entry_messages import EntryMessages
from lycheeslip_agent.sessions import EntrySessions, rank_entries
from lycheeslip_common.config.settings import AgentSettings
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.messages import Ping, Pong
from lycheeslip_common.wire.session import listen

KEY = "a fleet key for tests only"
WORKER = "w1"
WAIT_S = 5
POLL_S = 0.01
OBSERVED_S = 0.5  # several checks of the home, and longer than each delay before a move


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(sessions, "MIN_HOME_CHECK_S", 0.01)
    monkeypatch.setattr(sessions, "MAX_HOME_CHECK_S", 0.02)
    monkeypatch.setattr(sessions, "MIN_MOVE_DELAY_S", 0.1)
    monkeypatch.setattr(sessions, "MAX_MOVE_DELAY_S", 0.2)


class Entries:
    """Listeners that grant permits of `permit_ms` and send the ids in `listed` to agents."""

    def __init__(self):
        self.permit_ms = 750
        self.infos = []
        self.listed = ["e1", "e2", "e3"]
        self.opened = []
        self.servers = {}

    async def start(self):
        for entry_id in self.listed:
            await self._listen(entry_id)
        self.infos = rank_entries(WORKER, "r", self.infos)
        self.home, self.second, self.third = (info.entry_id for info in self.infos)

    async def stop(self, *entry_ids):
        for entry_id in entry_ids or list(self.servers):
            server = self.servers.pop(entry_id)
            server.close()
            await server.wait_closed()

    def list_without(self, *entry_ids):
        self.listed = [info.entry_id for info in self.infos if info.entry_id not in entry_ids]

    def listed_infos(self):
        return tuple(info for info in self.infos if info.entry_id in self.listed)

    async def is_home(self, entry_id):
        for _ in range(round(WAIT_S / POLL_S)):
            if self.opened and self.opened[-1] == entry_id:
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"{entry_id} is not the home; opened: {self.opened}")

    async def _listen(self, entry_id):
        async def serve(session):
            while True:
                message = await session.receive()
                if isinstance(message, Ping):
                    if not self.opened or self.opened[-1] != entry_id:
                        self.opened.append(entry_id)
                    pong = Pong(message.sent_ms, 1, self.permit_ms, self.listed_infos())
                    await session.send(pong)

        server = await listen("127.0.0.1:0", KEY, entry_id, serve, self.listed_infos, Metrics())
        port = next(iter(server.sockets)).getsockname()[1]
        self.infos.append(EntryInfo(entry_id, "r", "z", "", f"127.0.0.1:{port}"))
        self.servers[entry_id] = server


@asynccontextmanager
async def running_agent(entries):
    addresses = tuple(info.session_address for info in entries.infos)
    board = Blackboard(
        AgentSettings(WORKER, "r", "z", "k", "127.0.0.1:1", addresses, "127.0.0.1:1", KEY),
        Metrics(),
    )
    running = asyncio.create_task(EntrySessions(board, EntryMessages(board, None)).run())
    try:
        yield
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


@pytest_asyncio.fixture
async def entries():
    entries = Entries()
    await entries.start()
    async with running_agent(entries):
        await entries.is_home(entries.home)
        yield entries
    await entries.stop()


async def test_an_agent_without_a_permit_leaves_an_entry_that_is_not_listed(entries):
    entries.permit_ms = 0
    entries.list_without(entries.home)
    await entries.is_home(entries.second)


async def test_an_agent_with_a_permit_stays_with_an_entry_that_is_not_listed(entries):
    entries.list_without(entries.home)
    await asyncio.sleep(OBSERVED_S * 2)
    assert entries.opened == [entries.home]


async def test_an_agent_without_a_permit_stays_while_its_entry_is_listed(entries):
    entries.permit_ms = 0
    await asyncio.sleep(OBSERVED_S * 2)
    assert entries.opened == [entries.home]


async def test_an_agent_does_not_return_at_once_to_an_entry_that_it_left_without_a_permit(entries):
    entries.permit_ms = 0
    entries.list_without(entries.home)
    await entries.is_home(entries.second)
    for _ in range(3):
        entries.list_without()
        await asyncio.sleep(OBSERVED_S)
        entries.list_without(entries.home)
        await asyncio.sleep(OBSERVED_S)
    assert entries.opened == [entries.home, entries.second]


async def test_an_agent_returns_to_an_entry_that_is_listed_again(entries, monkeypatch):
    monkeypatch.setattr(sessions, "AVOIDED_ENTRY_RETRY_MS", 500)
    entries.permit_ms = 0
    entries.list_without(entries.home)
    await entries.is_home(entries.second)
    entries.list_without()
    await entries.is_home(entries.home)
    assert entries.opened == [entries.home, entries.second, entries.home]


async def test_an_agent_without_a_permit_passes_over_an_entry_that_it_cannot_reach(entries):
    await entries.stop(entries.second)
    entries.permit_ms = 0
    entries.list_without(entries.home)
    await entries.is_home(entries.third)


async def test_an_agent_without_a_permit_returns_if_only_the_entry_that_it_left_is_listed(entries):
    entries.permit_ms = 0
    entries.list_without(entries.home)
    await entries.is_home(entries.second)
    entries.list_without(entries.second, entries.third)
    await entries.is_home(entries.home)
