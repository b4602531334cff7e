"""Progress of a job: its state and the state of each task that is due.

Only the functions of this module change a `JobProgress`, and they have no other side effects. The
caller writes a change to the store before it acts on it.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

import cbor2
import msgspec

from lycheeslip_common.utils.usable import UnusableValueError, parse_cbor
from lycheeslip_common.workload.fleet import EndCause, Lifetime
from lycheeslip_common.workload.jobs import JobSpec, StepSpec, find_spec_fault

__all__ = [
    "JobProgress",
    "JobState",
    "CrashEvidence",
    "EARLY_CRASH_MS",
    "HEALTHY_RUN_MS",
    "LATE_CRASH_MS",
    "MAX_CRASH_WEIGHT",
    "OpenCrash",
    "TaskKey",
    "TaskProgress",
    "apply_crash",
    "apply_end",
    "begin_runs",
    "cancel",
    "decode_progress",
    "decode_spec",
    "encode_progress",
    "encode_spec",
    "failure_counter",
    "open_occurrences",
    "settle_crash",
    "unit_members",
    "waiting_units",
]

MAX_REMEMBERED_FAILURES = 4
# A job is given up with a task after this many unexplained crashes just after its starts, this many
# of them where nothing else had just started, or after crashes of this weight at any time, with
# those just after a start that have another explanation. Users don't allow the third start after
# three workers have crashed under a task that does so when it starts.
MAX_CRASHES_AT_START = 3
MAX_CRASHES_AS_ONLY_START = 2
MAX_CRASH_WEIGHT = 10
SOON_CRASH_WEIGHT = 2  # five such crashes are the limit
LATE_CRASH_WEIGHT = 1  # a long run on a fleet where workers crash by themselves meets several
CRASHES_WORKERS = "crashes_workers"
EARLY_CRASH_MS = 250  # seen 5 to 15 ms after a start; agents notice it up to 0.2 s later
LATE_CRASH_MS = 3_000  # past this a crash says less of the start
HEALTHY_RUN_MS = 60_000  # a task that ran for this long doesn't crash the workers that start it
# A run that is listed as ended so long after its order has outlived its start: a start without an
# answer is repeated for as long as the lease lasts.
OUTLIVED_START_MS = 12_000
LISTED_ENDS = frozenset(
    {EndCause.DONE, EndCause.FAILED, EndCause.STOPPED, EndCause.LAPSED, EndCause.BROKEN}
)
TaskKey = tuple[int, int, int]
"""Occurrence, step and position of a task within its job."""


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class CrashEvidence(NamedTuple):
    """What the crash of a worker says about a run, which had begun there `since_ms` before.

    With `is_beside_start` another unit had just started there.
    """

    since_ms: int
    is_beside_start: bool

    @property
    def is_at_start(self) -> bool:
        """Whether the run had just started."""
        return self.since_ms < EARLY_CRASH_MS

    @property
    def weight(self) -> int:
        """How much the crash counts among those at any time."""
        return SOON_CRASH_WEIGHT if self.since_ms < LATE_CRASH_MS else LATE_CRASH_WEIGHT


class OpenCrash(NamedTuple):
    """The crash of a lifetime of a worker, in a run that may have caused it."""

    lifetime: Lifetime
    run: int
    is_at_start: bool
    is_only_start: bool
    weight: int


@dataclass(slots=True)
class TaskProgress:
    """State of one task; `run` is the number of its last run (0: none yet).

    `node` and `lifetime` name where that run may be in progress; `started_at_ms` is the Unix time
    at which it was ordered. `failed_run` is the last run that counts in `failures`, `failed_on` the
    workers of the latest failures. `crash_weight` sums up the crashes of workers under this task,
    since the last long run; those that have another explanation only if they came just after the
    start. `crashes_at_start` are the unexplained ones just after the start, since the
    last run that is known to have outlived it, and `crashes_as_only_start` those of these where
    nothing else had just started on the worker. `open_crashes` are yet to be explained or counted.
    The task `is_suspect` if the last crash, of any member of a gang, came just after its start;
    that was in the unit's `crashed_run`.
    """

    run: int = 0
    is_done: bool = False
    node: str = ""
    lifetime: Lifetime | None = None
    checkpoint: str = ""
    failures: int = 0
    failed_run: int = 0
    failed_on: list[str] = field(default_factory=list)
    started_at_ms: int = 0
    crash_weight: int = 0
    crashes_at_start: int = 0
    crashed_run: int = 0
    is_suspect: bool = False
    crashes_as_only_start: int = 0
    open_crashes: tuple["OpenCrash", ...] = ()

    @property
    def is_placed(self) -> bool:
        """Whether a run of the task may be in progress on a worker."""
        return self.lifetime is not None


@dataclass(slots=True)
class JobProgress:
    """Progress of one job; `tasks` holds those of the first `opened_occurrences` occurrences.

    `ended_at_ms` is Unix time, 0 while the job has not ended. `reason` says why a job has failed if
    that wasn't the number of its failed attempts. `placed_keys` are the keys of the placed tasks,
    `unsettled_keys` of those with open crashes.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    opened_occurrences: int = 0
    ended_at_ms: int = 0
    tasks: dict[TaskKey, TaskProgress] = field(default_factory=dict)
    reason: str = ""
    placed_keys: set[TaskKey] = field(default_factory=set)
    unsettled_keys: set[TaskKey] = field(default_factory=set)

    @property
    def has_ended(self) -> bool:
        """Whether the job is in a terminal state."""
        return self.state in TERMINAL_STATES

    def placed(self) -> Iterator[tuple[TaskKey, TaskProgress]]:
        """Iterate over the tasks that may have a run in progress, which may end meanwhile."""
        return ((key, self.tasks[key]) for key in sorted(self.placed_keys))

    def steps_with_tasks(self) -> list[tuple[int, StepSpec]]:
        """Return the numbers and the steps that have any task."""
        return [(number, step) for number, step in enumerate(self.spec.steps) if step.task_count]


