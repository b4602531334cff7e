"""Data model of a planning round: workers and their free capacity, placed runs, waiting units."""

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.jobs import Demand

__all__ = [
    "ACCELERATOR_CORES",
    "NO_DEMAND",
    "Advice",
    "AdviceRequest",
    "DeclinedPreemption",
    "MAX_STARTING",
    "PlacedRun",
    "Plan",
    "Preemption",
    "StepKey",
    "URGENT_PRIORITY",
    "Unit",
    "UnitKey",
    "VictimKey",
    "WorkerCapacity",
    "cores_of",
]

StepKey = tuple[str, int, int]
"""Job, occurrence and step."""

UnitKey = tuple[str, int, int, tuple[int, ...]]
"""Job, occurrence and step, and the indexes of the unit's tasks."""

VictimKey = tuple[str, int, int, str]
"""Job, occurrence and step, and the task name ("" for a gang, which is preempted whole)."""

ACCELERATOR_CORES = 8  # weight of one accelerator in cores, for work and loss in core-seconds
URGENT_PRIORITY = 0
NO_DEMAND = Demand(0, 0, 0)
MAX_STARTING = 64  # tasks on their way to a worker; its agent starts 16 at once


def _add(a: Demand, b: Demand) -> Demand:
    return Demand(
        a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb, a.accelerators + b.accelerators
    )


def _subtract(a: Demand, b: Demand) -> Demand:
    return Demand(
        a.cpu_milli - b.cpu_milli, a.memory_mb - b.memory_mb, a.accelerators - b.accelerators
    )


def cores_of(demand: Demand) -> float:
    """Return `demand` in cores, with each accelerator as `ACCELERATOR_CORES`."""
    return demand.cpu_milli / 1_000 + demand.accelerators * ACCELERATOR_CORES


class PlacedRun(NamedTuple):
    """A run placed on a worker; `loss` is the work in core-seconds lost by stopping it.

    `delay_cost` is what it counts for, also in core-seconds, if it starts again after
    `latest_start_ms`, the Unix time by which it has to start to meet its latency objective.
    The task has been preempted `times_preempted` times before. A run that `is_lasting` goes on
    until its job is cancelled.
    `remaining_ms` is its estimated time to completion; a run that `is_protected` by a disruption
    budget is never preempted. No other unit starts beside a run that `is_isolated`, and none that
    has to start apart beside one that `has_just_started`.
    """

    job_id: str
    task: str
    run: int
    account: str
    priority: int
    demand: Demand
    loss: float
    is_stopping: bool
    step_key: StepKey
    is_gang: bool = False
    is_guaranteed: bool = False
    is_costly_to_stop: bool = False
    remaining_ms: float = float("inf")
    is_protected: bool = False
    delay_cost: float = 0.0
    latest_start_ms: float = 0.0
    is_isolated: bool = False
    times_preempted: int = 0
    is_lasting: bool = False
    has_just_started: bool = False

    @property
    def victim_key(self) -> VictimKey:
        """Key of the task or gang that is preempted as a whole."""
        return (*self.step_key, "" if self.is_gang else self.task)


