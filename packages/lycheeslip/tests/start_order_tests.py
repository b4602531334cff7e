import asyncio

import aiohttp
import pytest
from lycheeslip.app import EntryApp
from lycheeslip_common.config.settings import EntrySettings
from lycheeslip_standins.addresses import ReservedAddresses
from lycheeslip_standins.platform_store import PlatformStore

FLEET_KEY = "key-of-the-test-fleet"
READY_TIMEOUT_S = 10.0
POLL_S = 0.1


async def readiness_status(http, address):
    async with http.get(f"http://{address}/readyz") as response:
        return response.status


async def becomes_ready(http, address):
    for _ in range(int(READY_TIMEOUT_S / POLL_S)):
        if await readiness_status(http, address) == 200:
            return True
        await asyncio.sleep(POLL_S)
    return False


@pytest.fixture
def addresses():
    reserved = ReservedAddresses()
    yield reserved
    reserved.release()


async def test_an_entry_started_before_the_store_becomes_ready_with_it(addresses):
    store_address = addresses.take()
    settings = EntrySettings(
        node_id="e1",
        region="r",
        zone="z",
        http_address=addresses.take(),
        session_address=addresses.take(),
        store_addresses=(store_address,),
        fleet_key=FLEET_KEY,
    )
    entry = EntryApp(settings)
    await entry.start()
    platform = PlatformStore(store_address)
    async with aiohttp.ClientSession() as http:
        assert await readiness_status(http, settings.http_address) == 503
        await platform.start()
        assert await becomes_ready(http, settings.http_address)
    await entry.stop()
    await platform.stop()
