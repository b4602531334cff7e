"""Brings running work under the limits of quiet hours."""

from collections.abc import Iterable

from lycheeslip_common.structure.jobs import JobKind
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.policy.free_worker import Rack, RackKey
from lycheeslip.policy.model import Act, RunningJob
from lycheeslip.policy.occupants import lost_work
from lycheeslip.policy.planning_round import PlanningRound
from lycheeslip.policy.quiet import QuietRule

__all__ = ["enforce_quiet_hours"]


def enforce_quiet_hours(round_: PlanningRound) -> None:
    """Checkpoint or throttle what runs over a rack's limit; undo throttling afterwards.

    Work that can't be interrupted is only ever throttled.
    """
    over = _Throttled(round_)
    for rack in round_.capacity.racks_by_key.values():
        if rack.rule is not None:
            _enforce(round_, rack, rack.rule, over)
    over.act()


def _enforce(round_: PlanningRound, rack: Rack, rule: QuietRule, throttled: "_Throttled") -> None:
    jobs = [job for job in _jobs_of(round_, rack.key) if not round_.is_stopping(job)]
    jobs.sort(key=lambda job: lost_work(job, round_.view.now_ms))
    busy = sum(_in_rack(round_, job, rack.key) for job in jobs)
    for job in jobs:
        if busy <= rule.max_busy:
            break
        if job.spec.interruptible and not _is_exempt(job, rule):
            round_.stop(job, ControlAction.CHECKPOINT, "quiet_hours")
            busy -= _in_rack(round_, job, rack.key)
    if rule.throttle or busy > rule.max_busy:
        throttled.add(job for job in jobs if not _is_exempt(job, rule))


def _is_exempt(job: RunningJob, rule: QuietRule) -> bool:
    return rule.urgent_exempt and job.spec.kind is JobKind.URGENT


def _jobs_of(round_: PlanningRound, key: RackKey) -> list[RunningJob]:
    workers = round_.workers_by_rack.get(key, ())
    return round_.occupants.of_workers(workers)


def _in_rack(round_: PlanningRound, job: RunningJob, key: RackKey) -> int:
    workers = round_.workers_by_rack[key]
    return sum(len(place.accelerators) for place in job.placement if place.worker_id in workers)


class _Throttled:
    """Which jobs should run slowly, and which do."""

    def __init__(self, round_: PlanningRound) -> None:
        self._round = round_
        self._wanted: dict[str, RunningJob] = {}

    def add(self, jobs: Iterable[RunningJob]) -> None:
        """Want these jobs throttled."""
        self._wanted.update((job.ref.job_id, job) for job in jobs)

    def act(self) -> None:
        """Throttle and unthrottle what differs from what workers report."""
        now, grants = set(), set()
        for state in self._round.view.workers_by_id.values():
            for grant in state.grants:
                grants.add(grant.job_id)
                if grant.throttled:
                    now.add(grant.job_id)
        for job_id, job in self._wanted.items():
            if job_id in grants and job_id not in now and not self._round.is_stopping(job):
                self._order(job, ControlAction.THROTTLE)
        for job_id in sorted(now - self._wanted.keys()):
            slowed = self._round.view.running_by_job.get(job_id)
            if slowed is not None and not self._round.is_stopping(slowed):
                self._order(slowed, ControlAction.UNTHROTTLE)

    def _order(self, job: RunningJob, action: ControlAction) -> None:
        self._round.actions.append(Act(job.ref, action, 0, "quiet_hours"))
