"""Parsing of workers' heartbeats, valid and invalid."""

import msgspec
import pytest
from lycheeslip_agent.dispatch.worker_port import (
    NoAnswer,
    NoWorker,
    OtherLifetime,
    Rejected,
    Taken,
)
from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_platform.http_client import HttpResponse, NoResponse
from lycheeslip_platform.worker import HeartbeatError, PlatformWorker, parse_heartbeat

HEARTBEAT = {
    "service": "s1",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 8},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": 1776260694782,
}


def test_valid_heartbeat_is_parsed():
    status = parse_heartbeat("i-1", msgspec.json.encode(HEARTBEAT))
    assert status.lifetime == Lifetime("i-1", 1776260694782)
    assert (status.cpu_milli, status.accelerators, status.is_ready) == (64000, 8, True)
    assert status.labels == ("a", "r1-3")


def test_draining_worker_is_not_ready():
    fields = {**HEARTBEAT, "state": "draining", "remaining_ms": 1500}
    status = parse_heartbeat("i-1", msgspec.json.encode(fields))
    assert (status.is_ready, status.remaining_ms) == (False, 1500)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"state": 1},
        {"capacity": None},
        {"capacity": {"cpu": "many", "mem_mb": 1}},
        {"sequence": "four"},
        {"labels": "a"},
        {"born": "yesterday"},
        {"service": None},
    ],
)
def test_heartbeat_with_invalid_field_is_rejected(change: dict[str, object]):
    with pytest.raises(HeartbeatError):
        parse_heartbeat("i-1", msgspec.json.encode({**HEARTBEAT, **change}))


@pytest.mark.parametrize("content", [b"", b"\xff", b"[]", b"{}"])
def test_malformed_heartbeat_is_rejected(content: bytes):
    with pytest.raises(HeartbeatError):
        parse_heartbeat("i-1", content)


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (HttpResponse(200, {"clock_ms": 1, "born": 5}), Taken),
        (HttpResponse(200, {"clock_ms": 1}), Taken),
        (HttpResponse(200, {"clock_ms": 1, "born": 6}), OtherLifetime),
        (HttpResponse(200, {"clock_ms": "soon"}), NoAnswer),
        (HttpResponse(409, {"clock_ms": 1, "reason": "fence"}), Rejected),
        (HttpResponse(503, None), Rejected),
        (HttpResponse(421, None), OtherLifetime),
        (HttpResponse(500, None), NoAnswer),
        (NoResponse(False, True, "refused"), NoWorker),
        (NoResponse(True, False, "silent"), NoAnswer),
    ],
    ids=["same", "without birth", "reborn", "malformed", "fenced", "unhealthy", "other id"]
    + ["broken", "refused", "silent"],
)
async def test_only_the_lifetime_that_is_asked_for_passes_the_check(
    response, expected: type, monkeypatch: pytest.MonkeyPatch
):
    worker = PlatformWorker("127.0.0.1:1")

    async def call(*_arguments: object, **_fields: object) -> HttpResponse | NoResponse:
        return response

    monkeypatch.setattr(worker, "_call", call)
    assert type(await worker.check_lifetime(Lifetime("i-1", 5), 3)) is expected


async def test_call_of_a_process_that_is_stopping_has_no_response():
    """A heartbeat may still arrive, and asks the worker who it is."""
    worker = PlatformWorker("127.0.0.1:1")
    assert isinstance(await worker.confirm_lifetime(Lifetime("i-1", 5), 3), NoWorker)
    await worker.close()
    assert isinstance(await worker.confirm_lifetime(Lifetime("i-1", 5), 3), NoAnswer)
