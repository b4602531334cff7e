"""Serves jobs without a record in the store, each on the connection that submitted it."""

from functools import partial

from aiohttp import web
from lycheeslip_common.structure.jobs import JobRecord, JobState
from lycheeslip_common.structure.verdicts import Unknown, from_stored
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.wire.messages import ControlAction

from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.controls import control_members
from lycheeslip.entry.job_store import JobStore
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.entry.outcomes import OutcomeRecorder
from lycheeslip.entry.router import Router
from lycheeslip.http.documents import job_document
from lycheeslip.http.problems import problem, verdict_status

__all__ = ["UnrecordedJobs", "wait_until_done"]


class UnrecordedJobs:
    """Runs repeatable jobs while the store is down; a job ends when its caller stops waiting."""

    def __init__(
        self, board: Blackboard, router: Router, jobs: JobStore, outcomes: OutcomeRecorder
    ) -> None:
        """Keep unrecorded jobs in the memory of `board` only."""
        self._board = board
        self._router = router
        self._jobs = jobs
        self._outcomes = outcomes

    async def serve(self, record: JobRecord, wait_ms: int) -> web.Response | None:
        """Return the response for the job, or None if the store turned out to have a record."""
        job_id = record["job_id"]
        self._jobs.add_unrecorded(lifecycle.as_unrecorded(record))
        self._board.metrics.count("job.unrecorded")
        try:
            await wait_until_done(self._board, job_id, wait_ms)
            if self._find_unrecorded(job_id) is None:
                return None
            await self._abandon(job_id)
            job = self._find_unrecorded(job_id)
            return self._respond(job) if job is not None else None
        finally:
            if self._find_unrecorded(job_id) is not None:
                self._board.jobs.remove(job_id)
            self._outcomes.answers_by_job.pop(job_id, None)

    def _find_unrecorded(self, job_id: str) -> TrackedJob | None:
        """Return the job if it has no record; one recorded in the store must not be ended here."""
        job = self._board.jobs.by_id.get(job_id)
        return job if job is not None and not job.is_recorded else None

    async def _abandon(self, job_id: str) -> None:
        """End a job whose caller no longer waits and stop the members that may run."""
        job = self._board.jobs.by_id[job_id]
        if job.record["state"] is JobState.DONE:
            return
        if job.record["state"] is JobState.STARTED:
            await control_members(self._router, job.record, ControlAction.STOP, 0, "caller_gone")
        if self._find_unrecorded(job_id) is not None:
            transition = partial(lifecycle.abandon, reason="wait_expired", now_ms=wall_ms())
            await self._jobs.update(job_id, transition)

    def _respond(self, job: TrackedJob) -> web.Response:
        stored = job.record["verdict"]
        verdict = from_stored(stored) if stored is not None else Unknown("wait_expired")
        status = verdict_status(verdict)
        answer = self._outcomes.answers_by_job.get(job.record["job_id"])
        if status == 200 and answer is not None:
            return web.json_response(job_document(self._board, job, answer))
        if status == 200:
            return problem(
                503, "answer_lost", "The answer is no longer available.", may_have_run=True
            )
        return problem(status, verdict.reason, verdict.detail, may_have_run=verdict.may_have_run)


async def wait_until_done(board: Blackboard, job_id: str, wait_ms: int) -> None:
    """Wait until the job is done or no longer known to this entry, for at most `wait_ms`.

    An entry that shuts down waits only for unrecorded jobs, which no other entry can answer.
    """
    until_ms = monotonic_ms() + wait_ms
    while (remaining_ms := until_ms - monotonic_ms()) > 0:
        job = board.jobs.by_id.get(job_id)
        if job is None or job.record["state"] is JobState.DONE:
            return
        if board.leaving and job.is_recorded:
            return
        await board.jobs.wait_for_change(job_id, remaining_ms / 1000)
