"""Decides which waiting units start where, and which runs give way: pure functions.

A unit is a whole gang or a single task. Units are placed in order of priority and age; room is
held back for an urgent unit whose room is still being freed.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.jobs import Demand

__all__ = ["Occupant", "Plan", "Room", "Unit", "plan_round"]

StepKey = tuple[str, int, int]
"""Job, occurrence and step."""

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


class Unit(NamedTuple):
    """A gang or a single task that may start now; `work` is its size in core-seconds.

    `may_wait` says that it would still meet its latency objective if it started later;
    `patience_ms` is how long an urgent unit still waits for runs to end by themselves, and
    `loss_share` how much it may cost others without a guarantee, as a share of its own work.
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

    @property
    def step_key(self) -> StepKey:
        """Identifies the step that the unit belongs to."""
        return (self.job_id, self.occurrence, self.step)


@dataclass(slots=True)
class Plan:
    """What a round decided: starts as (unit, room of each member), and runs to stop."""

    starts: list[tuple[Unit, list[Room]]] = field(default_factory=list)
    stops: list[tuple[Room, Occupant]] = field(default_factory=list)
    blocked: list[Unit] = field(default_factory=list)


def plan_round(units: Sequence[Unit], rooms: Sequence[Room], reserve: int = 0) -> Plan:
    """Return what to start and stop; `rooms` are changed to what is then free.

    `reserve` accelerators of each service are kept for urgent units and for what can be stopped
    at little loss, as long as other units can wait.
    """
    plan = Plan()
    _mark_reserved(rooms, reserve)
    stopped: set[VictimKey] = set()
    for unit in sorted(units, key=_order):
        usable = _usable(unit, rooms)
        chosen = choose_rooms(unit, usable)
        if chosen is not None:
            for room in chosen:
                room.add(unit)
            plan.starts.append((unit, chosen))
            continue
        plan.blocked.append(unit)
        if unit.priority == URGENT_PRIORITY:
            _reclaim(unit, usable, plan, stopped)
        elif unit.is_gang:
            _hold_back(unit, usable)
    return plan


def _order(unit: Unit) -> tuple[int, int, int, str]:
    return (unit.priority, not unit.is_guaranteed, unit.waiting_since_ms, unit.job_id)


def _usable(unit: Unit, rooms: Sequence[Room]) -> list[Room]:
    """Return the rooms that `unit` may use, without workers that failed it if others are left."""
    allowed = [room for room in rooms if _may_use(unit, room)]
    untried = [room for room in allowed if room.lifetime.worker_id not in unit.avoided_workers]
    return untried or allowed


def _may_use(unit: Unit, room: Room) -> bool:
    if room.is_reserved and unit.is_costly_to_stop and unit.may_wait:
        return False
    return room.service == unit.service and (not unit.label or unit.label in room.labels)


def _mark_reserved(rooms: Sequence[Room], reserve: int) -> None:
    """Reserve the racks that are held least by runs that are costly to stop."""
    racks: dict[tuple[str, str], list[Room]] = {}
    for room in rooms:
        racks.setdefault((room.service, room.rack), []).append(room)
    reserved: Counter[str] = Counter()
    for (service, _), group in sorted(racks.items(), key=lambda item: _costly(item[1])):
        if reserved[service] >= reserve:
            continue
        for room in group:
            room.is_reserved = True
            reserved[service] += room.total.accelerators


def _costly(group: Sequence[Room]) -> tuple[float, str]:
    """Return the share of a rack's accelerators that are held by runs costly to stop."""
    total = sum(room.total.accelerators for room in group)
    held = sum(
        occupant.demand.accelerators
        for room in group
        for occupant in room.occupants
        if occupant.is_costly_to_stop
    )
    return (held / max(1, total), group[0].rack)


def choose_rooms(unit: Unit, rooms: Sequence[Room]) -> list[Room] | None:
    """Return a room for each member of `unit`, or None if they don't all fit now."""
    for group in _groups(unit, rooms):
        chosen = _pack(unit, group)
        if chosen is not None:
            return chosen
    return None


def _groups(unit: Unit, rooms: Sequence[Room]) -> Iterable[list[Room]]:
    """Yield sets of rooms to try, best first.

    Members that work together stay on one rack if any rack is large enough for them.
    """
    ranked = sorted(rooms, key=lambda room: _rank(unit, room))
    if not unit.same_rack:
        yield ranked
        return
    racks: dict[str, list[Room]] = {}
    for room in ranked:
        racks.setdefault(room.rack, []).append(room)
    yield from sorted(racks.values(), key=_free_accelerators)
    if not any(_could_hold(unit, group) for group in racks.values()):
        yield ranked


def _free_accelerators(group: Sequence[Room]) -> int:
    return sum(room.free_accelerators for room in group)


def _could_hold(unit: Unit, group: Sequence[Room]) -> bool:
    """Return whether the rooms of `group` would hold the whole unit if they were empty."""
    emptied = [room.copy() for room in group]
    for room in emptied:
        room.free_cpu, room.free_memory, room.free_accelerators = room.total
    return _pack(unit, emptied) is not None


