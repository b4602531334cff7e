"""CBOR frames: `[protocol version, message name, field, ...]`."""

from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from lycheeslip_common.wire.messages import MESSAGE_TYPES, Message

__all__ = ["MAX_FRAME_BYTES", "MalformedFrameError", "PROTOCOL_VERSION", "decode", "encode"]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024

_adapters_by_name: dict[str, TypeAdapter[Any]] = {
    kind.__name__: TypeAdapter(kind) for kind in MESSAGE_TYPES
}


class MalformedFrameError(ValueError):
    """A frame that is not a message of this protocol version."""


def encode(message: Message) -> bytes:
    """Return the frame that carries `message`."""
    return cbor2.dumps([PROTOCOL_VERSION, type(message).__name__, *message])


def decode(frame: bytes | str) -> Message:
    """Return the message in `frame`; raises MalformedFrameError, and nothing else."""
    if not isinstance(frame, bytes):
        raise MalformedFrameError("a text frame was received where a binary one is expected")
    try:
        parts = cbor2.loads(frame)
    except Exception as error:
        raise MalformedFrameError(f"not CBOR: {error}") from error
    if not isinstance(parts, list) or len(parts) < 2:
        raise MalformedFrameError("not a list of version, name and fields")
    version, name, *fields = parts
    if version != PROTOCOL_VERSION:
        raise MalformedFrameError(f"protocol version {version!r}, expected {PROTOCOL_VERSION}")
    adapter = _adapters_by_name.get(name) if isinstance(name, str) else None
    if adapter is None:
        raise MalformedFrameError(f"unknown message {name!r}")
    try:
        return adapter.validate_python(fields)
    except ValidationError as error:
        raise MalformedFrameError(f"{name}: {error.errors()[0]['msg']}") from error
