"""Enforcement of quiet hours on running jobs."""

from collections.abc import Iterable

from lycheeslip_common.structure.jobs import JobKind
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.model import Act, RunningJob
from lycheeslip.policy.planning_round import PlanningRound
from lycheeslip.policy.quiet import QuietRule
from lycheeslip.policy.running_job_index import preemption_cost
from lycheeslip.policy.worker_capacity import Rack, RackKey

__all__ = ["enforce_quiet_hours"]


def enforce_quiet_hours(round_: PlanningRound) -> None:
    """Checkpoint or throttle jobs on racks above their limit; unthrottle jobs afterwards.

    Uninterruptible jobs are throttled, never checkpointed.
    """
    throttle_plan = _ThrottlePlan(round_)
    for rack in round_.capacity.racks_by_key.values():
        if rack.rule is not None:
            _enforce(round_, rack, rack.rule, throttle_plan)
    throttle_plan.append_actions()


def _enforce(
    round_: PlanningRound, rack: Rack, rule: QuietRule, throttle_plan: "_ThrottlePlan"
) -> None:
    jobs = [job for job in _jobs_of(round_, rack.key) if not round_.is_stopping(job)]
    jobs.sort(key=lambda job: preemption_cost(job, round_.view.now_ms))
    busy = sum(_accelerators_in_rack(round_, job, rack.key) for job in jobs)
    for job in jobs:
        if busy <= rule.max_busy:
            break
        if job.spec.interruptible and not _is_exempt(job, rule):
            round_.stop(job, ControlAction.CHECKPOINT, "quiet_hours")
            busy -= _accelerators_in_rack(round_, job, rack.key)
    if rule.throttle or busy > rule.max_busy:
        throttle_plan.add(job for job in jobs if not _is_exempt(job, rule))


def _is_exempt(job: RunningJob, rule: QuietRule) -> bool:
    return rule.urgent_exempt and job.spec.kind is JobKind.URGENT


def _jobs_of(round_: PlanningRound, key: RackKey) -> list[RunningJob]:
    workers = round_.workers_by_rack.get(key, ())
    return round_.running_index.jobs_on_workers(workers)


def _accelerators_in_rack(round_: PlanningRound, job: RunningJob, key: RackKey) -> int:
    workers = round_.workers_by_rack[key]
    return sum(len(place.accelerators) for place in job.placement if place.worker_id in workers)


class _ThrottlePlan:
    """Jobs to be throttled, reconciled with the throttling that workers report."""

    def __init__(self, round_: PlanningRound) -> None:
        self._round = round_
        self._wanted: dict[str, RunningJob] = {}

    def add(self, jobs: Iterable[RunningJob]) -> None:
        """Add jobs that are to be throttled."""
        self._wanted.update((job.ref.job_id, job) for job in jobs)

    def append_actions(self) -> None:
        """Add throttle and unthrottle actions for jobs whose reported state differs."""
        throttled, granted = set(), set()
        for state in self._round.view.workers_by_id.values():
            for grant in state.grants:
                granted.add(grant.job_id)
                if grant.throttled:
                    throttled.add(grant.job_id)
        for job_id, job in self._wanted.items():
            if job_id in granted and job_id not in throttled and not self._round.is_stopping(job):
                self._append_action(job, ControlAction.THROTTLE)
        for job_id in sorted(throttled - self._wanted.keys()):
            throttled_job = self._round.view.running_by_job.get(job_id)
            if throttled_job is not None and not self._round.is_stopping(throttled_job):
                self._append_action(throttled_job, ControlAction.UNTHROTTLE)

    def _append_action(self, job: RunningJob, action: ControlAction) -> None:
        self._round.actions.append(Act(job.ref, action, 0, "quiet_hours"))
