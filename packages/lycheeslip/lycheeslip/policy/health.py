"""Finds workers that fail work which runs well elsewhere."""

from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from lycheeslip.policy.model import WorkerHealth

__all__ = ["HealthByWorker", "is_fault_of_job"]

FIRST_QUARANTINE_MS = 30_000
LONGEST_QUARANTINE_MS = 3_600_000
MIN_FAILURES = 3
FAILURE_EXCESS = 0.4
WEIGHT_OF_LATEST = 0.2
HEALTHY_WORKERS_TO_BLAME_JOB = 3


class _Record(NamedTuple):
    """How one worker fares: smoothed failure ratio, failures since the last success."""

    ratio: float = 0.0
    failures: int = 0
    quarantines: int = 0
    until_ms: int = 0
    probation: bool = False


class HealthByWorker:
    """Compares each worker's failures with those of the rest of the fleet."""

    def __init__(self) -> None:
        """Start with every worker healthy."""
        self._by_worker: dict[str, _Record] = {}

    def succeeded(self, worker_id: str) -> None:
        """Count an attempt that ended well; ends probation."""
        record = self._by_worker.get(worker_id, _Record())
        ratio = record.ratio * (1 - WEIGHT_OF_LATEST)
        quarantines = record.quarantines if not record.probation else 0
        self._by_worker[worker_id] = _Record(ratio, 0, quarantines)

    def failed(self, worker_id: str, now_ms: int) -> bool:
        """Count a failure on `worker_id`; return whether that put it into quarantine."""
        record = self._by_worker.get(worker_id, _Record())
        ratio = record.ratio * (1 - WEIGHT_OF_LATEST) + WEIGHT_OF_LATEST
        record = record._replace(ratio=ratio, failures=record.failures + 1)
        self._by_worker[worker_id] = record
        if record.until_ms > now_ms:
            return False
        if not record.probation and not self._is_worse(worker_id, record):
            return False
        length = min(LONGEST_QUARANTINE_MS, FIRST_QUARANTINE_MS << record.quarantines)
        self._by_worker[worker_id] = record._replace(
            quarantines=min(record.quarantines + 1, 16), until_ms=now_ms + length, probation=True
        )
        return True

    def pardon(self, worker_ids: frozenset[str]) -> None:
        """Take back one failure of each worker, since the job was at fault."""
        for worker_id in worker_ids & self._by_worker.keys():
            record = self._by_worker[worker_id]
            ratio = max(0.0, record.ratio - WEIGHT_OF_LATEST)
            failures = max(0, record.failures - 1)
            self._by_worker[worker_id] = record._replace(ratio=ratio, failures=failures)

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker that has been replaced."""
        self._by_worker.pop(worker_id, None)

    def by_worker(self) -> Mapping[str, WorkerHealth]:
        """Return what the planner has to know of workers that aren't plainly healthy."""
        return {
            worker_id: WorkerHealth(record.until_ms, record.probation)
            for worker_id, record in self._by_worker.items()
            if record.probation
        }

    def _is_worse(self, worker_id: str, record: _Record) -> bool:
        if record.failures < MIN_FAILURES:
            return False
        others = [other.ratio for key, other in self._by_worker.items() if key != worker_id]
        elsewhere = median(others) if others else 0.0
        return record.ratio - elsewhere >= FAILURE_EXCESS


def is_fault_of_job(
    failed_on: frozenset[str], health_by_worker: Mapping[str, WorkerHealth]
) -> bool:
    """Return whether a job that failed on these workers would fail anywhere."""
    healthy = [worker_id for worker_id in failed_on if worker_id not in health_by_worker]
    return len(healthy) >= HEALTHY_WORKERS_TO_BLAME_JOB
