"""Detection of workers on which jobs fail that succeed on other workers."""

from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from lycheeslip.policy.model import WorkerHealth

__all__ = ["HealthByWorker", "is_job_at_fault"]

INITIAL_QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 3_600_000
MIN_FAILURES = 3
MIN_EXCESS_FAILURE_RATIO = 0.4
SMOOTHING_FACTOR = 0.2
MIN_HEALTHY_WORKERS_FAILED = 3


class _FailureRecord(NamedTuple):
    """Smoothed failure ratio of one worker, and its failures since the last success.

    `quarantines` counts the quarantines since then; each lasts twice as long as the one before,
    up to a maximum. A worker is on probation from its first quarantine to its next success.
    """

    ratio: float = 0.0
    failures: int = 0
    quarantines: int = 0
    quarantined_until_ms: int = 0
    probation: bool = False


class HealthByWorker:
    """Health of each worker, judged by its failures compared with the rest of the fleet."""

    def __init__(self) -> None:
        """Start with every worker healthy."""
        self._by_worker: dict[str, _FailureRecord] = {}

    def succeeded(self, worker_id: str) -> None:
        """Record a successful attempt, which ends probation."""
        record = self._by_worker.get(worker_id, _FailureRecord())
        ratio = record.ratio * (1 - SMOOTHING_FACTOR)
        quarantines = record.quarantines if not record.probation else 0
        self._by_worker[worker_id] = _FailureRecord(ratio, 0, quarantines)

    def failed(self, worker_id: str, now_ms: int) -> bool:
        """Record a failure on `worker_id`; return whether the worker was quarantined for it."""
        record = self._by_worker.get(worker_id, _FailureRecord())
        ratio = record.ratio * (1 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR
        record = record._replace(ratio=ratio, failures=record.failures + 1)
        self._by_worker[worker_id] = record
        if record.quarantined_until_ms > now_ms:
            return False
        if not record.probation and not self._fails_more_than_fleet(worker_id, record):
            return False
        length = min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS << record.quarantines)
        self._by_worker[worker_id] = record._replace(
            quarantines=min(record.quarantines + 1, 16),
            quarantined_until_ms=now_ms + length,
            probation=True,
        )
        return True

    def discount_failure(self, worker_ids: frozenset[str]) -> None:
        """Subtract one failure from each worker, since the job was at fault."""
        for worker_id in worker_ids & self._by_worker.keys():
            record = self._by_worker[worker_id]
            ratio = max(0.0, record.ratio - SMOOTHING_FACTOR)
            failures = max(0, record.failures - 1)
            self._by_worker[worker_id] = record._replace(ratio=ratio, failures=failures)

    def forget(self, worker_id: str) -> None:
        """Drop the record of a worker that has been replaced."""
        self._by_worker.pop(worker_id, None)

    def by_worker(self) -> Mapping[str, WorkerHealth]:
        """Return the health of workers in quarantine or on probation; all others are healthy."""
        return {
            worker_id: WorkerHealth(record.quarantined_until_ms, record.probation)
            for worker_id, record in self._by_worker.items()
            if record.probation
        }

    def _fails_more_than_fleet(self, worker_id: str, record: _FailureRecord) -> bool:
        if record.failures < MIN_FAILURES:
            return False
        others = [other.ratio for key, other in self._by_worker.items() if key != worker_id]
        fleet_ratio = median(others) if others else 0.0
        return record.ratio - fleet_ratio >= MIN_EXCESS_FAILURE_RATIO


def is_job_at_fault(
    failed_on: frozenset[str], health_by_worker: Mapping[str, WorkerHealth]
) -> bool:
    """Return whether a job is at fault itself, since it failed on several healthy workers."""
    healthy = [worker_id for worker_id in failed_on if worker_id not in health_by_worker]
    return len(healthy) >= MIN_HEALTHY_WORKERS_FAILED
