"""Authorizes requests and turns unhandled handler errors into problem details."""

import ipaddress
import json
from collections.abc import Awaitable, Callable

from aiohttp import web
from lycheeslip_common.utils.logs import log_warning

from lycheeslip.config.auth import (
    AnonymousCaller,
    Caller,
    UnauthenticatedCaller,
    authenticate,
    bearer_token,
    digest_token,
    may_operate,
)
from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.http.body import UnreadableBodyError, read_body
from lycheeslip.http.problems import problem

__all__ = ["caller_of", "caller_refusal", "make_middleware", "token_digest_of"]

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
CALLER_KEY: web.RequestKey[Caller] = web.RequestKey("caller", object)  # type: ignore[arg-type]
UNAUTHENTICATED_PATHS = frozenset({"/healthz", "/readyz"})
OPERATOR_PATHS = ("/v1/config", "/v1/workers", "/v1/counters")


def make_middleware(
    board: Blackboard, allow_remote_without_tokens: bool
) -> Callable[..., Awaitable[web.StreamResponse]]:
    """Return the middleware that authorizes every request and handles its errors."""

    @web.middleware
    async def authorize(request: web.Request, handler: Handler) -> web.StreamResponse:
        token = bearer_token(request.headers.get("Authorization", ""))
        caller = authenticate(board.config, token)
        request[CALLER_KEY] = caller
        refusal = _refusal(
            request, caller, caller_refusal(board, caller, allow_remote_without_tokens)
        )
        if refusal is None:
            return await _call_handler(board, request, handler)
        board.metrics.count(f"refuse.{refusal[1]}")
        return problem(refusal[0], refusal[1], "The request did not run.")

    return authorize


def caller_of(request: web.Request) -> Caller:
    """Return the caller that the middleware authenticated for the request."""
    return request[CALLER_KEY]


def token_digest_of(request: web.Request) -> str:
    """Return the SHA-256 digest of the request's bearer token."""
    return digest_token(bearer_token(request.headers.get("Authorization", "")))


def caller_refusal(
    board: Blackboard, caller: Caller, allow_remote_without_tokens: bool
) -> tuple[int, str] | None:
    """Return status and reason if the caller may not use this entry at all, otherwise None."""
    if not allow_remote_without_tokens and _is_remotely_reachable(board, caller):
        return 403, "tokens_required"
    if isinstance(caller, UnauthenticatedCaller):
        return 401, "unauthenticated"
    return None


def _is_remotely_reachable(board: Blackboard, caller: Caller) -> bool:
    """Return whether a caller without a token can reach this entry from another machine."""
    host = board.info.http_address.rpartition(":")[0].strip("[]")
    return isinstance(caller, AnonymousCaller) and not ipaddress.ip_address(host).is_loopback


def _refusal(
    request: web.Request, caller: Caller, refusal: tuple[int, str] | None
) -> tuple[int, str] | None:
    if request.path in UNAUTHENTICATED_PATHS:
        return None
    if refusal is not None:
        return refusal
    needs_operator = request.path.startswith(OPERATOR_PATHS)
    if needs_operator and not may_operate(caller):
        return 403, "operators_only"
    return None


async def _call_handler(
    board: Blackboard, request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        await read_body(request)
    except UnreadableBodyError as error:
        board.metrics.count(f"refuse.{error.reason}")
        return problem(error.status, error.reason, "The request did not run.")
    try:
        response = await handler(request)
    except web.HTTPException as error:
        reason = (error.reason or "refused").lower().replace(" ", "_")
        response = problem(error.status, reason, "The request did not run.")
    except Exception as error:  # clients must never receive a stack trace
        log_warning("handler_failed", path=request.path, error=repr(error))
        detail = "The request may have run; repeat it with the same idempotency key."
        response = problem(500, "internal_error", detail, may_have_run=True)
    if response.status >= 400 and response.content_type == "application/problem+json":
        body = getattr(response, "text", "") or ""
        reason = _problem_reason(body)
        board.metrics.count(f"refuse.{reason}")
    return response


def _problem_reason(body: str) -> str:
    return json.loads(body).get("reason", "unknown")
