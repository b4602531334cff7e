import asyncio

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web
from aiohttp.test_utils import TestServer
from lycheeslip_common.store import Compare, Put, Store, WatchEnded
from lycheeslip_common.store.outcomes import Conflict, Unreachable, Written
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_standins.fault_proxy import FaultProxy
from lycheeslip_standins.platform_store import PlatformStore
from lycheeslip_standins.proxy_route import RouteFaults
from lycheeslip_standins.store_faults import StoreFaults
from lycheeslip_standins.store_state import MAX_VALUE_BYTES

TIMEOUT_S = 0.2


class ProxiedStore:
    """A stand-in store behind a fault proxy, with a client."""

    async def start(self):
        self.platform = PlatformStore("127.0.0.1:0")
        await self.platform.start()
        self.proxy = FaultProxy()
        self.route = await self.proxy.add_route("store", self.platform.address)
        self.metrics = Metrics()
        self.store = Store([self.route.listen], self.metrics, TIMEOUT_S)

    async def stop(self):
        await self.store.close()
        await self.proxy.stop()
        await self.platform.stop()

    def value(self, key):
        entry = self.platform.state.entries_by_key.get(key.encode())
        return entry.value if entry else None


@pytest_asyncio.fixture
async def proxied_store():
    proxied_store = ProxiedStore()
    await proxied_store.start()
    yield proxied_store
    await proxied_store.stop()


async def test_writes_compare_revisions(proxied_store):
    store = proxied_store.store
    first = await store.write_if("jobs/1", b"a", 0)
    assert first == Written(2)
    conflict = await store.write_if("jobs/1", b"b", 0)
    assert isinstance(conflict, Conflict)
    assert (conflict.current.value, conflict.current.mod_revision) == (b"a", 2)
    assert await store.write_if("jobs/1", b"b", 2) == Written(3)
    assert await store.write_if("jobs/2", b"", 5) == Conflict(None)
    assert proxied_store.metrics.counts["store.conflict"] == 2


async def test_reads_return_a_key_or_all_keys_of_a_prefix(proxied_store):
    store = proxied_store.store
    for key in ("jobs/1", "jobs/2", "job", "jobs0"):
        await store.write_if(key, key.encode(), 0)
    one = await store.read("jobs/2")
    assert [item.value for item in one.items] == [b"jobs/2"]
    several = await store.read_prefix("jobs/")
    assert [item.key for item in several.items] == ["jobs/1", "jobs/2"]
    assert several.revision == 5
    assert (await store.read("none")).items == ()


async def test_deletes_compare_revisions(proxied_store):
    store = proxied_store.store
    await store.write_if("k", b"a", 0)
    assert isinstance(await store.delete_if("k", 1), Conflict)
    assert isinstance(await store.delete_if("k", 2), Written)
    assert proxied_store.value("k") is None


async def test_several_writes_are_applied_atomically(proxied_store):
    store = proxied_store.store
    await store.write_if("a", b"1", 0)
    puts = (Put("a", b"2"), Put("b", b"2"))
    refused = await store.write_many_if((Compare("a", 2), Compare("b", 1)), puts)
    assert refused == Conflict(None)
    assert proxied_store.value("a") == b"1"
    assert await store.write_many_if((Compare("a", 2), Compare("b", 0)), puts) == Written(3)
    assert proxied_store.value("b") == b"2"


async def test_revoking_a_lease_deletes_its_keys(proxied_store):
    store = proxied_store.store
    lease_id = await store.grant_lease(5)
    await store.write_if("entries/e1", b"x", 0, lease_id)
    assert await store.keep_alive(lease_id) == 5
    assert await store.revoke_lease(lease_id) is None
    assert proxied_store.value("entries/e1") is None
    assert await store.keep_alive(lease_id) == 0
    assert await store.revoke_lease(lease_id) is None
    refused = await store.write_if("entries/e1", b"x", 0, lease_id)
    assert refused.may_have_run is False


async def test_a_value_over_a_megabyte_is_refused_as_not_run(proxied_store):
    assert isinstance(await proxied_store.store.write_if("k", b"x" * MAX_VALUE_BYTES, 0), Written)
    refused = await proxied_store.store.write_if("k2", b"x" * (MAX_VALUE_BYTES + 1), 0)
    assert isinstance(refused, Unreachable)
    assert not refused.may_have_run


