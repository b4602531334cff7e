"""Requests and responses of the etcd v3 HTTP/JSON gateway as JSON values.

Keys and values are encoded as base64, 64-bit integers as strings; the gateway omits fields whose
value is zero.
"""

import base64
from collections.abc import Sequence
from typing import Any, NamedTuple

from lycheeslip_common.store.outcomes import Conflict, KeyValue, ReadResult, WatchEvent, Written

__all__ = [
    "Compare",
    "Put",
    "decode_bytes",
    "delete_operation",
    "encode_bytes",
    "parse_events",
    "parse_key_value",
    "parse_read",
    "parse_transaction",
    "prefix_end",
    "put_operation",
    "range_request",
    "transaction_request",
    "watch_request",
]

Json = dict[str, Any]


class Compare(NamedTuple):
    """Condition that `key` was last modified at `mod_revision` (0: the key doesn't exist)."""

    key: str
    mod_revision: int


class Put(NamedTuple):
    """Write of `key`; if `lease_id` is not 0, the key is deleted when that lease ends."""

    key: str
    value: bytes
    lease_id: int = 0


def encode_bytes(value: bytes) -> str:
    """Return `value` as base64 text."""
    return base64.b64encode(value).decode()


def decode_bytes(text: str) -> bytes:
    """Return the bytes of base64 `text`."""
    return base64.b64decode(text)


def prefix_end(prefix: bytes) -> bytes:
    """Return the end (exclusive) of the key range for `prefix`; a zero byte means unbounded."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return b"\0"
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


def range_request(key: str, *, is_prefix: bool = False) -> Json:
    """Return a linearizable range request for `key`, or for all keys that begin with it."""
    request = {"key": encode_bytes(key.encode())}
    if is_prefix:
        request["range_end"] = encode_bytes(prefix_end(key.encode()))
    return request


def put_operation(put: Put) -> Json:
    """Return the transaction operation for `put`."""
    request = {"key": encode_bytes(put.key.encode()), "value": encode_bytes(put.value)}
    if put.lease_id:
        request["lease"] = str(put.lease_id)
    return {"request_put": request}


def delete_operation(key: str) -> Json:
    """Return the transaction operation that deletes `key`."""
    return {"request_delete_range": {"key": encode_bytes(key.encode())}}


def transaction_request(compares: Sequence[Compare], operations: Sequence[Json]) -> Json:
    """Return a transaction that applies `operations`, or reads the keys if a compare fails."""
    return {
        "compare": [_compare(compare) for compare in compares],
        "success": list(operations),
        "failure": [{"request_range": range_request(compare.key)} for compare in compares],
    }


def watch_request(prefix: str, from_revision: int) -> Json:
    """Return a request to watch all keys that begin with `prefix`."""
    request = range_request(prefix, is_prefix=True)
    request["start_revision"] = str(from_revision)
    return {"create_request": request}


def parse_read(response: Json) -> ReadResult:
    """Return the keys of a range response."""
    items = tuple(parse_key_value(item) for item in response.get("kvs", ()))
    return ReadResult(items, int(response["header"]["revision"]))


def parse_transaction(response: Json, compares: Sequence[Compare]) -> Written | Conflict:
    """Return the outcome of a transaction; a conflict holds the first key that had changed."""
    if response.get("succeeded", False):
        return Written(int(response["header"]["revision"]))
    for compare, part in zip(compares, response["responses"], strict=True):
        items = part["response_range"].get("kvs", ())
        current = parse_key_value(items[0]) if items else None
        if (current.mod_revision if current else 0) != compare.mod_revision:
            return Conflict(current)
    raise ValueError("the transaction failed although all comparisons hold")


def parse_events(result: Json) -> list[WatchEvent]:
    """Return the changes in one watch response."""
    events = []
    for event in result.get("events", ()):
        item = parse_key_value(event["kv"])
        deleted = event.get("type") == "DELETE"
        events.append(WatchEvent(item.key, item.value, item.mod_revision, deleted))
    return events


def parse_key_value(item: Json) -> KeyValue:
    """Return the key in `item`; bytes that aren't UTF-8 are escaped, as no key here has any."""
    return KeyValue(
        decode_bytes(item["key"]).decode(errors="backslashreplace"),
        decode_bytes(item.get("value", "")),
        int(item.get("mod_revision", 0)),
        int(item.get("create_revision", 0)),
    )


def _compare(compare: Compare) -> Json:
    return {
        "key": encode_bytes(compare.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }
