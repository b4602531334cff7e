"""HTTP handlers that submit, show, list and cancel jobs and return their answers."""

from aiohttp import web
from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.wire.messages import CallKind

from lycheeslip.config.auth import may_act_for
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.forwarding import Call, Forwarding
from lycheeslip.entry.job_store import JobStore
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.http.access import caller_of, token_digest_of
from lycheeslip.http.documents import job_document
from lycheeslip.http.forwarded import forwarded_response
from lycheeslip.http.job_calls import JobCalls, answer_headers, chunk_problem
from lycheeslip.http.problems import problem, store_problem
from lycheeslip.http.submission import parse_submission

__all__ = ["JobHandlers"]

MAX_WAIT_MS = 60_000
DEFAULT_LIST_LIMIT = 100
MAX_LIST_LIMIT = 1_000


class JobHandlers:
    """Handles the requests to `/v1/jobs`."""

    def __init__(
        self, board: Blackboard, jobs: JobStore, calls: JobCalls, forwarding: Forwarding
    ) -> None:
        """Decide requests through `calls`, or through `forwarding` without the store."""
        self._board = board
        self._jobs = jobs
        self._calls = calls
        self._forwarding = forwarding

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
        wait_until_ms = monotonic_ms() + wait_ms
        raw = await request.read()
        parsed = parse_submission(raw, request.headers.get("Idempotency-Key", ""))
        if isinstance(parsed, web.Response):
            return parsed
        caller = caller_of(request)
        outcome: web.Response | Unreachable = Unreachable(False)
        if not self._lacks_store(parsed.job_id):
            outcome = await self._calls.submit(caller, parsed, wait_until_ms)
        if isinstance(outcome, Unreachable):
            call = Call(
                kind=CallKind.SUBMIT,
                subject=parsed.key,
                token_sha256=token_digest_of(request),
                wait_until_ms=wait_until_ms,
                body=raw,
                deadline_at_ms=parsed.spec.deadline_at_ms,
            )
            outcome = await self._forward(call, outcome)
        if isinstance(outcome, web.Response):
            return outcome
        if outcome.may_have_run:
            return store_problem(outcome)
        return await self._calls.serve_without_store(caller, parsed, wait_until_ms)

    async def show(self, request: web.Request) -> web.StreamResponse:
        """Return a job's document, after waiting at most `wait_ms` for the job to be done."""
        wait_ms = _wait_ms(request)
        if isinstance(wait_ms, web.Response):
            return wait_ms
        wait_until_ms = monotonic_ms() + wait_ms
        job_id = request.match_info["job_id"]
        if self._lacks_store(job_id):
            call = Call(CallKind.SHOW, job_id, token_digest_of(request), wait_until_ms)
            outcome = await self._forward(call, Unreachable(False))
            if isinstance(outcome, web.Response):
                return outcome
        return await self._calls.show(caller_of(request), job_id, wait_until_ms)

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Stream a job's complete answer."""
        wait_ms = _wait_ms(request)
        if isinstance(wait_ms, web.Response):
            return wait_ms
        wait_until_ms = monotonic_ms() + wait_ms
        job_id = request.match_info["job_id"]
        if self._lacks_store(job_id):
            call = Call(CallKind.ANSWER, job_id, token_digest_of(request), wait_until_ms)
            outcome = await self._forward(call, Unreachable(False))
            if isinstance(outcome, web.Response):
                return outcome
        job = await self._calls.answered_job(caller_of(request), job_id, wait_until_ms)
        return job if isinstance(job, web.Response) else await self._stream_answer(request, job)

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
        job_id = request.match_info["job_id"]
        call = Call(CallKind.CANCEL, job_id, token_digest_of(request))
        outcome: web.Response | Unreachable
        if self._lacks_store(job_id):
            outcome = await self._forward(call, Unreachable(False))
            if outcome == Unreachable(False):
                outcome = await self._calls.cancel(caller_of(request), job_id)
        else:
            outcome = await self._calls.cancel(caller_of(request), job_id)
            if isinstance(outcome, Unreachable):
                outcome = await self._forward(call, outcome)
        return store_problem(outcome) if isinstance(outcome, Unreachable) else outcome

    def _lacks_store(self, job_id: str) -> bool:
        """Return whether another entry should decide about the job.

        A job without a record is known only here.
        """
        job = self._board.jobs.by_id.get(job_id)
        return not self._board.store_reachable and (job is None or job.is_recorded)

    async def _forward(self, call: Call, outcome_here: Unreachable) -> web.Response | Unreachable:
        answer = await self._forwarding.ask(call, outcome_here)
        return answer if isinstance(answer, Unreachable) else forwarded_response(answer)

    async def _stream_answer(self, request: web.Request, job: TrackedJob) -> web.StreamResponse:
        record = job.record
        response = web.StreamResponse(headers=answer_headers(record))
        response.content_length = record["answer_length"]
        for index in range(record["answer_chunks"]):
            chunk = await self._jobs.read_answer_chunk(record["job_id"], record["attempt"], index)
            if not isinstance(chunk, bytes):
                if response.prepared:
                    raise ConnectionResetError("an answer chunk can't be read from the store")
                return chunk_problem(chunk)
            if not response.prepared:
                await response.prepare(request)
            await response.write(chunk)
        if not response.prepared:
            await response.prepare(request)
        await response.write_eof()
        return response


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