# Name, faults of the network and of the store, whether the client must assume that the write may
# have run, and whether the write takes effect (the test waits up to 2 s for it).
FAULTS = [
    ("refused", RouteFaults(refuse=True), StoreFaults(), False, False),
    ("request lost", RouteFaults(drop_to_target=True), StoreFaults(), True, False),
    ("request held back", RouteFaults(cut_to_target=True), StoreFaults(), True, False),
    ("answer lost", RouteFaults(drop_to_client=True), StoreFaults(), True, True),
    ("answer cut", RouteFaults(lose_answers=1), StoreFaults(), True, True),
    ("answer truncated", RouteFaults(reset_after_bytes=20), StoreFaults(), True, True),
    ("slow network", RouteFaults(delay_ms=300), StoreFaults(), True, True),
    ("down", RouteFaults(), StoreFaults(down=True), True, False),
    ("slow store", RouteFaults(), StoreFaults(delay_ms=300), True, True),
    ("answer lost by the store", RouteFaults(), StoreFaults(lose_next_answers=1), True, True),
]


@pytest.mark.parametrize(
    ("route_faults", "store_faults", "may_have_run", "takes_effect"),
    [case[1:] for case in FAULTS],
    ids=[case[0] for case in FAULTS],
)
async def test_unanswered_writes_report_whether_they_may_have_run(
    proxied_store, route_faults, store_faults, may_have_run, takes_effect
):
    await proxied_store.route.set_faults(route_faults)
    proxied_store.platform.set_faults(store_faults)
    outcome = await proxied_store.store.write_if("k", b"v", 0)
    assert isinstance(outcome, Unreachable)
    assert outcome.may_have_run is may_have_run
    assert proxied_store.metrics.counts["store.unreachable.write"] == 1
    if takes_effect:
        await _wait_until(lambda: proxied_store.value("k") == b"v")
    else:
        assert proxied_store.value("k") is None


@pytest.mark.parametrize("faults", [RouteFaults(refuse=True), RouteFaults(cut_to_client=True)])
async def test_unanswered_reads_and_lease_calls_are_unreachable(proxied_store, faults):
    await proxied_store.route.set_faults(faults)
    assert (await proxied_store.store.read("k")).may_have_run is False
    assert (await proxied_store.store.read_prefix("k")).may_have_run is False
    assert isinstance(await proxied_store.store.grant_lease(1), Unreachable)
    assert isinstance(await proxied_store.store.keep_alive(1), Unreachable)
    assert isinstance(await proxied_store.store.revoke_lease(1), Unreachable)


async def test_reads_but_not_writes_that_may_have_run_are_retried_at_the_next_address(
    proxied_store,
):
    other = await proxied_store.proxy.add_route("other", proxied_store.platform.address)
    store = Store([proxied_store.route.listen, other.listen], proxied_store.metrics, TIMEOUT_S)
    await proxied_store.route.set_faults(RouteFaults(cut_to_client=True))
    assert (await store.write_if("a", b"", 0)).may_have_run
    assert isinstance(await store.write_if("b", b"", 0), Written)
    await proxied_store.route.set_faults(RouteFaults())
    await other.set_faults(RouteFaults(cut_to_client=True))
    assert (await store.read("b")).items
    await store.close()


async def test_refused_writes_are_retried_at_the_next_address(proxied_store):
    other = await proxied_store.proxy.add_route("other", proxied_store.platform.address)
    await proxied_store.route.set_faults(RouteFaults(refuse=True))
    store = Store([proxied_store.route.listen, other.listen], proxied_store.metrics, TIMEOUT_S)
    assert isinstance(await store.write_if("k", b"", 0), Written)
    await store.close()


