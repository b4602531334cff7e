import asyncio
from hashlib import sha256

import aiohttp
import pytest
import pytest_asyncio
from lycheeslip.app import EntryApp
from lycheeslip.entry import lifecycle
from lycheeslip.entry.planner import planner_id
from lycheeslip.entry.records import (
    CONFIG_KEY,
    ENTRY_PREFIX,
    JOB_PREFIX,
    answer_key,
    decode_job,
    encode_config,
    encode_job,
    job_key,
)
from lycheeslip.entry.router import Router
from lycheeslip_common.config.settings import EntrySettings, EntryTimes
from lycheeslip_common.structure.jobs import JobKind, JobSpec, Shape, derive_job_id
from lycheeslip_common.structure.verdicts import Answered
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_standins.addresses import ReservedAddresses
from lycheeslip_standins.platform_store import PlatformStore
from lycheeslip_standins.proxy_route import ProxyRoute, RouteFaults
from lycheeslip_standins.store_faults import StoreFaults
from lycheeslip_standins.store_state import Deletion, Range, Write

from tests.harness.callers import Callers, JobRequest
from tests.harness.fleet import Fleet, FleetLayout

FLEET_KEY = "key-of-the-test-fleet"
TIMES = EntryTimes(permit_ms=1_000, confirm_every_ms=100, shutdown_wait_ms=0)
WAIT_S = 10
POLL_S = 0.01
KEY = "k"
JOB_ID = derive_job_id("a", KEY)
OLD_TOKEN = "old-token"
BODY = {"account": "a", "shape": {"accelerators": 0}, "repeatable": False}
CUT = RouteFaults(refuse=True)


def config_text(token):
    digest, operator = (sha256(text.encode()).hexdigest() for text in (token, "operator"))
    return f"operator_token_sha256: {operator}\naccounts:\n  a: {{token_sha256: {digest}}}\n"


