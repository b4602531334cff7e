import asyncio
import base64
import json

import aiohttp
import pytest
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins.backend_server import (
    BackendCapacity,
    BackendMode,
    BackendServer,
    expected_answer,
)

TASK = "j1.1.0"
LATE, SOON, LONG = -1, 200, 10_000


def load(job="j1", accelerators=(0,), run_ms=50, **fields):
    body = {"job_id": job, "attempt": 1, "accelerators": list(accelerators)}
    return {**body, "payload": json.dumps({"run_ms": run_ms, **fields})}


class Caller:
    def __init__(self, server, http):
        self.server, self.http = server, http

    async def call(self, method, path, body=None):
        url = f"http://{self.server.address}{path}"
        async with self.http.request(method, url, json=body) as response:
            return response.status, await response.json()

    async def load(self, task=TASK, **body):
        return await self.call("PUT", f"/v1/tasks/{task}", load(**body))

    async def act(self, action, task=TASK, **body):
        for name in ("not_after_ms", "lease_not_after_ms"):
            if name in body:
                body[name] += monotonic_ms()
        return await self.call("POST", f"/v1/tasks/{task}/{action}", body)

    async def ended(self, task=TASK):
        return (await self.call("GET", f"/v1/tasks/{task}?wait_ms=5000"))[1]

    async def events(self):
        return [item["event"] for item in (await self.call("GET", "/admin/log"))[1]["events"]]


@pytest.fixture
async def caller():
    server = BackendServer(
        "127.0.0.1:0", BackendCapacity("z1", accelerators=4, slots=2), BackendMode.NORMAL, 50
    )
    await server.start()
    async with aiohttp.ClientSession() as http:
        yield Caller(server, http)
    await server.stop()


async def test_a_task_runs_to_its_answer_and_is_forgotten_on_request(caller):
    assert await caller.load(answer_bytes=100) == (200, {"state": "loaded"})
    assert (await caller.act("start", not_after_ms=LONG))[0] == 200
    document = await caller.ended()
    answer = expected_answer(load(answer_bytes=100)["payload"])
    assert document["state"] == "finished"
    assert base64.b64decode(document["result"]) == answer
    assert len(answer) == 100
    assert (await caller.call("DELETE", f"/v1/tasks/{TASK}"))[0] == 200
    assert (await caller.call("GET", f"/v1/tasks/{TASK}"))[0] == 404
    assert await caller.events() == ["prepared", "started", "finished"]


LOADED = ("load", {})
RUNNING = ("start", {"not_after_ms": LONG})
STOPPED = ("stop", {})

FAULTS = [
    ([], "start", {"not_after_ms": LONG}, 404, "no_such_task"),
    ([LOADED], "start", {"not_after_ms": LATE}, 409, "too_late"),
    ([LOADED], "start", {"not_after_ms": LONG, "lease_not_after_ms": LATE}, 409, "too_late"),
    ([LOADED, STOPPED], "start", {"not_after_ms": LONG}, 409, "task_stopped"),
    ([LOADED], "lease", {"not_after_ms": LONG}, 409, "task_loaded"),
    ([LOADED, RUNNING, STOPPED], "lease", {"not_after_ms": LONG}, 409, "task_stopped"),
    ([LOADED], "start", {}, 400, "malformed"),
    ([LOADED, RUNNING], "start", {"not_after_ms": LATE}, 200, None),
    ([LOADED, RUNNING], "lease", {"not_after_ms": LATE}, 200, None),
    ([LOADED], "load", {}, 200, None),
    ([LOADED], "load", {"task": "j2.1.0", "accelerators": (0, 1)}, 409, "accelerators_taken"),
    ([LOADED, RUNNING], "load", {"task": "j2.1.0"}, 409, "accelerators_taken"),
    ([], "load", {"accelerators": (4,)}, 409, "no_such_accelerator"),
    ([LOADED, STOPPED], "load", {"task": "j2.1.0"}, 200, None),
    ([LOADED, STOPPED], "stop", {}, 200, None),
]


@pytest.mark.parametrize(("before", "action", "body", "status", "reason"), FAULTS)
async def test_a_call_that_does_not_fit_the_state_changes_nothing(
    caller, before, action, body, status, reason
):
    async def do(action, body):
        return await (caller.load(**body) if action == "load" else caller.act(action, **body))

    for earlier, earlier_body in before:
        assert (await do(earlier, earlier_body))[0] == 200
    got_status, document = await do(action, dict(body))
    assert (got_status, document.get("reason")) == (status, reason)


async def test_slots_are_limited(caller):
    for number in range(2):
        assert (await caller.load(f"j{number}.1.0", accelerators=()))[0] == 200
    assert await caller.load("j9.1.0", accelerators=()) == (409, {"reason": "slots_taken"})