async def test_a_watch_returns_all_changes_from_a_revision_on(proxied_store):
    store = proxied_store.store
    await store.write_if("jobs/1", b"a", 0)
    await store.write_if("other", b"a", 0)
    watch = store.watch("jobs/", 2)
    first = await anext(watch)
    assert [(event.key, event.value) for event in first] == [("jobs/1", b"a")]
    await store.write_if("jobs/2", b"x" * 200_000, 0)
    await store.delete_if("jobs/1", 2)
    changes = await _collect(watch, 2)
    assert [(event.key, len(event.value), event.deleted) for event in changes] == [
        ("jobs/2", 200_000, False),
        ("jobs/1", 0, True),
    ]
    assert proxied_store.platform.counts.calls_by_operation["watch"] == 1
    await watch.aclose()
    await _wait_until(lambda: proxied_store.platform.open_watches == 0)


@pytest.mark.parametrize("ending", ["reset", "down", "compacted"])
async def test_an_interrupted_or_compacted_watch_ends(proxied_store, ending):
    watch = proxied_store.store.watch("jobs/", 1)
    await proxied_store.store.write_if("jobs/1", b"a", 0)
    await anext(watch)
    waiting = asyncio.ensure_future(anext(watch))
    await asyncio.sleep(0.05)
    if ending == "reset":
        proxied_store.route.reset()
    elif ending == "down":
        proxied_store.platform.set_faults(StoreFaults(down=True))
    else:
        proxied_store.route.reset()
        proxied_store.platform.state.compact()
        with pytest.raises(WatchEnded):
            await waiting
        waiting = anext(proxied_store.store.watch("jobs/", 2))
    with pytest.raises(WatchEnded):
        await asyncio.wait_for(waiting, 2)


async def test_an_idle_watch_is_reopened_without_missing_changes(proxied_store):
    store = Store([proxied_store.route.listen], proxied_store.metrics, TIMEOUT_S, watch_idle_s=0.1)
    watch = store.watch("jobs/", 1)
    waiting = asyncio.ensure_future(anext(watch))
    await _wait_until(lambda: proxied_store.platform.counts.calls_by_operation["watch"] >= 2)
    await proxied_store.store.write_if("jobs/1", b"a", 0)
    assert (await asyncio.wait_for(waiting, 2))[0].key == "jobs/1"
    await watch.aclose()
    await store.close()


@pytest.mark.parametrize("answer", ["", "[]", "{}", '{"succeeded": false}', "<html>"])
async def test_malformed_answers_are_treated_as_unreachable(proxied_store, answer):
    async def serve(_):
        return web.Response(text=answer)

    server = TestServer(web.Application())
    server.app.router.add_post("/{path:.*}", serve)
    await server.start_server()
    store = Store([f"127.0.0.1:{server.port}"], proxied_store.metrics, TIMEOUT_S)
    assert (await store.write_if("k", b"", 0)).may_have_run
    assert (await store.read("k")).may_have_run is False
    assert isinstance(await store.grant_lease(1), Unreachable)
    with pytest.raises(WatchEnded):
        await anext(store.watch("k", 1))
    await store.close()
    await server.close()


async def test_the_admin_interface_sets_faults_and_shows_counts_and_keys(proxied_store):
    await proxied_store.store.write_if("a", b"v", 0)
    url = f"http://{proxied_store.platform.address}/admin"
    async with aiohttp.ClientSession() as session:
        async with session.get(f"{url}/counters") as response:
            counters = await response.json()
        assert counters["calls"] == {"txn": 1}
        assert counters["peak_per_s"]["all"] == 1
        async with session.get(f"{url}/keys?prefix=a") as response:
            keys = await response.json()
        assert [item["key"] for item in keys["items"]] == ["a"]
        faults = {"lose_next_answers": 1, "lose_answers_of_prefix": "jobs/"}
        async with session.post(f"{url}/faults", json=faults) as response:
            assert response.status == 200
        async with session.post(f"{url}/faults", json={"down": "perhaps"}) as response:
            assert response.status == 422
    assert isinstance(await proxied_store.store.write_if("b", b"", 0), Written)
    assert (await proxied_store.store.write_if("jobs/1", b"", 0)).may_have_run
    assert isinstance(await proxied_store.store.write_if("jobs/2", b"", 0), Written)


async def _collect(watch, count):
    events = []
    while len(events) < count:
        events += await asyncio.wait_for(anext(watch), 2)
    return events


async def _wait_until(condition):
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met within 2 s")
