"""The blackboard of one round of planning."""

from collections.abc import Hashable

from lycheeslip_common.structure.jobs import MemberPlacement, Shape
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.capacity import Capacity
from lycheeslip.policy.free_worker import RackKey
from lycheeslip.policy.model import (
    Act,
    Action,
    Explain,
    FleetView,
    Place,
    RackReservation,
    RunningJob,
)
from lycheeslip.policy.occupants import Occupants
from lycheeslip.policy.order import used_accelerators

__all__ = ["PlanningRound"]


class PlanningRound:
    """What one round of planning knows and has decided so far."""

    def __init__(self, view: FleetView) -> None:
        """Index `view` once."""
        self.view = view
        self.capacity = Capacity(view)
        self.occupants = Occupants(view)
        self.used = used_accelerators(view)
        self.actions: list[Action] = []
        self.reservations: list[RackReservation] = []
        self.claims = 0
        self.placed = 0
        self.failed_claims: set[Hashable] = set()
        self.failed_signatures: set[Hashable] = set()
        self.nowhere_else: dict[tuple[Shape, frozenset[str]], bool] = {}
        self.reason_by_signature: dict[Hashable, str] = {}
        self.workers_by_rack = _workers_by_rack(view)
        self._stopping = {job.ref.job_id for job in view.running_by_job.values() if job.stopping}

    def is_stopping(self, job: RunningJob) -> bool:
        """Return whether the job has been told to end."""
        return job.ref.job_id in self._stopping

    def guarantee_of(self, account_id: str) -> int:
        """Return the accelerators of the account's guarantee."""
        account = self.view.config.accounts_by_id.get(account_id)
        if account is None or account.guarantee is None:
            return 0
        return account.guarantee.total_accelerators

    def borrows(self, account_id: str, less: int = 0) -> bool:
        """Return whether the account uses more than its guarantee, even with `less` fewer."""
        return self.used.get(account_id, 0) - less > self.guarantee_of(account_id)

    def place(self, job_id: str, account: str, placement: tuple[MemberPlacement, ...]) -> None:
        """Decide on a placement that has been taken from the capacity."""
        size = sum(len(place.accelerators) for place in placement)
        self.used[account] = self.used.get(account, 0) + size
        self.placed += 1
        self.actions.append(Place(job_id, placement))

    def stop(self, job: RunningJob, action: ControlAction, reason: str) -> None:
        """Decide to stop a running job, unless it stops already."""
        if self.is_stopping(job):
            return
        self._stopping.add(job.ref.job_id)
        self.used[job.spec.account] -= job.spec.shape.total_accelerators
        grace_ms = self.view.config.limits.reclaim_grace_ms
        self.actions.append(Act(job.ref, action, grace_ms, reason))

    def explain(self, job_id: str, reason: str, detail: str) -> None:
        """Say why a waiting job is not placed."""
        self.actions.append(Explain(job_id, reason, detail))


def _workers_by_rack(view: FleetView) -> dict[RackKey, set[str]]:
    by_rack: dict[RackKey, set[str]] = {}
    for worker_id, state in view.workers_by_id.items():
        key = RackKey(state.info.zone, state.info.rack)
        by_rack.setdefault(key, set()).add(worker_id)
    return by_rack
