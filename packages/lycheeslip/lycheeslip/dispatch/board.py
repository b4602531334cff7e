"""Shared state of an entry's dispatch: configuration, leadership, jobs and workers."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.counters import Counters
from lycheeslip_common.workload.fleet import Lifetime, WorkerReport
from lycheeslip_common.workload.jobs import JobSpec, format_task_name, parse_task_name
from lycheeslip_common.workload.link import Link
from lycheeslip_common.workload.operator import OperatorConfig, Queue
from lycheeslip_common.workload.progress import JobProgress, JobState, TaskKey, TaskProgress
from lycheeslip_common.workload.times import DispatchTimes

from lycheeslip.dispatch.calls import Shown
from lycheeslip.dispatch.crash_log import CrashLog
from lycheeslip.dispatch.departures import Departures
from lycheeslip.dispatch.entry_directory import EntryDirectory
from lycheeslip.dispatch.job_queues import JobQueues
from lycheeslip.dispatch.losses import LossCause
from lycheeslip.dispatch.placement_model import StepKey
from lycheeslip.dispatch.run_time_history import History, StepSample
from lycheeslip.dispatch.run_times import RunTimes

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
    """The entry's term as leader; the revision of the leader key is its epoch.

    `predecessor_until_ms` is when the previous leader's lease has certainly expired.
    """

    epoch: int
    lease_id: int
    valid_until_ms: int
    predecessor_until_ms: int


@dataclass(slots=True)
class WorkerView:
    """The leader's view of one node's worker.

    `failures` counts its recent failed runs, and `failed_units` holds when which unit failed here
    last; it gets no new runs before `backoff_until_ms`.
    `lost_lifetime_at_ms` is when a lifetime of the worker was last found to have ended (0: never).
    It counts as slow until `slow_until_ms`, and `has_given_notice` once the lifetime that ran here
    last has announced that it leaves.
    """

    node: str
    report: WorkerReport
    heard_at_ms: int
    link: Link | None
    failures: int = 0
    last_failure_at_ms: int = 0
    failed_units: dict[tuple[str, int, int, int], int] = field(default_factory=dict)
    backoff_until_ms: int = 0
    lost_lifetime_at_ms: int = 0
    slow_until_ms: int = 0
    has_given_notice: bool = False

    @property
    def lifetime(self) -> Lifetime | None:
        """The current lifetime of the worker, None if it is not running."""
        return self.report.lifetime


@dataclass(slots=True)
class StoredJob:
    """A job with the store revision of its progress record (0: none yet).

    `recorded_state` is the state in that record, the only one returned to callers;
    `loaded_at_ms` is when this leader loaded the job, on its steady clock, `age_at_load_ms` after
    its acceptance. `ready_at_ms` is since when this leader knows that a step may start, by
    occurrence and step. `stopping` is why each run is being stopped, by task name and run number.
    `run_times` are those that workers' reports show; `relocations` counts
    the runs of a task that were stopped to start again elsewhere, and `preemptions` those that were
    stopped for other work, both by a gang's first task. `failed_in_run` are the ids of
    the workers on which a unit's run has failed, by the unit's first task and the run number.
    `unit_ended_at_ms` is when a run of each unit ended last, by the unit's first task, on this
    leader's steady clock.
    `step_samples` are the samples taken of its steps, and `estimates` their estimated run times
    with the version of the history, both by step number.
    """

    progress: JobProgress
    revision: int
    recorded_state: JobState
    loaded_at_ms: int
    age_at_load_ms: int = 0
    is_dirty: bool = False
    is_being_written: bool = False
    has_newer_checkpoint: bool = False
    stopping: dict[tuple[str, int], LossCause] = field(default_factory=dict)
    ready_at_ms: dict[tuple[int, int], int] = field(default_factory=dict)
    run_times: RunTimes = field(default_factory=RunTimes)
    relocations: Counter[TaskKey] = field(default_factory=Counter)
    preemptions: Counter[TaskKey] = field(default_factory=Counter)
    failed_in_run: dict[tuple[TaskKey, int], set[str]] = field(default_factory=dict)
    unit_ended_at_ms: dict[TaskKey, int] = field(default_factory=dict)
    step_samples: dict[int, StepSample] = field(default_factory=dict)
    estimates: dict[int, tuple[int, float]] = field(default_factory=dict)

    def task_name(self, key: TaskKey) -> str:
        """Return the name of a task as workers know it."""
        return format_task_name(self.progress.spec.job_id, key)

    @property
    def shown(self) -> Shown:
        """What callers may be told of the job: its recorded state."""
        has_failed = self.recorded_state == JobState.FAILED
        return Shown(self.recorded_state.value, self.progress.reason if has_failed else "")


class Ticket(NamedTuple):
    """Permits the tasks of one step on one worker until a time on the steady clock."""

    text: str
    valid_until_ms: int


@dataclass(slots=True)
class StepAdvice:
    """The advice service's decisions for one step; a worker's approval never changes."""

    tickets: dict[Lifetime, Ticket] = field(default_factory=dict)
    denied: set[Lifetime] = field(default_factory=set)


class FoundTask(NamedTuple):
    """The job and the key of a task looked up by name."""

    job_id: str
    job: StoredJob
    key: TaskKey

    @property
    def unit_key(self) -> tuple[str, int, int, int]:
        """Key that the members of a gang share and that differs between other tasks."""
        is_gang = self.job.progress.spec.steps[self.key[1]].gang
        occurrence, step, index = self.key
        return (self.job_id, occurrence, step, 0 if is_gang else index)

    @property
    def unit_prefix(self) -> str:
        """What the names of the unit's tasks begin with, each followed by a dot."""
        name = format_task_name(self.job_id, self.key)
        is_gang = self.job.progress.spec.steps[self.key[1]].gang
        return f"{name.rpartition('.')[0]}." if is_gang else f"{name}."

    @property
    def counter_key(self) -> TaskKey:
        """Key of the task that counts the failures of this one's unit: a gang's first member."""
        is_gang = self.job.progress.spec.steps[self.key[1]].gang
        return (*self.key[:2], 0) if is_gang else self.key

    @property
    def task(self) -> TaskProgress | None:
        """The task's progress; None if the job has no such task (yet)."""
        return self.job.progress.tasks.get(self.key)


