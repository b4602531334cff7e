import asyncio
import base64
import hashlib
import json
import threading
import time

import pytest
from aiohttp import web
from lycheeslip.cli import app
from typer.testing import CliRunner

VERDICT = {"tag": "answered", "reason": "completed", "may_have_run": True, "detail": ""}
SHAPE = {"members": 2, "accelerators": 1, "adjacency": "any"}
ATTEMPT = {"attempt": 1, "workers": ["w1", "w2"], "started_at_ms": 2_000, "ended_at_ms": 3_000}
JOB = {"job_id": "j1", "account": "a", "kind": "bulk", "state": "done", "repeatable": True}
JOB |= {"accepted_at_ms": 1_000, "deadline_at_ms": 9_000, "shape": SHAPE, "verdict": VERDICT}
JOB |= {"answer": {"length": 5}, "waiting": None, "attempts": [ATTEMPT | {"outcome": "completed"}]}

ENTRY = {"entry_id": "e1", "region": "r", "zone": "z", "http_address": "127.0.0.1:1"}
ZONE = {"zone_id": "z", "in_service": False, "workers": 1, "accelerators": 8, "busy": 2}
WORKER = {"worker_id": "w1", "zone": "z", "rack": "r1", "accelerators": 8, "busy": 2}
WORKER |= {"leaving": False, "quarantined": True, "grants": [{}]}
ACCOUNT = {"account_id": "a", "guaranteed": 4, "using": 6, "borrowed": 2, "waiting": 1}
FLEET = {"entry_id": "e1", "planner": "e1", "config_revision": 3, "store_reachable": True}
FLEET |= {"entries": [ENTRY], "zones": [ZONE], "workers": [WORKER], "accounts": [ACCOUNT]}
FLEET |= {"fragmentation": 0.25}

CONFIG_TEXT = "zones:\n  z: {}\n"
DROP_CONNECTION = object()


def problem(status, reason, *, may_have_run=False, retry_at_ms=0, errors=()):
    body = {
        "type": "about:blank",
        "title": reason,
        "status": status,
        "detail": f"detail of {reason}",
        "reason": reason,
        "may_have_run": may_have_run,
        "retry_at_ms": retry_at_ms,
        "errors": list(errors),
    }
    return status, body, {}


def job(**changes):
    return JOB | changes


def verdict(tag, may_have_run):
    return VERDICT | {"tag": tag, "may_have_run": may_have_run, "reason": "why"}


class FakeEntry:
    """HTTP server that returns scripted replies; the last reply of a route is repeated."""

    def __init__(self):
        self.replies_by_route = {}
        self.requests = []
        self.queries = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._runner = web.AppRunner(self._application(), shutdown_timeout=0)
        self.address = self._call(self._start())

    def on(self, method, path, *replies):
        self.replies_by_route[method, path] = list(replies)
        return self

    def close(self):
        self._call(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout=5)

    def _application(self):
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._handle)
        return application

    async def _start(self):
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def _handle(self, request):
        self.requests.append((request.method, request.path, request.headers, await request.text()))
        self.queries.append(dict(request.query))
        replies = self.replies_by_route[request.method, request.path]
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if reply is DROP_CONNECTION:
            request.transport.abort()
            return web.Response()
        status, body, headers = reply
        if isinstance(body, bytes):
            return web.Response(status=status, body=body, headers=headers)
        return web.json_response(body, status=status, headers=headers)


@pytest.fixture
def make_entry():
    entries = []

    def make():
        entries.append(FakeEntry())
        return entries[-1]

    yield make
    for entry in entries:
        entry.close()


@pytest.fixture
def entry(make_entry):
    return make_entry()


def run(arguments, *entries, output="text", token=""):
    addresses = ",".join(getattr(entry, "address", entry) for entry in entries)
    options = ["--output", output, "--entry", addresses or "127.0.0.1:1"]
    options += ["--token", token] if token else []
    return CliRunner().invoke(app, options + arguments)


def ok(body):
    return 200, body, {}


SUBMIT = ["submit", "--account", "a", "--memory", "1GB", "--deadline", "2m"]


def test_submit_sends_the_job_and_prints_its_result(entry):
    entry.on("POST", "/v1/jobs", (202, job(state="pending", verdict=None), {}))
    entry.on("GET", "/v1/jobs/j1", ok(job(state="started", verdict=None)), ok(JOB))
    result = run([*SUBMIT, "--members", "2", "--key", "k1"], entry, token="secret")
    method, path, headers, body = entry.requests[0]
    assert (result.exit_code, result.stdout) == (
        0,
        "job j1: done, answered: completed, answer of 5 bytes\n",
    )
    assert (headers["Authorization"], headers["Idempotency-Key"]) == ("Bearer secret", "k1")
    assert json.loads(body)["shape"]["memory_mb"] == 1024
    assert json.loads(body)["deadline_in_ms"] == 120_000
    assert [method for method, *_ in entry.requests] == ["POST", "GET", "GET"]


