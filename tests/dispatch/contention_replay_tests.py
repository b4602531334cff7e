"""Replays loads under contention on the leader's planner, with and without its rules for them."""

import random

from lycheeslip.dispatch.contention import MIN_ACCOUNTS

from tests.harness.contended_loads import lost_core_s
from tests.harness.load_replay import Load, Replay

URGENT, BULK = 0, 2
LOSS_SEEDS = range(6)  # single plays differ by more than the rules change


def replay(nodes: int, has_rules: bool) -> Replay:
    """Return a replay with enough accounts for the rules, or one too few."""
    accounts = MIN_ACCOUNTS if has_rules else MIN_ACCOUNTS - 1
    return Replay(nodes, guaranteed={"abcdefgh"[n]: 0 for n in range(accounts)})


def lost_to_preemption(seed: int, has_rules: bool) -> float:
    """Return the work lost as urgent gangs return to a fleet that bulk can't fill all the time."""
    chance = random.Random(seed)
    urgent = {"task_count": 4, "accelerators": 8, "cpu_milli": 3_700, "gang": True}
    bulk = {"task_count": 24, "accelerators": 1, "cpu_milli": 2_800}
    loads = [
        Load(burst_ms + chance.randint(0, 800), URGENT, 4_000, urgent)
        for burst_ms in range(1_000, 40_000, 6_500)
        for _ in range(2)
    ]
    loads += [Load(chance.randint(0, 40_000), BULK, 9_000, bulk) for _ in range(30)]
    play = replay(20, has_rules)
    play.play(sorted(loads, key=lambda load: load.at_ms), 90_000)
    return lost_core_s(play).get("preempted", 0.0)


def test_less_bulk_work_is_lost_if_the_reserve_follows_urgent_bursts():
    """Bulk filled the fleet between two bursts, since no account had a guarantee."""
    before = sum(lost_to_preemption(seed, has_rules=False) for seed in LOSS_SEEDS)
    after = sum(lost_to_preemption(seed, has_rules=True) for seed in LOSS_SEEDS)
    assert before > 0
    assert after < before * 0.75
