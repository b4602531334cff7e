import base64
import contextlib
import hashlib
import http.client
import json
import signal
import socket
import subprocess
import sys
import time

import pytest
import yaml
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from lycheeslip_standins.addresses import ReservedAddresses
from lycheeslip_standins.backend_server import expected_answer

pytestmark = pytest.mark.processes

WAIT_S = 15
FLEET_KEY = "a fleet key for tests only"
TOKENS = {"a": "token-a", "b": "token-b", "operator": "token-operator"}
PROBLEM_KEYS = {"type", "title", "status", "detail", "reason", "may_have_run", "retry_at_ms"}
MAX_BODY_BYTES = 512 * 1024


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


CONFIG = f"""\
operator_token_sha256: {digest("token-operator")}
accounts:
  a: {{token_sha256: {digest("token-a")}, max_waiting_jobs: 100000}}
  b: {{token_sha256: {digest("token-b")}}}
zones:
  z1: {{accelerators: 8, accelerators_per_worker: 8, workers_per_rack: 1}}
"""


class LocalCluster:
    """A store, an entry, a backend server and an agent, each in its own process."""

    def __init__(self, directory):
        self.directory = directory
        self.processes = {}
        self.addresses = ReservedAddresses()
        self.port = self.addresses.take_port()

    def start(self):
        store, sessions, backend = (self.addresses.take() for _ in range(3))
        self._spawn("store", "lycheeslip_standins.platform_store", "--address", store)
        server = "lycheeslip_standins.backend_server"
        self._spawn("backend", server, "--zone", "z1", "--address", backend)
        node = {"region": "r1", "zone": "z1", "fleet_key": FLEET_KEY}
        entry = node | {"node_id": "e1", "http_address": f"127.0.0.1:{self.port}"}
        entry |= {"session_address": sessions, "store_addresses": [store]}
        self._spawn("entry", "lycheeslip", "entry", "--settings", self._write("e1", entry))
        agent = node | {"node_id": "w1", "rack": "k1", "address": "127.0.0.1:0"}
        agent |= {"entry_addresses": [sessions], "backend_address": backend}
        self._spawn("agent", "lycheeslip_agent", "--settings", self._write("w1", agent))
        self._until(lambda: self.call("GET", "/readyz")[0] == 200)
        self._until(lambda: self.json("GET", "/v1/fleet")["workers"])
        status, _, _ = self.call("PUT", "/v1/config", CONFIG, {"If-Match": '"0"'})
        assert status == 200

    def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.addresses.release()

    def call(self, method, path, body=None, headers=None, token_name="operator"):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT_S)
        token = {"Authorization": f"Bearer {TOKENS[token_name]}"} if token_name else {}
        if isinstance(body, dict | list):
            body = json.dumps(body)
        body = body.encode() if isinstance(body, str) else body
        try:
            connection.request(method, path, body, token | (headers or {}))
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        finally:
            connection.close()

    def json(self, *arguments, **options):
        return json.loads(self.call(*arguments, **options)[2])

    def raw(self, data, pause_s=0.0):
        """Send raw bytes, the body `pause_s` seconds after the headers, and return the response."""
        headers, separator, body = data.partition(b"\r\n\r\n")
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_S) as connection:
            connection.sendall(headers + separator)
            if pause_s:
                time.sleep(pause_s)
            with contextlib.suppress(OSError):  # closed by the server after invalid headers
                connection.sendall(body)
                connection.shutdown(socket.SHUT_WR)
            try:
                return connection.recv(65_536)
            except ConnectionResetError:
                return b""

    def is_alive(self):
        return self.call("GET", "/healthz")[0] == 200 and self.processes["entry"].poll() is None

    def job_count(self):
        return len(self.json("GET", "/v1/jobs?limit=1000")["jobs"])

    def _spawn(self, name, module, *arguments):
        log = (self.directory / f"{name}.log").open("wb")
        command = [sys.executable, "-m", module, *arguments]
        self.processes[name] = subprocess.Popen(command, stderr=log)

    def _write(self, name, document):
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document))
        return str(path)

    def _until(self, condition):
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, KeyError):
                pass
            time.sleep(0.05)
        raise TimeoutError


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    cluster = LocalCluster(tmp_path_factory.mktemp("cluster"))
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


