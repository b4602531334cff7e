"""Tries out which running jobs would have to end for a gang to fit."""

from lycheeslip.policy.demand import Demand, members_that_fit, rack_room
from lycheeslip.policy.free_worker import FreeWorker, RackKey, Resources, mask_of
from lycheeslip.policy.model import RunningJob
from lycheeslip.policy.occupants import Occupants
from lycheeslip.policy.placement import Share, choose_shares, pick_member

__all__ = ["EvictionTrial"]


class EvictionTrial:
    """A group of workers on which jobs are supposed to have ended; nothing real changes."""

    def __init__(self, group: list[FreeWorker], demand: Demand, occupants: Occupants) -> None:
        """Start from what is free now."""
        self._occupants = occupants
        self._demand = demand
        self._trials = {worker.worker_id: worker for worker in group}
        self._real = dict(self._trials)
        self._fit_by_worker: dict[str, int] = {}
        self._fit_by_rack: dict[RackKey, int] = {}
        self._room_by_rack: dict[RackKey, int] = {}
        self._members = 0
        for worker in group:
            self._room_by_rack.setdefault(worker.rack.key, rack_room(worker, demand))
            self._update(worker)

    def release(self, job: RunningJob) -> None:
        """Suppose that `job` has ended."""
        changed = {}
        shape = job.spec.shape
        returned = Resources(1, shape.processors, shape.memory_mb)
        for place in self._occupants.places(job, self._real):
            if self._real[place.worker_id].state.incarnation == place.incarnation:
                trial = self._trial(place.worker_id)
                mask = mask_of(place.accelerators)
                trial.give_back(mask, returned, job.spec.account, job.spec.interruptible)
                self._add_room(trial.rack.key, len(place.accelerators))
                changed[place.worker_id] = trial
        for trial in changed.values():
            self._update(trial)

    def fits(self) -> bool:
        """Return whether the whole gang would fit."""
        return self._members >= self._demand.shape.members

    def shares(self) -> tuple[Share, ...]:
        """Return which workers would hold the gang."""
        return choose_shares(self._trials.values(), self._demand._replace(ignore_quiet=True))

    def claim(self) -> None:
        """Promise the accelerators to the gang, so that no later job gets them."""
        for share in self.shares():
            real = self._real[share.worker.worker_id]
            trial = share.worker.supposing()
            for _ in range(share.members):
                mask = mask_of(pick_member(trial, self._demand))
                trial.claim(mask, self._demand.member_resources)
                real.claim(mask, self._demand.member_resources)

    def _update(self, worker: FreeWorker) -> None:
        key = worker.rack.key
        before = self._rack_members(key)
        fit = members_that_fit(worker, self._demand)
        growth = fit - self._fit_by_worker.get(worker.worker_id, 0)
        self._fit_by_worker[worker.worker_id] = fit
        self._fit_by_rack[key] = self._fit_by_rack.get(key, 0) + growth
        self._members += self._rack_members(key) - before

    def _add_room(self, key: RackKey, accelerators: int) -> None:
        before = self._rack_members(key)
        self._room_by_rack[key] += accelerators
        self._members += self._rack_members(key) - before

    def _rack_members(self, key: RackKey) -> int:
        fit = self._fit_by_rack.get(key, 0)
        per_member = self._demand.shape.accelerators
        return min(fit, self._room_by_rack[key] // per_member) if per_member else fit

    def _trial(self, worker_id: str) -> FreeWorker:
        trial = self._trials[worker_id]
        if trial is self._real[worker_id]:
            trial = trial.supposing()
            self._trials[worker_id] = trial
        return trial