def open_occurrences(job: JobProgress, now_ms: int) -> bool:
    """Create the tasks of all occurrences due by Unix time `now_ms`; return whether any was."""
    changed = False
    steps = job.steps_with_tasks()
    while job.opened_occurrences < job.spec.occurrence_count():
        if job.spec.due_at_ms(job.opened_occurrences) > now_ms:
            break
        for step_number, step in steps:
            for index in range(step.task_count):
                job.tasks[(job.opened_occurrences, step_number, index)] = TaskProgress()
        job.opened_occurrences += 1
        changed = True
    return changed


def unit_members(job: JobProgress, occurrence: int, step_number: int) -> list[TaskKey]:
    """Return the keys of all tasks of one step in one occurrence."""
    count = job.spec.steps[step_number].task_count
    return [(occurrence, step_number, index) for index in range(count)]


def waiting_units(job: JobProgress) -> Iterator[tuple[StepSpec, list[TaskKey]]]:
    """Iterate over the units that may start now, each a whole gang or a single task.

    Yields the step and the keys of the unit's tasks. A unit waits while an open crash would be the
    last that it is allowed.
    """
    if job.has_ended:
        return
    steps = [(number, step, frozenset(step.after)) for number, step in job.steps_with_tasks()]
    for occurrence in range(job.opened_occurrences):
        is_done_by_step: dict[int, bool] = {}
        for step_number, step, earlier_steps in steps:
            if _are_done(job, occurrence, earlier_steps, is_done_by_step):
                members = unit_members(job, occurrence, step_number)
                yield from _waiting_units_of_step(job, step, members)


def _waiting_units_of_step(
    job: JobProgress, step: StepSpec, members: list[TaskKey]
) -> Iterator[tuple[StepSpec, list[TaskKey]]]:
    if step.gang:
        tasks = [job.tasks[key] for key in members]
        if not any(task.is_done or task.is_placed or _may_be_hopeless(task) for task in tasks):
            yield step, members
        return
    for key in members:
        task = job.tasks[key]
        if not task.is_done and not task.is_placed and not _may_be_hopeless(task):
            yield step, [key]


