"""Backfilling by declared run times, with a reservation for the oldest blocked job."""

from lycheeslip.policy.demand import Demand, demand_of
from lycheeslip.policy.model import Action, Explain, FleetView, Place
from lycheeslip.policy.planning_round import PlanningRound
from lycheeslip.policy.reservation import reserve_for_gang

from benchmarks.baselines.first_fit import place_first

__all__ = ["plan"]


def plan(view: FleetView) -> list[Action]:
    """Start jobs by age; one that overtakes the oldest blocked job must not delay its start."""
    # Non-repeatable jobs are never stopped, so the reservation waits for running jobs to end.
    non_repeatable = {
        job_id: job._replace(spec=job.spec._replace(repeatable=False))
        for job_id, job in view.running_by_job.items()
    }
    round_ = PlanningRound(view._replace(running_by_job=non_repeatable))
    actions: list[Action] = []
    has_reservation = False
    for job in sorted(view.waiting, key=lambda job: (job.waiting_since_ms, job.job_id)):
        demand = demand_of(job._replace(expected_run_ms=job.spec.expected_run_ms), view.now_ms)
        placement = place_first(round_.capacity, _avoid_reserved_workers(round_, demand))
        if placement:
            actions.append(Place(job.job_id, placement))
            continue
        actions.append(Explain(job.job_id, "no_capacity", "does not fit now"))
        if not has_reservation:
            has_reservation = reserve_for_gang(round_, job, demand)
    return actions


def _avoid_reserved_workers(round_: PlanningRound, demand: Demand) -> Demand:
    """Avoid reserved workers that the job would not free by the end of their reservation."""
    reserved = {
        worker.worker_id
        for worker in round_.capacity
        if worker.reserved_for and not 0 < demand.ends_at_ms <= worker.reserved_until_ms
    }
    return demand._replace(avoided_workers=demand.avoided_workers | reserved)
