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
EXPIRED_MS, SHORT_MS, LONG_MS = -1, 200, 10_000


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

    async def call_action(self, action, task=TASK, **body):
        for name in ("not_after_ms", "lease_not_after_ms"):
            if name in body:
                body[name] += monotonic_ms()
        return await self.call("POST", f"/v1/tasks/{task}/{action}", body)

    async def wait_for_end(self, task=TASK):
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


async def test_a_task_finishes_with_its_answer_and_is_removed_on_request(caller):
    assert await caller.load(answer_bytes=100) == (200, {"state": "loaded"})
    assert (await caller.call_action("start", not_after_ms=LONG_MS))[0] == 200
    document = await caller.wait_for_end()
    answer = expected_answer(load(answer_bytes=100)["payload"])
    assert document["state"] == "finished"
    assert base64.b64decode(document["result"]) == answer
    assert len(answer) == 100
    assert (await caller.call("DELETE", f"/v1/tasks/{TASK}"))[0] == 200
    assert (await caller.call("GET", f"/v1/tasks/{TASK}"))[0] == 404
    assert await caller.events() == ["prepared", "started", "finished"]


LOADED = ("load", {})
RUNNING = ("start", {"not_after_ms": LONG_MS})
STOPPED = ("stop", {})

STATE_CASES = [
    ([], "start", {"not_after_ms": LONG_MS}, 404, "no_such_task"),
    ([LOADED], "start", {"not_after_ms": EXPIRED_MS}, 409, "too_late"),
    (
        [LOADED],
        "start",
        {"not_after_ms": LONG_MS, "lease_not_after_ms": EXPIRED_MS},
        409,
        "too_late",
    ),
    ([LOADED, STOPPED], "start", {"not_after_ms": LONG_MS}, 409, "task_stopped"),
    ([LOADED], "lease", {"not_after_ms": LONG_MS}, 409, "task_loaded"),
    ([LOADED, RUNNING, STOPPED], "lease", {"not_after_ms": LONG_MS}, 409, "task_stopped"),
    ([LOADED], "start", {}, 400, "malformed"),
    ([LOADED, RUNNING], "start", {"not_after_ms": EXPIRED_MS}, 200, None),
    ([LOADED, RUNNING], "lease", {"not_after_ms": EXPIRED_MS}, 200, None),
    ([LOADED], "load", {}, 200, None),
    ([LOADED], "load", {"task": "j2.1.0", "accelerators": (0, 1)}, 409, "accelerators_taken"),
    ([LOADED, RUNNING], "load", {"task": "j2.1.0"}, 409, "accelerators_taken"),
    ([], "load", {"accelerators": (4,)}, 409, "no_such_accelerator"),
    ([LOADED, STOPPED], "load", {"task": "j2.1.0"}, 200, None),
    ([LOADED, STOPPED], "stop", {}, 200, None),
]


@pytest.mark.parametrize(("before", "action", "body", "status", "reason"), STATE_CASES)
async def test_calls_that_are_invalid_in_the_state_of_a_task_are_refused(
    caller, before, action, body, status, reason
):
    async def perform(action, body):
        return await (
            caller.load(**body) if action == "load" else caller.call_action(action, **body)
        )

    for earlier, earlier_body in before:
        assert (await perform(earlier, earlier_body))[0] == 200
    got_status, document = await perform(action, dict(body))
    assert (got_status, document.get("reason")) == (status, reason)


async def test_the_number_of_tasks_is_limited_by_slots(caller):
    for number in range(2):
        assert (await caller.load(f"j{number}.1.0", accelerators=()))[0] == 200
    assert await caller.load("j9.1.0", accelerators=()) == (409, {"reason": "slots_taken"})


async def test_a_running_task_cannot_be_removed(caller):
    await caller.load(run_ms=LONG_MS)
    await caller.call_action("start", not_after_ms=LONG_MS)
    status, document = await caller.call("DELETE", f"/v1/tasks/{TASK}")
    assert (status, document["reason"]) == (409, "task_running")


async def test_a_task_lapses_when_its_lease_ends_unless_it_is_renewed(caller):
    await caller.load(run_ms=400)
    await caller.load("j2.1.0", job="j2", accelerators=(1,), run_ms=400)
    for task in (TASK, "j2.1.0"):
        await caller.call_action("start", task, not_after_ms=LONG_MS, lease_not_after_ms=SHORT_MS)
    assert (await caller.call_action("lease", "j2.1.0", not_after_ms=LONG_MS))[0] == 200
    assert (await caller.wait_for_end())["state"] == "lapsed"
    assert (await caller.wait_for_end("j2.1.0"))["state"] == "finished"


