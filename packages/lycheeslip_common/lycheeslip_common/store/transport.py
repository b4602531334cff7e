"""HTTP transport to the addresses of the store, with failover that never repeats a write."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.utils.usable import parse_json

__all__ = ["StoreTransport"]

CONNECT_TIMEOUT_SHARE = 0.5  # fraction of the timeout of a call


class StoreTransport:
    """Posts JSON to one of several addresses, starting with the last one that responded."""

    def __init__(self, addresses: Sequence[str], metrics: Metrics, timeout_s: float) -> None:
        """Call `addresses` (host:port); each attempt takes at most `timeout_s`."""
        if not addresses:
            raise ValueError("at least one store address is required")
        self._addresses = list(addresses)
        self._metrics = metrics
        self._timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=timeout_s * CONNECT_TIMEOUT_SHARE
        )
        self._connect_timeout_s = timeout_s * CONNECT_TIMEOUT_SHARE
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self, operation: str, path: str, body: dict[str, Any], *, is_read: bool
    ) -> dict[str, Any] | Unreachable:
        """Return the response; try the next address unless that could repeat a write."""
        may_have_run = False
        detail = ""
        for _ in range(len(self._addresses)):
            self._metrics.count(f"store.calls.{operation}")
            outcome = await self._post(path, body)
            if not isinstance(outcome, Unreachable):
                return outcome
            self._addresses.append(self._addresses.pop(0))
            detail = outcome.detail
            may_have_run = outcome.may_have_run and not is_read
            if may_have_run:
                break
        self._metrics.count(f"store.unreachable.{operation}")
        return Unreachable(may_have_run, detail)

    @asynccontextmanager
    async def stream(
        self, path: str, body: dict[str, Any], idle_s: float
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Open a streaming response; reading times out after `idle_s` without data."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._connect_timeout_s, sock_read=idle_s
        )
        url = f"http://{self._addresses[0]}{path}"
        async with self._open_session().post(url, json=body, timeout=timeout) as response:
            yield response

    def use_next_address(self) -> None:
        """Start with the next address from now on."""
        self._addresses.append(self._addresses.pop(0))

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any] | Unreachable:
        url = f"http://{self._addresses[0]}{path}"
        try:
            async with self._open_session().post(url, json=body, timeout=self._timeout) as response:
                return _parse(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unreachable(may_have_run=False, detail=str(error))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Unreachable(may_have_run=True, detail=str(error) or type(error).__name__)


def _parse(status: int, content: bytes) -> dict[str, Any] | Unreachable:
    if status >= 500:
        return Unreachable(may_have_run=True, detail=f"status {status}")
    if status >= 400:
        return Unreachable(may_have_run=False, detail=_error_text(status, content))
    # The gateway's streaming calls return one message a line, wrapped in "result".
    first_line = content.split(b"\n", 1)[0]
    response = parse_json(first_line)
    result = response.get("result", response) if isinstance(response, dict) else None
    if not isinstance(result, dict):
        raise ValueError("the response is not a JSON object")
    return result


def _error_text(status: int, content: bytes) -> str:
    text = content.decode(errors="replace")[:200]
    return f"status {status}: {text}"