@dataclass(slots=True)
class WorkerCapacity:
    """A worker's free capacity and the runs that are placed on it.

    `is_reserved` marks workers of the reserve, which units that are costly to stop avoid,
    `is_slow` those on which a run was lately seen to be slow, `is_suspect` those whose last run
    failed, and `is_exposed` those that may be among the next to leave while workers are replaced.
    `reserved` is what blocked units that wait for the runs here to end keep from other units; it
    isn't part of the free capacity. `held_by_lasting` runs is what doesn't become free by itself.
    `starting` counts the tasks that were placed here and that the worker doesn't list yet;
    `has_new_run` says whether any run has just started.
    `slowness` is in steps of a tenth, positive for workers that take longer than usual.
    """

    node: str
    lifetime: Lifetime
    service: str
    zone: str
    rack: str
    labels: frozenset[str]
    total: Demand
    free_cpu_milli: int
    free_memory_mb: int
    free_accelerators: int
    failures: int = 0
    placed_runs: list[PlacedRun] = field(default_factory=list)
    task_counts: Counter[StepKey] = field(default_factory=Counter)
    is_reserved: bool = False
    is_slow: bool = False
    is_suspect: bool = False
    is_exposed: bool = False
    reserved: Demand = NO_DEMAND
    held_by_lasting: Demand = NO_DEMAND
    starting: int = 0
    slowness: int = 0
    has_new_run: bool = False

    @property
    def has_costly_run(self) -> bool:
        """Whether any run placed here is costly to stop."""
        return any(placed_run.is_costly_to_stop for placed_run in self.placed_runs)

    def task_slots(self, unit: "Unit", freed: Demand = NO_DEMAND) -> int:
        """Return how many tasks of `unit` fit here now, at most all, if `freed` were free too."""
        if freed is NO_DEMAND and not self.fits(unit.demand):
            return 0
        free = Demand(
            self.free_cpu_milli + freed.cpu_milli,
            self.free_memory_mb + freed.memory_mb,
            self.free_accelerators + freed.accelerators,
        )
        return self._task_slots_in(unit, free)

    def task_slots_when_drained(self, unit: "Unit") -> int:
        """Return how many tasks of `unit`, at most all, would fit here beside lasting runs."""
        return self._task_slots_in(unit, _subtract(self.total, self.held_by_lasting))

    def _task_slots_in(self, unit: "Unit", free: Demand) -> int:
        if (unit.is_isolated and free != self.total) or (unit.starts_apart and self.has_new_run):
            return 0
        slots = len(unit.indexes)
        if unit.max_per_worker:
            slots = min(slots, unit.max_per_worker - self.task_counts[unit.step_key])
        for available, needed in zip(free, unit.demand, strict=True):
            if needed:
                slots = min(slots, available // needed)
            elif available < 0:
                return 0
        return max(0, slots)

    def allocate_task(self, unit: "Unit") -> None:
        """Place one task of `unit`."""
        self.claim(unit)
        self.starting += 1
        self.has_new_run = True
        self.task_counts[unit.step_key] += 1

    def claim(self, unit: "Unit") -> None:
        """Allocate the demand of one task of `unit`, or all if nothing may start beside it."""
        self.allocate(self._demand_here(unit))

    def reserve(self, unit: "Unit") -> None:
        """Claim capacity for one task of `unit`, which units that were held up may still use."""
        demand = self._demand_here(unit)
        self.allocate(demand)
        self.reserved = _add(self.reserved, demand)

    def _demand_here(self, unit: "Unit") -> Demand:
        return self.total if unit.is_isolated or unit.starts_apart else unit.demand

    def without_reservations(self) -> "WorkerCapacity":
        """Return this worker as it is for a unit that may use reserved capacity."""
        if self.reserved == NO_DEMAND:
            return self
        return replace(
            self,
            free_cpu_milli=self.free_cpu_milli + self.reserved.cpu_milli,
            free_memory_mb=self.free_memory_mb + self.reserved.memory_mb,
            free_accelerators=self.free_accelerators + self.reserved.accelerators,
            reserved=NO_DEMAND,
        )

    def add_placed_run(self, placed_run: PlacedRun) -> None:
        """Allocate the demand of a run that is placed here, or all if it is isolated."""
        if placed_run.is_isolated:
            placed_run = placed_run._replace(demand=self.total)
        self.allocate(placed_run.demand)
        if placed_run.is_lasting and not placed_run.is_stopping:
            self.held_by_lasting = _add(self.held_by_lasting, placed_run.demand)
        self.has_new_run |= placed_run.has_just_started
        self.placed_runs.append(placed_run)
        self.task_counts[placed_run.step_key] += 1

    def fits(self, demand: Demand) -> bool:
        """Return whether `demand` fits into the free capacity."""
        return (
            demand.cpu_milli <= self.free_cpu_milli
            and demand.memory_mb <= self.free_memory_mb
            and demand.accelerators <= self.free_accelerators
        )

    def allocate(self, demand: Demand) -> None:
        """Subtract `demand` from the free capacity.

        Claims, reservations and unrecorded runs may make it negative.
        """
        self.free_cpu_milli -= demand.cpu_milli
        self.free_memory_mb -= demand.memory_mb
        self.free_accelerators -= demand.accelerators


class Advice(NamedTuple):
    """Decisions of the advice service for a step: workers with a valid ticket, approved, denied."""

    ticketed: frozenset[Lifetime]
    approved: frozenset[Lifetime]
    denied: frozenset[Lifetime]


class AdviceRequest(NamedTuple):
    """The workers to ask the advice service about for one step."""

    step: StepKey
    lifetimes: tuple[Lifetime, ...]


class Unit(NamedTuple):
    """A gang or a single task that is ready to start; `work` is its size in core-seconds.

    `slack_ms` is the start delay within which it still meets its latency objective, and
    `latest_start_ms` the Unix time by which it has to start for the best result still possible.
    Started now, it frees its workers by `frees_at_ms`, Unix time too.
    `may_wait` is set while a later start would still meet the latency objective; a unit that is
    costly to stop then stays out of the reserve;
    `wait_budget_ms` is how long an urgent unit still waits for runs to end by themselves, and
    `max_loss_ratio` limits the work of others that a unit without a guarantee may cost, as a
    ratio of its own work. `advice` is None if any worker of the service may run the unit.
    `claimed_nodes` are the nodes on which an earlier round began to free capacity for it.
    A unit that `is_late` can't meet its latency objective any more.
    A unit that `is_isolated` starts only on workers without other work, one that `starts_apart`
    only where no other has just started, and no other starts beside it. With `is_last_attempt` its
    next failure fails the job. One that `prefers_fast` workers could meet its objective on a fast
    worker and might miss it on a slow one. One that `may_use_reserved` capacity has waited for long
    while most capacity was idle.
    """

    job_id: str
    occurrence: int
    step: int
    indexes: tuple[int, ...]
    account: str
    service: str
    priority: int
    waiting_since_ms: int
    demand: Demand
    label: str
    data_rack: str
    same_rack: bool
    max_per_worker: int
    avoided_workers: frozenset[str]
    is_guaranteed: bool
    is_gang: bool
    work: float = 0.0
    slack_ms: float = 0.0
    latest_start_ms: float = 0.0
    is_late: bool = False
    frees_at_ms: float = float("inf")
    is_costly_to_stop: bool = False
    saves_progress: bool = False
    may_wait: bool = False
    wait_budget_ms: float = 0.0
    max_loss_ratio: float = 1.0
    advice: Advice | None = None
    claimed_nodes: frozenset[str] = frozenset()
    is_isolated: bool = False
    starts_apart: bool = False
    is_last_attempt: bool = False
    may_use_reserved: bool = False
    prefers_fast: bool = False

    @property
    def key(self) -> UnitKey:
        """Key of the unit, the same in every round."""
        return (self.job_id, self.occurrence, self.step, self.indexes)

    @property
    def step_key(self) -> StepKey:
        """Key of the step that the unit belongs to."""
        return (self.job_id, self.occurrence, self.step)


class Preemption(NamedTuple):
    """A run to stop in order to free capacity for `unit`."""

    worker: WorkerCapacity
    placed_run: PlacedRun
    unit: Unit


class DeclinedPreemption(NamedTuple):
    """A blocked unit whose least costly preemption exceeds its limit, both in core-seconds."""

    unit: Unit
    cost: float
    max_cost: float


@dataclass(slots=True)
class Plan:
    """Decisions of a round: starts as (unit, worker of each member), stops and advice requests.

    `claims` maps each unit that waits for capacity to the nodes on which it is being freed.
    Workers are reserved for one isolated unit at a time, which `has_isolation_reserve` notes.
    `preempted` are all victims of the round, with those that are stopping or end by themselves.
    """

    starts: list[tuple[Unit, list[WorkerCapacity]]] = field(default_factory=list)
    stops: list[Preemption] = field(default_factory=list)
    blocked: list[Unit] = field(default_factory=list)
    declined: list[DeclinedPreemption] = field(default_factory=list)
    claims: dict[UnitKey, frozenset[str]] = field(default_factory=dict)
    advice_requests: list[AdviceRequest] = field(default_factory=list)
    has_isolation_reserve: bool = False
    preempted: set[VictimKey] = field(default_factory=set)