def _are_done(
    job: JobProgress, occurrence: int, steps: Collection[int], is_done_by_step: dict[int, bool]
) -> bool:
    """Return whether all tasks of `steps` are done; what is found goes to `is_done_by_step`."""
    for number in steps:
        if number not in is_done_by_step:
            members = unit_members(job, occurrence, number)
            is_done_by_step[number] = all(job.tasks[key].is_done for key in members)
        if not is_done_by_step[number]:
            return False
    return True


def begin_runs(
    job: JobProgress,
    placement: dict[TaskKey, tuple[str, Lifetime]],
    is_gang: bool,
    now_ms: int,
) -> int:
    """Assign the tasks of `placement` to their nodes and their next run; return the highest number.

    The members of a gang share one run number and one checkpoint.
    """
    shared_run = 1 + max(job.tasks[key].run for key in placement)
    shared_checkpoint = max((job.tasks[key].checkpoint for key in placement), default="")
    for key, (node, lifetime) in placement.items():
        task = job.tasks[key]
        task.run = shared_run if is_gang else task.run + 1
        task.checkpoint = shared_checkpoint if is_gang else task.checkpoint
        task.node, task.lifetime = node, lifetime
        job.placed_keys.add(key)
        task.started_at_ms = now_ms
    job.state = JobState.ACTIVE
    return shared_run


def apply_end(
    job: JobProgress, key: TaskKey, run: int, cause: EndCause, checkpoint: str, now_ms: int
) -> bool:
    """Apply the end of a run; return whether the job changed.

    The end of any run but the last one is ignored, since that run has been superseded. A run that
    was considered lost may still be reported as done.
    """
    task = job.tasks.get(key)
    if task is None or task.run != run:
        return False
    if not task.is_placed and (cause != EndCause.DONE or task.is_done):
        return False
    worker_id = task.lifetime.worker_id if task.lifetime else ""
    if cause in LISTED_ENDS:
        _forgive_crashes(task, now_ms - task.started_at_ms)
    task.node, task.lifetime = "", None
    job.placed_keys.discard(key)
    task.checkpoint = checkpoint or task.checkpoint
    step = job.spec.steps[key[1]]
    match cause:
        case EndCause.DONE if not step.long_running:
            _mark_done(job, key, step)
        case EndCause.FAILED if not task.is_done:
            _record_failure(job, key, worker_id)
            _fail_if_exhausted(job, key, step, now_ms)
        case _:
            pass
    _complete_if_done(job, now_ms)
    return True


def apply_crash(
    job: JobProgress, key: TaskKey, run: int, evidence: CrashEvidence, at_ms: int
) -> bool:
    """Apply the end of a run whose worker crashed at `at_ms`; return whether the job changed.

    The crash stays open until `settle_crash`, unless it says nothing about the task: a task that
    lasts has to be started again however it ends, and a run that had outlived its start beside
    another that had not is not the likely cause. A long run shows that the crashes before it had
    other causes.
    """
    task, unit = job.tasks.get(key), failure_counter(job, key)
    lifetime = task.lifetime if task else None
    if not apply_end(job, key, run, EndCause.CRASHED, "", at_ms) or task is None:
        return False
    if unit.crashed_run != run:
        unit.crashed_run, unit.is_suspect = run, False
    unit.is_suspect |= evidence.is_at_start
    if not evidence.is_at_start:
        _forgive_crashes(task, max(evidence.since_ms, OUTLIVED_START_MS))
    is_other_likelier = not evidence.is_at_start and evidence.is_beside_start
    is_done = task.is_done  # as another member of its gang is
    if is_done or lifetime is None or is_other_likelier or job.spec.steps[key[1]].long_running:
        return True
    crash = OpenCrash(
        lifetime, run, evidence.is_at_start, not evidence.is_beside_start, evidence.weight
    )
    task.open_crashes = (*task.open_crashes, crash)
    job.unsettled_keys.add(key)
    return True


