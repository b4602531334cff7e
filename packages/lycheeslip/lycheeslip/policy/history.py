"""What the planner learns from ended attempts, gathered in one place."""

from collections.abc import Mapping
from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobSpec

from lycheeslip.policy.health import HealthByWorker
from lycheeslip.policy.learn import RunTimes
from lycheeslip.policy.model import WorkerHealth
from lycheeslip.policy.usage import FleetTotals, UsageByAccount

__all__ = ["EndedAttempt", "History"]


class EndedAttempt(NamedTuple):
    """One attempt that ran; `is_whole` if it ran from the beginning to an answer.

    `blamed` is the worker on which it failed, "" if it didn't fail.
    """

    spec: JobSpec
    workers: tuple[str, ...]
    run_ms: int
    ended_at_ms: int
    is_whole: bool
    blamed: str = ""


class History:
    """Use by account, run times by class of job and health by worker.

    It is rebuilt from the job records that the store keeps, so that a new planner knows
    what the last one knew.
    """

    def __init__(self) -> None:
        """Start without history."""
        self._usage = UsageByAccount()
        self._run_times = RunTimes()
        self._health = HealthByWorker()

    def add(self, ended: EndedAttempt, totals: FleetTotals) -> None:
        """Take in one ended attempt; attempts come in the order in which they ended."""
        charge = totals.dominant_accelerators(ended.spec.shape) * ended.run_ms
        self._usage.add(ended.spec.account, charge, ended.ended_at_ms)
        if ended.is_whole:
            self._run_times.record(ended.spec, ended.run_ms)
            for worker_id in set(ended.workers):
                self._health.succeeded(worker_id)
        if ended.blamed:
            self._health.failed(ended.blamed, ended.ended_at_ms)

    def pardon(self, worker_ids: frozenset[str]) -> None:
        """Take the failures of one job back, since the job was at fault."""
        self._health.pardon(worker_ids)

    def expected_run_ms(self, spec: JobSpec) -> int:
        """Return the run time to plan with."""
        return self._run_times.expected_ms(spec)

    def used_accelerator_ms_by_account(self, now_ms: int) -> dict[str, float]:
        """Return what each account has used, older use counting less."""
        return self._usage.by_account(now_ms)

    def health_by_worker(self) -> Mapping[str, WorkerHealth]:
        """Return the workers that are in quarantine or on probation."""
        return self._health.by_worker()