def _rank(unit: Unit, room: Room) -> tuple[int, int, bool, bool, int, str]:
    """Prefer the data's rack and sound workers, keep the reserve, then take the tightest fit.

    Runs that are costly to stop are kept apart from the others, so that whole workers can be
    freed at little loss.
    """
    is_far = bool(unit.data_rack) and room.rack != unit.data_rack
    is_misplaced = room.is_reserved == unit.is_costly_to_stop
    is_mixed = room.holds_costly != unit.is_costly_to_stop
    return (is_far, room.failures, is_misplaced, is_mixed, room.free_accelerators, room.node)


def _pack(unit: Unit, ranked: Sequence[Room]) -> list[Room] | None:
    trial = [(room, room.copy()) for room in ranked]
    chosen: list[Room] = []
    for _ in unit.indexes:
        for room, attempt in trial:
            if not attempt.admits(unit):
                continue
            attempt.add(unit)
            chosen.append(room)
            break
        else:
            return None
    return chosen


def _reclaim(unit: Unit, usable: Sequence[Room], plan: Plan, stopped: set[VictimKey]) -> None:
    """Stop the units whose stop loses least, so that `unit` fits; hold that room back for it.

    What the victims occupy stays occupied until their ends are listed.
    """
    options = [_eviction(unit, group, stopped) for group in _groups(unit, usable)]
    found = [option for option in options if option is not None]
    if not found:
        return
    best = min(found, key=lambda option: option.loss)
    if not unit.is_guaranteed and best.loss > unit.work * unit.loss_share:
        return
    for room in best.rooms:
        room.take(unit.demand)
    for victim in best.victims:
        stopped.add(victim.key)
        for room, occupant in victim.runs:
            if not _frees_itself(unit, occupant):
                plan.stops.append((room, occupant))


class Victim(NamedTuple):
    """A unit that could give way, with those of its runs that are in the rooms considered."""

    key: VictimKey
    loss: float
    runs: tuple[tuple[Room, Occupant], ...]


class Eviction(NamedTuple):
    """A way to make room: `loss` in core-seconds of the victims' work."""

    loss: float
    rooms: list[Room]
    victims: list[Victim]


def _victims(unit: Unit, group: Sequence[Room], stopped: set[VictimKey]) -> list[Victim]:
    """Return the units that would give way to `unit`, those that lose least first.

    A gang is one unit, since the stop of one member ends all; other tasks are units each.
    """
    runs: dict[VictimKey, list[tuple[Room, Occupant]]] = {}
    for room in group:
        for occupant in room.occupants:
            key = occupant.unit_key
            if key not in stopped and _gives_way(unit, occupant):
                runs.setdefault(key, []).append((room, occupant))
    victims = [
        Victim(
            key,
            max(0.0 if _frees_itself(unit, run) else run.loss for _, run in members),
            tuple(members),
        )
        for key, members in runs.items()
    ]
    return sorted(victims, key=lambda victim: victim.loss)


def _frees_itself(unit: Unit, occupant: Occupant) -> bool:
    """Return whether a run ends soon enough for `unit` without being stopped for it."""
    return occupant.is_stopping or occupant.remaining_ms < unit.patience_ms


def _gives_way(unit: Unit, occupant: Occupant) -> bool:
    """Return whether a run may be stopped for `unit`: a guarantee outranks what is borrowed."""
    if occupant.is_protected:
        return False
    is_borrowed = unit.is_guaranteed and not occupant.is_guaranteed
    return occupant.is_stopping or occupant.priority > unit.priority or is_borrowed


def _eviction(unit: Unit, group: Sequence[Room], stopped: set[VictimKey]) -> Eviction | None:
    """Return the cheapest way found to fit `unit` into `group`, or None if there is none."""
    chosen: list[Victim] = []
    packed = None
    for victim in _victims(unit, group, stopped):
        chosen.append(victim)
        packed = _packed_without(unit, group, chosen)
        if packed is not None:
            break
    if packed is None:
        return None
    for victim in reversed(list(chosen)):
        fewer = [other for other in chosen if other is not victim]
        repacked = _packed_without(unit, group, fewer)
        if repacked is not None:
            chosen, packed = fewer, repacked
    return Eviction(sum(victim.loss for victim in chosen), packed, chosen)


def _packed_without(
    unit: Unit, group: Sequence[Room], victims: Sequence[Victim]
) -> list[Room] | None:
    """Return the rooms in which `unit` fits once the `victims` have ended."""
    by_node = {room.node: room for room in group}
    trial = {room.node: room.copy() for room in group}
    for victim in victims:
        for room, occupant in victim.runs:
            trial[room.node].give(occupant.demand)
    packed = _pack(unit, list(trial.values()))
    return None if packed is None else [by_node[room.node] for room in packed]


def _hold_back(unit: Unit, usable: Sequence[Room]) -> None:
    """Hold the emptiest rooms back for a blocked gang, so that smaller units don't starve it."""
    for group in sorted(_groups(unit, usable), key=_free_accelerators, reverse=True):
        if not _could_hold(unit, group):
            continue
        emptied = [room.copy() for room in group]
        for room in emptied:
            room.free_cpu, room.free_memory, room.free_accelerators = room.total
        chosen = _pack(unit, emptied) or []
        by_node = {room.node: room for room in group}
        for room in chosen:
            by_node[room.node].take(unit.demand)
        return