def test_submit_without_waiting_prints_the_state_of_the_job(entry):
    waiting = {"reason": "no_room", "detail": "all busy"}
    entry.on("POST", "/v1/jobs", (202, job(state="pending", verdict=None, waiting=waiting), {}))
    result = run([*SUBMIT, "--no-wait"], entry)
    assert result.stdout == "job j1: pending, waits: no_room (all busy)\n"
    assert result.exit_code == 0


@pytest.mark.parametrize(
    ("tag", "may_have_run", "code"),
    [
        ("answered", True, 0),
        ("failed", True, 1),
        ("refused", False, 3),
        ("unknown", True, 4),
        ("cannot_run", False, 3),
        ("cannot_run", True, 1),
        ("cancelled", False, 3),
        ("cancelled", True, 1),
    ],
)
def test_exit_code_follows_the_verdict(entry, tag, may_have_run, code):
    entry.on("POST", "/v1/jobs", ok(job(verdict=verdict(tag, may_have_run))))
    assert run(SUBMIT, entry).exit_code == code


@pytest.mark.parametrize(
    ("reply", "code", "message"),
    [
        (problem(400, "unknown_account"), 3, "unknown_account: detail of unknown_account"),
        (problem(409, "key_reused"), 5, "key_reused"),
        (problem(500, "internal", may_have_run=True), 4, "internal"),
        (problem(503, "store_unreachable"), 3, "store_unreachable"),
        ((502, b"<html>", {}), 4, "http_502: the entry gave no reason"),
        (DROP_CONNECTION, 4, "may have taken effect"),
    ],
)
def test_exit_code_tells_whether_a_refused_job_may_have_run(entry, reply, code, message):
    entry.on("POST", "/v1/jobs", reply)
    result = run(SUBMIT, entry)
    assert result.exit_code == code
    assert message in result.stderr
    assert "Traceback" not in result.output


def test_submit_sends_its_wait_time_to_the_entry(entry):
    entry.on("POST", "/v1/jobs", ok(JOB))
    assert run([*SUBMIT, "--wait-for", "5s"], entry).exit_code == 0
    assert run([*SUBMIT, "--no-wait"], entry).exit_code == 0
    assert entry.queries == [{"wait_ms": "5000"}, {}]


def test_unrecorded_job_that_may_have_run_is_not_reported_as_conflict(entry):
    entry.on("POST", "/v1/jobs", problem(409, "wait_expired", may_have_run=True))
    assert run(SUBMIT, entry).exit_code == 4


def test_submit_retries_after_the_time_given_in_a_refusal(entry):
    retry_at_ms = int(time.time() * 1_000) + 100
    entry.on("POST", "/v1/jobs", problem(429, "queue_full", retry_at_ms=retry_at_ms), ok(JOB))
    assert run(SUBMIT, entry).exit_code == 0
    keys = [headers["Idempotency-Key"] for _, _, headers, _ in entry.requests]
    assert len(keys) == 2
    assert keys[0] == keys[1]


def test_retry_on_another_entry_uses_the_same_idempotency_key(entry, make_entry):
    entry.on("POST", "/v1/jobs", DROP_CONNECTION)
    other = make_entry().on("POST", "/v1/jobs", ok(JOB))
    assert run(SUBMIT, "127.0.0.1:1", entry, other).exit_code == 0
    keys = {headers["Idempotency-Key"] for _, _, headers, _ in entry.requests + other.requests}
    assert len(keys) == 1


def test_refusal_after_a_lost_response_is_reported_as_unknown(entry, make_entry):
    entry.on("POST", "/v1/jobs", DROP_CONNECTION)
    other = make_entry().on("POST", "/v1/jobs", problem(429, "queue_full"))
    assert run(SUBMIT, entry, other).exit_code == 4


def test_unreachable_entries_have_their_own_exit_code(entry):
    result = run(["status"])
    assert (result.exit_code, "nothing was done" in result.stderr) == (6, True)


def test_job_file_is_submitted_line_by_line(entry, tmp_path):
    path = tmp_path / "jobs.jsonl"
    path.write_text('{"account": "a"}\n\n{"account": "b", "idempotency_key": "own"}\n')
    entry.on("POST", "/v1/jobs", ok(JOB), ok(job(verdict=verdict("failed", True))))
    result = run(["submit", "--file", str(path), "--key", "run7"], entry, output="json")
    keys = {headers["Idempotency-Key"] for _, _, headers, _ in entry.requests}
    assert result.exit_code == 1
    assert keys == {"run7-1", "own"}
    assert [json.loads(line)["job_id"] for line in result.stdout.splitlines()] == ["j1", "j1"]


