"""Seeded workloads for the load tool: a working day of hours compressed to seconds."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

__all__ = [
    "ACCOUNTS",
    "BadWorker",
    "Event",
    "LoadJob",
    "QuietTime",
    "StoreOutage",
    "WORKLOADS",
    "Workload",
    "ZoneOut",
    "build_workload",
]

ACCOUNTS: dict[str, dict[str, Any]] = {
    "hooghly": {"guarantee": {"members": 2, "accelerators": 8, "adjacency": "same_rack"}},
    "kite": {"guarantee": {"members": 1, "accelerators": 8}},
    "tissue": {"guarantee": {"members": 4, "accelerators": 2}},
    "ledger": {},
}
CHECKPOINT_EVERY_MS = 250
UNREPEATABLE_SHARE = 0.2
WORST_DECLARATION = 10.0
LARGE_MEMBERS = (2, 2, 3)


class LoadJob(NamedTuple):
    """One request: `cancel_after_ms` counts from its submission, 0 for none."""

    key: str
    at_ms: int
    run_ms: int
    body: dict[str, Any]
    cancel_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """Operators take the zone with this number out of service for a while."""

    at_ms: int
    until_ms: int
    zone: int = 0


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """The platform's store answers nothing for a while."""

    at_ms: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class BadWorker:
    """The worker with this number fails everything that it starts for a while."""

    at_ms: int
    until_ms: int
    worker: int = 0


@dataclass(frozen=True, slots=True)
class QuietTime:
    """Quiet hours hold in the zone with this number for a while."""

    at_ms: int
    until_ms: int
    zone: int = 0
    max_busy_per_rack: int = 6


Event = ZoneOut | StoreOutage | BadWorker | QuietTime


class Workload(NamedTuple):
    """Requests by time, and what happens to the fleet meanwhile."""

    name: str
    seed: int
    jobs: list[LoadJob]
    events: list[Event]


class _Builder:
    """Adds jobs whose properties are drawn from one generator."""

    def __init__(self, seed: int, span_ms: int) -> None:
        self.rng = Random(seed)
        self.span_ms = span_ms
        self.jobs: list[LoadJob] = []
        self.declared_wrongly = False

    def scaled(self, per_second: float) -> int:
        """Return how many jobs make `per_second` over the whole span."""
        return round(per_second * self.span_ms / 1000)

    def small(self, count: int, kind: str, at: Callable[[], int]) -> None:
        """Add jobs of one member with one to four accelerators."""
        for _ in range(count):
            shape = {"accelerators": self.rng.choice([1, 1, 2, 4])}
            low, high = {"urgent": (100, 400), "deferrable": (400, 2_500)}.get(kind, (800, 4_000))
            self.add(kind, shape, self.rng.randint(low, high), at())

    def large(self, count: int, at: Callable[[], int]) -> None:
        """Add gangs of whole workers in one rack."""
        for _ in range(count):
            members = self.rng.choice(LARGE_MEMBERS)
            shape = {"members": members, "accelerators": 8, "adjacency": "same_rack"}
            self.add("deferrable", shape, self.rng.randint(1_000, 3_000), at())

    def add(self, kind: str, shape: dict[str, Any], run_ms: int, at_ms: int, **extra: Any) -> None:
        """Add one job."""
        number = len(self.jobs)
        account = self.rng.choices(list(ACCOUNTS), [4, 3, 2, 3])[0]
        declared_ms = run_ms
        if self.declared_wrongly:
            declared_ms = int(run_ms * WORST_DECLARATION ** self.rng.uniform(-1, 1))
        deadline_ms = self.rng.choice([0, 4, 8]) * run_ms if kind == "deferrable" else 0
        work = {"run_ms": run_ms, "seed": number, "checkpoint_every_ms": CHECKPOINT_EVERY_MS}
        body = {
            "account": account,
            "kind": kind,
            "shape": shape,
            "payload": json.dumps(work | extra),
            "repeatable": self.rng.random() >= UNREPEATABLE_SHARE,
            "expected_run_ms": declared_ms,
            "deadline_in_ms": deadline_ms + (2_000 if deadline_ms else 0),
            "label": "large" if shape.get("members", 1) > 1 else kind,
        }
        self.jobs.append(LoadJob(f"load-{number}", at_ms, run_ms, body))

    def any_time(self) -> int:
        """Return a time at which a job arrives, evenly spread."""
        return self.rng.randrange(self.span_ms)

    def mixed(self, scale: float = 1.0) -> None:
        """Add a day's mixture of all kinds."""
        self.small(self.scaled(4 * scale), "urgent", self.any_time)
        self.small(self.scaled(11 * scale), "deferrable", self.any_time)
        self.small(self.scaled(7 * scale), "bulk", self.any_time)
        self.large(self.scaled(0.9 * scale), self.any_time)


