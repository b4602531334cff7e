"""Evacuation of zones that are out of service and of workers that are leaving."""

from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.capacity import zone_in_service
from lycheeslip.policy.model import RunningJob
from lycheeslip.policy.planning_round import PlanningRound

__all__ = ["evacuate"]


def evacuate(round_: PlanningRound) -> None:
    """Checkpoint interruptible jobs on workers to be evacuated; other jobs run to completion."""
    reason_by_worker = {
        worker_id: reason
        for worker_id in round_.view.workers_by_id
        if (reason := _reason(round_, worker_id))
    }
    if not reason_by_worker:
        return
    for job in round_.view.running_by_job.values():
        reason = _first_reason(job, reason_by_worker)
        if reason and job.spec.interruptible:
            round_.stop(job, ControlAction.CHECKPOINT, reason)


def _first_reason(job: RunningJob, reason_by_worker: dict[str, str]) -> str:
    for place in job.placement:
        if place.worker_id in reason_by_worker:
            return reason_by_worker[place.worker_id]
    return ""


def _reason(round_: PlanningRound, worker_id: str) -> str:
    state = round_.view.workers_by_id[worker_id]
    if not zone_in_service(round_.view.config, state.info.zone):
        return "zone_out_of_service"
    return "worker_leaving" if state.leaving else ""
