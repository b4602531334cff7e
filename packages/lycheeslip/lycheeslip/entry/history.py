"""Statistics of ended attempts: run times, usage by account and worker health.

They are derived from job records alone, so every entry computes the same values from the
store's watch, and a new planner or a restarted entry has the same history for as long as
records are retained.
"""

from lycheeslip_common.structure.jobs import AttemptSummary, JobRecord, JobSpec, JobState
from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.utils.metrics import Metrics

from lycheeslip.entry.lifecycle import (
    ANSWERED_OUTCOME,
    FAILED_OUTCOME,
    INTERRUPTED_OUTCOME,
    blamed_workers,
)
from lycheeslip.policy.health import HealthByWorker
from lycheeslip.policy.run_times import RunTimes
from lycheeslip.policy.usage import UsageByAccount

__all__ = ["History"]


class History:
    """Counts each ended attempt once."""

    def __init__(self, metrics: Metrics) -> None:
        """Start with empty statistics."""
        self.run_times = RunTimes()
        self.usage = UsageByAccount()
        self.health = HealthByWorker()
        self._metrics = metrics
        self._counted_attempts_by_job: dict[str, int] = {}
        self._discounted_jobs: set[str] = set()

    def observe(self, record: JobRecord) -> None:
        """Count the attempts of `record` that have not been counted before."""
        job_id = record["job_id"]
        summaries = record["attempts"]
        counted = self._counted_attempts_by_job.get(job_id, 0)
        for index in range(counted, len(summaries)):
            was_resumed = any(map(_is_interruption, summaries[:index]))
            self._count_attempt(record["spec"], summaries[index], was_resumed)
        if len(summaries) > counted:
            self._counted_attempts_by_job[job_id] = len(summaries)
        verdict = record["verdict"]
        if record["state"] is JobState.DONE and verdict is not None:
            self._discount_failures(record, verdict["tag"])

    def observed_job_count(self) -> int:
        """Return the number of jobs with counted attempts."""
        return len(self._counted_attempts_by_job)

    def forget(self, job_id: str) -> None:
        """Discard the bookkeeping of a deleted job; the statistics stay."""
        self._counted_attempts_by_job.pop(job_id, None)
        self._discounted_jobs.discard(job_id)

    def _count_attempt(self, spec: JobSpec, summary: AttemptSummary, was_resumed: bool) -> None:
        """Count usage and worker health, and the run time if the attempt did the whole work."""
        if not summary.started_at_ms:
            return
        run_ms = summary.ended_at_ms - summary.started_at_ms
        accelerator_ms = float(run_ms * spec.shape.total_accelerators)
        self.usage.add(spec.account, accelerator_ms, summary.ended_at_ms)
        if summary.outcome == ANSWERED_OUTCOME:
            if not was_resumed:
                self.run_times.record(spec, run_ms)
            for worker_id in set(summary.workers):
                self.health.succeeded(worker_id)
        if summary.outcome == FAILED_OUTCOME and summary.blamed:
            self._record_failure(summary.blamed, summary.ended_at_ms)

    def _record_failure(self, worker_id: str, now_ms: int) -> None:
        if self.health.failed(worker_id, now_ms):
            self._metrics.count("worker.quarantined")
            log_warning("worker_quarantined", worker=worker_id)

    def _discount_failures(self, record: JobRecord, tag: str) -> None:
        """Subtract a failure from each blamed worker if the job itself was at fault."""
        if tag != "cannot_run" or record["job_id"] in self._discounted_jobs:
            return
        self._discounted_jobs.add(record["job_id"])
        self.health.discount_failure(blamed_workers(record))


def _is_interruption(summary: AttemptSummary) -> bool:
    return summary.outcome.startswith(INTERRUPTED_OUTCOME)