def _mixed_day(builder: _Builder) -> list[Event]:
    builder.mixed()
    return []


def _burst_small(builder: _Builder) -> list[Event]:
    builder.mixed(0.5)
    burst_ms = builder.span_ms // 4
    builder.small(builder.scaled(10), "deferrable", lambda: burst_ms)
    return []


def _burst_large(builder: _Builder) -> list[Event]:
    builder.mixed(0.6)
    burst_ms = builder.span_ms // 4
    builder.large(builder.scaled(0.8), lambda: burst_ms)
    return []


def _wrong_declarations(builder: _Builder) -> list[Event]:
    builder.declared_wrongly = True
    builder.mixed()
    return []


def _impossible_jobs(builder: _Builder) -> list[Event]:
    builder.mixed(0.8)
    for _ in range(builder.scaled(1)):
        builder.add("deferrable", {"accelerators": 9}, 500, builder.any_time())
        builder.add("deferrable", {"accelerators": 1}, 50, builder.any_time(), fail=True)
    return []


def _cancellation_wave(builder: _Builder) -> list[Event]:
    builder.mixed(1.5)
    wave_ms = builder.span_ms // 2
    builder.jobs = [
        (
            job._replace(cancel_after_ms=wave_ms - job.at_ms)
            if job.at_ms < wave_ms and builder.rng.random() < 0.5
            else job
        )
        for job in builder.jobs
    ]
    return []


def _bad_worker(builder: _Builder) -> list[Event]:
    builder.mixed(0.8)
    return [BadWorker(0, builder.span_ms)]


def _zone_out_and_back(builder: _Builder) -> list[Event]:
    builder.mixed(0.8)
    return [ZoneOut(builder.span_ms // 4, builder.span_ms * 3 // 4)]


def _store_outage(builder: _Builder) -> list[Event]:
    builder.mixed(0.8)
    return [StoreOutage(builder.span_ms // 4, builder.span_ms // 2)]


def _quiet_hours(builder: _Builder) -> list[Event]:
    builder.mixed(0.7)
    return [QuietTime(builder.span_ms // 4, builder.span_ms * 3 // 4)]


WORKLOADS: dict[str, Callable[[_Builder], list[Event]]] = {
    "mixed_day": _mixed_day,
    "burst_small": _burst_small,
    "burst_large": _burst_large,
    "wrong_declarations": _wrong_declarations,
    "impossible_jobs": _impossible_jobs,
    "cancellation_wave": _cancellation_wave,
    "bad_worker": _bad_worker,
    "zone_out_and_back": _zone_out_and_back,
    "store_outage": _store_outage,
    "quiet_hours": _quiet_hours,
}


def build_workload(name: str, seed: int, span_s: float) -> Workload:
    """Return the workload `name` over `span_s` seconds; equal arguments give equal work."""
    builder = _Builder(seed, round(span_s * 1000))
    events = WORKLOADS[name](builder)
    jobs = sorted(builder.jobs, key=lambda job: (job.at_ms, job.key))
    return Workload(name, seed, jobs, events)
