"""What accounts have used: accelerator time that fades with a half-life."""

from collections.abc import Mapping
from typing import NamedTuple

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.structure.jobs import Shape

__all__ = ["FleetTotals", "UsageByAccount", "fleet_totals"]

USAGE_HALF_LIFE_MS = 6 * 3_600_000


class FleetTotals(NamedTuple):
    """Resources of all workers together."""

    accelerators: int = 0
    processors: int = 0
    memory_mb: int = 0

    def dominant_accelerators(self, shape: Shape) -> float:
        """Return the accelerators that weigh as much as the gang's largest share of the fleet.

        So that work which needs few accelerators but many processors is charged as well.
        """
        scale = self.accelerators or 1
        by_processors = scale * shape.members * shape.processors / (self.processors or 1)
        by_memory = scale * shape.members * shape.memory_mb / (self.memory_mb or 1)
        return max(float(shape.total_accelerators), by_processors, by_memory)


def fleet_totals(workers_by_id: Mapping[str, WorkerState]) -> FleetTotals:
    """Return the resources of all workers together."""
    accelerators = processors = memory_mb = 0
    for state in workers_by_id.values():
        accelerators += state.info.accelerators
        processors += state.info.processors
        memory_mb += state.info.memory_mb
    return FleetTotals(accelerators, processors, memory_mb)


class UsageByAccount:
    """Accelerator time used by account, of which half is forgotten in each half-life."""

    def __init__(self, half_life_ms: int = USAGE_HALF_LIFE_MS) -> None:
        """Start with nothing used."""
        self._half_life_ms = half_life_ms
        self._used_ms: dict[str, float] = {}
        self._at_ms: dict[str, int] = {}

    def add(self, account: str, accelerator_ms: float, now_ms: int) -> None:
        """Charge an ended attempt to `account`."""
        self._used_ms[account] = self._decayed(account, now_ms) + accelerator_ms
        self._at_ms[account] = now_ms

    def by_account(self, now_ms: int) -> dict[str, float]:
        """Return what is left of each account's use at `now_ms`."""
        return {account: self._decayed(account, now_ms) for account in self._used_ms}

    def _decayed(self, account: str, now_ms: int) -> float:
        used = self._used_ms.get(account, 0.0)
        age_ms = max(0, now_ms - self._at_ms.get(account, now_ms))
        return float(used * 0.5 ** (age_ms / self._half_life_ms))
