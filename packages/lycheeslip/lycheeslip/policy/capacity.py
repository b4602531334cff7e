"""Free resources of the fleet, indexed once per planning round."""

from collections.abc import Iterable, Iterator

from lycheeslip_common.structure.fleet import WorkerState

from lycheeslip.config.model import FleetConfig
from lycheeslip.policy.model import FleetView
from lycheeslip.policy.quiet import QuietRule, active_rule
from lycheeslip.policy.worker_capacity import Rack, RackKey, Resources, WorkerCapacity, mask_of

__all__ = ["Capacity", "zone_in_service"]


def zone_in_service(config: FleetConfig, zone_id: str) -> bool:
    """Return whether tasks may start in a zone.

    An undeclared zone is in service only if the configuration declares no zones at all.
    """
    if not config.zones_by_id:
        return True
    zone = config.zones_by_id.get(zone_id)
    return zone is not None and zone.in_service


class Capacity:
    """Workers on which new tasks may start, by worker id, rack and region."""

    def __init__(self, view: FleetView) -> None:
        """Index the usable workers of `view`.

        Workers that may not take new tasks still count towards the busy accelerators of
        their racks.
        """
        self.by_id: dict[str, WorkerCapacity] = {}
        self.by_rack: dict[RackKey, list[WorkerCapacity]] = {}
        self.by_region: dict[str, list[WorkerCapacity]] = {}
        self.racks_by_key: dict[RackKey, Rack] = {}
        self._rules_by_zone: dict[str, QuietRule | None] = {}
        all_workers = {
            worker_id: self._worker_capacity(view, view.workers_by_id[worker_id])
            for worker_id in sorted(view.workers_by_id)
        }
        _allocate_ungranted(view, all_workers)
        for worker in all_workers.values():
            if _is_usable(view, worker.state):
                self._add(worker)

    def __iter__(self) -> Iterator[WorkerCapacity]:
        return iter(self.by_id.values())

    def _worker_capacity(self, view: FleetView, state: WorkerState) -> WorkerCapacity:
        info = state.info
        health = view.health_by_worker.get(info.worker_id)
        homes = view.homes.get(info.worker_id, ())
        probation = health is not None and health.probation
        worker = WorkerCapacity(state, self._rack(view, RackKey(info.zone, info.rack)), probation)
        worker.set_homes(homes, view.config.accounts_by_id)
        for grant in state.grants:
            used = Resources(1, grant.processors, grant.memory_mb)
            worker.allocate(mask_of(grant.accelerators), used, grant.account, grant.interruptible)
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

    def _add(self, worker: WorkerCapacity) -> None:
        worker.rack.free += worker.info.accelerators
        self.by_id[worker.worker_id] = worker
        self.by_rack.setdefault(worker.rack.key, []).append(worker)
        self.by_region.setdefault(worker.info.region, []).append(worker)


def _is_usable(view: FleetView, state: WorkerState) -> bool:
    if state.leaving or not zone_in_service(view.config, state.info.zone):
        return False
    health = view.health_by_worker.get(state.info.worker_id)
    return health is None or health.quarantined_until_ms <= view.now_ms


def _allocate_ungranted(view: FleetView, workers: dict[str, WorkerCapacity]) -> None:
    """Allocate placed members that aren't among the grants reported by their workers yet."""
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
                worker.allocate(mask, used, job.spec.account, job.spec.interruptible)


def _granted_members(workers: Iterable[WorkerState]) -> Iterator[tuple[str, int]]:
    for state in workers:
        for grant in state.grants:
            yield grant.job_id, grant.member
