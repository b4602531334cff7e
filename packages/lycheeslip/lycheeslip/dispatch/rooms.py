"""What the placement decides on: workers with their free room, runs there, and waiting units."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.jobs import Demand

__all__ = [
    "ACCELERATOR_CORES",
    "Advice",
    "AdviceRequest",
    "URGENT_PRIORITY",
    "Occupant",
    "Plan",
    "Preemption",
    "Room",
    "StepKey",
    "Unit",
    "UnitKey",
    "VictimKey",
]

StepKey = tuple[str, int, int]
"""Job, occurrence and step."""

UnitKey = tuple[str, int, int, tuple[int, ...]]
"""Job, occurrence and step, and the indexes of the unit's tasks."""

VictimKey = tuple[str, int, int, str]
"""Job, occurrence and step, and the task unless the whole step works as a gang."""

ACCELERATOR_CORES = 8  # what one accelerator counts in core-seconds of lost work
URGENT_PRIORITY = 0


class Occupant(NamedTuple):
    """A run that occupies a worker; `loss` is the work in core-seconds lost by stopping it.

    `remaining_ms` estimates when it ends by itself; one that `is_protected` by a disruption
    budget is never stopped for another.
    """

    job_id: str
    task: str
    run: int
    account: str
    priority: int
    demand: Demand
    loss: float
    is_stopping: bool
    unit: StepKey
    is_gang: bool = False
    is_guaranteed: bool = False
    is_costly_to_stop: bool = False
    remaining_ms: float = float("inf")
    is_protected: bool = False

    @property
    def unit_key(self) -> VictimKey:
        """Identifies what would give way as a whole."""
        return (*self.unit, "" if self.is_gang else self.task)


@dataclass(slots=True)
class Room:
    """One worker: what is free on it, and who occupies the rest."""

    node: str
    lifetime: Lifetime
    service: str
    zone: str
    rack: str
    labels: frozenset[str]
    total: Demand
    free_cpu: int
    free_memory: int
    free_accelerators: int
    failures: int = 0
    occupants: list[Occupant] = field(default_factory=list)
    counts: Counter[StepKey] = field(default_factory=Counter)
    is_reserved: bool = False

    @property
    def holds_costly(self) -> bool:
        """Whether a run is here that is costly to stop."""
        return any(occupant.is_costly_to_stop for occupant in self.occupants)

    def admits(self, unit: "Unit") -> bool:
        """Return whether one more task of `unit` may run here, by room and by its spread."""
        is_full = unit.max_per_worker and self.counts[unit.step_key] >= unit.max_per_worker
        return not is_full and self.fits(unit.demand)

    def add(self, unit: "Unit") -> None:
        """Occupy what one task of `unit` needs."""
        self.take(unit.demand)
        self.counts[unit.step_key] += 1

    def fits(self, demand: Demand) -> bool:
        """Return whether `demand` fits in what is free."""
        return (
            demand.cpu_milli <= self.free_cpu
            and demand.memory_mb <= self.free_memory
            and demand.accelerators <= self.free_accelerators
        )

    def take(self, demand: Demand) -> None:
        """Occupy `demand`; what is free may become negative where room is only held back."""
        self.free_cpu -= demand.cpu_milli
        self.free_memory -= demand.memory_mb
        self.free_accelerators -= demand.accelerators

    def give(self, demand: Demand) -> None:
        """Free `demand`."""
        self.take(Demand(-demand.cpu_milli, -demand.memory_mb, -demand.accelerators))

    def copy(self) -> "Room":
        """Return a room that can be tried on without changing this one."""
        return Room(
            self.node,
            self.lifetime,
            self.service,
            self.zone,
            self.rack,
            self.labels,
            self.total,
            self.free_cpu,
            self.free_memory,
            self.free_accelerators,
            self.failures,
            list(self.occupants),
            Counter(self.counts),
            self.is_reserved,
        )


class Advice(NamedTuple):
    """Which workers the advice service allows for a step, and for which a ticket is valid now."""

    ticketed: frozenset[Lifetime]
    approved: frozenset[Lifetime]
    denied: frozenset[Lifetime]


class AdviceRequest(NamedTuple):
    """Workers to ask about for one step."""

    step: StepKey
    lifetimes: tuple[Lifetime, ...]


class Unit(NamedTuple):
    """A gang or a single task that may start now; `work` is its size in core-seconds.

    `may_wait` says that it would still meet its latency objective if it started later;
    `patience_ms` is how long an urgent unit still waits for runs to end by themselves, and
    `loss_share` how much it may cost others without a guarantee, as a share of its own work.
    `advice` is None if any worker of the service may run it. `claimed` are the nodes on which an
    earlier round has begun to make room for it.
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
    is_costly_to_stop: bool = False
    may_wait: bool = False
    patience_ms: float = 0.0
    loss_share: float = 1.0
    advice: Advice | None = None
    claimed: frozenset[str] = frozenset()

    @property
    def key(self) -> UnitKey:
        """Identifies the unit from round to round."""
        return (self.job_id, self.occurrence, self.step, self.indexes)

    @property
    def step_key(self) -> StepKey:
        """Identifies the step that the unit belongs to."""
        return (self.job_id, self.occurrence, self.step)


class Preemption(NamedTuple):
    """A run to stop so that `unit` fits."""

    room: Room
    occupant: Occupant
    unit: Unit


@dataclass(slots=True)
class Plan:
    """What a round decided: starts as (unit, room of each member), runs to stop, advice to ask.

    `claims` names the nodes on which room is being made, for each unit that waits for it.
    """

    starts: list[tuple[Unit, list[Room]]] = field(default_factory=list)
    stops: list[Preemption] = field(default_factory=list)
    blocked: list[Unit] = field(default_factory=list)
    claims: dict[UnitKey, frozenset[str]] = field(default_factory=dict)
    advice_requests: list[AdviceRequest] = field(default_factory=list)
