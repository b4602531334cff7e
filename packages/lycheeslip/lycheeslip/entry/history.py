"""What ended attempts teach: run times, use by account, and how workers fare.

All of it comes from job records, so each entry learns the same from the store's watch, and a
new planner or a restarted entry knows what the last one knew for as long as records are kept.
"""

from lycheeslip_common.structure.jobs import AttemptSummary, JobRecord, JobSpec, JobState
from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.utils.metrics import Metrics

from lycheeslip.entry.lifecycle import (
    ANSWERED_OUTCOME,
    FAILED_OUTCOME,
    INTERRUPTED_OUTCOME,
    failed_on,
)
from lycheeslip.policy.health import HealthByWorker
from lycheeslip.policy.run_times import RunTimes
from lycheeslip.policy.usage import UsageByAccount

__all__ = ["History"]


class History:
    """Learns from each ended attempt once."""

    def __init__(self, metrics: Metrics) -> None:
        """Start without history."""
        self.run_times = RunTimes()
        self.usage = UsageByAccount()
        self.health = HealthByWorker()
        self._metrics = metrics
        self._learned_by_job: dict[str, int] = {}
        self._pardoned: set[str] = set()

    def observe(self, record: JobRecord) -> None:
        """Learn from the attempts of `record` that haven't been seen before."""
        job_id = record["job_id"]
        summaries = record["attempts"]
        learned = self._learned_by_job.get(job_id, 0)
        for index in range(learned, len(summaries)):
            was_resumed = any(map(_is_interruption, summaries[:index]))
            self._learn(record["spec"], summaries[index], was_resumed)
        if len(summaries) > learned:
            self._learned_by_job[job_id] = len(summaries)
        verdict = record["verdict"]
        if record["state"] is JobState.DONE and verdict is not None:
            self._pardon(record, verdict["tag"])

    def known_jobs(self) -> int:
        """Return how many jobs it remembers having learned from."""
        return len(self._learned_by_job)

    def forget(self, job_id: str) -> None:
        """Drop the mark of a job that has been forgotten."""
        self._learned_by_job.pop(job_id, None)
        self._pardoned.discard(job_id)

    def _learn(self, spec: JobSpec, summary: AttemptSummary, was_resumed: bool) -> None:
        """Charge an attempt's use, and learn its run time if it did the job's whole work."""
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
            self._blame(summary.blamed, summary.ended_at_ms)

    def _blame(self, worker_id: str, now_ms: int) -> None:
        if self.health.failed(worker_id, now_ms):
            self._metrics.count("worker.quarantined")
            log_warning("worker_quarantined", worker=worker_id)

    def _pardon(self, record: JobRecord, tag: str) -> None:
        """Clear workers of failures that were the job's own fault."""
        if tag != "cannot_run" or record["job_id"] in self._pardoned:
            return
        self._pardoned.add(record["job_id"])
        self.health.discount_failure(failed_on(record))


def _is_interruption(summary: AttemptSummary) -> bool:
    return summary.outcome.startswith(INTERRUPTED_OUTCOME)
