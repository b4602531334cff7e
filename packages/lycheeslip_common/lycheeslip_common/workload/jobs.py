"""Specification of jobs: a job has steps, and a step has a number of identical tasks."""

from typing import NamedTuple

from lycheeslip_common.utils.usable import parse_digits

__all__ = [
    "Demand",
    "JobSpec",
    "MAX_TASKS",
    "StepSpec",
    "TaskName",
    "demand_of",
    "parse_task_name",
    "find_spec_fault",
    "format_task_name",
]

TASK_NAME_PARTS = 4
MAX_TASKS = 10_000  # over all steps and occurrences; keeps a job's record below 1 MB


class Demand(NamedTuple):
    """Resources that one running task occupies on a worker."""

    cpu_milli: int
    memory_mb: int
    accelerators: int


class StepSpec(NamedTuple):
    """One step of a job: `task_count` identical tasks.

    `target_ms` is the tail latency objective of tasks that serve requests, 0 for all others. Tasks
    with `fills_idle` are best effort: they use processor time that serving tasks leave idle.
    `after` lists the steps that must be done first. The tasks of a `gang` run all at once or not at
    all.
    """

    task_count: int
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    checkpointing: bool = False
    long_running: bool = False
    fills_idle: bool = False
    max_unavailable: int = 0
    target_ms: int = 0


class JobSpec(NamedTuple):
    """A job as it was accepted; `accepted_at_ms` and `first_due_ms` are Unix milliseconds.

    `queue`, `host` and `prefix` are the name and the URL that its queue had then; records of
    earlier versions have no URL.
    """

    job_id: str
    queue: str
    account: str
    service: str
    priority: int
    attempts: int
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_at_ms: int
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0
    host: str = ""
    prefix: str = ""

    def occurrence_count(self) -> int:
        """Return how many times the steps run: at least once."""
        return max(1, self.occurrences)

    def due_at_ms(self, occurrence: int) -> int:
        """Return the earliest start of `occurrence` in Unix milliseconds (0: immediately)."""
        if self.occurrences <= 0:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskName(NamedTuple):
    """Identifies a task by job, occurrence, step and position within the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    @property
    def key(self) -> tuple[int, int, int]:
        """The key of the task within its job."""
        return (self.occurrence, self.step, self.position)

    def text(self) -> str:
        """Return the name that backend servers use."""
        return format_task_name(self.job_id, self.key)


def format_task_name(job_id: str, key: tuple[int, int, int]) -> str:
    """Return the name that backend servers use for the task with `key` in the job."""
    return f"{job_id}.{key[0]}.{key[1]}.{key[2]}"


def parse_task_name(text: str) -> TaskName | None:
    """Parse the name of a task; returns None if `text` is malformed."""
    parts = text.split(".")
    if len(parts) != TASK_NAME_PARTS:
        return None
    occurrence, step, position = (parse_digits(part) for part in parts[1:])
    if occurrence is None or step is None or position is None:
        return None
    return TaskName(parts[0], occurrence, step, position)


def find_spec_fault(spec: JobSpec) -> str:
    """Return what makes it impossible to run `spec`, "" if nothing does."""
    for number, step in enumerate(spec.steps):
        if not all(0 <= earlier < number for earlier in step.after):
            return f"step {number} is after a step that isn't earlier"
        if min(step.task_count, step.cpu_milli, step.memory_mb, step.accelerators) < 0:
            return f"step {number} has a negative amount"
    tasks = sum(step.task_count for step in spec.steps) * spec.occurrence_count()
    return "" if 0 < tasks <= MAX_TASKS else f"{tasks} tasks are not between 1 and {MAX_TASKS}"


def demand_of(step: StepSpec) -> Demand:
    """Return the demand of one task of `step`.

    Best-effort tasks (`fills_idle`) reserve no processor time, only memory and accelerators.
    """
    if step.fills_idle:
        return Demand(0, step.memory_mb, step.accelerators)
    return Demand(step.cpu_milli, step.memory_mb, step.accelerators)
