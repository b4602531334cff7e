"""A fleet of real processes for benchmarks, whose entries can switch their policy."""

from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from lycheeslip_standins.load_workloads import (
    ACCOUNTS,
    Event,
    FailingWorker,
    QuietPeriod,
    StoreOutage,
    ZoneOutage,
)

from tests.harness.fleet import Fleet, FleetLayout
from tests.harness.operators import Operator

__all__ = ["LAYOUT_BY_SIZE", "BenchFleet"]

LAYOUT_BY_SIZE = {
    "hooghly": FleetLayout(zones=("zone-a", "zone-b", "zone-c", "zone-d")),
    "kite": FleetLayout(zones=("zone-a", "zone-b", "zone-c")),
}
QUIET_HOURS_MARGIN = timedelta(hours=2)
STOP_TIMEOUT_S = 60


class BenchFleet(Fleet):
    """Adds a choice of policy and the events of a workload to the fleet."""

    def __init__(self, layout: FleetLayout, folder: Path) -> None:
        """Create the fleet with the default policy."""
        super().__init__(layout, folder)
        self._settings_by_entry: dict[str, dict[str, Any]] = {}

    def _write(self, name: str, settings: dict[str, Any]) -> str:
        if name.startswith("entry-"):
            self._settings_by_entry[name] = settings
        return super()._write(name, settings)

    async def use_policy(self, module: str) -> None:
        """Restart all entries with the policy in `module` and wait until they are ready."""
        for name, settings in self._settings_by_entry.items():
            super()._write(name, {**settings, "policy_module": module})
        for process in self.entries_by_id.values():
            process.terminate()
        for process in self.entries_by_id.values():
            process.wait(STOP_TIMEOUT_S)
            process.start()
        await self.wait_until(self.entries_are_ready, "the entries are ready")
        await self.wait_until(self.workers_are_known, "the workers are known")

    def operator(self) -> Operator:
        """Return an operator whose document declares the accounts of the workloads."""
        operator = Operator(list(self.http_by_entry.values()), self.layout.zones)
        operator.document["accounts"] = ACCOUNTS
        return operator

    async def begin(self, event: Event, operator: Operator) -> None:
        """Apply the effect of an event."""
        match event:
            case ZoneOutage(zone=zone):
                await operator.set_zone(self.layout.zones[zone], in_service=False)
            case QuietPeriod(zone=zone, max_busy_per_rack=max_busy):
                await self._set_quiet_hours(operator, self.layout.zones[zone], max_busy)
            case StoreOutage():
                await self.set_store(down=True)
            case FailingWorker(worker=worker):
                await self._set_mode(worker, "fails_all")

    async def end(self, event: Event, operator: Operator) -> None:
        """Revert the effect of an event."""
        match event:
            case ZoneOutage(zone=zone) | QuietPeriod(zone=zone):
                await operator.set_zone(self.layout.zones[zone], in_service=True)
            case StoreOutage():
                await self.set_store()
            case FailingWorker(worker=worker):
                await self._set_mode(worker, "normal")

    async def _set_quiet_hours(self, operator: Operator, zone: str, max_busy: int) -> None:
        now = datetime.now(tz=UTC)
        hours = {
            "from": f"{now - QUIET_HOURS_MARGIN:%H:%M}",
            "to": f"{now + QUIET_HOURS_MARGIN:%H:%M}",
            "max_busy_per_rack": max_busy,
        }
        operator.document["zones"][zone] = {"quiet_hours": [hours]}
        await operator.apply()

    async def _set_mode(self, worker: int, mode: str) -> None:
        names = sorted(self.backend_by_worker)
        await self.tell_backend(names[worker], "mode", {"mode": mode})
