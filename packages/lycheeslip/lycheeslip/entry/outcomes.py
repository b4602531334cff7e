"""Records the attempt reports of agents in job records and acknowledges them."""

import asyncio
from functools import partial
from hashlib import sha256

from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.structure.jobs import JobRecord, JobState
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.wire.messages import AnswerRecorded, AttemptReport, ReportState

from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.job_store import Declined, JobStore, Updated
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.entry.router import Router
from lycheeslip.policy.health import HealthByWorker

__all__ = ["OutcomeRecorder"]


class OutcomeRecorder:
    """Records attempt outcomes; agents repeat each report until it is acknowledged."""

    def __init__(
        self, board: Blackboard, router: Router, jobs: JobStore, health: HealthByWorker
    ) -> None:
        """Write to `jobs`, acknowledge through `router` and use `health` to attribute failures."""
        self._board = board
        self._router = router
        self._jobs = jobs
        self._health = health
        self._in_progress: set[tuple[str, ReportState]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers_by_job: dict[str, bytes] = {}

    async def record_report(self, report: AttemptReport) -> None:
        """Record a report, or forward it to the attempt's owner if that entry is connected."""
        own_id = self._board.info.entry_id
        if report.owner != own_id and report.owner in self._router.sessions_by_peer:
            await self._router.relay_to_entry(report.owner, report)
            return
        report_key = (report.ref.key, report.state)
        if report_key in self._in_progress:
            return
        self._in_progress.add(report_key)
        task = asyncio.create_task(self._record(report, report_key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _record(self, report: AttemptReport, report_key: tuple[str, ReportState]) -> None:
        try:
            may_discard = await self._apply(report)
            if may_discard and report.state is not ReportState.RUNNING:
                await self._router.to_worker(report.worker_id, AnswerRecorded(report.ref))
        finally:
            self._in_progress.discard(report_key)

    async def _apply(self, report: AttemptReport) -> bool:
        """Apply a report; return whether the agent may discard it."""
        job = self._board.jobs.by_id.get(report.ref.job_id)
        if job is None:
            return self._board.synced and self._board.store_reachable
        if job.record["attempt"] < report.ref.attempt:
            return False
        if job.record["state"] is JobState.DONE or job.record["attempt"] > report.ref.attempt:
            return True
        if _has_digest_mismatch(report):
            self._board.metrics.count("refuse.answer_digest_mismatch")
            return False
        chunks = await self._store_answer(job, report)
        if isinstance(chunks, Unreachable):
            return False
        limits = self._board.config.limits
        transition = partial(
            lifecycle.apply_report,
            report=report,
            limits=limits,
            now_ms=wall_ms(),
            chunks=chunks,
            health_by_worker=self._health.by_worker(),
        )
        outcome = await self._jobs.update(report.ref.job_id, transition)
        match outcome:
            case Updated(record):
                self._log_outcome(report, record)
                return True
            case Declined():
                return True
            case Unreachable():
                return False

    def _log_outcome(self, report: AttemptReport, record: JobRecord) -> None:
        self._board.metrics.count(f"attempt.{report.state}")
        log_event(
            "attempt_reported",
            job=report.ref.job_id,
            attempt=report.ref.attempt,
            state=report.state,
            job_state=record["state"],
            reason=report.reason,
        )

    async def _store_answer(self, job: TrackedJob, report: AttemptReport) -> int | Unreachable:
        if report.state is not ReportState.ANSWERED:
            return 0
        if not job.is_recorded:
            self.answers_by_job[report.ref.job_id] = report.answer
            return 0
        return await self._jobs.write_answer(report.ref.job_id, report.ref.attempt, report.answer)


def _has_digest_mismatch(report: AttemptReport) -> bool:
    """Return whether an answer does not match its SHA-256 digest."""
    if report.state is not ReportState.ANSWERED:
        return False
    return sha256(report.answer).hexdigest() != report.digest
