"""Stand-in for a backend server over HTTP; docs/reference/backend-server.md has the contract."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import typer
import uvloop
from aiohttp import web
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import configure_logs, log_event
from pydantic import TypeAdapter, ValidationError

from lycheeslip_standins.backend_server_table import (
    BackendCapacity,
    LoadRequest,
    Refusal,
    TaskTable,
)
from lycheeslip_standins.backend_server_tasks import BackendMode, expected_answer

__all__ = ["BackendCapacity", "BackendMode", "BackendServer", "expected_answer", "main"]

MAX_ADVANCE_INTERVAL_S = 1.0
MAX_WAIT_MS = 30_000
MAX_USAGE_SAMPLES = 1_000
MAX_BODY_BYTES = 4 * 1024 * 1024

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_load_adapter = TypeAdapter(LoadRequest)
ADMIN_PREFIX = "/admin/"


class BackendServer:
    """A backend server that simulates the tasks it is given."""

    def __init__(
        self,
        address: str,
        capacity: BackendCapacity,
        mode: BackendMode = BackendMode.NORMAL,
        usage_lag_ms: int = 2_000,
    ) -> None:
        """Listen at `address` (host:port) once started; port 0 selects a free port."""
        self.address = address
        self.table = TaskTable(capacity, mode, self._notify_task_end)
        self.leaving = False
        self._usage_lag_ms = usage_lag_ms
        self._usage_samples: deque[tuple[int, int]] = deque(maxlen=MAX_USAGE_SAMPLES)
        self._open_requests = 0
        self._is_halted = False
        self._change_event = asyncio.Event()
        self._end_event_by_id: dict[str, asyncio.Event] = {}
        self._runner: web.AppRunner | None = None
        self._advance_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind the listener and start advancing tasks."""
        app = web.Application(middlewares=[self._process_request], client_max_size=MAX_BODY_BYTES)
        app.add_routes(self._routes())
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        self.address = f"{bound_host}:{bound_port}"
        self._advance_task = asyncio.create_task(self._advance_tasks())

    async def stop(self) -> None:
        """Close the listener and stop advancing tasks."""
        if self._advance_task is not None:
            self._advance_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._advance_task
        if self._runner is not None:
            await self._runner.cleanup()

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get("/v1/server", self._get_server),
            web.get("/v1/usage", self._get_usage),
            web.get("/v1/tasks", self._list_tasks),
            web.get("/v1/tasks/{id}", self._get_task),
            web.put("/v1/tasks/{id}", self._load),
            web.delete("/v1/tasks/{id}", self._forget),
            web.post("/v1/tasks/{id}/start", self._start),
            web.post("/v1/tasks/{id}/lease", self._renew),
            web.post("/v1/tasks/{id}/checkpoint", self._checkpoint),
            web.post("/v1/tasks/{id}/throttle", self._throttle),
            web.post("/v1/tasks/{id}/stop", self._stop),
            web.post("/admin/mode", self._set_mode),
            web.post("/admin/leaving", self._set_leaving),
            web.post("/admin/halt", self._halt),
            web.get("/admin/log", self._get_log),
        ]

    async def _advance_tasks(self) -> None:
        while True:
            self.table.advance()
            next_ms = self.table.next_change_ms()
            self._sample_usage()
            delay_s = MAX_ADVANCE_INTERVAL_S
            if next_ms is not None:
                delay_s = min(
                    MAX_ADVANCE_INTERVAL_S, max(0, next_ms - monotonic_ms()) / 1000 + 0.001
                )
            self._change_event.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_s):
                    await self._change_event.wait()

    async def _halt(self, request: web.Request) -> web.Response:
        """Stop all activity and return the complete event log.

        To be called before the process is killed, so that the log contains all its events.
        """
        log = await self._get_log(request)
        self._is_halted = True
        if self._advance_task is not None:
            self._advance_task.cancel()
        return log

    def _notify_task_end(self, task_id: str) -> None:
        event = self._end_event_by_id.pop(task_id, None)
        if event is not None:
            event.set()

    def _sample_usage(self) -> None:
        self._usage_samples.append((monotonic_ms(), len(self.table.busy_accelerators())))

    @web.middleware
    async def _process_request(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        if self._is_halted and not request.path.startswith(ADMIN_PREFIX):
            await asyncio.Event().wait()
        if self._open_requests >= self.table.capacity.connections:
            return web.json_response({"reason": "connections_taken"}, status=503)
        self._open_requests += 1
        try:
            return await handler(request)
        except Refusal as refusal:
            return web.json_response({"reason": refusal.reason}, status=refusal.status)
        except (ValueError, ValidationError, KeyError, TypeError) as error:
            return web.json_response({"reason": "malformed", "detail": str(error)}, status=400)
        finally:
            self._open_requests -= 1
            self._change_event.set()

    async def _get_server(self, _: web.Request) -> web.Response:
        document = {**self.table.capacity._asdict(), "leaving": self.leaving}
        return web.json_response(document)

    async def _get_usage(self, _: web.Request) -> web.Response:
        visible_until_ms = monotonic_ms() - self._usage_lag_ms
        visible_samples = [
            sample for sample in self._usage_samples if sample[0] <= visible_until_ms
        ]
        at_ms, busy = visible_samples[-1] if visible_samples else (0, 0)
        return web.json_response({"at_monotonic_ms": at_ms, "busy_accelerators": busy})

    async def _list_tasks(self, _: web.Request) -> web.Response:
        self.table.advance()
        tasks = [task.describe() for task in self.table.tasks_by_id.values()]
        return web.json_response({"tasks": tasks})

    async def _get_task(self, request: web.Request) -> web.Response:
        task = self.table.get(request.match_info["id"])
        wait_ms = min(MAX_WAIT_MS, int(request.query.get("wait_ms", "0")))
        if wait_ms > 0 and not task.state.ended:
            event = self._end_event_by_id.setdefault(task.task_id, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await event.wait()
            task = self.table.get(task.task_id)
        return web.json_response(task.describe())

    async def _load(self, request: web.Request) -> web.Response:
        body = _load_adapter.validate_python(await request.json())
        if self.leaving:
            raise Refusal(409, "leaving")
        task = self.table.load(request.match_info["id"], body)
        return web.json_response({"state": task.state})

    async def _forget(self, request: web.Request) -> web.Response:
        self.table.forget(request.match_info["id"])
        return web.json_response({})

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        not_after_ms = int(body["not_after_ms"])
        lease_ms = int(body.get("lease_not_after_ms", not_after_ms))
        task = self.table.start(request.match_info["id"], not_after_ms, lease_ms)
        return web.json_response({"state": task.state})

    async def _renew(self, request: web.Request) -> web.Response:
        body = await request.json()
        task = self.table.renew(request.match_info["id"], int(body["not_after_ms"]))
        return web.json_response({"state": task.state})

    async def _checkpoint(self, request: web.Request) -> web.Response:
        return web.json_response({"checkpoint": self.table.checkpoint(request.match_info["id"])})

    async def _throttle(self, request: web.Request) -> web.Response:
        body = await request.json()
        task = self.table.get(request.match_info["id"])
        task.throttled = bool(body["on"])
        return web.json_response({"state": task.state})

    async def _stop(self, request: web.Request) -> web.Response:
        task = self.table.stop(request.match_info["id"])
        return web.json_response({"state": task.state})

    async def _set_mode(self, request: web.Request) -> web.Response:
        self.table.mode = BackendMode((await request.json())["mode"])
        return web.json_response({"mode": self.table.mode})

    async def _set_leaving(self, request: web.Request) -> web.Response:
        self.leaving = bool((await request.json())["on"])
        return web.json_response({"leaving": self.leaving})

    async def _get_log(self, _: web.Request) -> web.Response:
        if not self._is_halted:
            self.table.advance()
        return web.json_response({"events": list(self.table.events)})


async def _serve(server: BackendServer) -> None:
    await server.start()
    log_event("backend_server_listening", address=server.address)
    await asyncio.Event().wait()


def main(
    address: Annotated[str, typer.Option(help="host:port to listen on")] = "127.0.0.1:0",
    zone: str = "zone",
    accelerators: int = 8,
    processors: int = 60,
    memory_mb: int = 250_000,
    slots: int = 8,
    mode: BackendMode = BackendMode.NORMAL,
    usage_lag_ms: int = 2_000,
) -> None:
    """Run one backend server stand-in until the process is terminated."""
    configure_logs()
    capacity = BackendCapacity(zone, accelerators, processors, memory_mb, slots)
    server: Any = BackendServer(address, capacity, mode, usage_lag_ms)
    uvloop.run(_serve(server))


if __name__ == "__main__":
    typer.run(main)
