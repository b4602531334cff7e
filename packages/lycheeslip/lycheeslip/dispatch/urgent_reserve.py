"""Decides how many accelerators are reserved for urgent units: pure functions.

Answers a load whose urgent demand comes in bursts above the largest guarantee: work that is costly
to stop would fill the fleet between two bursts and be stopped in the next.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lycheeslip.dispatch.placement_model import URGENT_PRIORITY, Unit, WorkerCapacity

__all__ = ["Peak", "decayed_peaks", "reserves", "urgent_demand"]

HALF_LIFE_MS = 10_000  # urgent gangs take 4 to 5 s and come in bursts of some 10 s
MAX_SHARE = 0.5  # of a service's accelerators; the rest stays for work that is costly to stop


class Peak(NamedTuple):
    """The recent peak of urgent demand in accelerators, as it was at `at_ms` (steady clock)."""

    accelerators: float
    at_ms: int


def urgent_demand(units: Iterable[Unit], workers: Iterable[WorkerCapacity]) -> Counter[str]:
    """Return the accelerators that urgent units hold and wait for, by service."""
    demand: Counter[str] = Counter()
    for unit in units:
        if unit.priority == URGENT_PRIORITY:
            demand[unit.service] += unit.demand.accelerators * len(unit.indexes)
    for worker in workers:
        for placed_run in worker.placed_runs:
            if placed_run.priority == URGENT_PRIORITY:
                demand[worker.service] += placed_run.demand.accelerators
    return demand


def decayed_peaks(
    earlier: Mapping[str, Peak], demand: Mapping[str, int], now_ms: int
) -> dict[str, Peak]:
    """Return, by service, the higher of the present demand and the earlier peak as it decays."""
    return {
        service: max(Peak(demand.get(service, 0), now_ms), _decayed(earlier.get(service), now_ms))
        for service in demand.keys() | earlier.keys()
    }


def _decayed(peak: Peak | None, now_ms: int) -> Peak:
    """Return `peak` as it is now; it halves in `HALF_LIFE_MS` and ends below one accelerator."""
    if peak is None:
        return Peak(0, now_ms)
    accelerators = peak.accelerators * 0.5 ** ((now_ms - peak.at_ms) / HALF_LIFE_MS)
    return Peak(accelerators if accelerators >= 1 else 0, now_ms)


def reserves(
    largest_guarantee: int, peaks: Mapping[str, Peak], workers: Iterable[WorkerCapacity]
) -> dict[str, int]:
    """Return the reserve of each service: the peak where it is above the largest guarantee."""
    total: Counter[str] = Counter()
    for worker in workers:
        total[worker.service] += worker.total.accelerators
    result = {}
    for service in total:
        peak = peaks[service].accelerators if service in peaks else 0.0
        result[service] = max(largest_guarantee, round(min(peak, total[service] * MAX_SHARE)))
    return result
