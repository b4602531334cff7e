"""Encodes messages as CBOR frames: `[protocol version, message name, field, ...]`."""

from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from lycheeslip_common.utils.usable import check_numbers
from lycheeslip_common.wire.messages import MESSAGE_TYPES, Message

__all__ = ["MAX_FRAME_BYTES", "MalformedFrameError", "PROTOCOL_VERSION", "decode", "encode"]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024

_adapters_by_message_name: dict[str, TypeAdapter[Any]] = {
    message_type.__name__: TypeAdapter(message_type) for message_type in MESSAGE_TYPES
}


class MalformedFrameError(ValueError):
    """The frame is not a valid message of this protocol version."""


def encode(message: Message) -> bytes:
    """Return the frame that encodes `message`."""
    return cbor2.dumps([PROTOCOL_VERSION, type(message).__name__, *message])


def decode(frame: bytes | str) -> Message:
    """Return the message in `frame`; raises MalformedFrameError for any invalid frame."""
    if not isinstance(frame, bytes):
        raise MalformedFrameError("received a text frame, expected a binary frame")
    try:
        parts = cbor2.loads(frame)
        check_numbers(parts)
    except Exception as error:
        raise MalformedFrameError(f"invalid CBOR: {error}") from error
    if not isinstance(parts, list) or len(parts) < 2:
        raise MalformedFrameError("expected a list of protocol version, message name and fields")
    version, name, *fields = parts
    if version != PROTOCOL_VERSION:
        raise MalformedFrameError(f"protocol version {version!r}, expected {PROTOCOL_VERSION}")
    adapter = _adapters_by_message_name.get(name) if isinstance(name, str) else None
    if adapter is None:
        raise MalformedFrameError(f"unknown message name {name!r}")
    try:
        return adapter.validate_python(fields)
    except ValidationError as error:
        raise MalformedFrameError(f"invalid {name}: {error.errors()[0]['msg']}") from error