async def test_a_loaded_task_that_is_never_started_is_stopped_after_its_hold(caller):
    await caller.call("PUT", f"/v1/tasks/{TASK}", {**load(), "hold_ms": 50})
    document = await caller.wait_for_end()
    assert (document["state"], document["started"]) == ("stopped", False)


async def test_a_task_resumes_from_a_checkpoint(caller):
    await caller.load(run_ms=LONG_MS)
    await caller.call_action("start", not_after_ms=LONG_MS)
    await caller.call("GET", f"/v1/tasks/{TASK}?wait_ms=60")
    _, checkpoint_response = await caller.call_action("checkpoint")
    await caller.call_action("stop")
    assert int(checkpoint_response["checkpoint"]) >= 50
    body = {**load(run_ms=LONG_MS), "attempt": 2, "checkpoint": str(LONG_MS - 10)}
    await caller.call("PUT", "/v1/tasks/j1.2.0", body)
    await caller.call_action("start", "j1.2.0", not_after_ms=LONG_MS)
    assert (await caller.wait_for_end("j1.2.0"))["state"] == "finished"


@pytest.mark.parametrize(
    ("mode", "state", "checkpoint"),
    [("fails_all", "failed", ""), ("ignores_checkpoint", "finished", "")],
)
async def test_faulty_modes_take_effect(caller, mode, state, checkpoint):
    assert (await caller.call("POST", "/admin/mode", {"mode": mode}))[0] == 200
    await caller.load(run_ms=50)
    await caller.call_action("start", not_after_ms=LONG_MS)
    if mode == "ignores_checkpoint":
        assert (await caller.call_action("checkpoint"))[1]["checkpoint"] == checkpoint
    assert (await caller.wait_for_end())["state"] == state


async def test_a_throttled_task_runs_longer(caller):
    await caller.load(run_ms=100)
    await caller.call_action("start", not_after_ms=LONG_MS)
    await caller.call_action("throttle", on=True)
    assert (await caller.wait_for_end())["ran_ms"] >= 150


async def test_usage_is_reported_with_a_lag(caller):
    await caller.load(run_ms=LONG_MS, accelerators=(0, 1))
    assert (await caller.call("GET", "/v1/usage"))[1]["busy_accelerators"] == 0
    await caller.call("GET", f"/v1/tasks/{TASK}?wait_ms=100")
    assert (await caller.call("GET", "/v1/usage"))[1]["busy_accelerators"] == 2


async def test_a_leaving_server_refuses_new_tasks(caller):
    await caller.call("POST", "/admin/leaving", {"on": True})
    assert await caller.load() == (409, {"reason": "leaving"})
    assert (await caller.call("GET", "/v1/server"))[1]["leaving"] is True


async def test_the_number_of_open_requests_is_limited(caller):
    caller.server.table.capacity = caller.server.table.capacity._replace(connections=0)
    assert await caller.call("GET", "/v1/server") == (503, {"reason": "connections_taken"})


@pytest.mark.parametrize("payload", ["", "text", "[1]", '{"run_ms": 5}', '{"other": 1}', "null"])
def test_an_answer_depends_only_on_the_payload(payload):
    assert expected_answer(payload) == expected_answer(payload)
    assert expected_answer(payload) != expected_answer(payload + " ")


async def test_a_server_stops_while_a_task_changes():
    server = BackendServer("127.0.0.1:0", BackendCapacity("z1"))
    await server.start()
    await asyncio.sleep(0.01)
    server._change_event.set()
    stopping = asyncio.create_task(server.stop())
    done, _ = await asyncio.wait({stopping}, timeout=2)
    stopping.cancel()
    assert done


async def test_a_halted_server_neither_answers_nor_advances_tasks(caller):
    await caller.load(run_ms=50)
    await caller.call_action("start", not_after_ms=SHORT_MS, lease_not_after_ms=LONG_MS)
    _, log = await caller.call("POST", "/admin/halt")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await caller.wait_for_end()
    assert await caller.events() == [item["event"] for item in log["events"]]
    assert "finished" not in await caller.events()
