"""Stand-in for a store with the etcd v3 HTTP/JSON gateway, with fault injection over HTTP.

Run it with `python -m lycheeslip_standins.platform_store --address 127.0.0.1:2379`.
"""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import typer
import uvloop
from aiohttp import web
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import configure_logs, log_event

from lycheeslip_standins.store_admin import add_admin_routes
from lycheeslip_standins.store_faults import CallCounts, StoreFaults
from lycheeslip_standins.store_json import (
    BadRequestError,
    encode_entry,
    encode_event,
    parse_comparison,
    parse_operation,
    parse_range,
)
from lycheeslip_standins.store_state import (
    CompactedError,
    Deletion,
    LeaseNotFoundError,
    Range,
    StoreState,
    ValueTooLargeError,
    Write,
)

__all__ = ["PlatformStore"]

MAX_REQUEST_BYTES = 8 * 1024 * 1024
EXPIRY_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 0.2
WATCH_POLL_INTERVAL_S = 0.2

Json = dict[str, Any]


class PlatformStore:
    """Serves the etcd gateway's calls on one address and keeps all data in memory."""

    def __init__(self, address: str) -> None:
        """Listen at `address` (host:port) once started; port 0 selects a free port."""
        self.address = address
        self.state = StoreState()
        self.faults = StoreFaults()
        self.counts = CallCounts()
        self.open_watches = 0
        self._change_event = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start serving and update `address` with the bound port."""
        host, _, port = self.address.rpartition(":")
        runner = web.AppRunner(
            self._application(), access_log=None, shutdown_timeout=STOP_TIMEOUT_S
        )
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        self._runner = runner
        self.address = f"{host}:{runner.addresses[0][1]}"
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        """Stop serving; all data is lost."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the active faults by `faults` and wake all watches."""
        self.faults = faults
        self.notify_watches()

    def notify_watches(self) -> None:
        """Wake all watches to check for changes."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _application(self) -> web.Application:
        application = web.Application(client_max_size=MAX_REQUEST_BYTES)
        calls: dict[str, tuple[str, Callable[[Json], Json]]] = {
            "/v3/kv/range": ("range", self._range),
            "/v3/kv/txn": ("txn", self._transaction),
            "/v3/lease/grant": ("lease_grant", self._grant),
            "/v3/lease/keepalive": ("lease_keepalive", self._keep_alive),
            "/v3/lease/revoke": ("lease_revoke", self._revoke),
        }
        for path, (operation, call) in calls.items():
            application.router.add_post(path, self._handler(operation, call))
        application.router.add_post("/v3/watch", self._watch)
        add_admin_routes(application, self)
        return application

    def _handler(
        self, operation: str, call: Callable[[Json], Json]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handle(request: web.Request) -> web.StreamResponse:
            body = await request.json()
            self.counts.count(operation, monotonic_ms())
            await asyncio.sleep(self._delay_s(body))
            if self.faults.down:
                return _abort_connection(request)
            self.state.expire(monotonic_ms())
            before = self.state.revision
            try:
                response = call(body)
            except LeaseNotFoundError:
                return _error(404, "etcdserver: requested lease not found")
            except ValueTooLargeError:
                return _error(400, "etcdserver: request is too large")
            except (BadRequestError, KeyError) as error:
                return _error(400, f"bad request: {error}")
            self.notify_watches()
            if self.state.revision > before and self._consume_answer_loss(body):
                return _abort_connection(request)
            return web.json_response(response)

        return handle

    def _delay_s(self, body: Json) -> float:
        prefix = self.faults.delay_writes_of_prefix
        is_delayed = not prefix or _writes_to_prefix(body, prefix)
        return self.faults.delay_ms / 1000 if is_delayed else 0.0

    def _consume_answer_loss(self, body: Json) -> bool:
        faults = self.faults
        if faults.lose_next_answers <= 0:
            return False
        if not _writes_to_prefix(body, faults.lose_answers_of_prefix):
            return False
        self.faults = faults._replace(lose_next_answers=faults.lose_next_answers - 1)
        return True

    def _range(self, body: Json) -> Json:
        return self._with_header(self._read(parse_range(body)))

    def _read(self, key_range: Range) -> Json:
        entries = self.state.read(key_range)
        if not entries:
            return {}
        return {"kvs": [encode_entry(entry) for entry in entries], "count": str(len(entries))}

    def _transaction(self, body: Json) -> Json:
        succeeded = self.state.holds(parse_comparison(item) for item in body.get("compare", ()))
        branch = body.get("success" if succeeded else "failure", ())
        operations = [parse_operation(item) for item in branch]
        self.state.apply(item for item in operations if not isinstance(item, Range))
        responses = [self._operation_response(item) for item in operations]
        response = self._with_header({"responses": responses})
        if succeeded:
            response["succeeded"] = True
        return response

    def _operation_response(self, operation: Write | Deletion | Range) -> Json:
        match operation:
            case Write():
                return {"response_put": self._with_header({})}
            case Deletion():
                return {"response_delete_range": self._with_header({})}
            case Range():
                return {"response_range": self._with_header(self._read(operation))}

    def _grant(self, body: Json) -> Json:
        ttl_s = int(body["TTL"])
        lease_id = self.state.grant(ttl_s, monotonic_ms())
        return self._with_header({"ID": str(lease_id), "TTL": str(ttl_s)})

    def _keep_alive(self, body: Json) -> Json:
        ttl_s = self.state.keep_alive(int(body["ID"]), monotonic_ms())
        result = self._with_header({"ID": body["ID"]})
        if ttl_s:
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _revoke(self, body: Json) -> Json:
        self.state.revoke(int(body["ID"]))
        return self._with_header({})

    def _with_header(self, response: Json) -> Json:
        return {"header": {"revision": str(self.state.revision)}, **response}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        create = (await request.json())["create_request"]
        key_range = parse_range(create)
        start_revision = int(create.get("start_revision", 0)) or self.state.revision + 1
        self.counts.count("watch", monotonic_ms())
        if self.faults.down:
            return _abort_connection(request)
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        self.open_watches += 1
        try:
            await self._send(response, {"created": True})
            await self._send_changes(request, response, key_range, start_revision)
        except (ConnectionError, asyncio.CancelledError):
            return response
        finally:
            self.open_watches -= 1
        return response

    async def _send_changes(
        self,
        request: web.Request,
        response: web.StreamResponse,
        key_range: Range,
        next_revision: int,
    ) -> None:
        while True:
            changed = self._change_event
            if self.faults.down or request.transport is None:
                _abort_connection(request)
                return
            try:
                events = self.state.events_since(key_range, next_revision)
            except CompactedError:
                compacted = str(self.state.compacted_revision)
                await self._send(response, {"canceled": True, "compact_revision": compacted})
                return
            if events:
                next_revision = events[-1].entry.mod_revision + 1
                await asyncio.sleep(self.faults.delay_ms / 1000)
                await self._send(response, {"events": [encode_event(event) for event in events]})
            next_revision = (
                max(next_revision, self.state.revision + 1) if not events else next_revision
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), WATCH_POLL_INTERVAL_S)

    async def _send(self, response: web.StreamResponse, result: Json) -> None:
        line = json.dumps({"result": self._with_header(result)})
        await response.write(line.encode() + b"\n")

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            before = self.state.revision
            self.state.expire(monotonic_ms())
            if self.state.revision > before:
                self.notify_watches()


def _writes_to_prefix(body: Json, prefix: str) -> bool:
    """Return whether the success branch of a transaction changes a key with `prefix`."""
    operations = [parse_operation(item) for item in body.get("success", ())]
    keys = [item.key for item in operations if isinstance(item, Write)]
    keys += [item.range.key for item in operations if isinstance(item, Deletion)]
    return any(key.startswith(prefix.encode()) for key in keys)


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _error(status: int, text: str) -> web.Response:
    return web.json_response({"error": text, "message": text}, status=status)


async def _serve(address: str) -> None:
    store = PlatformStore(address)
    await store.start()
    log_event("store_listening", address=store.address)
    await asyncio.Event().wait()


def main(address: Annotated[str, typer.Option(help="host:port to listen on")]) -> None:
    """Serve an in-memory store until the process is terminated."""
    configure_logs()
    uvloop.run(_serve(address))


if __name__ == "__main__":
    typer.run(main)
