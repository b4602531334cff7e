"""Error responses as RFC 9457 problem details, with whether the request may have run."""

import json
from collections.abc import Iterable

from aiohttp import web
from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.structure.verdicts import (
    Answered,
    Cancelled,
    CannotRun,
    Failed,
    Refused,
    Unknown,
    Verdict,
)
from lycheeslip_common.utils.clock import wall_ms
from typing_extensions import TypedDict

__all__ = [
    "ProblemItem",
    "STORE_RETRY_MS",
    "problem",
    "retry_headers",
    "store_problem",
    "verdict_status",
]

PROBLEM_TYPE_PREFIX = "urn:lycheeslip:problem:"
STORE_RETRY_MS = 2_000
MILLISECONDS_PER_SECOND = 1000


class ProblemItem(TypedDict):
    """One of several errors in a request; `line` is 0 if the error has no line."""

    line: int
    key: str
    message: str


def problem(
    status: int,
    reason: str,
    detail: str,
    *,
    may_have_run: bool = False,
    retry_in_ms: int = 0,
    errors: Iterable[ProblemItem] = (),
) -> web.Response:
    """Return an error response; a `retry_in_ms` of 0 means that a retry won't help."""
    retry_at_ms = wall_ms() + retry_in_ms if retry_in_ms else 0
    body = {
        "type": PROBLEM_TYPE_PREFIX + reason,
        "title": reason.replace("_", " "),
        "status": status,
        "detail": detail,
        "reason": reason,
        "may_have_run": may_have_run,
        "retry_at_ms": retry_at_ms,
    }
    items = list(errors)
    if items:
        body["errors"] = items
    return web.Response(
        status=status,
        text=json.dumps(body),
        content_type="application/problem+json",
        headers=retry_headers(retry_in_ms),
    )


def retry_headers(retry_in_ms: int) -> dict[str, str]:
    """Return the `Retry-After` header, none if a retry won't help."""
    if not retry_in_ms:
        return {}
    return {"Retry-After": str(max(1, retry_in_ms // MILLISECONDS_PER_SECOND))}


def store_problem(outcome: Unreachable) -> web.Response:
    """Return the error response of a request that failed because the store is unreachable."""
    if outcome.may_have_run:
        return problem(
            503,
            "store_answer_lost",
            "The request may have been accepted; repeat it with the same idempotency key.",
            may_have_run=True,
            retry_in_ms=STORE_RETRY_MS,
        )
    return problem(
        503,
        "store_unreachable",
        "The request was not accepted and did not run.",
        retry_in_ms=STORE_RETRY_MS,
    )


def verdict_status(verdict: Verdict) -> int:
    """Return the HTTP status of the response for a job that ended with `verdict`."""
    match verdict:
        case Answered():
            return 200
        case Refused():
            return 503
        case CannotRun():
            return 422
        case Failed() | Cancelled() | Unknown():
            return 409
