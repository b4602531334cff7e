"""What callers submit: jobs of steps, each a number of equal tasks."""

from typing import NamedTuple

__all__ = [
    "Demand",
    "JobSpec",
    "StepSpec",
    "TaskName",
    "demand_of",
    "parse_task_name",
    "task_text",
]

TASK_NAME_PARTS = 4


class Demand(NamedTuple):
    """What one task occupies on a worker while it runs."""

    cpu_milli: int
    memory_mb: int
    accelerators: int


class StepSpec(NamedTuple):
    """One step of a job: `task_count` tasks that are alike.

    `target_ms` bounds the tail latency of tasks that serve users of their own (0: they don't);
    tasks that fill (`fills_idle`) use what these leave unused.
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
    """A whole job as it was accepted; times are Unix milliseconds."""

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

    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.occurrences)

    def due_at_ms(self, occurrence: int) -> int:
        """Return when `occurrence` may start, in Unix milliseconds (0: at once)."""
        if self.occurrences <= 0:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskName(NamedTuple):
    """Identifies a task: the job, the occurrence, the step and the index within the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    @property
    def key(self) -> tuple[int, int, int]:
        """What identifies the task within its job."""
        return (self.occurrence, self.step, self.position)

    def text(self) -> str:
        """Return the form that backend servers know."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"


def task_text(job_id: str, key: tuple[int, int, int]) -> str:
    """Return the name of a task, by its key within the job, as backend servers know it."""
    return TaskName(job_id, *key).text()


def parse_task_name(text: str) -> TaskName | None:
    """Return the task that `text` names, or None if it names none."""
    parts = text.split(".")
    if len(parts) != TASK_NAME_PARTS:
        return None
    if not all(part.isascii() and part.isdigit() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def demand_of(step: StepSpec) -> Demand:
    """Return what one task of `step` occupies; filling tasks only take memory."""
    if step.fills_idle:
        return Demand(0, step.memory_mb, step.accelerators)
    return Demand(step.cpu_milli, step.memory_mb, step.accelerators)