@pytest.mark.parametrize("line", ["{", "[1]", "5", "[" * 9000, "\x00"])
def test_invalid_line_of_a_job_file_is_reported_with_its_number(tmp_path, line):
    path = tmp_path / "jobs.jsonl"
    path.write_text('{"account": "a"}\n' + line)
    result = run(["submit", "--file", str(path)])
    assert (result.exit_code, f"{path}:2: must be one JSON object" in result.stderr) == (2, True)


@pytest.mark.parametrize(
    "arguments",
    [
        ["submit"],
        ["submit", "--account", "a", "--memory", "16"],
        ["submit", "--account", "a", "--deadline", "soon"],
        ["submit", "--account", "a", "--kind", "slow"],
        ["submit", "--file", "/absent.jsonl"],
        ["config", "check", "/absent.yaml"],
        ["entry", "--settings", "/absent.yaml"],
        ["nonsense"],
    ],
)
def test_usage_errors_have_their_own_exit_code(arguments):
    result = run(arguments)
    assert result.exit_code == 2
    assert "Traceback" not in result.output


def digest_header(content):
    digest = base64.b64encode(hashlib.sha256(content).digest()).decode()
    return {"Repr-Digest": f"sha-256=:{digest}:"}


def test_answer_is_written_to_a_file(entry, tmp_path):
    entry.on("GET", "/v1/jobs/j1/answer", (202, job(state="started"), {}), ok(b""))
    entry.replies_by_route["GET", "/v1/jobs/j1/answer"][1] = (
        200,
        b"\x00whole",
        digest_header(b"\x00whole"),
    )
    path = tmp_path / "answer"
    assert run(["answer", "j1", "--out", str(path)], entry).exit_code == 0
    assert path.read_bytes() == b"\x00whole"


def test_answer_with_a_wrong_digest_is_fetched_from_another_entry(entry, make_entry):
    entry.on("GET", "/v1/jobs/j1/answer", (200, b"part", digest_header(b"whole")))
    other = make_entry().on("GET", "/v1/jobs/j1/answer", (200, b"whole", digest_header(b"whole")))
    result = run(["answer", "j1"], entry, other)
    assert (result.exit_code, result.stdout) == (0, "whole")


def test_answer_reports_the_verdict_of_a_job_without_an_answer(entry):
    entry.on("GET", "/v1/jobs/j1/answer", problem(409, "no_answer"))
    entry.on("GET", "/v1/jobs/j1", ok(job(verdict=verdict("cancelled", False), answer=None)))
    result = run(["answer", "j1"], entry)
    assert (result.exit_code, "cancelled, did not run: why" in result.stderr) == (3, True)


def test_answer_not_available_within_the_wait_time(entry):
    entry.on("GET", "/v1/jobs/j1/answer", (202, job(state="started"), {}))
    result = run(["answer", "j1", "--wait-for", "0s"], entry)
    assert (result.exit_code, "not done yet" in result.stderr) == (1, True)


def test_explain_lists_the_attempts(entry):
    entry.on("GET", "/v1/jobs/j1", ok(JOB))
    result = run(["explain", "j1"], entry)
    assert "attempt 1 on w1, w2: completed, 1970-01-01T00:00:02.000Z" in result.stdout


def test_cancel_drain_and_undrain(entry):
    entry.on("DELETE", "/v1/jobs/j1", (202, JOB, {}))
    entry.on("POST", "/v1/workers/w1/drain", (202, {}, {}))
    assert run(["cancel", "j1"], entry).exit_code == 0
    entry.on("POST", "/v1/workers/w1/undrain", (202, {}, {}))
    assert run(["drain", "w1"], entry).stdout == "worker w1 takes no new work\n"
    assert run(["undrain", "w1"], entry).stdout == "worker w1 takes work again\n"


def test_status_shows_fragmentation_and_quarantine(entry):
    entry.on("GET", "/v1/fleet", ok(FLEET))
    text = run(["status"], entry).stdout
    assert "fragmentation 0.25" in text
    assert "quarantined" in text
    assert json.loads(run(["status"], entry, output="json").stdout) == FLEET


@pytest.fixture
def config_file(tmp_path):
    path = tmp_path / "fleet.yaml"
    path.write_text("zones:\n  z: {in_service: false}\n")
    return path


@pytest.fixture
def current(entry):
    document = {"revision": 4, "text": CONFIG_TEXT, "applied_at_ms": 1_000}
    return entry.on("GET", "/v1/config", ok(document))


def test_config_check(config_file):
    assert run(["config", "check", str(config_file)]).exit_code == 0
    config_file.write_text("zone: 1\n")
    result = run(["config", "check", str(config_file)], output="json")
    assert result.exit_code == 3
    assert json.loads(result.stdout)["problems"][0]["line"] == 1
    assert f"{config_file}:1: zone: unknown key" in result.stderr


