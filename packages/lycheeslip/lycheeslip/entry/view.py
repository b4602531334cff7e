"""Builds the policy's view of the fleet from the blackboard."""

from collections.abc import Mapping

from lycheeslip_common.structure.fleet import Grant, GrantState, WorkerState
from lycheeslip_common.structure.jobs import JobState, MemberPlacement
from lycheeslip_common.utils.clock import wall_ms

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.controls import attempt_ref
from lycheeslip.entry.history import History
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.entry.lifecycle import blamed_workers
from lycheeslip.policy.model import FleetView, RunningJob, WaitingJob

__all__ = ["Placements", "build_view", "waiting_job"]

Placements = Mapping[str, tuple[MemberPlacement, ...]]
"""Placements, by job id, of attempts that are being started."""


def waiting_job(job: TrackedJob, history: History) -> WaitingJob:
    """Return the policy's view of a pending job."""
    record = job.record
    return WaitingJob(
        job_id=record["job_id"],
        spec=record["spec"],
        waiting_since_ms=record["accepted_at_ms"],
        expected_run_ms=history.run_times.expected_ms(record["spec"]),
        attempts=record["attempt"],
        avoided_workers=blamed_workers(record),
    )


def build_view(
    board: Blackboard,
    history: History,
    waiting: tuple[WaitingJob, ...],
    pending_placements: Placements,
    stopping: frozenset[str],
) -> FleetView:
    """Return the view for one round; `stopping` holds the keys of attempts told to stop."""
    now_ms = wall_ms()
    running = {
        job.record["job_id"]: _running_job(job, history, stopping, now_ms)
        for job in board.jobs.in_state(JobState.STARTED)
    }
    return FleetView(
        now_ms=now_ms,
        config=board.config,
        workers_by_id=_workers_with_placements(board, pending_placements),
        waiting=waiting,
        running_by_job=running,
        homes=board.homes.homes,
        used_accelerator_ms_by_account=history.usage.by_account(now_ms),
        health_by_worker=history.health.by_worker(),
        reservation=board.reservation,
    )


def _running_job(
    job: TrackedJob, history: History, stopping: frozenset[str], now_ms: int
) -> RunningJob:
    record = job.record
    ref = attempt_ref(record)
    started_at_ms = record["started_at_ms"] or now_ms
    return RunningJob(
        ref=ref,
        spec=record["spec"],
        placement=record["placement"],
        started_at_ms=started_at_ms,
        expected_end_at_ms=started_at_ms + history.run_times.expected_ms(record["spec"]),
        stopping=ref.key in stopping,
    )


def _workers_with_placements(
    board: Blackboard, pending_placements: Placements
) -> dict[str, WorkerState]:
    """Return connected workers, with grants for placements that agents have not reported yet."""
    states = {
        worker_id: view.state
        for worker_id, view in board.workers_by_id.items()
        if not view.disconnected_at_ms
    }
    for job_id, placement in pending_placements.items():
        job = board.jobs.by_id.get(job_id)
        if job is None:
            continue
        for member, place in enumerate(placement):
            state = states.get(place.worker_id)
            if state is not None:
                states[place.worker_id] = _with_grant(state, job, member, place)
    return states


def _with_grant(
    state: WorkerState, job: TrackedJob, member: int, place: MemberPlacement
) -> WorkerState:
    job_id = job.record["job_id"]
    if any(grant.job_id == job_id and grant.member == member for grant in state.grants):
        return state
    spec = job.record["spec"]
    grant = Grant(
        job_id=job_id,
        epoch=job.record["epoch"],
        attempt=job.record["attempt"],
        member=member,
        owner=job.record["owner"],
        account=spec.account,
        kind=spec.kind,
        accelerators=place.accelerators,
        processors=spec.shape.processors,
        memory_mb=spec.shape.memory_mb,
        interruptible=spec.interruptible,
        state=GrantState.RESERVED,
    )
    return state._replace(grants=(*state.grants, grant))
