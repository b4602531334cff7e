"""HTTP client of the command line, with failover between entries."""

import base64
import hmac
import json
from collections.abc import Mapping
from dataclasses import replace
from hashlib import sha256
from types import TracebackType
from typing import Any, Self

import aiohttp

from lycheeslip.commands.outcomes import Outcome, Refusal, Reply, Unreachable

__all__ = ["EntryClient"]

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 10.0
MILLISECONDS_PER_SECOND = 1_000
SERVICE_UNAVAILABLE_STATUS = 503
DIGEST_HEADER = "Repr-Digest"
DIGEST_PREFIX = "sha-256=:"
JSON_TYPES = ("application/json", "application/problem+json")


class EntryClient:
    """Sends idempotent requests; if an entry does not respond or responds 503, tries the next."""

    def __init__(self, addresses: tuple[str, ...], token: str = "") -> None:
        """Send requests to the entries at `addresses`, with the bearer token `token` if given."""
        self._base_urls = [_base_url(address) for address in addresses]
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(headers=self._headers)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, str] | None = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        wait_ms: int = 0,
    ) -> Outcome:
        """Return the first complete response other than a 503.

        If there is none, return the last 503, or Unreachable if no entry responded or the request
        may have run. An entry may hold the request for `wait_ms`.
        """
        query = dict(params or {})
        if wait_ms:
            query["wait_ms"] = str(wait_ms)
        details = []
        may_have_run = False
        refusal = None
        for base_url in self._base_urls:
            url = base_url + path
            outcome = await self._call_entry(method, url, query, body, headers, wait_ms)
            match outcome:
                case Unreachable(detail, may_have_sent):
                    details.append(detail)
                    may_have_run = may_have_run or (may_have_sent and method != "GET")
                case Refusal(status=status) if status == SERVICE_UNAVAILABLE_STATUS:
                    refusal = outcome
                    may_have_run = may_have_run or outcome.may_have_run
                case Refusal():
                    may_have_run = may_have_run or outcome.may_have_run
                    return replace(outcome, may_have_run=may_have_run)
                case Reply():
                    return outcome
        if refusal is not None and not may_have_run:
            return refusal
        return Unreachable("; ".join(details) or "all entries refused the request", may_have_run)

    async def _call_entry(
        self,
        method: str,
        url: str,
        query: Mapping[str, str],
        body: bytes | None,
        headers: Mapping[str, str] | None,
        wait_ms: int,
    ) -> Outcome:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=READ_TIMEOUT_S + wait_ms / MILLISECONDS_PER_SECOND,
        )
        try:
            async with self._session.request(
                method, url, params=query, data=body, headers=headers, timeout=timeout
            ) as response:
                content = await response.read()
                return _outcome(response, content)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unreachable(f"{url}: {error}", may_have_run=False)
        except aiohttp.InvalidURL:
            return Unreachable(f"{url}: invalid address", may_have_run=False)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Unreachable(f"{url}: {error or type(error).__name__}", may_have_run=True)


def _base_url(address: str) -> str:
    address = address.strip().rstrip("/")
    return address if "://" in address else f"http://{address}"


def _outcome(response: aiohttp.ClientResponse, content: bytes) -> Outcome:
    document = _document(response, content)
    if response.status >= 400:
        return _refusal(response.status, document)
    if not _digest_matches(response.headers.get(DIGEST_HEADER, ""), content):
        return Unreachable(f"{response.url}: the response body does not match its digest", True)
    return Reply(response.status, content, document, dict(response.headers))


def _document(response: aiohttp.ClientResponse, content: bytes) -> Any:
    if response.content_type not in JSON_TYPES:
        return None
    try:
        return json.loads(content)
    except ValueError:
        return None


def _refusal(status: int, document: Any) -> Refusal:
    if not isinstance(document, dict):
        return Refusal(status, f"http_{status}", "the entry gave no reason", status >= 500)
    errors = tuple(
        f"line {error.get('line', 0)}: {error.get('key', '')}: {error.get('message', '')}"
        for error in document.get("errors") or ()
    )
    return Refusal(
        status=status,
        reason=str(document.get("reason") or document.get("title") or f"http_{status}"),
        detail=str(document.get("detail") or ""),
        may_have_run=bool(document.get("may_have_run", status >= 500)),
        retry_at_ms=int(document.get("retry_at_ms") or 0),
        errors=errors,
    )


def _digest_matches(header: str, content: bytes) -> bool:
    if not header.startswith(DIGEST_PREFIX):
        return True
    expected = header.removeprefix(DIGEST_PREFIX).rstrip(":")
    actual = base64.b64encode(sha256(content).digest()).decode()
    return hmac.compare_digest(expected, actual)
