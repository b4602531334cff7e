"""Stand-in for the platform's store over HTTP: transactions, leases, watches and faults."""

import asyncio
import base64
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import web

from lycheeslip_standins.platform.listener import Listener

__all__ = ["PlatformStoreServer", "StoreFaults"]

PAGE_ITEMS = 500
MAX_ENTRIES = 32
MAX_WAIT_MS = 30_000
LEASE_CHECK_INTERVAL_S = 0.02


@dataclass(slots=True)
class StoreFaults:
    """Active faults; by default none.

    Requests from the nodes in `refused_sources` fail with status 503. If `is_silent` is set,
    requests are not answered. Others are delayed by `delay_s`, then fail with `status` unless it
    is 0. The next `lost_answers` POST requests take effect, but their connection is aborted.
    `suppress_watch_events` makes watches return no events.
    """

    is_silent: bool = False
    status: int = 0
    lost_answers: int = 0
    delay_s: float = 0.0
    suppress_watch_events: bool = False
    refused_sources: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Item:
    """One stored item; `created` is a revision, and `lease` is 0 if the item has no lease."""

    key: str
    value: str
    revision: int
    created: int
    lease: int

    def document(self) -> dict[str, Any]:
        """Return the item's JSON document."""
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class PlatformStoreServer:
    """Keeps items in memory; `faults` may change at any time, `calls` counts requests by path."""

    def __init__(self, history_items: int = 10_000) -> None:
        """Keep the last `history_items` changes for watches."""
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self.items: dict[str, Item] = {}
        self.revision = 1
        self._history: list[dict[str, Any]] = []
        self._history_items = history_items
        self._discarded_revision = 0
        self._leases: dict[int, tuple[float, int]] = {}
        self._change_event = asyncio.Event()
        self._listener = Listener(self._handle)
        self._expiry_task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Address (host:port) on which the store listens."""
        return self._listener.address

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        await self._listener.start()
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        """Stop listening and expiring leases."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        await self._listener.stop()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write `key` on behalf of an operator and return the revision."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), lease)
        self._notify()
        return self.revision

    def delete(self, key: str) -> None:
        """Delete `key` on behalf of an operator."""
        self.revision += 1
        self._remove(key)
        self._notify()

    def value(self, key: str) -> bytes | None:
        """Return the value of `key`, or None if it does not exist."""
        item = self.items.get(key)
        return base64.b64decode(item.value) if item else None

    def discard_history(self) -> None:
        """Discard the history, so that watches of older revisions fail."""
        self._history.clear()
        self._discarded_revision = self.revision
        self._notify()

    def expire_lease_of(self, key: str) -> None:
        """Expire the lease that `key` is attached to, if any."""
        item = self.items.get(key)
        if item is not None and item.lease:
            self._expire_lease(item.lease)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls[request.path] += 1
        body = await request.read()
        fault_response = await self._apply_faults(request)
        if fault_response is not None:
            return fault_response
        response = await self._dispatch(request, body)
        if self.faults.lost_answers > 0 and request.method == "POST":
            self.faults.lost_answers -= 1
            self._abort_connection(request)
        return response

    async def _apply_faults(self, request: web.BaseRequest) -> web.StreamResponse | None:
        faults = self.faults
        if request.headers.get("X-Node", "") in faults.refused_sources:
            return web.Response(status=503)
        if faults.is_silent:
            await asyncio.sleep(3_600)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        return web.Response(status=faults.status) if faults.status else None

    def _abort_connection(self, request: web.BaseRequest) -> None:
        transport = request.transport
        if transport is not None:
            transport.abort()

    async def _dispatch(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        query = request.query
        match (request.method, request.path.split("/")[1:]):
            case ("GET", ["kv-key"]):
                item = self.items.get(query["key"])
                if item is None:
                    return web.Response(status=404)
                return _json({**item.document(), "as_of": self.revision})
            case ("GET", ["kv-range"]):
                return self._range(query["prefix"], query.get("after", ""))
            case ("GET", ["kv-watch"]):
                return await self._watch(query["prefix"], int(query["after"]), query["wait_ms"])
            case ("POST", ["kv-txn"]):
                return self._transaction(msgspec.json.decode(body))
            case ("POST", ["kv-lease"]):
                return self._grant(int(msgspec.json.decode(body)["ttl_ms"]))
            case ("POST", ["kv-keep", lease]):
                return self._renew(int(lease))
            case ("DELETE", ["kv-lease-end", lease]):
                self._expire_lease(int(lease))
                return _json({})
        return web.Response(status=404)

    def _range(self, prefix: str, after: str) -> web.Response:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key].document() for key in keys[:PAGE_ITEMS]]
        return _json({"items": page, "has_more": len(keys) > PAGE_ITEMS, "as_of": self.revision})

    async def _watch(self, prefix: str, after: int, wait_ms: str) -> web.Response:
        deadline_s = time.monotonic() + min(int(wait_ms), MAX_WAIT_MS) / 1_000
        while True:
            if after < self._discarded_revision:
                return web.Response(status=410)
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline_s - time.monotonic()
            if self.faults.suppress_watch_events:
                await asyncio.sleep(max(0.0, left_s))
                return _json({"events": [], "as_of": after})
            if events or left_s <= 0:
                return _json({"events": events, "as_of": self.revision})
            changed = self._change_event
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transaction(self, body: dict[str, Any]) -> web.Response:
        conditions, writes, deleted_keys = body["expected_rev"], body["writes"], body["remove"]
        if len(conditions) + len(writes) + len(deleted_keys) > MAX_ENTRIES:
            return web.Response(status=400)
        for row in conditions:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                current = [self.items.get(other["key"]) for other in conditions]
                return _json({"items": [item.document() for item in current if item]}, 412)
        if any(row.get("lease") and row["lease"] not in self._leases for row in writes):
            return web.Response(status=404)
        self.revision += 1
        for row in writes:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in deleted_keys:
            self._remove(key)
        self._notify()
        return _json({"revision": self.revision})

    def _write(self, key: str, value: str, lease: int) -> None:
        existing = self.items.get(key)
        created = existing.created if existing else self.revision
        self.items[key] = Item(key, value, self.revision, created, lease)
        self._history.append(self.items[key].document())
        self._trim()

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._history.append({"key": key, "revision": self.revision, "deleted": True})
            self._trim()

    def _trim(self) -> None:
        while len(self._history) > self._history_items:
            self._discarded_revision = self._history.pop(0)["revision"]

    def _notify(self) -> None:
        changed, self._change_event = self._change_event, asyncio.Event()
        changed.set()

    def _grant(self, ttl_ms: int) -> web.Response:
        lease = 1_000 + len(self._leases) + self.revision * 1_000
        self._leases[lease] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
        return _json({"lease": lease, "ttl_ms": ttl_ms})

    def _renew(self, lease: int) -> web.Response:
        if lease not in self._leases:
            return web.Response(status=404)
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
        return _json({"ttl_ms": ttl_ms})

    def _expire_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        leased_keys = [key for key, item in self.items.items() if item.lease == lease]
        if leased_keys:
            self.revision += 1
            for key in leased_keys:
                self._remove(key)
            self._notify()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            now = time.monotonic()
            for lease, (expires_at_s, _) in list(self._leases.items()):
                if expires_at_s < now:
                    self._expire_lease(lease)


def _json(document: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(document), content_type="application/json"
    )
