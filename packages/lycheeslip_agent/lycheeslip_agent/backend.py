"""Client of the backend server on the same instance; see docs/reference/backend-server.md."""

import base64
from dataclasses import dataclass
from hashlib import sha256
from typing import Any, NamedTuple

import aiohttp
from lycheeslip_common.structure.jobs import MAX_ANSWER_BYTES
from lycheeslip_common.utils.usable import UnusableValueError, check_numbers, parse_json
from pydantic import TypeAdapter, ValidationError

__all__ = ["BackendClient", "BackendError", "ServerDocument", "TaskDocument", "TaskLoad"]

CALL_TIMEOUT_S = 5.0
REFUSED = "connection_refused"
HEALTH_TIMEOUT_S = 1.0
WATCH_MS = 20_000
MAX_CONNECTIONS = 40


@dataclass(frozen=True, slots=True)
class BackendError(Exception):
    """A failed call; `status` is 0 without an answer, in which case it may have taken effect."""

    status: int
    reason: str

    @property
    def is_refused(self) -> bool:
        """Return whether nothing listens at the address, which means that all tasks have ended."""
        return self.reason == REFUSED


class ServerDocument(NamedTuple):
    """The capacity of the backend server, and whether it is leaving."""

    accelerators: int
    processors: int
    memory_mb: int
    slots: int
    leaving: bool = False


class TaskLoad(NamedTuple):
    """Body of the request that loads a task; unless started within `hold_ms`, it is stopped."""

    job_id: str
    attempt: int
    member: int
    members: int
    accelerators: tuple[int, ...]
    payload: str
    checkpoint: str
    hold_ms: int
    tag: str


class TaskDocument(NamedTuple):
    """A task at the backend server; `result` is base64."""

    task_id: str
    state: str
    started: bool
    lease_until_ms: int
    ran_ms: int
    tag: str
    result: str
    digest: str

    @property
    def ended(self) -> bool:
        """Return whether the task has ended."""
        return self.state not in ("loaded", "running")

    def answer(self) -> bytes:
        """Return the decoded result; raises ValueError for one that is not base64."""
        return base64.b64decode(self.result, validate=True)

    def answer_fault(self) -> str:
        """Return the fault in the result of a finished task, or ""."""
        try:
            answer = self.answer()
        except ValueError:
            return "malformed_answer"
        if sha256(answer).hexdigest() != self.digest:
            return "damaged_answer"
        return "answer_too_large" if len(answer) > MAX_ANSWER_BYTES else ""


_server_adapter = TypeAdapter(ServerDocument)
_task_adapter = TypeAdapter(TaskDocument)


class BackendClient:
    """Calls the backend server; every call raises BackendError if it fails."""

    def __init__(self, address: str) -> None:
        """Create a client of `address` (host:port); call `open` before any other method."""
        self._base = f"http://{address}"
        self._http: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pool."""
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        self._http = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        """Close the connection pool."""
        if self._http is not None:
            await self._http.close()

    async def server(self) -> ServerDocument:
        """Return the server's capacity and whether it is leaving."""
        return _server(await self._call("GET", "/v1/server", timeout_s=HEALTH_TIMEOUT_S))

    async def tasks(self) -> tuple[TaskDocument, ...]:
        """Return all tasks at the server."""
        document = await self._call("GET", "/v1/tasks")
        return tuple(_task(task) for task in document.get("tasks", ()))

    async def load(self, task_id: str, load: TaskLoad) -> None:
        """Load a task without starting it."""
        await self._call("PUT", f"/v1/tasks/{task_id}", load._asdict())

    async def start(self, task_id: str, not_after_ms: int, lease_not_after_ms: int) -> None:
        """Start a loaded task, unless the machine's monotonic clock has passed a deadline."""
        body = {"not_after_ms": not_after_ms, "lease_not_after_ms": lease_not_after_ms}
        await self._call("POST", f"/v1/tasks/{task_id}/start", body)

    async def renew(self, task_id: str, not_after_ms: int, timeout_s: float) -> None:
        """Renew the task's lease until `not_after_ms`."""
        body = {"not_after_ms": not_after_ms}
        await self._call("POST", f"/v1/tasks/{task_id}/lease", body, timeout_s)

    async def checkpoint(self, task_id: str) -> str:
        """Take and return a checkpoint of the task, or "" if none could be taken."""
        document = await self._call("POST", f"/v1/tasks/{task_id}/checkpoint")
        return str(document.get("checkpoint", ""))

    async def throttle(self, task_id: str, throttled: bool) -> None:
        """Throttle the task, or restore its full speed."""
        await self._call("POST", f"/v1/tasks/{task_id}/throttle", {"on": throttled})

    async def stop(self, task_id: str) -> None:
        """Stop the task."""
        await self._call("POST", f"/v1/tasks/{task_id}/stop")

    async def forget(self, task_id: str) -> None:
        """Delete an ended task and its result."""
        await self._call("DELETE", f"/v1/tasks/{task_id}")

    async def watch(self, task_id: str) -> TaskDocument:
        """Return the task when it ends, or its state after WATCH_MS."""
        path = f"/v1/tasks/{task_id}?wait_ms={WATCH_MS}"
        return _task(await self._call("GET", path, timeout_s=WATCH_MS / 1000 + CALL_TIMEOUT_S))

    async def task(self, task_id: str) -> TaskDocument:
        """Return the current state of the task."""
        return _task(await self._call("GET", f"/v1/tasks/{task_id}"))

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> dict[str, Any]:
        if self._http is None:
            raise BackendError(0, "closed")
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._http.request(
                method, self._base + path, json=body, timeout=timeout
            ) as response:
                document = await response.json(loads=parse_json)
        except aiohttp.ClientConnectorError as error:
            raise BackendError(0, REFUSED) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise BackendError(0, f"no_answer: {error}") from error
        if not isinstance(document, dict):
            raise BackendError(response.status, "malformed")
        if response.status >= 400:
            raise BackendError(response.status, str(document.get("reason", "")))
        return document


def _server(document: dict[str, Any]) -> ServerDocument:
    return _validate(_server_adapter, ServerDocument._fields, document)


def _task(document: dict[str, Any]) -> TaskDocument:
    return _validate(_task_adapter, TaskDocument._fields, document)


def _validate(adapter: TypeAdapter, fields: tuple[str, ...], document: dict[str, Any]) -> Any:
    try:
        check_numbers(document)
        return adapter.validate_python({name: document.get(name) for name in fields})
    except (UnusableValueError, ValidationError) as error:
        raise BackendError(0, "malformed") from error
