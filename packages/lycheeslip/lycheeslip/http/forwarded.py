"""Decides the calls that other entries forward, and converts the answers to HTTP responses."""

import json

from aiohttp import web
from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.wire.messages import CallKind, ForwardedAnswer, ForwardedCall

from lycheeslip.config.auth import Caller, authenticate_digest
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.http.access import caller_refusal
from lycheeslip.http.job_calls import JobCalls
from lycheeslip.http.problems import problem, retry_headers
from lycheeslip.http.submission import parse_submission

__all__ = ["ForwardedCalls", "forwarded_response"]

PROBLEM_TYPE = "application/problem+json"
SENT_HEADERS = ("Content-Type", "Lycheeslip-Job", "Lycheeslip-Attempt", "Repr-Digest")


class ForwardedCalls:
    """Decides forwarded calls under the configuration, tokens and limits in force here."""

    def __init__(
        self, board: Blackboard, calls: JobCalls, allow_remote_without_tokens: bool
    ) -> None:
        """Authenticate callers as for this entry's own requests and decide through `calls`."""
        self._board = board
        self._calls = calls
        self._allow_remote_without_tokens = allow_remote_without_tokens

    async def decide(self, call: ForwardedCall) -> ForwardedAnswer:
        """Return the answer to a call; it is not decided while this entry lacks the store."""
        outcome = await self._decide(call) if self._can_decide(call) else Unreachable(False)
        if isinstance(outcome, Unreachable):
            return ForwardedAnswer(call.request_id, False, outcome.may_have_run)
        return _make_answer(call.request_id, outcome)

    def _can_decide(self, call: ForwardedCall) -> bool:
        board = self._board
        is_current = board.config.revision >= call.config_revision
        return is_current and board.synced and board.store_reachable and not board.leaving

    async def _decide(self, call: ForwardedCall) -> web.Response | Unreachable:
        caller = authenticate_digest(self._board.config, call.token_sha256)
        wait_until_ms = monotonic_ms() + call.wait_remaining_ms
        refusal = caller_refusal(self._board, caller, self._allow_remote_without_tokens)
        if refusal is not None:
            return problem(refusal[0], refusal[1], "The request did not run.")
        match call.kind:
            case CallKind.SUBMIT:
                return await self._submit(call, caller, wait_until_ms)
            case CallKind.CANCEL:
                return await self._calls.cancel(caller, call.subject)
            case CallKind.SHOW:
                return await self._calls.show(caller, call.subject, wait_until_ms)
            case CallKind.ANSWER:
                return await self._calls.answer(caller, call.subject, wait_until_ms)

    async def _submit(
        self, call: ForwardedCall, caller: Caller, wait_until_ms: int
    ) -> web.Response | Unreachable:
        parsed = parse_submission(call.body, call.subject)
        if isinstance(parsed, web.Response):
            return parsed
        remaining_ms = call.deadline_remaining_ms
        deadline_at_ms = wall_ms() + remaining_ms if remaining_ms else 0
        spec = parsed.spec._replace(deadline_at_ms=deadline_at_ms)
        submission = parsed._replace(spec=spec)
        return await self._calls.submit(caller, submission, wait_until_ms)


def forwarded_response(answer: ForwardedAnswer) -> web.Response:
    """Return the deciding entry's response, with its retry time on this entry's clock."""
    body = answer.body
    if answer.retry_in_ms:
        document = json.loads(body)
        body = json.dumps(document | {"retry_at_ms": wall_ms() + answer.retry_in_ms}).encode()
    return web.Response(
        status=answer.status,
        body=body,
        headers=dict(answer.headers) | retry_headers(answer.retry_in_ms),
    )


def _make_answer(request_id: int, response: web.Response) -> ForwardedAnswer:
    body = response.body if isinstance(response.body, bytes) else b""
    may_have_run, retry_in_ms = True, 0
    if response.content_type == PROBLEM_TYPE:
        document = json.loads(body)
        may_have_run = document["may_have_run"]
        retry_at_ms = document["retry_at_ms"]
        retry_in_ms = max(1, retry_at_ms - wall_ms()) if retry_at_ms else 0
    return ForwardedAnswer(
        request_id=request_id,
        decided=True,
        may_have_run=may_have_run,
        status=response.status,
        headers=tuple(
            (name, value) for name, value in response.headers.items() if name in SENT_HEADERS
        ),
        body=body,
        retry_in_ms=retry_in_ms,
    )
