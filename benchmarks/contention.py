"""Plays contended loads on the dispatcher in virtual time, and prints what callers got of them.

Run it with `python -m benchmarks.contention SITE --seeds 8`. One line for each seed, then means.
"""

import statistics
from collections.abc import Sequence
from typing import Annotated

import typer
from absl import logging

from tests.harness.contended_loads import BULK, NORMAL, SITES, URGENT, Result, play_site


def figures(result: Result) -> dict[str, float]:
    """Return the figures of one play by name."""
    return {
        "worth": result.worth,
        "worst_account": min(result.served.values()),
        **{
            f"in_time_{name}": result.in_time[priority] / max(1, result.jobs[priority])
            for name, priority in (("urgent", URGENT), ("normal", NORMAL), ("bulk", BULK))
        },
        "slow_starts": result.slow_starts,
        "preempted": result.preemptions.total(),
        "twice": result.preempted_more_than(1),
        "more": result.preempted_more_than(2),
        "lost": result.total_lost_core_s,
        **{
            f"lost_{cause}": result.lost_core_s.get(cause, 0.0)
            for cause in ("preempted", "broken", "worker_left", "relocated")
        },
    }


def show(label: str, values: dict[str, float]) -> None:
    """Print a line of figures: ratios with three digits, others rounded."""
    texts = (
        f"{name}={value:.3f}" if value <= 1 and isinstance(value, float) else f"{name}={value:.0f}"
        for name, value in values.items()
    )
    print(label, *texts, flush=True)


def main(
    site: str,
    seeds: Annotated[int, typer.Option()] = 8,
    first: Annotated[int, typer.Option()] = 0,
    rate: Annotated[float, typer.Option()] = 1.0,
) -> None:
    """Print the figures of each seed, and their means."""
    logging.set_verbosity(logging.ERROR)
    plays: Sequence[dict[str, float]] = []
    for seed in range(first, first + seeds):
        plays = [*plays, figures(play_site(SITES[site], seed, rate))]
        show(f"seed={seed}", plays[-1])
    means = {name: statistics.fmean(play[name] for play in plays) for name in plays[0]}
    show("mean", means)


if __name__ == "__main__":
    typer.run(main)
