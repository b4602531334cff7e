"""Times one planning round of the platform deployment's dispatcher at several sizes.

Run it with `python -m benchmarks.dispatch_time`. Each size has full workers and urgent, normal and
bulk units that wait for capacity; the rounds are those after a change at one worker.
"""

import statistics
import time
from typing import Annotated, NamedTuple

import typer
from absl import logging

from tests.harness.load_replay import Load, Replay

ROUNDS = 7
RUN_MS = 3_600_000
TASKS_PER_JOB = 20


class Size(NamedTuple):
    """Workers, the tasks that run on them, and the tasks that wait."""

    workers: int
    running: int
    waiting: int


SIZES = (Size(15, 115, 7), Size(160, 1_220, 70), Size(1_100, 8_400, 500))


def loads(size: Size) -> list[Load]:
    """Return jobs that run, then jobs that wait, of priorities 0 to 2 in turn."""
    running = {"task_count": TASKS_PER_JOB, "accelerators": 1, "cpu_milli": 5_600}
    waiting = {"task_count": TASKS_PER_JOB, "accelerators": 8, "cpu_milli": 26_000}
    first = [
        Load(0, 1 + number % 2, RUN_MS, running) for number in range(size.running // TASKS_PER_JOB)
    ]
    later = [
        Load(1_000, number % 3, RUN_MS, waiting)
        for number in range(max(1, size.waiting // TASKS_PER_JOB))
    ]
    return first + later


def round_ms(size: Size, accounts: int) -> list[float]:
    """Return the durations of rounds in ms."""
    guaranteed = {"a": 0, **{f"a{number}": 0 for number in range(1, accounts)}}
    replay = Replay(size.workers, rack_size=8, guaranteed=guaranteed)
    replay.play(loads(size), 2_000)
    took_ms = []
    with replay.virtual_clock():
        for number in range(ROUNDS):
            replay.now_ms += 100
            replay.board.confirmed_at_ms = replay.now_ms
            replay.workers[number].report()
            began = time.perf_counter()
            replay.dispatcher.plan()
            took_ms.append((time.perf_counter() - began) * 1_000)
    return took_ms


def main(accounts: Annotated[int, typer.Option()] = 1) -> None:
    """Print the median and the longest round at each size.

    With eight accounts or more run times are learned.
    """
    logging.set_verbosity(logging.ERROR)
    for size in SIZES:
        took_ms = round_ms(size, accounts)
        print(
            f"workers={size.workers} running={size.running} waiting={size.waiting}"
            f" median_ms={statistics.median(took_ms):.1f} max_ms={max(took_ms):.1f}"
        )


if __name__ == "__main__":
    typer.run(main)