@pytest.mark.parametrize(
    ("text", "code", "severity"),
    [
        ("survive_zone_loss: true\n", 0, "warning"),
        (f"operator_token_sha256: {hashlib.sha256(b'').hexdigest()}\n", 3, "error"),
    ],
)
def test_config_check_fails_for_errors_but_not_for_warnings(config_file, text, code, severity):
    config_file.write_text(text)
    result = run(["config", "check", str(config_file)], output="json")
    findings = json.loads(result.stdout)["findings"]
    assert (result.exit_code, [item["severity"] for item in findings]) == (code, [severity])
    assert set(findings[0]) == {"code", "severity", "source", "line", "key", "message"}
    text = run(["config", "check", str(config_file)]).stdout
    assert f"{config_file}:1: {findings[0]['key']}: {severity}: " in text
    assert f" [{findings[0]['code']}]\n" in text


def test_config_check_against_the_fleet_marks_changes_that_need_attention(current, config_file):
    # An id may contain dots; the change of z.b isn't the one of z.
    config_file.write_text("zones:\n  z.b: {}\n")
    arguments = ["config", "check", str(config_file), "--against"]
    result = run([*arguments, "in-force"], current)
    assert result.exit_code == 0
    assert "zone z: removed [zone_removed]\n" in result.stdout
    assert f"{config_file}:1: zones.z: warning: is removed while" in result.stdout
    document = json.loads(run([*arguments, "in-force"], current, output="json").stdout)
    assert [change["attention"] for change in document["changes"]] == [["zone_removed"], []]
    assert run([*arguments, str(config_file)]).stdout.startswith("no changes\n")
    assert run([*arguments, "in-force"]).exit_code == 6


def test_unreadable_baseline_is_reported_without_a_stack_trace(entry, config_file):
    entry.on("GET", "/v1/config", ok({"revision": 4, "text": "zone: 1", "applied_at_ms": 1}))
    for command in (
        ["check", str(config_file), "--against", "in-force"],
        ["diff", str(config_file)],
    ):
        result = run(["config", *command], entry)
        assert (result.exit_code, "revision 4:1: zone: unknown key" in result.stderr) == (3, True)


def test_config_diff_against_the_fleet(current, config_file):
    result = run(["config", "diff", str(config_file)], current)
    assert result.stdout == "zone z: taken out of service\n"


def test_config_apply_names_the_expected_revision(current, config_file):
    current.on("PUT", "/v1/config", ok({"revision": 5, "confirmed_by": ["e1", "e2"]}))
    result = run(["config", "apply", str(config_file)], current)
    assert result.exit_code == 0
    assert "zone z: taken out of service" in result.stdout
    assert "revision 5 in force; confirmed by entries: e1, e2" in result.stdout
    assert current.requests[-1][2]["If-Match"] == '"4"'


def test_revision_conflict_is_reported_with_both_revisions(current, config_file):
    current.on("PUT", "/v1/config", problem(412, "conflict: expected 4, current 5"))
    result = run(["config", "apply", str(config_file), "--expect", "4"], current)
    assert (result.exit_code, "expected 4, current 5" in result.stderr) == (5, True)


def test_rejected_configuration_lists_its_errors(current, config_file):
    errors = [{"line": 2, "key": "zones.z", "message": "no room"}]
    current.on("PUT", "/v1/config", problem(422, "invalid", errors=errors))
    result = run(["config", "apply", str(config_file)], current)
    assert (result.exit_code, "line 2: zones.z: no room" in result.stderr) == (3, True)


def test_apply_succeeds_if_it_took_effect_but_its_response_was_lost(entry, config_file):
    before = {"revision": 4, "text": CONFIG_TEXT, "applied_at_ms": 1_000}
    after = {"revision": 5, "text": config_file.read_text(), "applied_at_ms": 2_000}
    entry.on("GET", "/v1/config", ok(before), ok(after))
    entry.on("PUT", "/v1/config", DROP_CONNECTION)
    result = run(["config", "apply", str(config_file)], entry)
    assert (result.exit_code, "revision 5 in force" in result.stdout) == (0, True)


def test_apply_is_unknown_if_its_response_was_lost_without_visible_effect(current, config_file):
    current.on("PUT", "/v1/config", DROP_CONNECTION)
    assert run(["config", "apply", str(config_file)], current).exit_code == 4


def test_config_show_and_history(current):
    items = [{"revision": 4, "applied_at_ms": 1_000, "digest": "abc"}]
    current.on("GET", "/v1/config/history", ok({"items": items}))
    assert "zones:" in run(["config", "show"], current).stdout
    assert "abc" in run(["config", "history"], current).stdout


def test_token_prints_the_token_with_its_digest():
    document = json.loads(run(["token"], output="json").stdout)
    assert hashlib.sha256(document["token"].encode()).hexdigest() == document["sha256"]
