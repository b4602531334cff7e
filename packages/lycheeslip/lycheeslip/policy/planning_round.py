"""Shared state of the steps of one planning round."""

from collections.abc import Hashable

from lycheeslip_common.structure.jobs import MemberPlacement, Shape
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.capacity import Capacity
from lycheeslip.policy.model import (
    Act,
    Action,
    Explain,
    FleetView,
    Place,
    RackReservation,
    RunningJob,
)
from lycheeslip.policy.order import used_accelerators
from lycheeslip.policy.running_job_index import RunningJobIndex
from lycheeslip.policy.worker_capacity import RackKey

__all__ = ["PlanningRound"]


class PlanningRound:
    """Indexes, limits and decisions so far of one planning round."""

    def __init__(self, view: FleetView) -> None:
        """Index `view` for all steps of the round."""
        self.view = view
        self.capacity = Capacity(view)
        self.running_index = RunningJobIndex(view)
        self.used = used_accelerators(view)
        self.actions: list[Action] = []
        self.reservations: list[RackReservation] = []
        self.reclaim_attempts = 0
        self.placed = 0
        self.failed_reclaims: set[Hashable] = set()
        self.failed_signatures: set[Hashable] = set()
        self.only_avoided_workers_fit: dict[tuple[Shape, frozenset[str]], bool] = {}
        self.reason_by_signature: dict[Hashable, str] = {}
        self.workers_by_rack = _workers_by_rack(view)
        self._stopping = {job.ref.job_id for job in view.running_by_job.values() if job.stopping}

    def is_stopping(self, job: RunningJob) -> bool:
        """Return whether the job is stopping already or is stopped in this round."""
        return job.ref.job_id in self._stopping

    def guaranteed_accelerators(self, account_id: str) -> int:
        """Return the number of accelerators guaranteed to the account, 0 without a guarantee."""
        account = self.view.config.accounts_by_id.get(account_id)
        if account is None or account.guarantee is None:
            return 0
        return account.guarantee.total_accelerators

    def borrows(self, account_id: str, less: int = 0) -> bool:
        """Return whether the account exceeds its guarantee, even with `less` accelerators fewer."""
        return self.used.get(account_id, 0) - less > self.guaranteed_accelerators(account_id)

    def place(self, job_id: str, account: str, placement: tuple[MemberPlacement, ...]) -> None:
        """Add the action for a placement that has been allocated from the capacity."""
        size = sum(len(place.accelerators) for place in placement)
        self.used[account] = self.used.get(account, 0) + size
        self.placed += 1
        self.actions.append(Place(job_id, placement))

    def stop(self, job: RunningJob, action: ControlAction, reason: str) -> None:
        """Add the action that stops a running job, unless the job is stopping already."""
        if self.is_stopping(job):
            return
        self._stopping.add(job.ref.job_id)
        self.used[job.spec.account] -= job.spec.shape.total_accelerators
        grace_ms = self.view.config.limits.reclaim_grace_ms
        self.actions.append(Act(job.ref, action, grace_ms, reason))

    def explain(self, job_id: str, reason: str, detail: str) -> None:
        """Add the reason why a waiting job is not placed."""
        self.actions.append(Explain(job_id, reason, detail))


def _workers_by_rack(view: FleetView) -> dict[RackKey, set[str]]:
    by_rack: dict[RackKey, set[str]] = {}
    for worker_id, state in view.workers_by_id.items():
        key = RackKey(state.info.zone, state.info.rack)
        by_rack.setdefault(key, set()).add(worker_id)
    return by_rack
