"""Seeded workloads for the load generator: hours of a working day compressed to seconds."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

__all__ = [
    "ACCOUNTS",
    "FailingWorker",
    "Event",
    "LoadJob",
    "QuietPeriod",
    "StoreOutage",
    "WORKLOADS",
    "Workload",
    "ZoneOutage",
    "build_workload",
]

ACCOUNTS: dict[str, dict[str, Any]] = {
    "hooghly": {"guarantee": {"members": 2, "accelerators": 8, "adjacency": "same_rack"}},
    "kite": {"guarantee": {"members": 1, "accelerators": 8}},
    "tissue": {"guarantee": {"members": 4, "accelerators": 2}},
    "ledger": {},
}
CHECKPOINT_EVERY_MS = 250
NON_REPEATABLE_SHARE = 0.2
MAX_DECLARATION_ERROR_FACTOR = 10.0
GANG_SIZES = (2, 2, 3)


class LoadJob(NamedTuple):
    """One request; `cancel_after_ms` counts from its submission, 0 means never."""

    key: str
    at_ms: int
    run_ms: int
    body: dict[str, Any]
    cancel_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class ZoneOutage:
    """Operators take the zone with index `zone` out of service from `at_ms` to `until_ms`."""

    at_ms: int
    until_ms: int
    zone: int = 0


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """The platform's store does not respond from `at_ms` to `until_ms`."""

    at_ms: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class FailingWorker:
    """The worker with index `worker` fails all its tasks from `at_ms` to `until_ms`."""

    at_ms: int
    until_ms: int
    worker: int = 0


@dataclass(frozen=True, slots=True)
class QuietPeriod:
    """Quiet hours apply in the zone with index `zone` from `at_ms` to `until_ms`."""

    at_ms: int
    until_ms: int
    zone: int = 0
    max_busy_per_rack: int = 6


Event = ZoneOutage | StoreOutage | FailingWorker | QuietPeriod


class Workload(NamedTuple):
    """Requests in order of submission, and events of the fleet during the run."""

    name: str
    seed: int
    jobs: list[LoadJob]
    events: list[Event]


class _Builder:
    """Builds jobs whose properties are drawn from one seeded random generator."""

    def __init__(self, seed: int, span_ms: int) -> None:
        self.rng = Random(seed)
        self.span_ms = span_ms
        self.jobs: list[LoadJob] = []
        self.has_wrong_declarations = False

    def count_at_rate(self, per_second: float) -> int:
        """Return the number of jobs at a rate of `per_second` over the whole span."""
        return round(per_second * self.span_ms / 1000)

    def add_small_jobs(self, count: int, kind: str, at: Callable[[], int]) -> None:
        """Add `count` jobs of one member with one to four accelerators, arriving at `at()` ms."""
        for _ in range(count):
            shape = {"accelerators": self.rng.choice([1, 1, 2, 4])}
            low, high = {"urgent": (100, 400), "deferrable": (400, 2_500)}.get(kind, (800, 4_000))
            self.add_job(kind, shape, self.rng.randint(low, high), at())

    def add_gangs(self, count: int, at: Callable[[], int]) -> None:
        """Add `count` gangs of whole workers in one rack, arriving at `at()` ms."""
        for _ in range(count):
            members = self.rng.choice(GANG_SIZES)
            shape = {"members": members, "accelerators": 8, "adjacency": "same_rack"}
            self.add_job("deferrable", shape, self.rng.randint(1_000, 3_000), at())

    def add_job(
        self, kind: str, shape: dict[str, Any], run_ms: int, at_ms: int, **extra: Any
    ) -> None:
        """Add one job with a random account, deadline and repeatability."""
        number = len(self.jobs)
        account = self.rng.choices(list(ACCOUNTS), [4, 3, 2, 3])[0]
        declared_ms = run_ms
        if self.has_wrong_declarations:
            declared_ms = int(run_ms * MAX_DECLARATION_ERROR_FACTOR ** self.rng.uniform(-1, 1))
        deadline_ms = self.rng.choice([0, 4, 8]) * run_ms if kind == "deferrable" else 0
        work = {"run_ms": run_ms, "seed": number, "checkpoint_every_ms": CHECKPOINT_EVERY_MS}
        body = {
            "account": account,
            "kind": kind,
            "shape": shape,
            "payload": json.dumps(work | extra),
            "repeatable": self.rng.random() >= NON_REPEATABLE_SHARE,
            "expected_run_ms": declared_ms,
            "deadline_in_ms": deadline_ms + (2_000 if deadline_ms else 0),
            "label": "large" if shape.get("members", 1) > 1 else kind,
        }
        self.jobs.append(LoadJob(f"load-{number}", at_ms, run_ms, body))

    def draw_arrival_ms(self) -> int:
        """Return a random arrival time, uniform over the span."""
        return self.rng.randrange(self.span_ms)

    def add_mixed_jobs(self, scale: float = 1.0) -> None:
        """Add a mix of all kinds of jobs, at `scale` times the usual rate."""
        self.add_small_jobs(self.count_at_rate(4 * scale), "urgent", self.draw_arrival_ms)
        self.add_small_jobs(self.count_at_rate(11 * scale), "deferrable", self.draw_arrival_ms)
        self.add_small_jobs(self.count_at_rate(7 * scale), "bulk", self.draw_arrival_ms)
        self.add_gangs(self.count_at_rate(0.9 * scale), self.draw_arrival_ms)