def settle_crash(
    job: JobProgress, key: TaskKey, crash: OpenCrash, is_explained: bool, now_ms: int
) -> None:
    """Count an open crash of a task, unless it `is_explained` by something else.

    One just after a start has its weight in any case, as chance explains one of a task that does
    crash its workers where others crash all the time.
    The job is given up with a task under which worker after worker crashes, since the next would
    crash too. A task that is done, as another member of its gang was, has caused none.
    """
    task, unit = job.tasks[key], failure_counter(job, key)
    is_explained |= task.is_done
    task.open_crashes = tuple(other for other in task.open_crashes if other != crash)
    if not task.open_crashes:
        job.unsettled_keys.discard(key)
    is_last = unit.crashed_run == crash.run
    if is_explained:
        unit.is_suspect &= not is_last
    if not task.is_done and (crash.is_at_start or not is_explained):
        task.crash_weight += crash.weight
    if crash.is_at_start and not is_explained:
        task.crashes_at_start += 1
        task.crashes_as_only_start += crash.is_only_start
        unit.is_suspect |= is_last  # though the crash of another member was explained
    is_hopeless = _is_hopeless(task.crash_weight, task.crashes_at_start, task.crashes_as_only_start)
    if is_hopeless and not job.has_ended:
        job.state, job.ended_at_ms, job.reason = JobState.FAILED, now_ms, CRASHES_WORKERS


def _forgive_crashes(task: TaskProgress, ran_ms: int) -> None:
    """Forget the crashes that a run of `ran_ms` shows to have had other causes."""
    if ran_ms >= OUTLIVED_START_MS:
        task.crashes_at_start = task.crashes_as_only_start = 0
        task.open_crashes = tuple(crash._replace(is_at_start=False) for crash in task.open_crashes)
    if ran_ms >= HEALTHY_RUN_MS:
        task.crash_weight = 0


def _is_hopeless(weight: int, at_start: int, as_only_start: int) -> bool:
    crashes_at_start = at_start >= MAX_CRASHES_AT_START
    is_sole_cause = as_only_start >= MAX_CRASHES_AS_ONLY_START
    return weight >= MAX_CRASH_WEIGHT or (crashes_at_start and is_sole_cause)


def _may_be_hopeless(task: TaskProgress) -> bool:
    """Return whether the job would be given up if all open crashes of the task were counted."""
    at_start = [crash for crash in task.open_crashes if crash.is_at_start]
    return bool(task.open_crashes) and _is_hopeless(
        task.crash_weight + sum(crash.weight for crash in task.open_crashes),
        task.crashes_at_start + len(at_start),
        task.crashes_as_only_start + sum(crash.is_only_start for crash in at_start),
    )


def _mark_done(job: JobProgress, key: TaskKey, step: StepSpec) -> None:
    """Mark a task as done; if one member of a gang is done, all members are."""
    job.tasks[key].is_done = True
    if not step.gang:
        return
    for member in unit_members(job, key[0], key[1]):
        job.tasks[member].is_done = True


def failure_counter(job: JobProgress, key: TaskKey) -> TaskProgress:
    """Return the task that counts failures and may be a suspect: for a gang, its first member."""
    return job.tasks[(key[0], key[1], 0)] if job.spec.steps[key[1]].gang else job.tasks[key]


def _record_failure(job: JobProgress, key: TaskKey, worker_id: str) -> None:
    counter = failure_counter(job, key)
    run = job.tasks[key].run
    if counter.failed_run < run:  # a run of a gang counts as one failure
        counter.failures += 1
        counter.failed_run = run
    if worker_id and worker_id not in counter.failed_on:
        counter.failed_on = [*counter.failed_on, worker_id][-MAX_REMEMBERED_FAILURES:]


def _fail_if_exhausted(job: JobProgress, key: TaskKey, step: StepSpec, now_ms: int) -> None:
    if step.long_running or job.has_ended:
        return
    if failure_counter(job, key).failures >= max(1, job.spec.attempts):
        job.state, job.ended_at_ms = JobState.FAILED, now_ms


def _complete_if_done(job: JobProgress, now_ms: int) -> None:
    if job.has_ended or job.opened_occurrences < job.spec.occurrence_count():
        return
    if all(task.is_done for task in job.tasks.values()):
        job.state, job.ended_at_ms = JobState.COMPLETED, now_ms


def cancel(job: JobProgress, now_ms: int) -> bool:
    """Cancel the job unless it has ended; return whether it changed."""
    if job.has_ended:
        return False
    job.state, job.ended_at_ms = JobState.CANCELLED, now_ms
    return True