def job(**changes):
    return {"account": "a", "payload": '{"run_ms": 20}'} | changes


def check_problem(status, headers, body):
    document = json.loads(body)
    assert headers.get_content_type() == "application/problem+json"
    assert document.keys() >= PROBLEM_KEYS
    assert document["status"] == status
    assert "Traceback" not in body.decode()
    return document


INVALID_JOBS = [
    ("{", 400, "malformed_body"),
    ("", 400, "malformed_body"),
    ("[]", 400, "malformed_body"),
    ("null", 400, "malformed_body"),
    (b"\xff\xfe{}", 400, "malformed_body"),
    ("[" * 100_000, 400, "malformed_body"),
    ('{"account": "a", "label": "\\ud800"}', 422, "invalid_job"),
    ({}, 422, "invalid_job"),
    (job(account=5), 422, "invalid_job"),
    (job(account=""), 422, "invalid_job"),
    (job(account="a b"), 422, "invalid_job"),
    (job(acount="a"), 422, "invalid_job"),
    (job(kind="soon"), 422, "invalid_job"),
    (job(payload=5), 422, "invalid_job"),
    (job(payload="x" * (256 * 1024 + 1)), 422, "invalid_job"),
    (job(label="x" * 129), 422, "invalid_job"),
    (job(repeatable="maybe"), 422, "invalid_job"),
    (job(repeatable="no"), 422, "invalid_job"),
    (job(repeatable=0), 422, "invalid_job"),
    (job(deadline_in_ms=-1), 422, "invalid_job"),
    (job(deadline_in_ms="5"), 422, "invalid_job"),
    (job(deadline_in_ms=1.5), 422, "invalid_job"),
    (job(expected_run_ms=10**30), 422, "invalid_job"),
    (job(shape=[1, 1]), 422, "invalid_job"),
    (job(shape={"members": 0}), 422, "invalid_job"),
    (job(shape={"members": 129}), 422, "invalid_job"),
    (job(shape={"members": "2"}), 422, "invalid_job"),
    (job(shape={"members": True}), 422, "invalid_job"),
    (job(shape={"accelerators": 65}), 422, "invalid_job"),
    (job(shape={"gpus": 1}), 422, "invalid_job"),
    (job(shape={"adjacency": "near"}), 422, "invalid_job"),
    (job(payload="x" * MAX_BODY_BYTES), 413, "body_too_large"),
    (job(account="c"), 422, "unknown_account"),
    (job(shape={"accelerators": 9}), 422, "impossible_shape"),
    (
        job(shape={"members": 2, "accelerators": 8, "adjacency": "same_worker"}),
        422,
        "impossible_shape",
    ),
]


@pytest.mark.parametrize(("body", "status", "reason"), INVALID_JOBS)
def test_invalid_job_is_refused_as_not_run(cluster, body, status, reason):
    before = cluster.job_count()
    result = cluster.call("POST", "/v1/jobs", body)
    document = check_problem(*result)
    assert (result[0], document["reason"], document["may_have_run"]) == (status, reason, False)
    assert cluster.job_count() == before