def _mixed_day(builder: _Builder) -> list[Event]:
    builder.add_mixed_jobs()
    return []


def _burst_small(builder: _Builder) -> list[Event]:
    builder.add_mixed_jobs(0.5)
    burst_ms = builder.span_ms // 4
    builder.add_small_jobs(builder.count_at_rate(10), "deferrable", lambda: burst_ms)
    return []


def _burst_large(builder: _Builder) -> list[Event]:
    builder.add_mixed_jobs(0.6)
    burst_ms = builder.span_ms // 4
    builder.add_gangs(builder.count_at_rate(0.8), lambda: burst_ms)
    return []


def _wrong_declarations(builder: _Builder) -> list[Event]:
    builder.has_wrong_declarations = True
    builder.add_mixed_jobs()
    return []


def _impossible_jobs(builder: _Builder) -> list[Event]:
    builder.add_mixed_jobs(0.8)
    for _ in range(builder.count_at_rate(1)):
        builder.add_job("deferrable", {"accelerators": 9}, 500, builder.draw_arrival_ms())
        builder.add_job("deferrable", {"accelerators": 1}, 50, builder.draw_arrival_ms(), fail=True)
    return []


def _cancellation_wave(builder: _Builder) -> list[Event]:
    builder.add_mixed_jobs(1.5)
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
    builder.add_mixed_jobs(0.8)
    return [FailingWorker(0, builder.span_ms)]


def _zone_out_and_back(builder: _Builder) -> list[Event]:
    builder.add_mixed_jobs(0.8)
    return [ZoneOutage(builder.span_ms // 4, builder.span_ms * 3 // 4)]


def _store_outage(builder: _Builder) -> list[Event]:
    builder.add_mixed_jobs(0.8)
    return [StoreOutage(builder.span_ms // 4, builder.span_ms // 2)]


def _quiet_hours(builder: _Builder) -> list[Event]:
    builder.add_mixed_jobs(0.7)
    return [QuietPeriod(builder.span_ms // 4, builder.span_ms * 3 // 4)]


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
    """Return the workload `name` over `span_s` seconds; equal arguments give equal workloads."""
    builder = _Builder(seed, round(span_s * 1000))
    events = WORKLOADS[name](builder)
    jobs = sorted(builder.jobs, key=lambda job: (job.at_ms, job.key))
    return Workload(name, seed, jobs, events)
