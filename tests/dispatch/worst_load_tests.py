"""Replays loads at their worst on the leader's planner, in virtual time."""

import random

import pytest
from lycheeslip.dispatch.occupancy import FAILURE_MEMORY_MS
from lycheeslip_common.workload.fleet import EndCause
from lycheeslip_common.workload.progress import JobState

from tests.harness.load_replay import Load, Outcome, Replay

URGENT, NORMAL, BULK = 0, 1, 2
RUN_MS = 6_000
ORDER_MS = 50  # from a plan to the start of a run, with its record
SEEDS = range(4)
ENDED = (JobState.COMPLETED, JobState.FAILED)


def gangs(count: int, seed: int, every_ms: int = 300, **step) -> list[Load]:
    """Return gangs of 2 to 12 tasks that need 1 to 8 accelerators each."""
    chance = random.Random(seed)
    return [
        Load(
            number * every_ms,
            NORMAL,
            RUN_MS,
            {
                "task_count": chance.randint(2, 12),
                "accelerators": chance.choice((1, 2, 4, 8)),
                "cpu_milli": 26_000,
                "gang": True,
                **step,
            },
        )
        for number in range(count)
    ]


def bulk(count: int, every_ms: int = 500) -> list[Load]:
    """Return jobs of single tasks that need one accelerator each."""
    step = {"task_count": 20, "accelerators": 1, "cpu_milli": 5_600}
    return [Load(number * every_ms, BULK, RUN_MS, step) for number in range(count)]


def play_with_failing_workers(seed: int) -> Outcome:
    replay = Replay(60)
    replay.fail(random.Random(seed).sample(range(60), 6), 2_000, 8_700)
    return replay.play(gangs(30, seed) + bulk(20), 40_000)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_gang_starts_where_a_run_has_just_failed(seed: int):
    failures = play_with_failing_workers(seed).failures
    known_at_ms = {
        node: min(failure.failed_at_ms for failure in failures if failure.node == node)
        for node in {failure.node for failure in failures}
    }
    repeated = [
        failure
        for failure in failures
        if failure.is_gang
        and ORDER_MS < failure.started_at_ms - known_at_ms[failure.node] < FAILURE_MEMORY_MS
    ]
    assert len(known_at_ms) >= 3
    assert repeated == []


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_are_done_once_each_while_workers_fail_and_leave(seed: int):
    chance = random.Random(seed)
    replay = Replay(30)
    replay.fail(chance.sample(range(30), 3), 1_000, 6_000)
    replay.take_away(chance.sample(range(30), 4), 5_000, 1_800)
    outcome = replay.play(gangs(12, seed) + bulk(8), 90_000)
    unfinished = [job for job, state in outcome.states.items() if state not in ENDED]
    assert unfinished == []
    assert outcome.ends[EndCause.DONE] >= len(outcome.took_ms)


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_burst_on_a_fleet_full_of_work_is_served_in_time(seed: int):
    """The stops cost more than the urgent work, but less than twice as much."""
    chance = random.Random(seed)
    full = {"task_count": 2, "accelerators": 8, "cpu_milli": 26_000, "gang": True}
    urgent = {"task_count": 2, "accelerators": 8, "cpu_milli": 7_500, "gang": True}
    replay = Replay(16)
    normal = [Load(0, NORMAL, 20_000, full) for _ in range(8)]
    burst = [Load(chance.randint(5_000, 6_000), URGENT, 6_000, urgent) for _ in range(3)]
    outcome = replay.play(normal + burst, 60_000)
    took_ms = sorted(outcome.took_ms[f"{number:016x}"] for number in range(8, 11))
    assert took_ms[-1] <= outcome.limit_ms[f"{8:016x}"]
    assert outcome.in_time == len(outcome.limit_ms)


@pytest.mark.parametrize("seed", SEEDS)
def test_bursts_do_not_stop_the_same_work_again_and_again(seed: int):
    chance = random.Random(seed)
    whole = {"accelerators": 8, "cpu_milli": 5_600}
    work = [Load(chance.randint(0, 500), BULK, 20_000, whole) for _ in range(12)]
    bursts = [Load(burst_ms, URGENT, 3_000, whole) for burst_ms in range(2_000, 8_000, 1_000)]
    replay = Replay(12)
    outcome = replay.play(work + bursts, 90_000)
    stops = [sum(job.preemptions.values()) for job in replay.board.jobs.values()]
    assert sum(stops) >= 3
    assert max(stops) == 1
    assert outcome.in_time == len(outcome.limit_ms)


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_work_is_not_started_on_workers_that_are_seen_to_be_slow(seed: int):
    """On a full fleet the work that started last is the cheapest to stop: that on slow workers."""
    slowdown, run_ms = 8, 5_000
    chance = random.Random(seed)
    replay = Replay(16)
    replay.slow_down(chance.sample(range(16), 6), slowdown, 0, 30_000)
    task = {"accelerators": 1, "cpu_milli": 5_600}
    older = Load(0, BULK, 20_000, {**task, "task_count": 80})
    newer = Load(1_000, BULK, 20_000, {**task, "task_count": 64})
    whole = {"accelerators": 8, "cpu_milli": 5_600}
    urgent = [Load(chance.randint(3_000, 12_000), URGENT, run_ms, whole) for _ in range(16)]
    outcome = replay.play([older, newer, *urgent], 90_000)
    took_ms = [outcome.took_ms[f"{number:016x}"] for number in range(2, 18)]
    assert max(took_ms) < slowdown * run_ms


@pytest.mark.parametrize("seed", SEEDS)
def test_gang_is_moved_once_at_most_while_workers_are_replaced_in_turn(seed: int):
    """Three quarters of the fleet are replaced, and the new workers could take all gangs."""
    replay = Replay(64, rack_size=8)
    replaced = random.Random(seed).sample(range(64), 48)
    replay.replace(replaced, batch=5, at_ms=3_000, gap_ms=1_200, notice_ms=5_500)
    gang = {"task_count": 3, "accelerators": 8, "cpu_milli": 26_000, "gang": True}
    load = [Load(number * 1_500, NORMAL, 14_000, gang) for number in range(6)]
    outcome = replay.play(load, 60_000)
    moves = [sum(job.relocations.values()) for job in replay.board.jobs.values()]
    assert sum(moves) >= 1
    assert max(moves) == 1
    assert outcome.ends[EndCause.LOST] == 0