INVALID_REQUESTS = [
    ("POST", "/v1/jobs?wait_ms=x", job(), {}, "a", 400, "malformed_query"),
    ("POST", "/v1/jobs?wait_ms=-1", job(), {}, "a", 400, "malformed_query"),
    ("POST", "/v1/jobs", job(), {"Idempotency-Key": "k" * 300}, "a", 400, "malformed_key"),
    ("POST", "/v1/jobs", job(account="b"), {}, "a", 403, "other_account"),
    ("POST", "/v1/jobs", job(), {}, "", 401, "unauthenticated"),
    ("POST", "/v1/jobs", job(), {"Authorization": "Bearer x"}, "", 401, "unauthenticated"),
    ("POST", "/v1/jobs", job(), {"Authorization": "Basic x"}, "", 401, "unauthenticated"),
    ("GET", "/v1/jobs", None, {}, "", 401, "unauthenticated"),
    ("GET", "/v1/jobs?limit=many", None, {}, "a", 400, "malformed_query"),
    ("GET", "/v1/jobs/none", None, {}, "a", 404, "unknown_job"),
    ("GET", "/v1/jobs/none/answer", None, {}, "a", 404, "unknown_job"),
    ("GET", "/v1/jobs/%00%ff", None, {}, "a", 404, "unknown_job"),
    ("DELETE", "/v1/jobs/none", None, {}, "a", 404, "unknown_job"),
    ("GET", "/v1/nothing", None, {}, "a", 404, "not_found"),
    ("PATCH", "/v1/jobs", None, {}, "a", 405, "method_not_allowed"),
    ("GET", "/v1/config", None, {}, "a", 403, "operators_only"),
    ("PUT", "/v1/config", "", {"If-Match": '"1"'}, "a", 403, "operators_only"),
    ("POST", "/v1/workers/w1/drain", None, {}, "a", 403, "operators_only"),
    ("POST", "/v1/workers/none/drain", None, {}, "operator", 404, "unknown_worker"),
    ("POST", "/v1/workers/w1/undrain", None, {}, "a", 403, "operators_only"),
    ("POST", "/v1/workers/none/undrain", None, {}, "operator", 404, "unknown_worker"),
    ("PUT", "/v1/config", CONFIG, {}, "operator", 428, "revision_required"),
    ("PUT", "/v1/config", CONFIG, {"If-Match": '"x"'}, "operator", 428, "revision_required"),
    ("PUT", "/v1/config", CONFIG, {"If-Match": '"0"'}, "operator", 412, "revision_conflict"),
    ("PUT", "/v1/config", CONFIG, {"If-Match": '"9"'}, "operator", 412, "revision_conflict"),
    ("PUT", "/v1/config", b"\xff", {"If-Match": '"1"'}, "operator", 400, "malformed_body"),
    ("PUT", "/v1/config", "zones: [", {"If-Match": '"1"'}, "operator", 422, "invalid_config"),
    (
        "PUT",
        "/v1/config",
        "#" * (MAX_BODY_BYTES + 1),
        {"If-Match": '"1"'},
        "operator",
        413,
        "body_too_large",
    ),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "token_name", "status", "reason"), INVALID_REQUESTS
)
def test_invalid_request_changes_nothing(
    cluster, method, path, body, headers, token_name, status, reason
):
    result = cluster.call(method, path, body, headers, token_name)
    document = check_problem(*result)
    assert (result[0], document["reason"], document["may_have_run"]) == (status, reason, False)
    assert cluster.json("GET", "/v1/config")["revision"] == 1


def test_revision_conflict_reports_both_revisions(cluster):
    result = cluster.call("PUT", "/v1/config", CONFIG, {"If-Match": '"7"'})
    detail = check_problem(*result)["detail"]
    assert "7" in detail
    assert "1" in detail


def test_invalid_configuration_is_rejected_with_line_and_key(cluster):
    text = CONFIG + "limits:\n  task_lease: 5\nzone: {}\n"
    result = cluster.call("PUT", "/v1/config", text, {"If-Match": '"1"'})
    errors = check_problem(*result)["errors"]
    assert [(error["line"], error["key"]) for error in errors] == [
        (8, "limits.task_lease"),
        (9, "zone"),
    ]


def test_history_contains_the_digest_of_each_text(cluster):
    text = cluster.json("GET", "/v1/config")["text"]
    items = cluster.json("GET", "/v1/config/history")["items"]
    assert [(item["revision"], item["digest"]) for item in items] == [(1, digest(text))]


def test_fleet_contains_fragmentation_and_quarantine(cluster):
    fleet = cluster.json("GET", "/v1/fleet")
    assert (fleet["fragmentation"], fleet["workers"][0]["quarantined"]) == (0.0, False)


