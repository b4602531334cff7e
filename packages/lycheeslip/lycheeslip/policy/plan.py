"""One round of planning: from what is known of the fleet to a list of actions."""

from lycheeslip_common.structure.jobs import JobKind

from lycheeslip.policy.capacity import Capacity
from lycheeslip.policy.model import Action, Explain, FleetView, Place, WaitingJob
from lycheeslip.policy.placement import demand_of, find_placement

__all__ = ["plan"]


def plan(view: FleetView) -> list[Action]:
    """Return what to do now for the waiting and running jobs of `view`."""
    capacity = Capacity(view)
    actions: list[Action] = []
    for job in sorted(view.waiting, key=_order):
        placement = find_placement(capacity, demand_of(job, view.now_ms))
        if placement is None:
            actions.append(Explain(job.job_id, "no_capacity", "no free workers hold the gang"))
        else:
            actions.append(Place(job.job_id, placement))
    return actions


def _order(job: WaitingJob) -> tuple[bool, float, int, str]:
    urgent = job.spec.kind is JobKind.URGENT
    deadline = job.spec.deadline_at_ms if urgent and job.spec.deadline_at_ms else float("inf")
    return not urgent, deadline, job.waiting_since_ms, job.job_id
