"""Free resources of the fleet, indexed once for each round of planning."""

from collections.abc import Iterable, Iterator

from lycheeslip_common.structure.fleet import WorkerState

from lycheeslip.config.model import FleetConfig
from lycheeslip.policy.free_worker import FreeWorker, Rack, RackKey, Resources, mask_of
from lycheeslip.policy.model import FleetView
from lycheeslip.policy.quiet import QuietRule, active_rule

__all__ = ["Capacity", "zone_in_service"]


def zone_in_service(config: FleetConfig, zone_id: str) -> bool:
    """Return whether tasks may start in a zone; an undeclared zone only if none is declared."""
    if not config.zones_by_id:
        return True
    zone = config.zones_by_id.get(zone_id)
    return zone is not None and zone.in_service


class Capacity:
    """Workers that may take new tasks, by id, by rack and by region."""

    def __init__(self, view: FleetView) -> None:
        """Index the usable workers of `view`; every worker counts for its rack's busy ones."""
        self.by_id: dict[str, FreeWorker] = {}
        self.by_rack: dict[RackKey, list[FreeWorker]] = {}
        self.by_region: dict[str, list[FreeWorker]] = {}
        self.racks_by_key: dict[RackKey, Rack] = {}
        self._rules_by_zone: dict[str, QuietRule | None] = {}
        everyone = {
            worker_id: self._free_worker(view, view.workers_by_id[worker_id])
            for worker_id in sorted(view.workers_by_id)
        }
        _take_placements(view, everyone)
        for worker in everyone.values():
            if _is_usable(view, worker.state):
                self._add(worker)

    def __iter__(self) -> Iterator[FreeWorker]:
        return iter(self.by_id.values())

    def _free_worker(self, view: FleetView, state: WorkerState) -> FreeWorker:
        info = state.info
        health = view.health_by_worker.get(info.worker_id)
        homes = view.homes.get(info.worker_id, ())
        probation = health is not None and health.probation
        worker = FreeWorker(state, self._rack(view, RackKey(info.zone, info.rack)), probation)
        worker.set_homes(homes, view.config.accounts_by_id)
        for grant in state.grants:
            used = Resources(1, grant.processors, grant.memory_mb)
            worker.take(mask_of(grant.accelerators), used, grant.account, grant.interruptible)
        return worker

    def _rack(self, view: FleetView, key: RackKey) -> Rack:
        rack = self.racks_by_key.get(key)
        if rack is None:
            if key.zone not in self._rules_by_zone:
                zone = view.config.zones_by_id.get(key.zone)
                self._rules_by_zone[key.zone] = active_rule(zone, view.now_ms)
            rack = Rack(key, self._rules_by_zone[key.zone])
            self.racks_by_key[key] = rack
        return rack

    def _add(self, worker: FreeWorker) -> None:
        worker.rack.free += worker.info.accelerators
        self.by_id[worker.worker_id] = worker
        self.by_rack.setdefault(worker.rack.key, []).append(worker)
        self.by_region.setdefault(worker.info.region, []).append(worker)


def _is_usable(view: FleetView, state: WorkerState) -> bool:
    if state.leaving or not zone_in_service(view.config, state.info.zone):
        return False
    health = view.health_by_worker.get(state.info.worker_id)
    return health is None or health.quarantined_until_ms <= view.now_ms


def _take_placements(view: FleetView, workers: dict[str, FreeWorker]) -> None:
    """Take what has been placed but isn't among the grants that a worker reports yet."""
    granted = set(_granted_members(view.workers_by_id.values()))
    for job in view.running_by_job.values():
        shape = job.spec.shape
        used = Resources(1, shape.processors, shape.memory_mb)
        for member, place in enumerate(job.placement):
            if (job.ref.job_id, member) in granted:
                continue
            worker = workers.get(place.worker_id)
            if worker is not None and worker.state.incarnation == place.incarnation:
                mask = mask_of(place.accelerators)
                worker.take(mask, used, job.spec.account, job.spec.interruptible)


def _granted_members(workers: Iterable[WorkerState]) -> Iterator[tuple[str, int]]:
    for state in workers:
        for grant in state.grants:
            yield grant.job_id, grant.member