def run_job(cluster, key, **changes):
    headers = {"Idempotency-Key": key}
    return cluster.call("POST", "/v1/jobs?wait_ms=10000", job(**changes), headers, "a")


def test_answer_is_complete_and_has_a_digest(cluster):
    payload = '{"run_ms": 20, "answer_bytes": 700000}'
    status, _, body = run_job(cluster, "whole", payload=payload)
    document = json.loads(body)
    path = f"/v1/jobs/{document['job_id']}"
    answered, headers, answer = cluster.call("GET", f"{path}/answer", token_name="a")
    wanted = expected_answer(payload)
    assert (status, document["state"], document["verdict"]["tag"]) == (200, "done", "answered")
    assert (answered, answer == wanted) == (200, True)
    assert document["answer"] == {"digest": digest_of(wanted), "length": len(wanted)}
    encoded = base64.b64encode(hashlib.sha256(wanted).digest()).decode()
    assert headers["Repr-Digest"] == f"sha-256=:{encoded}:"
    assert (headers["Lycheeslip-Job"], headers["Lycheeslip-Attempt"]) == (document["job_id"], "1")


def digest_of(content):
    return hashlib.sha256(content).hexdigest()


def test_same_key_and_body_return_the_same_job(cluster):
    first, second = json.loads(run_job(cluster, "same")[2]), json.loads(run_job(cluster, "same")[2])
    assert first["job_id"] == second["job_id"]
    assert len(second["attempts"]) == 1


def test_reused_key_with_another_body_is_refused(cluster):
    run_job(cluster, "reused")
    result = run_job(cluster, "reused", label="other")
    document = check_problem(*result)
    assert (result[0], document["reason"], document["may_have_run"]) == (409, "key_reused", False)


def test_jobs_of_another_account_are_not_accessible(cluster):
    job_id = json.loads(run_job(cluster, "private")[2])["job_id"]
    for method, path in (("GET", ""), ("GET", "/answer"), ("DELETE", "")):
        result = cluster.call(method, f"/v1/jobs/{job_id}{path}", token_name="b")
        assert check_problem(*result)["reason"] == "unknown_job"
    assert cluster.json("GET", "/v1/jobs", token_name="b")["jobs"] == []
    assert cluster.json("GET", "/v1/jobs?account=a", token_name="b")["jobs"] == []


def test_job_whose_deadline_passes_while_it_waits_is_refused(cluster):
    running = [submit_long_job(cluster, f"hold{n}") for n in range(8)]
    for job_id in running:
        wait_until_started(cluster, job_id)
    result = run_job(cluster, "late", deadline_in_ms=1)
    verdict = json.loads(result[2])["verdict"]
    assert (verdict["tag"], verdict["may_have_run"]) == ("refused", False)
    for job_id in running:
        assert cluster.call("DELETE", f"/v1/jobs/{job_id}", token_name="a")[0] == 202


def test_job_is_not_started_after_its_deadline(cluster):
    for number in range(5):
        document = json.loads(run_job(cluster, f"past{number}", deadline_in_ms=1)[2])
        verdict = document["verdict"]
        assert (verdict["reason"], verdict["may_have_run"]) == ("deadline_passed", False)
        assert document["attempts"] == []


def wait_until_started(cluster, job_id):
    deadline = time.monotonic() + WAIT_S
    while cluster.json("GET", f"/v1/jobs/{job_id}")["state"] != "started":
        assert time.monotonic() < deadline
        time.sleep(0.02)


def submit_long_job(cluster, key):
    body = job(payload='{"run_ms": 60000}')
    result = cluster.call("POST", "/v1/jobs", body, {"Idempotency-Key": key}, "a")
    assert result[0] == 202
    return json.loads(result[2])["job_id"]


