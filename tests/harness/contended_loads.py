"""Loads under contention between accounts and priorities, and what an outcome is worth to callers.

They have the kinds, sizes and rates of the deployments in
`docs/design/client-limits-and-run-times.md`, section 4.
"""

import math
import random
from collections import Counter, defaultdict
from typing import Any, NamedTuple

from prometheus_client.parser import text_string_to_metric_families

from tests.harness.load_replay import Load, Outcome, Replay

__all__ = ["BUSY", "SITES", "UNEVEN", "Result", "Site", "lost_core_s", "play_site"]

URGENT, NORMAL, BULK = 0, 1, 2
ARRIVALS_MS = 45_000
BURST_MS = 12_000  # arrivals come at twice the rate until then
PLAY_MS = 110_000
NOTICE_MS = 1_800
AWAY_MS = 6_000
WAVE_SHARE = 0.15  # of the workers leave in each wave
FAILING_WORKERS = 3
FAILING_MS = 6_000
SPREAD = 0.8  # of the logarithms of task counts
ESTIMATE_SPREAD = 0.6  # of the logarithms of declared over real run times
SAVES_PROGRESS = 0.45
ACCELERATORS = (1, 2, 4, 8, 8)
ACCELERATOR_CORES = 8
MEMORY_MB = 4_000
IN_TIME_WEIGHTS = {URGENT: 4.0, NORMAL: 3.0, BULK: 1.0}
LATE_WEIGHTS = {URGENT: 0.8, NORMAL: 0.9, BULK: 0.3}
LATE_LIMIT_RATIO = 3
MAX_SIZE = 4.0


class Kind(NamedTuple):
    """Jobs of one priority: arrivals a second, mean tasks, cores and run time of a task."""

    priority: int
    rate: float
    tasks: int
    cores: float
    run_ms: int

    @property
    def is_gang(self) -> bool:
        """Whether all tasks of a job start together."""
        return self.priority != BULK


class Site(NamedTuple):
    """A deployment: workers, guaranteed accelerators and share of the load by account, kinds."""

    workers: int
    capacity: tuple[int, int, int]
    guaranteed: dict[str, int]
    shares: tuple[float, ...]
    kinds: tuple[Kind, ...]


BUSY = Site(
    61,
    (32_000, 128_000, 8),
    dict(zip("abcdefghij", (120, 70, 50, 50, 0, 0, 0, 0, 0, 0), strict=True)),
    (5, 3, 2, 2, 1, 1, 1, 1, 1, 1),
    (
        Kind(URGENT, 0.62, 5, 3.7, 4_500),
        Kind(NORMAL, 0.38, 6, 13.0, 13_600),
        Kind(BULK, 0.18, 39, 2.8, 12_200),
    ),
)
UNEVEN = Site(
    65,
    (64_000, 256_000, 8),
    BUSY.guaranteed,
    BUSY.shares,
    (
        Kind(URGENT, 0.48, 5, 7.5, 4_200),
        Kind(NORMAL, 0.22, 7, 26.0, 18_800),
        Kind(BULK, 0.14, 39, 5.6, 13_000),
    ),
)
SITES = {"busy": BUSY, "uneven": UNEVEN}


class Result(NamedTuple):
    """What one play gave its callers, and what it cost.

    `worth` is a ratio of what it would be with every job in time; `jobs`, `in_time` are by
    priority; `served` is the ratio of worth by account; `lost_core_s` by cause.
    """

    worth: float
    jobs: Counter[int]
    in_time: Counter[int]
    served: dict[str, float]
    lost_core_s: dict[str, float]
    preemptions: Counter[int]
    slow_starts: float

    @property
    def total_lost_core_s(self) -> float:
        """Core-seconds of work that was lost."""
        return sum(self.lost_core_s.values())

    def preempted_more_than(self, times: int) -> int:
        """Return the number of tasks and gangs that were preempted more often than `times`."""
        return sum(count for n, count in self.preemptions.items() if n > times)


def loads_of(site: Site, seed: int, rate: float = 1.0) -> list[Load]:
    """Return random arrivals; `rate` multiplies the rates of the site."""
    chance = random.Random(seed)
    loads = []
    for kind in site.kinds:
        at_ms = 0.0
        while True:
            factor = 2.0 if at_ms < BURST_MS else 1.0
            at_ms += chance.expovariate(kind.rate * rate * factor) * 1_000
            if at_ms >= ARRIVALS_MS:
                break
            loads.append(_load(site, kind, int(at_ms), chance))
    return sorted(loads)


