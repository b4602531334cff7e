"""Replays a load whose declared run times are wrong, with and without learned run times."""

import math
import random
from typing import Any, NamedTuple

import pytest
from lycheeslip.dispatch import run_samples
from lycheeslip.dispatch.run_time_history import History, KindOfStep, RunEstimate
from lycheeslip_common.utils.quantile_sketch import MAX_RUN_MS
from lycheeslip_common.workload.fleet import StartOrder
from lycheeslip_common.workload.jobs import parse_task_name
from lycheeslip_common.workload.progress import JobState

from tests.harness.load_replay import Load, Outcome, Replay, ReplayWorker

SEEDS = range(4)
ACCOUNTS = [f"a{number}" for number in range(10)]
WORKERS = 30  # fewer than the load needs, so that jobs wait for each other
CAPACITY = (32_000, 128_000, 8)
WINDOW_MS = 40_000


class Kind(NamedTuple):
    """Jobs of a priority: how many, and the logarithms of their run times and declarations.

    `correlates` says whether declarations follow the run times, times the ratio, or are noise.
    """

    count: int
    usual_ms: int
    run_sd: float
    ratio_mean: float
    ratio_sd: float
    correlates: bool
    tasks: tuple[int, ...]


# as measured on a deployment; see docs/design/run-times.md
KINDS = {
    0: Kind(24, 4_500, 0.48, 0.23, 0.31, True, (5,)),
    1: Kind(22, 16_000, 0.24, 0.57, 0.57, False, (6, 7)),
    2: Kind(14, 12_500, 0.28, -0.13, 0.05, False, (39,)),
}


def loads_of(seed: int) -> list[Load]:
    """Return the jobs of a day of 40 s, whose declarations are off as on a deployment."""
    chance = random.Random(seed)
    loads = []
    for priority, kind in KINDS.items():
        for _ in range(kind.count):
            run_ms = kind.usual_ms * math.exp(chance.gauss(0, kind.run_sd))
            ratio = math.exp(chance.gauss(kind.ratio_mean, kind.ratio_sd))
            declared_ms = (run_ms if kind.correlates else kind.usual_ms) / ratio
            is_gang = priority != 2
            accelerators = chance.choice((1, 2, 4, 8)) if is_gang else 1
            step: dict[str, Any] = {
                "task_count": chance.choice(kind.tasks),
                "accelerators": accelerators,
                "cpu_milli": 3_500 * accelerators,
                "gang": is_gang,
                "estimate_ms": round(declared_ms),
                "checkpointing": not is_gang and chance.random() < 0.45,
            }
            at_ms, account = chance.randint(0, WINDOW_MS), chance.choice(ACCOUNTS)
            loads.append(Load(at_ms, priority, round(run_ms), step, account))
    return sorted(loads, key=lambda load: load.at_ms)


def play(seed: int, loads: list[Load]) -> tuple[Replay, Outcome]:
    guaranteed = dict.fromkeys(ACCOUNTS, 8) | {"a0": 120}
    replay = Replay(WORKERS, 4, CAPACITY, guaranteed)
    chance = random.Random(seed)
    replay.set_speeds([chance.uniform(0.8, 1.25) for _ in range(WORKERS)])
    return replay, replay.play(loads, 240_000)


@pytest.mark.parametrize("seed", SEEDS)
def test_estimates_are_nearer_to_the_run_times_than_declarations(seed: int):
    """Learned from the leader's own reports, also of runs that are stopped and start again."""
    replay, _ = play(seed, loads_of(seed))
    counters = replay.board.counters
    errors = [counters.value("run_time_error", name) for name in ("estimate", "declared")]
    assert counters.value("run_time_samples") == sum(kind.count for kind in KINDS.values())
    assert errors[0] < 0.85 * errors[1]
    assert replay.board.history.is_proven("q-1")


def test_declarations_count_in_a_deployment_with_few_accounts(monkeypatch: pytest.MonkeyPatch):
    """Such a deployment is served as it was before run times were learned."""
    monkeypatch.setattr(run_samples, "MIN_ACCOUNTS", len(ACCOUNTS) + 1)
    replay, _ = play(0, loads_of(0))
    assert not replay.board.history.queues
    assert replay.board.counters.value("run_time_samples") == 0


class WrongHistory(History):
    """Estimates that differ between kinds and change with each sample, whatever was measured."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__()
        self._chance = chance

    def is_proven(self, queue: str) -> bool:
        return True

    def estimate(self, kind: KindOfStep, declared_ms: float) -> RunEstimate:
        wrong_ms = math.exp(self._chance.uniform(0, math.log(MAX_RUN_MS)))
        return RunEstimate(wrong_ms, wrong_ms, wrong_ms, 1, "queue")

    def worker_speed(self, worker_id: str) -> float:
        return self._chance.uniform(0.5, 2)


@pytest.mark.parametrize("seed", SEEDS)
def test_wrong_history_costs_accuracy_only(seed: int):
    """Workers stay within their capacity, and each job is done within its attempts."""
    chance = random.Random(seed)
    replay = Replay(WORKERS, 4, CAPACITY, dict.fromkeys(ACCOUNTS, 8))
    replay.board.history = WrongHistory(chance)
    replay.fail(chance.sample(range(WORKERS), 3), 1_000, 6_000)
    used: list[int] = []
    on_started = replay.on_started

    def check(worker: ReplayWorker, order: StartOrder) -> None:
        names = (parse_task_name(task) for task in worker.running)
        jobs = replay.board.jobs
        steps = [jobs[name.job_id].progress.spec.steps[name.step] for name in names if name]
        used.append(sum(step.accelerators for step in steps))
        assert sum(step.cpu_milli for step in steps) <= CAPACITY[0]
        on_started(worker, order)

    replay.on_started = check  # type: ignore[method-assign]
    loads = loads_of(seed)[:30]
    outcome = replay.play(loads, 400_000)
    assert max(used) <= CAPACITY[2]
    assert set(outcome.states.values()) <= {JobState.COMPLETED, JobState.FAILED}
    for job in replay.board.jobs.values():
        attempts = job.progress.spec.attempts
        assert all(task.failures <= attempts for task in job.progress.tasks.values())