class Board:
    """Blackboard on which the dispatch controllers of one entry share their state."""

    def __init__(
        self,
        node: str,
        zone: str,
        address: str,
        times: DispatchTimes,
        seeds: Sequence[str] = (),
    ) -> None:
        """Start without configuration, leader, jobs and workers; `seeds` are entry addresses.

        `campaign_delay_ms` is how long this entry leaves a free term to others.
        `lease_extended_at_ms` is when this leader last extended the lease of an agent, by node; an
        agent gets its lease extended before it has reported its worker.
        """
        self.node = node
        self.zone = zone
        self.address = address
        self.times = times
        self.counters = Counters()
        self.config: OperatorConfig | None = None
        self.evacuated_zones: set[str] = set()
        self.config_item: KeyValue | None = None
        self._job_queues = JobQueues(None)
        self.confirmed_at_ms = 0
        self.store_answered_at_ms = 0
        self.is_store_lost = False
        self.entries = EntryDirectory(seeds)
        self.campaign_delay_ms = 0
        self.leadership: Leadership | None = None
        self.leader_address = ""
        self.leader_epoch = 0
        self.jobs: dict[str, StoredJob] = {}
        self.workers: dict[str, WorkerView] = {}
        self.crash_log = CrashLog()
        self.history = History()
        self.lease_extended_at_ms: dict[str, int] = {}
        self.departures_by_service: dict[str, Departures] = {}
        self.advice: dict[StepKey, StepAdvice] = {}
        self.is_loaded = False
        self.is_view_complete = True
        self.is_leaving = False
        self.planning_needed = asyncio.Event()

    def find_task(self, task_name: str) -> FoundTask | None:
        """Return the task named `task_name`, or None if its job is not loaded."""
        name = parse_task_name(task_name)
        job = self.jobs.get(name.job_id) if name else None
        if name is None or job is None or name.step >= len(job.progress.spec.steps):
            return None
        return FoundTask(name.job_id, job, name.key)

    def queue_of(self, spec: JobSpec) -> Queue | None:
        """Return the queue that an accepted job belongs to now, None if that was removed."""
        if self._job_queues.config is not self.config:
            self._job_queues = JobQueues(self.config)
        return self._job_queues.queue_of(spec)

    def service_of(self, spec: JobSpec) -> str:
        """Return the service that runs a job: that of its acceptance if its queue was removed.

        A queue that has replaced it may be sent to another service, which the job is not for.
        """
        queue = self.queue_of(spec)
        return queue.service if queue is not None and queue.name == spec.queue else spec.service

    def remaining_run_times(self) -> dict[tuple[str, int], float]:
        """Return the time in ms until each run is done that is measured, by task and run."""
        now_ms = steady_ms()
        return {
            (run.task, run.run): max(0, run.remaining_ms - (now_ms - view.heard_at_ms))
            for view in self.workers.values()
            if view.link is not None
            for run in view.report.running
            if run.remaining_ms >= 0
        }

    @property
    def is_leader(self) -> bool:
        """Whether this entry leads by its local state, without a read from the store."""
        return self.leadership is not None

    @property
    def holds_lease(self) -> bool:
        """Whether the lease of this entry's term has not run out, as it may during a pause."""
        return self.leadership is not None and steady_ms() < self.leadership.valid_until_ms

    @property
    def is_ready(self) -> bool:
        """Whether this entry should get callers: the store answers, so it can accept jobs."""
        if self.config is None or self.is_leaving:
            return False
        return steady_ms() - self.store_answered_at_ms <= self.times.config_valid_ms

    @property
    def config_age_ms(self) -> int:
        """Milliseconds since the store last confirmed that the configuration is current."""
        return steady_ms() - self.confirmed_at_ms
