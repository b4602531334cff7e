"""First come, first served with first-fit placement in the order of arrival."""

from lycheeslip.policy.capacity import Capacity
from lycheeslip.policy.demand import demand_of
from lycheeslip.policy.model import Action, Explain, FleetView, Place

from benchmarks.baselines.first_fit import place_first

__all__ = ["plan"]


def plan(view: FleetView) -> list[Action]:
    """Start each waiting job that fits, oldest first; running jobs are never stopped."""
    capacity = Capacity(view)
    actions: list[Action] = []
    for job in sorted(view.waiting, key=lambda job: (job.waiting_since_ms, job.job_id)):
        placement = place_first(capacity, demand_of(job, view.now_ms))
        if placement:
            actions.append(Place(job.job_id, placement))
        else:
            actions.append(Explain(job.job_id, "no_capacity", "does not fit now"))
    return actions
