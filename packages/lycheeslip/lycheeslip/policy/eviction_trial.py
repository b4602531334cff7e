"""Dry run of evictions: whether a gang would fit if certain running jobs ended."""

from lycheeslip.policy.demand import Demand, members_that_fit, rack_headroom
from lycheeslip.policy.model import RunningJob
from lycheeslip.policy.placement import Allocation, choose_allocations, pick_member
from lycheeslip.policy.running_job_index import RunningJobIndex
from lycheeslip.policy.worker_capacity import RackKey, Resources, WorkerCapacity, mask_of

__all__ = ["EvictionTrial"]


class EvictionTrial:
    """A group of workers on which the end of jobs is simulated, and how many members then fit.

    Only `claim` changes the actual workers.
    """

    def __init__(
        self, group: list[WorkerCapacity], demand: Demand, running_index: RunningJobIndex
    ) -> None:
        """Start from the resources of `group` that are free now."""
        self._running_index = running_index
        self._demand = demand
        self._simulated_workers = {worker.worker_id: worker for worker in group}
        self._actual_workers = dict(self._simulated_workers)
        self._fit_by_worker: dict[str, int] = {}
        self._fit_by_rack: dict[RackKey, int] = {}
        self._headroom_by_rack: dict[RackKey, int] = {}
        self._fitting_members = 0
        for worker in group:
            self._headroom_by_rack.setdefault(worker.rack.key, rack_headroom(worker, demand))
            self._update_fit(worker)

    def release(self, job: RunningJob) -> None:
        """Simulate the end of `job`."""
        changed = {}
        shape = job.spec.shape
        returned = Resources(1, shape.processors, shape.memory_mb)
        for place in self._running_index.placements_on(job, self._actual_workers):
            if self._actual_workers[place.worker_id].state.incarnation == place.incarnation:
                trial = self._simulated_worker(place.worker_id)
                mask = mask_of(place.accelerators)
                trial.deallocate(mask, returned, job.spec.account, job.spec.interruptible)
                self._add_headroom(trial.rack.key, len(place.accelerators))
                changed[place.worker_id] = trial
        for trial in changed.values():
            self._update_fit(trial)

    def fits(self) -> bool:
        """Return whether the whole gang would fit in the simulated state."""
        return self._fitting_members >= self._demand.shape.members

    def allocations(self) -> tuple[Allocation, ...]:
        """Return the allocation of the gang to workers, whether or not quiet hours permit it."""
        return choose_allocations(
            self._simulated_workers.values(), self._demand._replace(ignore_quiet=True)
        )

    def claim(self) -> None:
        """Claim the accelerators for the gang, so that later jobs of the round can't use them."""
        for allocation in self.allocations():
            actual = self._actual_workers[allocation.worker.worker_id]
            trial = allocation.worker.trial_copy()
            for _ in range(allocation.members):
                mask = mask_of(pick_member(trial, self._demand))
                trial.claim(mask, self._demand.member_resources)
                actual.claim(mask, self._demand.member_resources)

    def _update_fit(self, worker: WorkerCapacity) -> None:
        key = worker.rack.key
        before = self._members_fitting_rack(key)
        fit = members_that_fit(worker, self._demand)
        growth = fit - self._fit_by_worker.get(worker.worker_id, 0)
        self._fit_by_worker[worker.worker_id] = fit
        self._fit_by_rack[key] = self._fit_by_rack.get(key, 0) + growth
        self._fitting_members += self._members_fitting_rack(key) - before

    def _add_headroom(self, key: RackKey, accelerators: int) -> None:
        before = self._members_fitting_rack(key)
        self._headroom_by_rack[key] += accelerators
        self._fitting_members += self._members_fitting_rack(key) - before

    def _members_fitting_rack(self, key: RackKey) -> int:
        fit = self._fit_by_rack.get(key, 0)
        per_member = self._demand.shape.accelerators
        return min(fit, self._headroom_by_rack[key] // per_member) if per_member else fit

    def _simulated_worker(self, worker_id: str) -> WorkerCapacity:
        trial = self._simulated_workers[worker_id]
        if trial is self._actual_workers[worker_id]:
            trial = trial.trial_copy()
            self._simulated_workers[worker_id] = trial
        return trial
