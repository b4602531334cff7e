"""Watches of key prefixes in the store."""

from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from lycheeslip_common.store.gateway import parse_events, watch_request
from lycheeslip_common.store.outcomes import WatchEvent
from lycheeslip_common.store.transport import StoreTransport
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.utils.usable import parse_json

__all__ = ["WatchEnded", "watch_prefix"]

WATCH_PATH = "/v3/watch"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class WatchEnded(Exception):  # noqa: N818 - watches end in normal operation
    """The watch was interrupted or its start revision compacted; read the keys again."""


async def watch_prefix(
    transport: StoreTransport,
    metrics: Metrics,
    prefix: str,
    from_revision: int,
    idle_s: float,
) -> AsyncIterator[list[WatchEvent]]:
    """Yield batches of changes under `prefix` from `from_revision` on until WatchEnded is raised.

    A watch without data for `idle_s` is reopened, as its connection may be half-open.
    """
    next_revision = from_revision
    while True:
        metrics.count("store.calls.watch")
        try:
            request = watch_request(prefix, next_revision)
            async with transport.stream(WATCH_PATH, request, idle_s) as response:
                if response.status != 200:
                    raise WatchEnded(f"status {response.status}")
                async for message in _read_messages(response):
                    _raise_if_cancelled(message)
                    events = parse_events(message)
                    if events:
                        next_revision = events[-1].mod_revision + 1
                        yield events
            raise WatchEnded("the store closed the watch")
        except aiohttp.SocketTimeoutError:
            continue
        except WatchEnded:
            metrics.count("store.watch_ended")
            raise
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
            metrics.count("store.watch_ended")
            transport.use_next_address()
            raise WatchEnded(str(error) or type(error).__name__) from error


async def _read_messages(response: aiohttp.ClientResponse) -> AsyncIterator[dict[str, Any]]:
    buffer = bytearray()
    async for chunk in response.content.iter_any():
        buffer += chunk
        if len(buffer) > MAX_MESSAGE_BYTES:
            raise ValueError("watch message exceeds the maximum length")
        if b"\n" not in chunk:
            continue
        *lines, rest = bytes(buffer).split(b"\n")
        buffer = bytearray(rest)
        for line in lines:
            if line.strip():
                yield _unwrap_result(parse_json(line))


def _unwrap_result(message: Any) -> dict[str, Any]:
    if not isinstance(message, dict) or "result" not in message:
        raise ValueError(f"unexpected watch message: {str(message)[:200]}")
    if not isinstance(message["result"], dict):
        raise ValueError("the result of a watch message is not a JSON object")
    return message["result"]


def _raise_if_cancelled(message: dict[str, Any]) -> None:
    compacted = int(message.get("compact_revision", 0))
    if compacted:
        raise WatchEnded(f"compacted up to revision {compacted}")
    if message.get("canceled", False):
        raise WatchEnded(message.get("cancel_reason", "cancelled by the store"))
