"""Decides submissions and cancellations and shows jobs, by what this entry and its store know."""

import base64
from functools import partial

from aiohttp import web
from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.structure.jobs import JobRecord, JobState
from lycheeslip_common.structure.verdicts import from_stored
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.utils.logs import log_event

from lycheeslip.config.auth import Caller, may_act_for
from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.job_store import Created, Declined, Existing, JobStore, Updated
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.http.documents import job_document
from lycheeslip.http.problems import STORE_RETRY_MS, problem, store_problem, verdict_status
from lycheeslip.http.submission import Submission, admission_problem
from lycheeslip.http.unrecorded import UnrecordedJobs, wait_until_done

__all__ = ["JobCalls", "answer_headers", "chunk_problem"]

SYNC_RETRY_MS = 1_000


class JobCalls:
    """Handles calls of authenticated callers; Unreachable means that the store decided none.

    A `wait_until_ms` is monotonic time.
    """

    def __init__(self, board: Blackboard, jobs: JobStore, unrecorded: UnrecordedJobs) -> None:
        """Read jobs from `board` and write them through `jobs`."""
        self._board = board
        self._jobs = jobs
        self._unrecorded = unrecorded

    async def submit(
        self, caller: Caller, submission: Submission, wait_until_ms: int
    ) -> web.Response | Unreachable:
        """Record a new job, or find the record of a repeated submission."""
        known = await self._respond_if_known(caller, submission, wait_until_ms)
        if known is not None:
            return known
        if not self._board.store_reachable:
            return Unreachable(False)
        with self._board.jobs.reserve_queue_slot(submission.spec.account):
            outcome = await self._jobs.create(self._new_record(submission))
        match outcome:
            case Created():
                log_event("job_accepted", job=submission.job_id, account=submission.spec.account)
                return await self._wait_and_respond(submission.job_id, wait_until_ms)
            case Existing(existing):
                return await self._respond_to_repeat(existing, submission, wait_until_ms)
            case Unreachable():
                return outcome

    async def serve_without_store(
        self, caller: Caller, submission: Submission, wait_until_ms: int
    ) -> web.Response:
        """Serve a repeatable job on the open connection if the request waits for it.

        Any other job is refused.
        """
        known = await self._respond_if_known(caller, submission, wait_until_ms)
        if known is not None:
            return known
        wait_ms = wait_until_ms - monotonic_ms()
        if not submission.spec.repeatable or wait_ms <= 0:
            return store_problem(Unreachable(False))
        response = await self._unrecorded.serve(self._new_record(submission), wait_ms)
        return (
            response if response is not None else await self._wait_and_respond(submission.job_id, 0)
        )

    async def cancel(self, caller: Caller, job_id: str) -> web.Response | Unreachable:
        """Cancel a job: at once if it is pending, else as soon as its members have stopped."""
        job = self.visible_job(caller, job_id)
        if isinstance(job, web.Response):
            return job
        transition = partial(lifecycle.request_cancel, now_ms=wall_ms())
        outcome = await self._jobs.update(job_id, transition)
        match outcome:
            case Unreachable():
                return outcome
            case Updated() | Declined():
                log_event("cancel_requested", job=job_id)
                return job_response(self._board, job_id, 202)

    async def show(self, caller: Caller, job_id: str, wait_until_ms: int) -> web.Response:
        """Return a job's document, after waiting for the job to be done."""
        job = self.visible_job(caller, job_id)
        if isinstance(job, web.Response):
            return job
        await wait_until_done(self._board, job_id, wait_until_ms - monotonic_ms())
        return job_response(self._board, job_id)

    async def answered_job(
        self, caller: Caller, job_id: str, wait_until_ms: int
    ) -> TrackedJob | web.Response:
        """Return a job once it has an answer, or the response if it has none by then."""
        visible = self.visible_job(caller, job_id)
        if isinstance(visible, web.Response):
            return visible
        await wait_until_done(self._board, job_id, wait_until_ms - monotonic_ms())
        job = self._board.jobs.by_id.get(job_id)
        if job is None:
            return problem(404, "unknown_job", "The job is no longer stored.")
        stored = job.record["verdict"]
        if stored is None:
            return job_response(self._board, job_id, 202)
        verdict = from_stored(stored)
        status = verdict_status(verdict)
        if status != 200:
            return problem(
                status, verdict.reason, verdict.detail, may_have_run=verdict.may_have_run
            )
        return job

    async def answer(
        self, caller: Caller, job_id: str, wait_until_ms: int
    ) -> web.Response | Unreachable:
        """Return the response with a job's complete answer."""
        job = await self.answered_job(caller, job_id, wait_until_ms)
        if isinstance(job, web.Response):
            return job
        record = job.record
        content = b""
        for index in range(record["answer_chunks"]):
            chunk = await self._jobs.read_answer_chunk(job_id, record["attempt"], index)
            if isinstance(chunk, Unreachable):
                return chunk
            if chunk is None:
                return chunk_problem(None)
            content += chunk
        return web.Response(body=content, headers=answer_headers(record))

    def visible_job(self, caller: Caller, job_id: str) -> TrackedJob | web.Response:
        """Return the job, or a 404 response if the caller may not see it.

        While the store is not loaded or not reached, an unknown job may exist and may have run.
        """
        job = self._board.jobs.by_id.get(job_id)
        if job is None and not self._board.synced:
            detail = "This entry has not loaded the store yet."
            return problem(503, "not_synced", detail, may_have_run=True, retry_in_ms=SYNC_RETRY_MS)
        if job is None and not self._board.store_reachable:
            detail = "This entry doesn't reach the store, which may hold the job."
            return problem(
                503, "store_unreachable", detail, may_have_run=True, retry_in_ms=STORE_RETRY_MS
            )
        if job is None or not may_act_for(caller, job.record["spec"].account):
            return problem(
                404, "unknown_job", "The job does not exist or belongs to another account."
            )
        return job

    async def _respond_if_known(
        self, caller: Caller, submission: Submission, wait_until_ms: int
    ) -> web.Response | None:
        """Return the response to a refused or repeated submission, None for a new job."""
        if not may_act_for(caller, submission.spec.account):
            return problem(403, "other_account", "The token belongs to another account.")
        if not self._board.synced:
            detail = "This entry has not loaded the store yet; the submission was not accepted."
            return problem(503, "not_synced", detail, retry_in_ms=SYNC_RETRY_MS)
        existing = self._board.jobs.by_id.get(submission.job_id)
        if existing is not None:
            return await self._respond_to_repeat(existing.record, submission, wait_until_ms)
        return admission_problem(self._board, submission.spec)

    async def _respond_to_repeat(
        self, record: JobRecord, submission: Submission, wait_until_ms: int
    ) -> web.Response:
        if record["body_digest"] != submission.body_digest:
            detail = "The idempotency key belongs to an earlier request with another body."
            return problem(409, "key_reused", detail)
        self._board.metrics.count("job.repeated_submission")
        return await self._wait_and_respond(record["job_id"], wait_until_ms)

    async def _wait_and_respond(self, job_id: str, wait_until_ms: int) -> web.Response:
        await wait_until_done(self._board, job_id, wait_until_ms - monotonic_ms())
        job = self._board.jobs.by_id.get(job_id)
        if job is None or not job.is_recorded:
            # The answer of an unrecorded job goes only to the connection that submitted it.
            return store_problem(Unreachable(may_have_run=True))
        is_done = job.record["state"] is JobState.DONE
        return job_response(self._board, job_id, 200 if is_done else 202)

    def _new_record(self, submission: Submission) -> JobRecord:
        return lifecycle.new_record(
            submission.job_id,
            submission.spec,
            submission.body_digest,
            self._board.info.entry_id,
            wall_ms(),
        )


def job_response(board: Blackboard, job_id: str, status: int = 200) -> web.Response:
    """Return the response with the job's document, or a 404 response if it is not stored."""
    job = board.jobs.by_id.get(job_id)
    if job is None:
        return problem(404, "unknown_job", "The job is no longer stored.")
    return web.json_response(job_document(board, job), status=status)


def answer_headers(record: JobRecord) -> dict[str, str]:
    """Return the headers that are sent with the answer of a job."""
    digest = base64.b64encode(bytes.fromhex(record["answer_digest"])).decode()
    return {
        "Content-Type": "application/octet-stream",
        "Lycheeslip-Job": record["job_id"],
        "Lycheeslip-Attempt": str(record["attempt"]),
        "Repr-Digest": f"sha-256=:{digest}:",
    }


def chunk_problem(chunk: Unreachable | None) -> web.Response:
    """Return the response for an answer of which a chunk is gone or can't be read."""
    if chunk is None:
        return problem(
            410,
            "answer_forgotten",
            "The retention period of the answer has ended.",
            may_have_run=True,
        )
    return problem(
        503,
        "store_unreachable",
        "The answer is recorded but can't be read from the store at present.",
        may_have_run=True,
        retry_in_ms=STORE_RETRY_MS,
    )