def encode_spec(spec: JobSpec) -> bytes:
    """Return the specification as it is stored."""
    return cbor2.dumps(msgspec.to_builtins(spec))


def decode_spec(value: bytes) -> JobSpec:
    """Return the specification stored in `value`; raises ValueError if it is malformed."""
    spec: JobSpec = _convert(value, JobSpec)
    fault = find_spec_fault(spec)
    if fault:
        raise ValueError(f"not a stored job: {fault}")
    return spec


def encode_progress(job: JobProgress) -> bytes:
    """Return the progress as it is stored, without the job's specification."""
    tasks = [
        [
            *key,
            task.run,
            task.is_done,
            task.node,
            task.lifetime,
            task.checkpoint,
            task.failures,
            task.failed_run,
            task.failed_on,
            task.started_at_ms,
            *(_crash_fields(task) if _has_crashed(task) else ()),
        ]
        for key, task in job.tasks.items()
    ]
    reason = [job.reason] if job.reason else []
    return cbor2.dumps(
        msgspec.to_builtins(
            [job.state, job.opened_occurrences, job.ended_at_ms, tasks, *reason], str_keys=False
        )
    )


def _has_crashed(task: TaskProgress) -> bool:
    return bool(task.crash_weight or task.crashed_run or task.open_crashes)


def _crash_fields(task: TaskProgress) -> tuple[int, int, int, bool, int, tuple[OpenCrash, ...]]:
    return (
        task.crash_weight,
        task.crashes_at_start,
        task.crashed_run,
        task.is_suspect,
        task.crashes_as_only_start,
        task.open_crashes,
    )


class StoredTask(NamedTuple):
    """A task's key and the fields of its `TaskProgress`, as stored; the last six only if set."""

    occurrence: int
    step: int
    position: int
    run: int
    is_done: bool
    node: str
    lifetime: Lifetime | None
    checkpoint: str
    failures: int
    failed_run: int
    failed_on: list[str]
    started_at_ms: int
    crash_weight: int = 0
    crashes_at_start: int = 0
    crashed_run: int = 0
    is_suspect: bool = False
    crashes_as_only_start: int = -1
    open_crashes: tuple[OpenCrash, ...] = ()


class StoredProgress(NamedTuple):
    """The fields of a `JobProgress`, as stored; the last one only if set."""

    state: JobState
    opened_occurrences: int
    ended_at_ms: int
    tasks: list[StoredTask]
    reason: str = ""


def decode_progress(spec: JobSpec, value: bytes) -> JobProgress:
    """Return the progress stored in `value`; raises ValueError if it is malformed."""
    state, opened_occurrences, ended_at_ms, rows, reason = _convert(value, StoredProgress)
    job = JobProgress(spec, state, opened_occurrences, ended_at_ms, reason=reason)
    for row in map(_with_known_crashes, rows):
        fields: tuple[Any, ...] = row[3:]
        job.tasks[row[:3]] = TaskProgress(*fields)
    job.placed_keys.update(key for key, task in job.tasks.items() if task.is_placed)
    job.unsettled_keys.update(key for key, task in job.tasks.items() if task.open_crashes)
    if not 0 <= opened_occurrences <= spec.occurrence_count():
        raise ValueError(f"not the progress of this job: {opened_occurrences} occurrences")
    steps = job.steps_with_tasks()
    if job.tasks.keys() != {
        key
        for occurrence in range(opened_occurrences)
        for step, _ in steps
        for key in unit_members(job, occurrence, step)
    }:
        raise ValueError("not the progress of this job: its tasks are others")
    return job


def _with_known_crashes(row: StoredTask) -> StoredTask:
    """Return the row of a task; what earlier versions counted was of all members of a gang."""
    if row.crashes_as_only_start >= 0:
        return row
    return row._replace(crash_weight=0, crashes_at_start=0, crashes_as_only_start=0)


def _convert(value: bytes, kind: Any) -> Any:
    try:
        return parse_cbor(value, kind)
    except UnusableValueError as error:
        raise ValueError(f"not a stored job: {error}") from error