def test_cancelled_job_has_no_answer(cluster):
    job_id = submit_long_job(cluster, "cancel")
    assert cluster.call("DELETE", f"/v1/jobs/{job_id}", token_name="a")[0] == 202
    document = cluster.json("GET", f"/v1/jobs/{job_id}?wait_ms=10000", token_name="a")
    assert document["verdict"]["tag"] == "cancelled"
    result = cluster.call("GET", f"/v1/jobs/{job_id}/answer", token_name="a")
    assert (result[0], check_problem(*result)["reason"]) == (409, document["verdict"]["reason"])


REQUEST_LINE = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-a\r\n"


MALFORMED_REQUESTS = [
    b"\x00\x01\x02",
    b"GET\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"GET /v1/jobs HTTP/1.1\r\n" + b"A: " + b"x" * 100_000,
    REQUEST_LINE + b'Content-Length: 500\r\n\r\n{"account": "a"',
    REQUEST_LINE + b"Content-Length: -5\r\n\r\n{}",
    REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    REQUEST_LINE + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n{}",
    REQUEST_LINE + b"Content-Length: 4\r\nContent-Encoding: gzip\r\n\r\nabcd",
    REQUEST_LINE + b"Content-Length: 4\r\nContent-Encoding: deflate\r\n\r\nabcd",
]


@pytest.mark.parametrize("pause_s", [0.0, 0.3], ids=["one_part", "body_later"])
@pytest.mark.parametrize("data", MALFORMED_REQUESTS)
def test_truncated_or_malformed_request_leaves_no_job(cluster, data, pause_s):
    before = cluster.job_count()
    answer = cluster.raw(data, pause_s)
    assert b"Traceback" not in answer
    assert answer == b"" or answer.startswith((b"HTTP/1.1 4", b"HTTP/1.0 4"))
    assert (cluster.is_alive(), cluster.job_count()) == (True, before)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=5,
)
JOB_KEYS = [*job(), "kind", "shape", "repeatable", "deadline_in_ms", "expected_run_ms", "label"]
SHAPE_KEYS = ["members", "accelerators", "processors", "memory_mb", "adjacency"]
fuzz_settings = settings(
    derandomize=True,
    max_examples=80,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


def check_accepted_or_refused(cluster, result):
    status, headers, body = result
    if status not in (200, 202):
        document = check_problem(status, headers, body)
        assert status in (400, 404, 405, 409, 413, 422, 429)
        assert document["may_have_run"] is False
    assert cluster.processes["entry"].poll() is None


@fuzz_settings
@given(st.dictionaries(st.sampled_from(JOB_KEYS), JSON_VALUES, max_size=3))
def test_random_json_in_a_job_is_accepted_or_refused(cluster, changes):
    check_accepted_or_refused(cluster, cluster.call("POST", "/v1/jobs", job(**changes)))


@fuzz_settings
@given(st.dictionaries(st.sampled_from(SHAPE_KEYS), JSON_VALUES, max_size=2))
def test_random_json_in_a_shape_is_accepted_or_refused(cluster, shape):
    check_accepted_or_refused(cluster, cluster.call("POST", "/v1/jobs", job(shape=shape)))


@fuzz_settings
@given(st.binary(max_size=64), st.sampled_from(["/v1/jobs", "/v1/config"]))
def test_random_bytes_are_refused(cluster, body, path):
    method = "POST" if path == "/v1/jobs" else "PUT"
    result = cluster.call(method, path, body, {"If-Match": '"1000000"'})
    assert result[0] in (400, 412, 422)
    check_problem(*result)


def test_graceful_shutdown_completes_the_open_request(cluster):
    connection = http.client.HTTPConnection("127.0.0.1", cluster.port, timeout=WAIT_S)
    headers = {"Authorization": "Bearer token-a", "Idempotency-Key": "last"}
    body = json.dumps(job(payload='{"run_ms": 60000}'))
    connection.request("POST", "/v1/jobs?wait_ms=20000", body, headers)
    time.sleep(0.3)
    cluster.processes["entry"].send_signal(signal.SIGTERM)
    response = connection.getresponse()
    document = json.loads(response.read())
    assert (response.status, document["verdict"], document["recorded"]) == (202, None, True)
    assert cluster.processes["entry"].wait(WAIT_S) == 0