def _load(site: Site, kind: Kind, at_ms: int, chance: random.Random) -> Load:
    run_ms = int(kind.run_ms * chance.uniform(0.8, 1.25))
    step: dict[str, Any] = {
        "task_count": _skewed(chance, kind.tasks),
        "accelerators": chance.choice(ACCELERATORS) if kind.is_gang else 1,
        "cpu_milli": int(kind.cores * 1_000),
        "memory_mb": MEMORY_MB,
        "gang": kind.is_gang,
        "checkpointing": kind.priority != URGENT and chance.random() < SAVES_PROGRESS,
        "estimate_ms": max(500, int(run_ms * math.exp(chance.gauss(0, ESTIMATE_SPREAD)))),
    }
    account = chance.choices(list(site.guaranteed), site.shares)[0]
    return Load(at_ms, kind.priority, run_ms, step, account)


def _skewed(chance: random.Random, mean: int) -> int:
    """Return a log-normal number of tasks, of which half of the fleet can hold a gang."""
    return max(
        1, min(6 * mean, round(chance.lognormvariate(math.log(mean) - SPREAD**2 / 2, SPREAD)))
    )


def play_site(site: Site, seed: int, rate: float = 1.0) -> Result:
    """Play a load of `site` with waves of leaving workers and workers that fail."""
    replay = Replay(site.workers, 10, site.capacity, site.guaranteed)
    chance = random.Random(seed + 1_000)
    for wave_ms in (chance.randint(6_000, 12_000), chance.randint(22_000, 30_000)):
        leaving = chance.sample(range(site.workers), int(site.workers * WAVE_SHARE))
        replay.take_away(leaving, wave_ms, NOTICE_MS, AWAY_MS)
    failing_ms = chance.randint(4_000, 30_000)
    failing = chance.sample(range(site.workers), FAILING_WORKERS)
    replay.fail(failing, failing_ms, failing_ms + FAILING_MS)
    loads = loads_of(site, seed, rate)
    outcome = replay.play(loads, PLAY_MS)
    return _result(site, loads, outcome, replay)


def _result(site: Site, loads: list[Load], outcome: Outcome, replay: Replay) -> Result:
    works = [_work(load) for load in loads]
    by_priority: dict[int, list[float]] = defaultdict(list)
    for load, work in zip(loads, works, strict=True):
        by_priority[load.priority].append(work)
    best: Counter[str] = Counter()
    got: Counter[str] = Counter()
    in_time: Counter[int] = Counter()
    for number, (load, work) in enumerate(zip(loads, works, strict=True)):
        mean = sum(by_priority[load.priority]) / len(by_priority[load.priority])
        size = min(MAX_SIZE, 0.3 + 0.7 * work / mean)
        job_id = f"{number:016x}"
        took_ms, limit_ms = outcome.took_ms.get(job_id, math.inf), outcome.limit_ms[job_id]
        best[load.account] += size * IN_TIME_WEIGHTS[load.priority]
        if took_ms <= limit_ms:
            in_time[load.priority] += 1
            got[load.account] += size * IN_TIME_WEIGHTS[load.priority]
        elif took_ms <= LATE_LIMIT_RATIO * limit_ms:
            got[load.account] += size * LATE_WEIGHTS[load.priority]
    return Result(
        got.total() / best.total(),
        Counter(load.priority for load in loads),
        in_time,
        {account: got[account] / best[account] for account in best},
        lost_core_s(replay),
        Counter(n for job in replay.board.jobs.values() for n in job.preemptions.values() if n),
        outcome.slow_starts(2_000),
    )


def _work(load: Load) -> float:
    step = load.step
    cores = step["cpu_milli"] / 1_000 + ACCELERATOR_CORES * step["accelerators"]
    return float(cores * step["task_count"] * load.run_ms)


def lost_core_s(replay: Replay) -> dict[str, float]:
    """Return the work in core-seconds that was lost in a replay, by cause."""
    text = replay.board.counters.text().decode()
    return {
        sample.labels["reason"]: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "lycheeslip_lost_core_seconds_total"
    }
