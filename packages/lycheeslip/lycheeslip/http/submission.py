"""Parses job submissions and checks whether they can be admitted."""

import json
import secrets
from hashlib import sha256
from typing import Annotated, NamedTuple

from aiohttp import web
from lycheeslip_common.structure.jobs import (
    MAX_PAYLOAD_BYTES,
    Identifier,
    JobKind,
    JobSpec,
    Shape,
    derive_job_id,
)
from lycheeslip_common.utils.clock import wall_ms
from pydantic import BeforeValidator, Field, TypeAdapter, ValidationError

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.http.problems import ProblemItem, problem
from lycheeslip.policy.feasibility import misfit_reason

__all__ = ["MAX_BODY_BYTES", "Submission", "admission_problem", "parse_submission"]

MAX_BODY_BYTES = 2 * MAX_PAYLOAD_BYTES
MAX_RUN_MS = 30 * 86_400_000
QUEUE_RETRY_MS = 5_000
MAX_KEY_CHARACTERS = 256
RANDOM_KEY_BYTES = 16


def _require_object(value: object) -> object:
    """Refuse a list, which pydantic would accept as positional values of a NamedTuple."""
    if not isinstance(value, dict):
        raise ValueError("must be an object")
    return value


class _Body(NamedTuple):
    account: Identifier
    kind: JobKind = JobKind.DEFERRABLE
    shape: Annotated[Shape, BeforeValidator(_require_object)] = Shape()
    payload: Annotated[str, Field(max_length=MAX_PAYLOAD_BYTES)] = ""
    repeatable: bool = True
    deadline_in_ms: Annotated[int, Field(ge=0, le=MAX_RUN_MS)] = 0
    expected_run_ms: Annotated[int, Field(ge=0, le=MAX_RUN_MS)] = 0
    label: Annotated[str, Field(max_length=128)] = ""


class Submission(NamedTuple):
    """A valid job submission; `key` is the caller's idempotency key or a random one."""

    key: str
    job_id: str
    spec: JobSpec
    body_digest: str


_body_adapter = TypeAdapter(_Body)


def parse_submission(raw: bytes, idempotency_key: str) -> Submission | web.Response:
    """Return the job in a request body, or the error response that names each invalid key."""
    if len(idempotency_key) > MAX_KEY_CHARACTERS:
        detail = f"Idempotency-Key is longer than {MAX_KEY_CHARACTERS} characters."
        return problem(400, "malformed_key", detail)
    try:
        document = json.loads(raw)
        if not isinstance(document, dict):
            return problem(400, "malformed_body", "The body is not a JSON object.")
        body = _body_adapter.validate_json(raw, strict=True)
    except ValidationError as error:
        return problem(
            422, "invalid_job", "The job did not run; see `errors`.", errors=_problem_items(error)
        )
    except (ValueError, RecursionError) as error:
        return problem(400, "malformed_body", f"The body is not JSON: {error}")
    deadline_at_ms = wall_ms() + body.deadline_in_ms if body.deadline_in_ms else 0
    spec = JobSpec(
        account=body.account,
        kind=body.kind,
        shape=body.shape,
        payload=body.payload,
        repeatable=body.repeatable,
        deadline_at_ms=deadline_at_ms,
        expected_run_ms=body.expected_run_ms,
        label=body.label,
    )
    key = idempotency_key or secrets.token_hex(RANDOM_KEY_BYTES)
    digest = sha256(json.dumps(document, sort_keys=True).encode()).hexdigest()
    return Submission(key, derive_job_id(body.account, key), spec, digest)


def admission_problem(board: Blackboard, spec: JobSpec) -> web.Response | None:
    """Return the error response for a job that can't be admitted, or None if it can."""
    config = board.config
    if board.leaving:
        detail = "This entry is shutting down; the request did not run."
        return problem(503, "entry_leaving", detail, retry_in_ms=QUEUE_RETRY_MS)
    if config.accounts_by_id and spec.account not in config.accounts_by_id:
        return problem(422, "unknown_account", f"Account {spec.account!r} is not declared.")
    workers = {worker_id: view.state for worker_id, view in board.workers_by_id.items()}
    reason = misfit_reason(spec, workers, config) if workers or config.zones_by_id else ""
    if reason:
        return problem(422, "impossible_shape", f"No declared or live hardware fits: {reason}.")
    return _queue_problem(board, spec)


def _queue_problem(board: Blackboard, spec: JobSpec) -> web.Response | None:
    config = board.config
    account = config.accounts_by_id.get(spec.account)
    account_queue_length = board.jobs.queue_length(spec.account)
    if account is not None and account_queue_length >= account.max_waiting_jobs:
        detail = f"Account {spec.account!r} has {account_queue_length} waiting jobs."
        return problem(429, "account_queue_full", detail, retry_in_ms=QUEUE_RETRY_MS)
    total_queue_length = board.jobs.total_queue_length()
    if total_queue_length >= config.limits.max_waiting_jobs:
        detail = f"The fleet has {total_queue_length} waiting jobs."
        return problem(503, "queue_full", detail, retry_in_ms=QUEUE_RETRY_MS)
    return None


def _problem_items(error: ValidationError) -> list[ProblemItem]:
    return [
        ProblemItem(line=0, key=".".join(map(str, item["loc"])), message=item["msg"])
        for item in error.errors()
    ]
