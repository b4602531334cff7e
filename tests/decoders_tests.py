"""Every decoder of what other processes write returns a value or raises its own error.

What it returns can be encoded again, so that a number out of range fails nowhere later.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2
import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from lycheeslip.config.loader import ConfigError, parse_config
from lycheeslip.dispatch.leadership import decode_leader
from lycheeslip.entry import lifecycle, records
from lycheeslip.http.submission import parse_submission
from lycheeslip_common.store.gateway import parse_events, parse_read, parse_transaction
from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.store.transport import _parse as parse_gateway_response
from lycheeslip_common.structure.jobs import JobKind, Shape
from lycheeslip_common.structure.jobs import JobSpec as StoredJobSpec
from lycheeslip_common.wire import codec
from lycheeslip_common.workload import fleet
from lycheeslip_common.workload.fleet import WorkerReport
from lycheeslip_common.workload.jobs import JobSpec, StepSpec
from lycheeslip_common.workload.progress import (
    JobProgress,
    decode_progress,
    decode_spec,
    encode_progress,
    encode_spec,
    open_occurrences,
)
from lycheeslip_platform.caller_api import InvalidJobError, parse_job
from lycheeslip_platform.heartbeat_worker import HeartbeatWorker
from lycheeslip_platform.http_client import _decode_json as decode_response
from lycheeslip_platform.operator_keys import decode_operator_key
from lycheeslip_platform.worker import (
    HeartbeatError,
    ListFields,
    parse_heartbeat,
    parse_run_lists,
)

JOB_ID = "0" * 16
MAX_STORED_TASKS = 10_000
SPEC = JobSpec(JOB_ID, "q", "a", "s", 1, 1, "p", (StepSpec(2), StepSpec(1, after=(0,))), 1)
TASKS = ((0, 0), (0, 1), (1, 0))  # step and position
GATEWAY_ERRORS = (ValueError, KeyError, TypeError)
HEARTBEAT = {
    "service": "s1",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "remaining_ms": 0,
    "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 8},
    "labels": ["a"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": 1776260694782,
    "running": [["t", 1, "", 0, 0]],
    "ended": [[1, "t", 1, "done", ""]],
}
ROUTE = {"name": "r", "host": "h", "prefix": "/", "service": "s", "stretch": 1, "attempts": 1}
CONFIG = {
    "version": 1,
    "routes": [ROUTE],
    "tenants": [{"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 1}}],
    "limits": {"max_body_bytes": 1},
}
JOB = {
    "spec": "p",
    "steps": [{"count": 1, "cpu": 1, "estimate_ms": 1, "after": []}],
    "start_at_ms": 1,
    "interval_ms": 1,
    "repeat_count": 1,
}
ENTRY = {
    "entry_id": "e1",
    "region": "r",
    "zone": "z",
    "http_address": "127.0.0.1:80",
    "session_address": "127.0.0.1:81",
}
JOB_RECORD = json.loads(
    records.encode_job(
        lifecycle.new_record("j", StoredJobSpec("a", JobKind.BULK, Shape()), "digest", "e1", 1)
    )
)


def check_status(content: bytes) -> None:
    status = parse_heartbeat("i-1", content)
    _, _, service, zone, labels, cpu, memory, accelerators, is_ready, remaining_ms = status
    fleet.encode(
        WorkerReport(
            status.lifetime, service, zone, labels, cpu, memory, accelerators, is_ready, (), (),
            remaining_ms,
        )  # fmt: skip
    )
    body = asyncio.run(handle_with_lists(status, content))
    msgspec.json.encode(body)


async def handle_with_lists(status: Any, content: bytes) -> dict[str, Any]:
    return HeartbeatWorker(10_000).handle_heartbeat(status, content)


def check_lists(content: bytes) -> None:
    body = decode_response(content)
    if not isinstance(body, dict):
        return
    lists = parse_run_lists(msgspec.convert(body, ListFields))
    msgspec.json.encode(lists)


def check_progress(content: bytes) -> None:
    job = decode_progress(SPEC, content)
    open_occurrences(job, 1)
    encode_progress(job)


def check_spec(content: bytes) -> None:
    spec = decode_spec(content)
    tasks = sum(step.task_count for step in spec.steps) * spec.occurrence_count()
    assert 0 < tasks <= MAX_STORED_TASKS
    job = JobProgress(spec)
    open_occurrences(job, 2**63)
    encode_spec(spec)
    encode_progress(job)


def check_leader(content: bytes) -> None:
    named = decode_leader(content)
    assert named is None or 0 < int(named[1].rpartition(":")[2]) < 65_536


def check_config(content: bytes) -> None:
    change = decode_operator_key(KeyValue("op/config", content, 1), False)
    msgspec.json.encode(msgspec.to_builtins(change))


def check_gateway(content: bytes) -> None:
    response = parse_gateway_response(200, content)
    for parse in (parse_read, parse_events, lambda found: parse_transaction(found, ())):
        try:
            parse(response)
        except GATEWAY_ERRORS:
            continue


def check_fleet_config(content: bytes) -> None:
    parse_config(content.decode(errors="replace"))


class Decoder(NamedTuple):
    """A decoder, the errors that its callers handle, and the document to put odd values into."""

    check: Callable[[bytes], object]
    errors: tuple[type[Exception], ...]
    document: Any
    encode: Callable[[Any], bytes] = msgspec.json.encode


DECODERS = {
    "heartbeat": Decoder(check_status, (HeartbeatError,), HEARTBEAT),
    "run lists": Decoder(check_lists, (msgspec.ValidationError,), HEARTBEAT),
    "operators' configuration": Decoder(check_config, (), CONFIG),
    "caller's job": Decoder(lambda content: parse_job(JOB_ID, content), (InvalidJobError,), JOB),
    "response": Decoder(decode_response, (), {}),
    "job": Decoder(check_spec, (ValueError,), msgspec.to_builtins(SPEC), cbor2.dumps),
    "progress": Decoder(
        check_progress,
        (ValueError,),
        ["queued", 1, 0, [[0, *key, 1, False, "n", None, "", 0, 0, [], 0] for key in TASKS]],
        cbor2.dumps,
    ),
    "leader": Decoder(check_leader, (), ["node", "127.0.0.1:80"], cbor2.dumps),
    "link message": Decoder(
        lambda content: fleet.encode(fleet.decode(content)),
        (fleet.InvalidMessageError,),
        ["HeartbeatReply", [1, 1, True, 1, 1, True]],
        cbor2.dumps,
    ),
    "session message": Decoder(
        lambda content: codec.encode(codec.decode(content)),
        (codec.MalformedFrameError,),
        [1, "PeerPing", 1, 1, True, []],
        cbor2.dumps,
    ),
    "gateway response": Decoder(
        check_gateway, (ValueError,), {"header": {"revision": "1"}, "kvs": []}
    ),
    "entry record": Decoder(records.decode_entry, (ValueError,), ENTRY),
    "homes record": Decoder(
        records.decode_homes, (ValueError,), {"version": 1, "homes": {"w": ["a"]}}
    ),
    "configuration record": Decoder(
        records.decode_config,
        (ValueError,),
        {"revision": 1, "text": "", "applied_at_ms": 1, "writer": ""},
    ),
    "job record": Decoder(records.decode_job, (ValueError,), JOB_RECORD),
    "submission": Decoder(
        lambda content: parse_submission(content, ""),
        (),
        {"account": "a", "shape": {"members": 1}, "deadline_in_ms": 0},
    ),
    "fleet configuration": Decoder(
        check_fleet_config, (ConfigError,), {"zones": {"a": {"accelerators": 8}}}
    ),
}


def nest(levels: int) -> Any:
    value: Any = 1
    for _ in range(levels):
        value = [value]
    return value


DEEP_JSON = b"[" * 100_000 + b"1" + b"]" * 100_000
DEEP_OBJECTS = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
DEEP_CBOR = b"\x81" * 100_000 + b"\x01"
ODD_VALUES = [
    nest(200),
    2**63,
    2**64,
    -(2**64),
    10**400,
    1e300,
    -1,
    10**12,
    "",
    "127.0.0.1:700000",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5_000,
    None,
    [],
    {},
    {"a": 10**30},
]
RAW_ODD = [
    DEEP_JSON,
    DEEP_OBJECTS,
    DEEP_CBOR,
    b"9" * 5_000,
    b"1e400",
    b'"\\ud800"',
    b"\xd8\x1d\x00",
]


def replace_each(document: Any, odd: Any) -> list[Any]:
    """Return copies of `document`, each with one value replaced by `odd`."""
    match document:
        case dict():
            fields = [*document, "another"]
            copies = [{**document, key: odd} for key in fields]
            for key, value in document.items():
                copies += [{**document, key: inner} for inner in replace_each(value, odd)]
        case list() | tuple():
            copies = []
            for index, value in enumerate(document):
                before, after = list(document[:index]), list(document[index + 1 :])
                copies.append([*before, odd, *after])
                copies += [[*before, inner, *after] for inner in replace_each(value, odd)]
        case _:
            copies = []
    return copies


def encode_odd(decoder: Decoder, document: Any) -> bytes:
    if decoder.encode is cbor2.dumps:
        return cbor2.dumps(document)
    return json.dumps(document).encode()  # unlike msgspec, it encodes any number


def decode(decoder: Decoder, content: bytes) -> None:
    try:
        decoder.check(content)
    except decoder.errors:
        return


@pytest.mark.parametrize("name", DECODERS)
def test_document_without_an_odd_value_is_decoded(name: str):
    decoder = DECODERS[name]
    decoder.check(encode_odd(decoder, decoder.document))


@pytest.mark.parametrize("name", DECODERS)
def test_odd_value_in_any_field_fails_no_reader(name: str):
    decoder = DECODERS[name]
    for odd in ODD_VALUES:
        for document in replace_each(decoder.document, odd):
            decode(decoder, encode_odd(decoder, document))


@pytest.mark.parametrize("name", DECODERS)
def test_deeply_nested_unknown_field_fails_no_reader(name: str):
    decoder = DECODERS[name]
    marker = "replace me"
    for document in replace_each(decoder.document, marker):
        content = encode_odd(decoder, document)
        if decoder.encode is cbor2.dumps:
            decode(decoder, content.replace(cbor2.dumps(marker), DEEP_CBOR))
        else:
            for deep in (DEEP_JSON, DEEP_OBJECTS):
                decode(decoder, content.replace(json.dumps(marker).encode(), deep))


# Without a deadline, since the decoder of YAML is slow for deeply nested examples.
@pytest.mark.parametrize("name", DECODERS)
@settings(deadline=None)
@given(content=st.binary(max_size=200))
@example(content=RAW_ODD[0])
@example(content=RAW_ODD[1])
@example(content=RAW_ODD[2])
@example(content=RAW_ODD[3])
@example(content=RAW_ODD[4])
@example(content=RAW_ODD[5])
@example(content=RAW_ODD[6])
def test_any_bytes_fail_no_reader(name: str, content: bytes):
    decode(DECODERS[name], content)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=6,
)


@pytest.mark.parametrize("name", DECODERS)
@settings(deadline=None)
@given(odd=JSON_VALUES, position=st.integers(0))
def test_any_value_in_a_field_fails_no_reader(name: str, odd: Any, position: int):
    decoder = DECODERS[name]
    documents = replace_each(decoder.document, odd) or [odd]
    decode(decoder, encode_odd(decoder, documents[position % len(documents)]))
