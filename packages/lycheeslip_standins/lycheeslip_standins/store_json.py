"""JSON encoding of the stand-in store's requests and responses, as in the etcd gRPC gateway."""

import base64
import binascii
from typing import Any

from lycheeslip_standins.store_state import Comparison, Deletion, Entry, Event, Range, Write

__all__ = [
    "BadRequestError",
    "encode_entry",
    "encode_event",
    "parse_comparison",
    "parse_operation",
    "parse_range",
]

Json = dict[str, Any]


class BadRequestError(ValueError):
    """A request that the stand-in store does not support."""


def parse_range(body: Json) -> Range:
    """Return the key range of a request."""
    return Range(_decode(body["key"]), _decode(body.get("range_end", "")))


def parse_comparison(body: Json) -> Comparison:
    """Return a comparison; only equality of the mod revision is supported."""
    if body.get("target") != "MOD" or body.get("result", "EQUAL") != "EQUAL":
        raise BadRequestError("only MOD EQUAL comparisons are supported")
    return Comparison(_decode(body["key"]), int(body.get("mod_revision", 0)))


def parse_operation(body: Json) -> Write | Deletion | Range:
    """Return one operation of a transaction; raises `BadRequestError` if its type is unknown."""
    match body:
        case {"request_put": put}:
            lease_id = int(put.get("lease", 0))
            return Write(_decode(put["key"]), _decode(put.get("value", "")), lease_id)
        case {"request_delete_range": deletion}:
            return Deletion(parse_range(deletion))
        case {"request_range": key_range}:
            return parse_range(key_range)
    raise BadRequestError(f"unknown operation with fields {sorted(body)}")


def encode_entry(entry: Entry) -> Json:
    """Return the gateway's JSON document of an entry."""
    item: Json = {"key": _encode(entry.key), "mod_revision": str(entry.mod_revision)}
    if entry.create_revision:
        item["create_revision"] = str(entry.create_revision)
        item["version"] = str(entry.version)
    if entry.value:
        item["value"] = _encode(entry.value)
    if entry.lease_id:
        item["lease"] = str(entry.lease_id)
    return item


def encode_event(event: Event) -> Json:
    """Return the gateway's JSON document of an event."""
    encoded: Json = {"kv": encode_entry(event.entry)}
    if event.deleted:
        encoded["type"] = "DELETE"
    return encoded


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _decode(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError) as error:
        raise BadRequestError("key or value is not valid base64") from error