class EntryFleet:
    """Entries in this process; the store of each and the sessions of the first can be cut."""

    async def start(self, size):
        self.addresses = ReservedAddresses()
        self.platform = PlatformStore("127.0.0.1:0")
        await self.platform.start()
        self.store_routes, self.session_routes, self.apps = [], {}, []
        sessions = [self.addresses.take() for _ in range(size)]
        for number, address in enumerate(sessions):
            self.store_routes.append(await self._route(self.platform.address))
            if number:
                self.session_routes[number] = await self._route(address)
        for number in range(size):
            self.apps.append(EntryApp(self._settings(number, sessions)))
        await asyncio.gather(*(app.start() for app in self.apps))
        self.http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=WAIT_S))
        for app in self.apps:
            await self.until(lambda board=app.board: self._is_connected(board, size))

    async def stop(self):
        for route in (*self.store_routes, *self.session_routes.values()):
            await route.set_faults(RouteFaults())
        await self.http.close()
        await asyncio.gather(*(app.stop() for app in self.apps))
        for route in (*self.store_routes, *self.session_routes.values()):
            await route.stop()
        await self.platform.stop()
        self.addresses.release()

    async def cut_store(self, *numbers):
        """Cut the store from entries and wait until they and their peers know it."""
        for number in numbers:
            await self.store_routes[number].set_faults(CUT)
        cut = {f"e{number}" for number in numbers}
        for app in self.apps:
            await self.until(lambda board=app.board: self._knows_cut(board, cut))

    async def apply_config(self, revision, text):
        stored = {"revision": revision, "text": text, "applied_at_ms": 1, "writer": "w"}
        self.platform.state.apply([Write(CONFIG_KEY.encode(), encode_config(stored))])
        for app in self.apps:
            if app.board.store_reachable:
                await self.until(lambda board=app.board: board.config.revision == revision)

    async def lapse_lease(self, number):
        """End an entry's lease and wait until its peers know it."""
        entry_id = f"e{number}"
        self.platform.state.apply([Deletion(Range((ENTRY_PREFIX + entry_id).encode()))])
        for app in self.apps:
            if app.board.store_reachable:
                await self.until(lambda board=app.board: entry_id not in board.entries_by_id)

    async def write_answered_job(self, answer):
        """Record a job with its answer in two chunks, and wait until the others know it."""
        spec = JobSpec("a", JobKind.BULK, Shape())
        record = lifecycle.new_record(JOB_ID, spec, "", "e1", 1)
        done = lifecycle.finish(record, Answered(), 5) | {
            "attempt": 1,
            "answer_digest": sha256(answer).hexdigest(),
            "answer_length": len(answer),
            "answer_chunks": 2,
        }
        half = len(answer) // 2
        for index, chunk in enumerate((answer[:half], answer[half:])):
            self.platform.state.apply([Write(answer_key(JOB_ID, 1, index).encode(), chunk)])
        self.platform.state.apply([Write(job_key(JOB_ID).encode(), encode_job(done))])
        for app in self.apps[1:]:
            await self.until(lambda board=app.board: JOB_ID in board.jobs.by_id)

    async def call(self, method, path, number=0, token="", key=KEY, **options):
        url = f"http://{self.apps[number].board.info.http_address}{path}"
        headers = {"Idempotency-Key": key}
        if token:
            headers["Authorization"] = f"Bearer {token}"
        async with self.http.request(method, url, headers=headers, **options) as response:
            return response.status, await response.json(content_type=None)

    async def submit(self, number=0, body=BODY, wait_ms=0, **options):
        path = f"/v1/jobs?wait_ms={wait_ms}"
        return await self.call("POST", path, number, json=body, **options)

    def records(self):
        """Return the stored job records by id."""
        found = self.platform.state.read(Range(job_key("").encode(), job_key("~").encode()))
        return {record["job_id"]: record for record in (decode_job(item.value) for item in found)}

    async def until(self, condition):
        for _ in range(round(WAIT_S / POLL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError("the condition was not met in time")

    async def _route(self, target):
        route = ProxyRoute("", "127.0.0.1:0", target)
        await route.start()
        return route

    def _settings(self, number, sessions):
        routes = {sessions[peer]: route.listen for peer, route in self.session_routes.items()}
        return EntrySettings(
            f"e{number}",
            "r",
            "z",
            self.addresses.take(),
            sessions[number],
            (self.store_routes[number].listen,),
            FLEET_KEY,
            times=TIMES,
            routes=routes if number == 0 else {},
        )

    def _is_connected(self, board, size):
        statuses = board.peers_by_id.values()
        reachable = sum(status.store_reachable for status in statuses)
        return board.synced and board.store_reachable and reachable == size - 1

    def _knows_cut(self, board, cut):
        statuses = board.peers_by_id.items()
        peers = {peer for peer, status in statuses if not status.store_reachable}
        own = board.info.entry_id
        return peers == cut - {own} and board.store_reachable == (own not in cut)


@pytest_asyncio.fixture
async def fleet(request):
    fleet = EntryFleet()
    await fleet.start(getattr(request, "param", 3))
    yield fleet
    await fleet.stop()


@pytest.fixture
def lose_answer(monkeypatch):
    """Lose the first answer between entries, and return the ids of the entries that sent one."""
    senders = []
    send = Router.to_entry

    async def lose_first(router, entry_id, message):
        if type(message).__name__ == "ForwardedAnswer":
            senders.append(router._board.info.entry_id)
            if len(senders) == 1:
                return True
        return await send(router, entry_id, message)

    monkeypatch.setattr(Router, "to_entry", lose_first)
    return senders


@pytest.mark.parametrize("noticed", [True, False])
async def test_a_submission_without_the_store_is_accepted_by_another_entry(fleet, noticed):
    if noticed:
        await fleet.cut_store(0)
    else:
        await fleet.store_routes[0].set_faults(CUT)
    before_ms = wall_ms()
    status, document = await fleet.submit(body=BODY | {"deadline_in_ms": 60_000})
    assert (status, document["job_id"]) == (202, JOB_ID)
    assert document["owner"] != "e0"
    assert list(fleet.records()) == [JOB_ID]
    assert before_ms + 60_000 <= document["deadline_at_ms"] <= wall_ms() + 60_000


async def test_a_repeated_submission_without_the_store_meets_the_record(fleet):
    await fleet.cut_store(0)
    first = await fleet.submit()
    second = await fleet.submit()
    assert (first[0], second[0]) == (202, 202)
    assert first[1]["accepted_at_ms"] == second[1]["accepted_at_ms"]
    status, document = await fleet.submit(body=BODY | {"label": "other"})
    assert (status, document["reason"]) == (409, "key_reused")
    assert len(fleet.records()) == 1


async def test_a_token_revoked_in_a_newer_configuration_is_refused(fleet):
    await fleet.apply_config(1, config_text(OLD_TOKEN))
    await fleet.cut_store(0)
    await fleet.apply_config(2, config_text("new-token"))
    assert fleet.apps[0].board.config.revision == 1
    status, document = await fleet.submit(token=OLD_TOKEN)
    assert (status, document["reason"]) == (401, "unauthenticated")
    assert fleet.records() == {}


async def test_the_limits_of_the_deciding_entry_apply(fleet):
    await fleet.cut_store(0)
    await fleet.apply_config(1, "accounts:\n  a: {max_waiting_jobs: 1}\n")
    assert (await fleet.submit(key="first"))[0] == 202
    await fleet.until(lambda: all(app.board.jobs.by_id for app in fleet.apps[1:]))
    status, document = await fleet.submit(key="second")
    assert (status, document["reason"]) == (429, "account_queue_full")
    assert not document["may_have_run"]
    assert document["retry_at_ms"] > wall_ms()
    assert len(fleet.records()) == 1


async def test_a_lost_answer_leads_to_one_record(fleet, lose_answer):
    await fleet.cut_store(0)
    status, document = await fleet.submit()
    assert (status, document["job_id"]) == (202, JOB_ID)
    assert len(set(lose_answer)) == 2
    record = fleet.records()[JOB_ID]
    assert record["owner"] == document["owner"] == lose_answer[0]


@pytest.mark.parametrize("fleet", [2], indirect=True)
async def test_a_lost_answer_that_nobody_repeats_may_have_run(fleet, lose_answer):
    await fleet.cut_store(0)
    status, document = await fleet.submit()
    assert (status, document["reason"]) == (503, "store_answer_lost")
    assert document["may_have_run"]
    assert list(fleet.records()) == [JOB_ID]
    assert (await fleet.submit())[0] == 202


@pytest.mark.parametrize("fleet", [2], indirect=True)
async def test_a_peer_that_falls_silent_may_have_accepted_the_submission(fleet):
    await fleet.cut_store(0)
    await fleet.session_routes[1].set_faults(RouteFaults(cut_to_client=True))
    status, document = await fleet.submit()
    assert (status, document["reason"]) == (503, "store_answer_lost")
    assert list(fleet.records()) == [JOB_ID]


async def test_without_any_store_work_that_runs_once_is_refused_as_not_run(fleet):
    await fleet.cut_store(0, 1, 2)
    status, document = await fleet.submit(wait_ms=100)
    assert (status, document["reason"]) == (503, "store_unreachable")
    assert not document["may_have_run"]


async def test_without_any_store_repeatable_work_is_served_without_a_record(fleet):
    await fleet.cut_store(0, 1, 2)
    submitting = asyncio.create_task(fleet.submit(body=BODY | {"repeatable": True}, wait_ms=300))
    jobs = fleet.apps[0].board.jobs
    await fleet.until(lambda: JOB_ID in jobs.by_id)
    assert not jobs.by_id[JOB_ID].is_recorded
    status, document = await submitting
    assert (status, document["reason"]) == (503, "wait_expired")
    assert not document["may_have_run"]
    assert fleet.records() == {}


async def test_a_forwarded_call_is_not_forwarded_again(fleet):
    await fleet.cut_store(0, 1)
    for app in fleet.apps[2:]:
        del app.board.peers_by_id["e0"]
    # The first entry believes that only the second one, which is cut off too, reaches the store.
    statuses = fleet.apps[0].board.peers_by_id
    fleet.apps[0].board.peers_by_id = StaleStatuses(
        {"e1": statuses["e1"]._replace(store_reachable=True)}
    )
    status, document = await fleet.submit()
    assert (status, document["reason"]) == (503, "store_unreachable")
    assert not document["may_have_run"]
    assert fleet.apps[1].board.metrics.counts["forward.received"] == 1
    assert fleet.apps[2].board.metrics.counts["forward.received"] == 0
    assert fleet.records() == {}


class StaleStatuses(dict):
    """Statuses of peers that ignore newer ones."""

    def __setitem__(self, key, value):
        pass


@pytest.mark.processes
async def test_a_job_submitted_without_the_store_runs_exactly_once(tmp_path):
    processes = Fleet(FleetLayout(workers=2), tmp_path)
    try:
        await processes.start()
        store, entry = "entry-1.store", processes.http_by_entry["entry-1"]
        await processes.set_route(store, refuse=True)
        callers = Callers([entry], seed=1)
        request = JobRequest(KEY, repeatable=False, wait_ms=0)
        accepting = asyncio.create_task(callers.run(request, timeout_s=20))
        job = f"/v1/jobs/{derive_job_id(request.account, KEY)}"

        async def is_accepted():
            return await processes.get(processes.http_by_entry["entry-2"], job)

        await processes.wait_until(is_accepted, "another entry has accepted the job")
        await processes.set_route(store)
        record = await accepting
        events = [event.event for event in await processes.events()]
    finally:
        await processes.stop()
    assert record.accepted
    assert [verdict.tag for verdict in record.verdicts] == ["answered"]
    assert events.count("started") == 1


async def test_entries_with_an_older_configuration_decline_to_decide(fleet):
    await fleet.cut_store(0)
    board = fleet.apps[0].board
    board.applied = board.applied._replace(config=board.config._replace(revision=1))
    status, document = await fleet.submit()
    assert (status, document["reason"]) == (503, "store_unreachable")
    assert not document["may_have_run"]
    assert fleet.records() == {}
    assert board.metrics.counts["forward.declined"] == 2


async def test_the_wait_of_a_forwarded_call_includes_the_time_of_the_write(fleet):
    await fleet.cut_store(0)
    fleet.platform.set_faults(StoreFaults(delay_ms=700, delay_writes_of_prefix=JOB_PREFIX))
    started_ms = monotonic_ms()
    assert (await fleet.submit(wait_ms=1_000))[0] == 202
    assert monotonic_ms() - started_ms < 1_450


@pytest.mark.parametrize("is_known", [True, False])
async def test_a_cancellation_without_the_store_is_decided_by_another_entry(fleet, is_known):
    if not is_known:
        await fleet.cut_store(0)
    assert (await fleet.submit(1))[0] == 202
    await fleet.until(lambda: JOB_ID in fleet.apps[2].board.jobs.by_id)
    if is_known:
        await fleet.until(lambda: JOB_ID in fleet.apps[0].board.jobs.by_id)
        await fleet.cut_store(0)
    status, document = await fleet.call("DELETE", f"/v1/jobs/{JOB_ID}")
    assert (status, document["verdict"]["tag"]) == (202, "cancelled")
    assert fleet.records()[JOB_ID]["verdict"]["tag"] == "cancelled"


async def test_a_cancellation_that_fails_at_the_store_is_decided_by_another_entry(fleet):
    assert (await fleet.submit(1))[0] == 202
    for app in fleet.apps:
        await fleet.until(lambda board=app.board: JOB_ID in board.jobs.by_id)
    await fleet.store_routes[0].set_faults(CUT)
    status, document = await fleet.call("DELETE", f"/v1/jobs/{JOB_ID}")
    assert (status, document["verdict"]["tag"]) == (202, "cancelled")


async def test_a_job_accepted_elsewhere_is_shown_without_the_store(fleet):
    await fleet.cut_store(0)
    assert (await fleet.submit())[0] == 202
    await fleet.until(lambda: all(app.board.jobs.by_id for app in fleet.apps[1:]))
    status, document = await fleet.call("GET", f"/v1/jobs/{JOB_ID}")
    assert (status, document["state"]) == (200, "pending")


async def test_an_entry_whose_lease_has_lapsed_keeps_its_session(fleet):
    await fleet.cut_store(0)
    await fleet.lapse_lease(0)
    session = fleet.apps[1]._router.sessions_by_peer["e0"]
    await asyncio.sleep(1)
    assert fleet.apps[1]._router.sessions_by_peer["e0"] is session


async def test_an_entry_without_the_store_does_not_plan(fleet):
    planner = planner_id(fleet.apps[0].board)
    await fleet.cut_store(int(planner.removeprefix("e")))
    planners = {planner_id(app.board) for app in fleet.apps}
    assert len(planners) == 1
    assert planner not in planners


async def test_without_any_store_entries_agree_on_a_planner(fleet):
    await fleet.cut_store(0, 1, 2)
    assert len({planner_id(app.board) for app in fleet.apps}) == 1


@pytest.mark.parametrize("path", ["", "/answer"])
async def test_a_job_that_no_entry_can_look_up_may_exist(fleet, path):
    await fleet.cut_store(0)
    assert (await fleet.submit(1))[0] == 202
    await fleet.cut_store(0, 1, 2)
    status, document = await fleet.call("GET", f"/v1/jobs/{JOB_ID}{path}")
    assert (status, document["reason"]) == (503, "store_unreachable")
    assert document["may_have_run"]


async def test_a_cancellation_of_an_unknown_job_without_any_store_is_not_refused_for_good(fleet):
    await fleet.cut_store(0)
    assert (await fleet.submit(1))[0] == 202
    await fleet.cut_store(0, 1, 2)
    status, document = await fleet.call("DELETE", f"/v1/jobs/{JOB_ID}")
    assert (status, document["may_have_run"]) == (503, True)


@pytest.mark.parametrize("is_known", [True, False])
async def test_an_answer_is_fetched_without_the_store(fleet, is_known):
    if not is_known:
        await fleet.cut_store(0)
    answer = bytes(range(256)) * 4_096
    await fleet.write_answered_job(answer)
    if is_known:
        await fleet.until(lambda: JOB_ID in fleet.apps[0].board.jobs.by_id)
        await fleet.cut_store(0)
    url = f"http://{fleet.apps[0].board.info.http_address}/v1/jobs/{JOB_ID}/answer"
    async with fleet.http.get(url) as response:
        assert response.status == 200
        assert await response.read() == answer
        assert response.headers["Lycheeslip-Job"] == JOB_ID
        assert response.headers["Lycheeslip-Attempt"] == "1"
        assert response.headers["Repr-Digest"].startswith("sha-256=:")
        assert response.content_type == "application/octet-stream"
