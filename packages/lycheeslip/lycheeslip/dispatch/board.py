"""The entry's blackboard: what its controllers know of the operator, the leader and the jobs."""

import asyncio
from dataclasses import dataclass, field
from typing import NamedTuple

from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.counters import Counters
from lycheeslip_common.workload.fleet import Lifetime, WorkerReport
from lycheeslip_common.workload.jobs import parse_task_name
from lycheeslip_common.workload.link import Link
from lycheeslip_common.workload.operator import OperatorConfig
from lycheeslip_common.workload.progress import JobProgress, JobState, TaskKey, TaskProgress
from lycheeslip_common.workload.times import DispatchTimes

from lycheeslip.dispatch.rooms import StepKey

__all__ = [
    "Board",
    "FoundTask",
    "Leadership",
    "StepAdvice",
    "StoredJob",
    "Ticket",
    "WorkerView",
]


@dataclass(slots=True)
class Leadership:
    """The entry's term as leader; the revision of the leader's key is its epoch.

    `predecessor_until_ms` is when the lease of the leader before is certainly over.
    """

    epoch: int
    lease_id: int
    valid_until_ms: int
    predecessor_until_ms: int


@dataclass(slots=True)
class WorkerView:
    """What the leader believes about one node's worker.

    `lost_life_at_ms` is when a life of the worker was last seen to be over, 0 if none was.
    """

    node: str
    report: WorkerReport
    heard_at_ms: int
    link: Link | None
    failures: int = 0
    blamed_at_ms: int = 0
    avoided_until_ms: int = 0
    lost_life_at_ms: int = 0

    @property
    def lifetime(self) -> Lifetime | None:
        """The life of the worker that runs now, if any."""
        return self.report.lifetime


@dataclass(slots=True)
class StoredJob:
    """A job with the store revision of its progress record (0: none yet).

    `recorded_state` is the state in that record, which alone is shown to callers;
    `known_at_ms` is when this leader learned of the job, on its steady clock.
    """

    progress: JobProgress
    revision: int
    recorded_state: JobState
    known_at_ms: int
    is_dirty: bool = False
    is_being_written: bool = False
    has_newer_checkpoint: bool = False
    stopping: set[tuple[str, int]] = field(default_factory=set)


class Ticket(NamedTuple):
    """Allows the tasks of one step on one worker until a time on the steady clock."""

    text: str
    valid_until_ms: int


@dataclass(slots=True)
class StepAdvice:
    """What is known of one step; which workers may run it never changes."""

    tickets: dict[Lifetime, Ticket] = field(default_factory=dict)
    denied: set[Lifetime] = field(default_factory=set)


class FoundTask(NamedTuple):
    """A task by its name: the job, and the task's key and state if the job has it."""

    job_id: str
    job: StoredJob
    key: TaskKey

    @property
    def task(self) -> TaskProgress | None:
        """The task's progress; None for a task that the job does not have (yet)."""
        return self.job.progress.tasks.get(self.key)


class Board:
    """State shared by the controllers of one entry."""

    def __init__(self, node: str, zone: str, address: str, times: DispatchTimes) -> None:
        """Start with nothing known."""
        self.node = node
        self.zone = zone
        self.address = address
        self.times = times
        self.counters = Counters()
        self.config: OperatorConfig | None = None
        self.evacuated_zones: set[str] = set()
        self.config_item: KeyValue | None = None
        self.confirmed_at_ms = 0
        self.store_heard_at_ms = 0
        self.leadership: Leadership | None = None
        self.leader_address = ""
        self.leader_epoch = 0
        self.jobs: dict[str, StoredJob] = {}
        self.workers: dict[str, WorkerView] = {}
        self.advice: dict[StepKey, StepAdvice] = {}
        self.is_loaded = False
        self.is_leaving = False
        self.work_to_plan = asyncio.Event()

    def find_task(self, text: str) -> FoundTask | None:
        """Return the task that `text` names, or None if its job is not known."""
        name = parse_task_name(text)
        job = self.jobs.get(name.job_id) if name else None
        if name is None or job is None or name.step >= len(job.progress.spec.steps):
            return None
        return FoundTask(name.job_id, job, name.key)

    @property
    def is_leader(self) -> bool:
        """Whether this entry leads, as far as it knows without asking the store."""
        return self.leadership is not None

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here: the store answers, so jobs can be accepted."""
        if self.config is None or self.is_leaving:
            return False
        return steady_ms() - self.store_heard_at_ms <= self.times.config_valid_ms

    @property
    def config_age_ms(self) -> int:
        """How long ago the store last confirmed that the configuration is the newest."""
        return steady_ms() - self.confirmed_at_ms