async def test_a_running_task_can_not_be_forgotten(caller):
    await caller.load(run_ms=LONG)
    await caller.act("start", not_after_ms=LONG)
    status, document = await caller.call("DELETE", f"/v1/tasks/{TASK}")
    assert (status, document["reason"]) == (409, "task_running")


async def test_a_task_ends_with_its_lease_and_not_before_a_renewed_one(caller):
    await caller.load(run_ms=400)
    await caller.load("j2.1.0", job="j2", accelerators=(1,), run_ms=400)
    for task in (TASK, "j2.1.0"):
        await caller.act("start", task, not_after_ms=LONG, lease_not_after_ms=SOON)
    assert (await caller.act("lease", "j2.1.0", not_after_ms=LONG))[0] == 200
    assert (await caller.ended())["state"] == "lapsed"
    assert (await caller.ended("j2.1.0"))["state"] == "finished"


async def test_a_loaded_task_that_is_never_started_gives_its_slot_back(caller):
    await caller.call("PUT", f"/v1/tasks/{TASK}", {**load(), "hold_ms": 50})
    document = await caller.ended()
    assert (document["state"], document["started"]) == ("stopped", False)


async def test_a_checkpoint_saves_the_work_that_was_done(caller):
    await caller.load(run_ms=LONG)
    await caller.act("start", not_after_ms=LONG)
    await caller.call("GET", f"/v1/tasks/{TASK}?wait_ms=60")
    _, taken = await caller.act("checkpoint")
    await caller.act("stop")
    assert int(taken["checkpoint"]) >= 50
    body = {**load(run_ms=LONG), "attempt": 2, "checkpoint": str(LONG - 10)}
    await caller.call("PUT", "/v1/tasks/j1.2.0", body)
    await caller.act("start", "j1.2.0", not_after_ms=LONG)
    assert (await caller.ended("j1.2.0"))["state"] == "finished"


@pytest.mark.parametrize(
    ("mode", "state", "checkpoint"),
    [("fails_all", "failed", ""), ("ignores_checkpoint", "finished", "")],
)
async def test_a_mode_misbehaves_as_it_says(caller, mode, state, checkpoint):
    assert (await caller.call("POST", "/admin/mode", {"mode": mode}))[0] == 200
    await caller.load(run_ms=50)
    await caller.act("start", not_after_ms=LONG)
    if mode == "ignores_checkpoint":
        assert (await caller.act("checkpoint"))[1]["checkpoint"] == checkpoint
    assert (await caller.ended())["state"] == state


async def test_a_throttled_task_takes_longer(caller):
    await caller.load(run_ms=100)
    await caller.act("start", not_after_ms=LONG)
    await caller.act("throttle", on=True)
    assert (await caller.ended())["ran_ms"] >= 150


async def test_usage_lags_behind(caller):
    await caller.load(run_ms=LONG, accelerators=(0, 1))
    assert (await caller.call("GET", "/v1/usage"))[1]["busy_accelerators"] == 0
    await caller.call("GET", f"/v1/tasks/{TASK}?wait_ms=100")
    assert (await caller.call("GET", "/v1/usage"))[1]["busy_accelerators"] == 2


async def test_a_leaving_server_loads_nothing(caller):
    await caller.call("POST", "/admin/leaving", {"on": True})
    assert await caller.load() == (409, {"reason": "leaving"})
    assert (await caller.call("GET", "/v1/server"))[1]["leaving"] is True


async def test_the_number_of_open_requests_is_limited(caller):
    caller.server.table.capacity = caller.server.table.capacity._replace(connections=0)
    assert await caller.call("GET", "/v1/server") == (503, {"reason": "connections_taken"})


@pytest.mark.parametrize("payload", ["", "text", "[1]", '{"run_ms": 5}', '{"other": 1}', "null"])
def test_an_answer_depends_on_nothing_but_the_payload(payload):
    assert expected_answer(payload) == expected_answer(payload)
    assert expected_answer(payload) != expected_answer(payload + " ")


async def test_a_server_stops_even_if_a_task_changes_at_that_moment():
    server = BackendServer("127.0.0.1:0", BackendCapacity("z1"))
    await server.start()
    await asyncio.sleep(0.01)
    server._changed.set()
    stopping = asyncio.create_task(server.stop())
    done, _ = await asyncio.wait({stopping}, timeout=2)
    stopping.cancel()
    assert done


async def test_after_a_halt_nothing_more_happens_or_is_answered(caller):
    await caller.load(run_ms=50)
    await caller.act("start", not_after_ms=SOON, lease_not_after_ms=LONG)
    _, log = await caller.call("POST", "/admin/halt")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await caller.ended()
    assert await caller.events() == [item["event"] for item in log["events"]]
    assert "finished" not in await caller.events()
