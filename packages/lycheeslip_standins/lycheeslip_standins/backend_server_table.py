"""Task table of the backend server stand-in: slots, accelerators and event log."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from lycheeslip_common.utils.clock import monotonic_ms, wall_ms

from lycheeslip_standins.backend_server_tasks import BackendMode, Task, TaskState, parse_payload

__all__ = ["BackendCapacity", "LoadRequest", "Refusal", "TaskTable"]

MAX_LOG_EVENTS = 100_000


class BackendCapacity(NamedTuple):
    """Resources that the server offers."""

    zone: str
    accelerators: int = 8
    processors: int = 60
    memory_mb: int = 250_000
    slots: int = 8
    connections: int = 60


class LoadRequest(NamedTuple):
    """Body of `PUT /v1/tasks/{task_id}`."""

    job_id: str
    attempt: int
    member: int = 0
    members: int = 1
    accelerators: tuple[int, ...] = ()
    payload: str = ""
    checkpoint: str = ""
    hold_ms: int = 10_000
    tag: str = ""


@dataclass(frozen=True, slots=True)
class Refusal(Exception):  # noqa: N818
    """A rejected call, which changed nothing; `status` is the HTTP status of the response."""

    status: int
    reason: str


class TaskTable:
    """Tasks by id; getting or loading a task first advances all tasks to the current time."""

    def __init__(
        self,
        capacity: BackendCapacity,
        mode: BackendMode,
        on_end: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Start empty; `on_end` is called with the id of each task that ends."""
        self._on_end = on_end
        self.capacity = capacity
        self.mode = mode
        self.tasks_by_id: dict[str, Task] = {}
        self.events: deque[dict[str, object]] = deque(maxlen=MAX_LOG_EVENTS)

    def advance(self) -> None:
        """Advance all tasks to the current time."""
        now_ms = monotonic_ms()
        for task in self.tasks_by_id.values():
            if task.state.ended:
                continue
            task.advance(now_ms)
            if task.state.ended:
                self._record_end(task)

    def next_change_ms(self) -> int | None:
        """Return the monotonic time in ms of the next state change, or None if none is due."""
        times = [t.next_change_ms() for t in self.tasks_by_id.values() if not t.state.ended]
        return min(times, default=None)

    def load(self, task_id: str, request: LoadRequest) -> Task:
        """Load a task into a slot, or return it unchanged if it exists already.

        Raises `Refusal` if its slot or accelerators are not available.
        """
        if task_id in self.tasks_by_id:
            return self.tasks_by_id[task_id]
        task = Task(
            task_id=task_id,
            job_id=request.job_id,
            attempt=request.attempt,
            member=request.member,
            members=request.members,
            accelerators=request.accelerators,
            payload=request.payload,
            tag=request.tag,
            hold_until_ms=monotonic_ms() + request.hold_ms,
            work=parse_payload(request.payload),
        )
        if request.checkpoint.isdigit():
            task.progress_ms = min(int(request.checkpoint), task.work.run_ms)
        reason = self._find_refusal_reason(request)
        if reason:
            self.record("refused", task)
            raise Refusal(409, reason)
        self.tasks_by_id[task_id] = task
        self.record("prepared", task)
        return task

    def start(self, task_id: str, not_after_ms: int, lease_not_after_ms: int) -> Task:
        """Start a loaded task if both deadlines are in the future; at most once."""
        task = self.get(task_id)
        if task.state is TaskState.RUNNING:
            return task
        now_ms = monotonic_ms()
        is_late = now_ms >= min(not_after_ms, lease_not_after_ms)
        if is_late or task.state is not TaskState.LOADED:
            self.record("refused", task)
            raise Refusal(409, "too_late" if is_late else f"task_{task.state}")
        task.start(now_ms, lease_not_after_ms, self.mode)
        self.record("started", task)
        return task

    def renew(self, task_id: str, not_after_ms: int) -> Task:
        """Extend a running task's lease; an earlier deadline has no effect."""
        task = self.get(task_id)
        if task.state is not TaskState.RUNNING:
            raise Refusal(409, f"task_{task.state}")
        task.lease_until_ms = max(task.lease_until_ms, not_after_ms)
        return task

    def stop(self, task_id: str) -> Task:
        """Stop a task; a task that has ended does not change."""
        task = self.get(task_id)
        if not task.state.ended:
            task.stop(monotonic_ms())
            self._record_end(task)
        return task

    def checkpoint(self, task_id: str) -> str:
        """Return a started task's checkpoint, or "" in the mode that ignores the request."""
        task = self.get(task_id)
        if self.mode is BackendMode.IGNORES_CHECKPOINT:
            return ""
        return task.checkpoint() if task.started_at_ms else ""

    def forget(self, task_id: str) -> None:
        """Remove a task that has ended; raises `Refusal` if it has not."""
        task = self.tasks_by_id.get(task_id)
        if task is not None and not task.state.ended:
            raise Refusal(409, f"task_{task.state}")
        self.tasks_by_id.pop(task_id, None)

    def get(self, task_id: str) -> Task:
        """Return the task, advanced to the current time; raises `Refusal` if it is unknown."""
        self.advance()
        if task_id not in self.tasks_by_id:
            raise Refusal(404, "no_such_task")
        return self.tasks_by_id[task_id]

    def busy_accelerators(self) -> set[int]:
        """Return the accelerators of all tasks that have not ended."""
        live = [task for task in self.tasks_by_id.values() if not task.state.ended]
        return {index for task in live for index in task.accelerators}

    def record(self, event: str, task: Task) -> None:
        """Append `event` of `task` to the event log."""
        self.events.append(
            {
                "event": str(event),
                "task_id": task.task_id,
                "job_id": task.job_id,
                "attempt": task.attempt,
                "member": task.member,
                "members": task.members,
                "accelerators": list(task.accelerators),
                "zone": self.capacity.zone,
                "wall_ms": wall_ms(),
                "monotonic_ms": monotonic_ms(),
            }
        )

    def _record_end(self, task: Task) -> None:
        self.record(task.state, task)
        self._on_end(task.task_id)

    def _find_refusal_reason(self, request: LoadRequest) -> str:
        self.advance()
        live = sum(1 for task in self.tasks_by_id.values() if not task.state.ended)
        if live >= self.capacity.slots:
            return "slots_taken"
        if any(not 0 <= index < self.capacity.accelerators for index in request.accelerators):
            return "no_such_accelerator"
        if self.busy_accelerators() & set(request.accelerators):
            return "accelerators_taken"
        return ""
