"""HTTP handlers that submit, show, list and cancel jobs and return their answers."""

import base64
from functools import partial

from aiohttp import web
from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.structure.jobs import JobRecord, JobState
from lycheeslip_common.structure.verdicts import from_stored
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.utils.logs import log_event

from lycheeslip.config.auth import may_act_for
from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.job_store import Created, Declined, Existing, JobStore, Updated
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.entry.outcomes import OutcomeRecorder
from lycheeslip.entry.router import Router
from lycheeslip.http.access import caller_of
from lycheeslip.http.documents import job_document
from lycheeslip.http.problems import problem, store_problem, verdict_status
from lycheeslip.http.submission import Submission, admission_problem, parse_submission
from lycheeslip.http.unrecorded import UnrecordedJobs, wait_until_done

__all__ = ["JobHandlers"]

MAX_WAIT_MS = 60_000
DEFAULT_LIST_LIMIT = 100
MAX_LIST_LIMIT = 1_000
SYNC_RETRY_MS = 1_000


class JobHandlers:
    """Handles the requests to `/v1/jobs`."""

    def __init__(
        self, board: Blackboard, router: Router, jobs: JobStore, outcomes: OutcomeRecorder
    ) -> None:
        """Read jobs from `board` and write them through `jobs`."""
        self._board = board
        self._jobs = jobs
        self._unrecorded = UnrecordedJobs(board, router, jobs, outcomes)

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of these handlers to `app`."""
        app.router.add_post("/v1/jobs", self.submit)
        app.router.add_get("/v1/jobs", self.list_jobs)
        app.router.add_get("/v1/jobs/{job_id}", self.show)
        app.router.add_get("/v1/jobs/{job_id}/answer", self.answer)
        app.router.add_delete("/v1/jobs/{job_id}", self.cancel)

    async def submit(self, request: web.Request) -> web.StreamResponse:
        """Accept a job; status 202 means that its record is in the store."""
        wait_ms = _wait_ms(request)
        if isinstance(wait_ms, web.Response):
            return wait_ms
        raw = await request.read()
        parsed = parse_submission(raw, request.headers.get("Idempotency-Key", ""))
        if isinstance(parsed, web.Response):
            return parsed
        if not may_act_for(caller_of(request), parsed.spec.account):
            return problem(403, "other_account", "The token belongs to another account.")
        if not self._board.synced:
            detail = "This entry has not loaded the store yet; the submission was not accepted."
            return problem(503, "not_synced", detail, retry_in_ms=SYNC_RETRY_MS)
        existing = self._board.jobs.by_id.get(parsed.job_id)
        if existing is not None:
            return await self._respond_to_repeat(existing.record, parsed, wait_ms)
        refusal = admission_problem(self._board, parsed.spec)
        if refusal is not None:
            return refusal
        return await self._accept(parsed, wait_ms)

    async def show(self, request: web.Request) -> web.StreamResponse:
        """Return a job's document, after waiting at most `wait_ms` for the job to be done."""
        wait_ms = _wait_ms(request)
        job = self._visible_job(request)
        if isinstance(wait_ms, web.Response):
            return wait_ms
        if isinstance(job, web.Response):
            return job
        await wait_until_done(self._board, job.record["job_id"], wait_ms)
        return self._job_response(job.record["job_id"])

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Stream a job's complete answer."""
        wait_ms = _wait_ms(request)
        job = self._visible_job(request)
        if isinstance(wait_ms, web.Response):
            return wait_ms
        if isinstance(job, web.Response):
            return job
        job_id = job.record["job_id"]
        await wait_until_done(self._board, job_id, wait_ms)
        current = self._board.jobs.by_id.get(job_id)
        if current is None:
            return problem(404, "unknown_job", "The job is no longer stored.")
        record = current.record
        if record["verdict"] is None:
            return self._job_response(job_id, 202)
        verdict = from_stored(record["verdict"])
        status = verdict_status(verdict)
        if status != 200:
            return problem(
                status, verdict.reason, verdict.detail, may_have_run=verdict.may_have_run
            )
        return await self._stream_answer(request, current)

    async def list_jobs(self, request: web.Request) -> web.StreamResponse:
        """List the jobs visible to the caller, newest first."""
        limit = _query_integer(request, "limit", DEFAULT_LIST_LIMIT, MAX_LIST_LIMIT)
        if isinstance(limit, web.Response):
            return limit
        account, state = request.query.get("account", ""), request.query.get("state", "")
        caller = caller_of(request)
        matching = [
            job
            for job in self._board.jobs.by_id.values()
            if may_act_for(caller, job.record["spec"].account)
            and account in ("", job.record["spec"].account)
            and state in ("", job.record["state"])
        ]
        matching.sort(key=lambda job: job.record["accepted_at_ms"], reverse=True)
        documents = [job_document(self._board, job) for job in matching[:limit]]
        return web.json_response({"jobs": documents})

    async def cancel(self, request: web.Request) -> web.StreamResponse:
        """Cancel a job: at once if it is pending, else as soon as its members have stopped."""
        job = self._visible_job(request)
        if isinstance(job, web.Response):
            return job
        job_id = job.record["job_id"]
        transition = partial(lifecycle.request_cancel, now_ms=wall_ms())
        outcome = await self._jobs.update(job_id, transition)
        match outcome:
            case Unreachable():
                return store_problem(outcome)
            case Updated() | Declined():
                log_event("cancel_requested", job=job_id)
                return self._job_response(job_id, 202)

    async def _accept(self, submission: Submission, wait_ms: int) -> web.StreamResponse:
        record = lifecycle.new_record(
            submission.job_id,
            submission.spec,
            submission.body_digest,
            self._board.info.entry_id,
            wall_ms(),
        )
        if not self._board.store_reachable:
            return await self._serve_without_store(submission, record, wait_ms, Unreachable(False))
        with self._board.jobs.reserve_queue_slot(submission.spec.account):
            outcome = await self._jobs.create(record)
        match outcome:
            case Created():
                log_event("job_accepted", job=submission.job_id, account=submission.spec.account)
                return await self._wait_and_respond(submission.job_id, wait_ms)
            case Existing(existing):
                return await self._respond_to_repeat(existing, submission, wait_ms)
            case Unreachable():
                return await self._serve_without_store(submission, record, wait_ms, outcome)

    async def _serve_without_store(
        self, submission: Submission, record: JobRecord, wait_ms: int, outcome: Unreachable
    ) -> web.StreamResponse:
        """Serve a repeatable job on the open connection if the request waits for it.

        Any other job is refused, and so is one whose record may have reached the store.
        """
        if outcome.may_have_run or not submission.spec.repeatable or not wait_ms:
            return store_problem(outcome)
        response = await self._unrecorded.serve(record, wait_ms)
        return (
            response if response is not None else await self._wait_and_respond(submission.job_id, 0)
        )

    async def _respond_to_repeat(
        self, record: JobRecord, submission: Submission, wait_ms: int
    ) -> web.StreamResponse:
        if record["body_digest"] != submission.body_digest:
            detail = "The idempotency key belongs to an earlier request with another body."
            return problem(409, "key_reused", detail)
        self._board.metrics.count("job.repeated_submission")
        return await self._wait_and_respond(record["job_id"], wait_ms)

    async def _wait_and_respond(self, job_id: str, wait_ms: int) -> web.Response:
        await wait_until_done(self._board, job_id, wait_ms)
        job = self._board.jobs.by_id.get(job_id)
        if job is None or not job.is_recorded:
            # The answer of an unrecorded job goes only to the connection that submitted it.
            return store_problem(Unreachable(may_have_run=True))
        is_done = job.record["state"] is JobState.DONE
        return self._job_response(job_id, 200 if is_done else 202)

    async def _stream_answer(self, request: web.Request, job: TrackedJob) -> web.StreamResponse:
        record = job.record
        digest = base64.b64encode(bytes.fromhex(record["answer_digest"])).decode()
        response = web.StreamResponse(
            headers={
                "Content-Type": "application/octet-stream",
                "Lycheeslip-Job": record["job_id"],
                "Lycheeslip-Attempt": str(record["attempt"]),
                "Repr-Digest": f"sha-256=:{digest}:",
            }
        )
        response.content_length = record["answer_length"]
        for index in range(record["answer_chunks"]):
            chunk = await self._jobs.read_answer_chunk(record["job_id"], record["attempt"], index)
            if not isinstance(chunk, bytes):
                if response.prepared:
                    raise ConnectionResetError("an answer chunk can't be read from the store")
                return _chunk_problem(chunk)
            if not response.prepared:
                await response.prepare(request)
            await response.write(chunk)
        if not response.prepared:
            await response.prepare(request)
        await response.write_eof()
        return response

    def _visible_job(self, request: web.Request) -> TrackedJob | web.Response:
        """Return the job in the path, or a 404 response if the caller may not see it.

        While the store is not loaded, an unknown job may exist and may have run.
        """
        job = self._board.jobs.by_id.get(request.match_info["job_id"])
        if job is None and not self._board.synced:
            detail = "This entry has not loaded the store yet."
            return problem(503, "not_synced", detail, may_have_run=True, retry_in_ms=SYNC_RETRY_MS)
        if job is None or not may_act_for(caller_of(request), job.record["spec"].account):
            return problem(
                404, "unknown_job", "The job does not exist or belongs to another account."
            )
        return job

    def _job_response(self, job_id: str, status: int = 200) -> web.Response:
        job = self._board.jobs.by_id.get(job_id)
        if job is None:
            return problem(404, "unknown_job", "The job is no longer stored.")
        return web.json_response(job_document(self._board, job), status=status)


def _chunk_problem(chunk: Unreachable | None) -> web.Response:
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
        retry_in_ms=2_000,
    )


def _wait_ms(request: web.Request) -> int | web.Response:
    return _query_integer(request, "wait_ms", 0, MAX_WAIT_MS)


def _query_integer(request: web.Request, name: str, default: int, limit: int) -> int | web.Response:
    """Return a query parameter as an integer, clamped to `limit`.

    A number that has at least two digits more than `limit` is refused.
    """
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(limit)) + 1:
        return problem(400, "malformed_query", f"{name} must be a number from 0 to {limit}.")
    return min(int(text), limit)
