"""Accelerator time used by accounts, with exponential decay."""

from collections.abc import Mapping
from typing import NamedTuple

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.structure.jobs import Shape

__all__ = ["FleetTotals", "UsageByAccount", "fleet_totals"]

USAGE_HALF_LIFE_MS = 6 * 3_600_000


class FleetTotals(NamedTuple):
    """Total resources of all workers."""

    accelerators: int = 0
    processors: int = 0
    memory_mb: int = 0

    def dominant_accelerators(self, shape: Shape) -> float:
        """Return the gang's dominant resource share of the fleet, as a number of accelerators.

        Jobs that need few accelerators but many processors or much memory are charged as well.
        """
        scale = self.accelerators or 1
        by_processors = scale * shape.members * shape.processors / (self.processors or 1)
        by_memory = scale * shape.members * shape.memory_mb / (self.memory_mb or 1)
        return max(float(shape.total_accelerators), by_processors, by_memory)


def fleet_totals(workers_by_id: Mapping[str, WorkerState]) -> FleetTotals:
    """Return the total resources of all workers."""
    accelerators = processors = memory_mb = 0
    for state in workers_by_id.values():
        accelerators += state.info.accelerators
        processors += state.info.processors
        memory_mb += state.info.memory_mb
    return FleetTotals(accelerators, processors, memory_mb)


class UsageByAccount:
    """Accelerator milliseconds used by account, halved in each half-life."""

    def __init__(self, half_life_ms: int = USAGE_HALF_LIFE_MS) -> None:
        """Start without usage."""
        self._half_life_ms = half_life_ms
        self._used_ms: dict[str, float] = {}
        self._updated_at_ms: dict[str, int] = {}

    def add(self, account: str, accelerator_ms: float, now_ms: int) -> None:
        """Add the accelerator milliseconds of an ended attempt to the usage of `account`."""
        self._used_ms[account] = self._decayed(account, now_ms) + accelerator_ms
        self._updated_at_ms[account] = now_ms

    def by_account(self, now_ms: int) -> dict[str, float]:
        """Return the decayed usage of each account at `now_ms`."""
        return {account: self._decayed(account, now_ms) for account in self._used_ms}

    def _decayed(self, account: str, now_ms: int) -> float:
        used = self._used_ms.get(account, 0.0)
        age_ms = max(0, now_ms - self._updated_at_ms.get(account, now_ms))
        return float(used * 0.5 ** (age_ms / self._half_life_ms))
