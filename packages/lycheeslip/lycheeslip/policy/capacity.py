"""Free resources of the fleet, indexed once for each round of planning."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lycheeslip_common.structure.fleet import Grant, WorkerState
from lycheeslip_common.structure.jobs import Shape

from lycheeslip.config.model import FleetConfig
from lycheeslip.policy.model import FleetView

__all__ = [
    "Capacity",
    "FreeWorker",
    "RackKey",
    "Resources",
    "mask_of",
    "used_accelerators",
    "zone_in_service",
]


class RackKey(NamedTuple):
    """Names a rack; rack names are unique only within their zone."""

    zone: str
    rack: str


class Resources(NamedTuple):
    """What a task takes from its worker besides accelerators."""

    slots: int = 0
    processors: int = 0
    memory_mb: int = 0

    def plus(self, other: "Resources", times: int = 1) -> "Resources":
        """Return the sum of this and `times` the other."""
        return Resources(
            self.slots + other.slots * times,
            self.processors + other.processors * times,
            self.memory_mb + other.memory_mb * times,
        )

    def at_least(self, other: "Resources") -> "Resources":
        """Return the larger of both for each resource."""
        return Resources(*map(max, self, other))


NOTHING = Resources()


def mask_of(indices: Iterable[int]) -> int:
    """Return a bit mask with the bits of `indices` set."""
    mask = 0
    for index in indices:
        mask |= 1 << index
    return mask


def zone_in_service(config: FleetConfig, zone_id: str) -> bool:
    """Return whether tasks may start in a zone; an undeclared zone only if none is declared."""
    if not config.zones_by_id:
        return True
    zone = config.zones_by_id.get(zone_id)
    return zone is not None and zone.in_service


class FreeWorker:
    """Free resources of one worker that may take new tasks; `free` is an accelerator mask."""

    __slots__ = (
        "firm",
        "free",
        "granted",
        "guards",
        "held_by",
        "held_until_ms",
        "home_masks",
        "homeless",
        "info",
        "probation",
        "rack",
        "resources",
        "state",
        "worker_id",
    )

    def __init__(self, state: WorkerState, homes: tuple[str, ...], probation: bool) -> None:
        """Index `state`, whose accelerators have the accounts `homes`."""
        info = state.info
        self.worker_id = info.worker_id
        self.info = info
        self.state = state
        self.rack = RackKey(info.zone, info.rack)
        self.probation = probation
        self.free = (1 << info.accelerators) - 1
        self.resources = Resources(info.slots, info.processors, info.memory_mb)
        self.home_masks: dict[str, int] = {}
        for index, account in enumerate(homes[: info.accelerators]):
            if account:
                self.home_masks[account] = self.home_masks.get(account, 0) | 1 << index
        self.homeless = self.free & ~sum(self.home_masks.values())
        self.guards: dict[str, Resources] = {}
        self.firm: dict[str, Resources] = {}
        self.granted = {(grant.job_id, grant.member) for grant in state.grants}
        self.held_by = ""
        self.held_until_ms = 0
        for grant in state.grants:
            self._take_grant(grant)

    def _take_grant(self, grant: Grant) -> None:
        used = Resources(1, grant.processors, grant.memory_mb)
        self.take(mask_of(grant.accelerators), used, grant.account, grant.interruptible)

    def take(self, mask: int, used: Resources, account: str, interruptible: bool) -> None:
        """Give out the accelerators of `mask` and the resources `used`."""
        self.free &= ~mask
        self.resources = self.resources.plus(used, -1)
        if self.home_masks and not interruptible:
            self.firm[account] = self.firm.get(account, NOTHING).plus(used)

    def give_back(self, mask: int, returned: Resources) -> None:
        """Take back what an interruptible task holds."""
        self.free |= mask
        self.resources = self.resources.plus(returned)

    def room_for(self, account: str, interruptible: bool) -> Resources:
        """Return the resources that a task of `account` may use.

        A task that can't be stopped leaves enough for every guarantee that has homes here.
        """
        if interruptible or not self.guards:
            return self.resources
        info = self.info
        spare = Resources(info.slots, info.processors, info.memory_mb)
        for owner in self.guards.keys() | self.firm.keys():
            firm = self.firm.get(owner, NOTHING)
            spare = spare.plus(firm.at_least(self.guards.get(owner, NOTHING)), -1)
        own_firm = self.firm.get(account, NOTHING)
        own_guard = self.guards.get(account, NOTHING)
        own_room = spare.plus(own_guard.at_least(own_firm)).plus(own_firm, -1)
        return Resources(*map(min, self.resources, own_room))


class Capacity:
    """Workers that may take new tasks, by id and by rack."""

    def __init__(self, view: FleetView) -> None:
        """Index the usable workers of `view`."""
        self.by_id: dict[str, FreeWorker] = {}
        self.by_rack: dict[RackKey, list[FreeWorker]] = {}
        self.by_region: dict[str, list[FreeWorker]] = {}
        for worker_id in sorted(view.workers_by_id):
            state = view.workers_by_id[worker_id]
            if self._usable(view, state):
                self._add(view, state)
        self._take_placements(view)

    def _take_placements(self, view: FleetView) -> None:
        """Take what has been placed but isn't among the grants that a worker reports yet."""
        for job in view.running_by_job.values():
            shape = job.spec.shape
            used = Resources(1, shape.processors, shape.memory_mb)
            for member, place in enumerate(job.placement):
                worker = self.by_id.get(place.worker_id)
                if worker is None or worker.state.incarnation != place.incarnation:
                    continue
                if (job.ref.job_id, member) not in worker.granted:
                    mask = mask_of(place.accelerators)
                    worker.take(mask, used, job.spec.account, job.spec.interruptible)

    @staticmethod
    def _usable(view: FleetView, state: WorkerState) -> bool:
        if state.leaving or not zone_in_service(view.config, state.info.zone):
            return False
        health = view.health_by_worker.get(state.info.worker_id)
        return health is None or health.quarantined_until_ms <= view.now_ms

    def _add(self, view: FleetView, state: WorkerState) -> None:
        info = state.info
        health = view.health_by_worker.get(info.worker_id)
        homes = view.homes.get(info.worker_id, ())
        free = FreeWorker(state, homes, health is not None and health.probation)
        free.guards = _guards(free, view.config)
        self.by_id[info.worker_id] = free
        self.by_rack.setdefault(free.rack, []).append(free)
        self.by_region.setdefault(info.region, []).append(free)

    def __iter__(self) -> Iterator[FreeWorker]:
        return iter(self.by_id.values())


def _guards(worker: FreeWorker, config: FleetConfig) -> dict[str, Resources]:
    guards = {}
    for account_id, mask in worker.home_masks.items():
        account = config.accounts_by_id.get(account_id)
        if account is not None and account.guarantee is not None:
            guards[account_id] = _guard(account.guarantee, mask.bit_count())
    return guards


def _guard(guarantee: Shape, homes: int) -> Resources:
    members = homes // max(1, guarantee.accelerators)
    return NOTHING.plus(Resources(1, guarantee.processors, guarantee.memory_mb), members)


def used_accelerators(view: FleetView) -> dict[str, int]:
    """Return the accelerators that each account holds in running jobs that aren't stopping."""
    used: dict[str, int] = {}
    for job in view.running_by_job.values():
        if not job.stopping:
            account = job.spec.account
            used[account] = used.get(account, 0) + job.spec.shape.total_accelerators
    return used
