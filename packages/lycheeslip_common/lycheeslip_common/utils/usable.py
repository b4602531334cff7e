"""Which JSON, CBOR, numbers and addresses are usable in values that other processes wrote.

Decoders of such values raise only `UnusableValueError`, or an error of their own made from it, so
that a reader can pass over one entry and keep the others.
"""

import ipaddress
import reprlib
from collections.abc import Callable
from typing import Annotated, Any

import cbor2
import msgspec

__all__ = [
    "Amount",
    "MAX_NUMBER",
    "Number",
    "UnusableKeys",
    "UnusableValueError",
    "check_numbers",
    "is_usable_address",
    "parse_cbor",
    "parse_digits",
    "parse_document",
    "parse_json",
    "shorten",
]

# Exact as a float, and a thousand of them can be added without leaving 64 bits, which neither
# message encoder exceeds.
MAX_NUMBER = 2**53
MAX_PORT = 65_535
IPV6 = 6
MAX_REMEMBERED_KEYS = 1_000
MAX_REASON_CHARACTERS = 200

Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A number that arithmetic, logging and encoding can handle."""
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A usable count or size."""


class UnusableValueError(ValueError):
    """The value is malformed, too deeply nested, or holds a number or an address out of range."""


def shorten(value: object) -> str:
    """Return a text for `value` that is short enough for a log line, however large it is."""
    text = value if isinstance(value, str) else reprlib.repr(value)
    return text[:MAX_REASON_CHARACTERS]


def parse_json(content: bytes | str) -> Any:
    """Return the JSON value in `content`; raises UnusableValueError."""
    try:
        return msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise UnusableValueError(shorten(str(error))) from error


def parse_document(content: bytes, kind: Any) -> Any:
    """Return the JSON value in `content` as `kind`; fields that it doesn't declare are ignored.

    Raises UnusableValueError.
    """
    try:
        document = msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise UnusableValueError(shorten(str(error))) from error
    check_numbers(msgspec.to_builtins(document))
    return document


def parse_cbor(content: bytes, kind: Any = Any) -> Any:
    """Return the CBOR value in `content` as `kind`; raises UnusableValueError."""
    try:
        value = cbor2.loads(content)
        check_numbers(value)
        return msgspec.convert(value, kind)
    except Exception as error:  # the decoder of a tag may raise any exception
        raise UnusableValueError(shorten(str(error))) from error


def check_numbers(value: Any, limit: int = MAX_NUMBER) -> None:
    """Raise UnusableValueError if `value` contains a number beyond `limit`, or NaN."""
    # Chains of `isinstance` take a third of the time of `match`, and a job has 10,000 steps.
    seen: set[int] = set()  # CBOR values may contain themselves
    pending = [value]
    while pending:
        item = pending.pop()
        if isinstance(item, int | float):
            if not -limit <= item <= limit:
                raise UnusableValueError("a number is out of range")
        elif isinstance(item, list | tuple | dict) and id(item) not in seen:
            seen.add(id(item))
            pending.extend(item)
            if isinstance(item, dict):
                pending.extend(item.values())


def parse_digits(text: str) -> int | None:
    """Return the number that `text` spells in decimal digits, None if it is unusable."""
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_NUMBER))
    return int(text) if is_number and int(text) <= MAX_NUMBER else None


def is_usable_address(text: str) -> bool:
    """Return whether `text` is IP:PORT with a port to which a connection can be opened."""
    host, _, port = text.rpartition(":")
    if not 0 < (parse_digits(port) or 0) <= MAX_PORT:
        return False
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return is_bracketed == (ip.version == IPV6) and "%" not in host


class UnusableKeys:
    """Remembers which keys hold an unusable value, so that each value is counted and logged once.

    The oldest are forgotten once there are `MAX_REMEMBERED_KEYS`.
    """

    def __init__(self, count: Callable[[], None]) -> None:
        """Call `count` for each unusable value."""
        self._count = count
        self._revision_by_key: dict[str, int] = {}

    def holds(self, key: str, revision: int) -> bool:
        """Return whether `key` is known to hold an unusable value at `revision`."""
        return self._revision_by_key.get(key) == revision

    def add(self, key: str, revision: int = 0) -> bool:
        """Remember that the value of `key` is unusable; return whether that is new."""
        if self.holds(key, revision):
            return False
        self._revision_by_key.pop(key, None)
        if len(self._revision_by_key) >= MAX_REMEMBERED_KEYS:
            del self._revision_by_key[next(iter(self._revision_by_key))]
        self._revision_by_key[key] = revision
        self._count()
        return True

    def discard(self, key: str) -> None:
        """Forget `key`, which has a usable value now."""
        self._revision_by_key.pop(key, None)
