"""Simulated tasks of the backend server stand-in; callers pass in the current time."""

import base64
import json
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import sha256
from typing import NamedTuple

__all__ = ["BackendMode", "SimulatedWork", "Task", "TaskState", "expected_answer", "parse_payload"]

DEFAULT_RUN_MS = 50
THROTTLED_SPEED = 0.5
SLOW_SPEED = 0.25


class BackendMode(StrEnum):
    """Faulty behaviour of a backend server stand-in."""

    NORMAL = "normal"
    FAILS_ALL = "fails_all"
    IGNORES_CHECKPOINT = "ignores_checkpoint"
    SLOW = "slow"


class TaskState(StrEnum):
    """State of a task; the last four are final."""

    LOADED = "loaded"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"

    @property
    def ended(self) -> bool:
        """Return whether the state is final."""
        return self not in (TaskState.LOADED, TaskState.RUNNING)


class SimulatedWork(NamedTuple):
    """Work that a payload describes; a negative `answer_bytes` requests an empty answer."""

    run_ms: int = DEFAULT_RUN_MS
    answer_bytes: int = 0
    seed: int = 0
    fail: bool = False
    checkpoint_every_ms: int = 1


def parse_payload(payload: str) -> SimulatedWork:
    """Return the work that a JSON payload describes, or the default work for any other text."""
    try:
        fields = json.loads(payload)
        known = {name: fields[name] for name in SimulatedWork._fields if name in fields}
        return SimulatedWork(**known)
    except (ValueError, TypeError):
        return SimulatedWork()


def expected_answer(payload: str) -> bytes:
    """Return the answer of a task with `payload`; it depends on nothing else."""
    work = parse_payload(payload)
    seed = sha256(f"{work.seed}\0{payload}".encode()).hexdigest().encode()
    if work.answer_bytes < 0:
        return b""
    if work.answer_bytes == 0:
        return seed
    repeats = work.answer_bytes // len(seed) + 1
    return (seed * repeats)[: work.answer_bytes]


@dataclass(slots=True)
class Task:
    """One task; the deadlines of its lease and hold are in ms of the monotonic clock."""

    task_id: str
    job_id: str
    attempt: int
    member: int
    members: int
    accelerators: tuple[int, ...]
    payload: str
    tag: str
    hold_until_ms: int
    progress_ms: float = 0.0
    state: TaskState = TaskState.LOADED
    lease_until_ms: int = 0
    started_at_ms: int = 0
    ended_at_ms: int = 0
    advanced_at_ms: int = 0
    throttled: bool = False
    speed: float = 1.0
    fails: bool = False
    work: SimulatedWork = field(default_factory=SimulatedWork)

    def start(self, now_ms: int, lease_until_ms: int, mode: BackendMode) -> None:
        """Start running under a lease."""
        self.state = TaskState.RUNNING
        self.started_at_ms = self.advanced_at_ms = now_ms
        self.lease_until_ms = lease_until_ms
        self.fails = self.work.fail or mode is BackendMode.FAILS_ALL
        self.speed = SLOW_SPEED if mode is BackendMode.SLOW else 1.0
        if mode is BackendMode.FAILS_ALL:
            self.progress_ms = self.work.run_ms

    def advance(self, now_ms: int) -> None:
        """Advance to `now_ms`.

        A running task ends with its lease or its work, whichever is earlier. A task that was not
        started ends with its hold.
        """
        if self.state is TaskState.LOADED and now_ms >= self.hold_until_ms:
            self._end(TaskState.STOPPED, self.hold_until_ms)
        if self.state is not TaskState.RUNNING:
            return
        until_ms = min(now_ms, self.lease_until_ms)
        speed = self.speed * (THROTTLED_SPEED if self.throttled else 1.0)
        needed_ms = (self.work.run_ms - self.progress_ms) / speed
        if self.advanced_at_ms + needed_ms <= until_ms:
            self.progress_ms = self.work.run_ms
            ended_at_ms = int(self.advanced_at_ms + max(0.0, needed_ms))
            self._end(TaskState.FAILED if self.fails else TaskState.FINISHED, ended_at_ms)
            return
        self.progress_ms += max(0, until_ms - self.advanced_at_ms) * speed
        self.advanced_at_ms = max(self.advanced_at_ms, until_ms)
        if now_ms >= self.lease_until_ms:
            self._end(TaskState.LAPSED, self.lease_until_ms)

    def next_change_ms(self) -> int:
        """Return the time at which the state of a task that has not ended changes next."""
        if self.state is TaskState.LOADED:
            return self.hold_until_ms
        speed = self.speed * (THROTTLED_SPEED if self.throttled else 1.0)
        done_at_ms = self.advanced_at_ms + (self.work.run_ms - self.progress_ms) / speed
        return min(self.lease_until_ms, int(done_at_ms) + 1)

    def stop(self, now_ms: int) -> None:
        """Stop the task without an answer; a task that has ended does not change."""
        if not self.state.ended:
            self._end(TaskState.STOPPED, now_ms)

    def checkpoint(self) -> str:
        """Return the progress from which a later attempt can resume."""
        every_ms = max(1, self.work.checkpoint_every_ms)
        return str(int(self.progress_ms) // every_ms * every_ms)

    def describe(self) -> dict[str, object]:
        """Return the JSON document of the task."""
        answer = expected_answer(self.payload) if self.state is TaskState.FINISHED else b""
        end_ms = self.ended_at_ms or self.advanced_at_ms
        return {
            "task_id": self.task_id,
            "job_id": self.job_id,
            "attempt": self.attempt,
            "member": self.member,
            "members": self.members,
            "accelerators": list(self.accelerators),
            "tag": self.tag,
            "state": self.state,
            "started": self.started_at_ms > 0,
            "lease_until_ms": self.lease_until_ms,
            "progress": int(self.progress_ms),
            "ran_ms": max(0, end_ms - self.started_at_ms) if self.started_at_ms else 0,
            "result": base64.b64encode(answer).decode(),
            "digest": sha256(answer).hexdigest() if self.state is TaskState.FINISHED else "",
        }

    def _end(self, state: TaskState, at_ms: int) -> None:
        self.state = state
        self.ended_at_ms = at_ms
