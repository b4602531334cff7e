"""Submits jobs and waits until each has its one answer."""

import asyncio
import json
import secrets
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import uvloop
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from lycheeslip.commands.client import EntryClient
from lycheeslip.commands.jobs import wait_for_job
from lycheeslip.commands.options import Options, OutputForm, open_client
from lycheeslip.commands.outcomes import (
    CommandError,
    ExitCode,
    Refusal,
    Reply,
    error_of,
    exit_code_of_job,
    worst_exit_code,
)
from lycheeslip.commands.render import job_summary, print_json

__all__ = [
    "JobRequest",
    "Patience",
    "new_idempotency_key",
    "read_job_file",
    "submit_file",
    "submit_jobs",
]

IDEMPOTENCY_KEY = "idempotency_key"
IDEMPOTENCY_KEY_BYTES = 16
MAX_JOBS_AT_ONCE = 32
MIN_RETRY_WAIT_S = 0.05
MAX_RETRY_WAIT_S = 5.0
MILLISECONDS_PER_SECOND = 1_000
MAX_HOLD_MS = 60_000


class JobRequest(NamedTuple):
    """The body of one submission and the key that makes it safe to repeat."""

    body: Mapping[str, Any]
    idempotency_key: str


class Patience(NamedTuple):
    """Whether to wait for the end of a job, and how long to wait and to retry refusals."""

    wait: bool = True
    wait_s: float = 3600.0
    retry_s: float = 30.0


class _Result(NamedTuple):
    code: ExitCode
    document: Mapping[str, Any] | None
    message: str


def new_idempotency_key() -> str:
    """Return a random key."""
    return secrets.token_hex(IDEMPOTENCY_KEY_BYTES)


def read_job_file(path: Path, key_prefix: str) -> list[JobRequest]:
    """Return the jobs of a JSONL file; raises CommandError naming each bad line.

    A line may carry its own `idempotency_key`; the others get `key_prefix` and their line
    number, so that submitting the same file again with the same prefix runs nothing twice.
    """
    requests, problems = [], []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: can't be read: {error}", ExitCode.USAGE) from error
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        body = _json_object(line)
        if body is None:
            problems.append(f"{path}:{number}: must be one JSON object")
            continue
        key = str(body.pop(IDEMPOTENCY_KEY, f"{key_prefix}-{number}"))
        requests.append(JobRequest(body, key))
    if problems:
        raise CommandError("\n".join(problems), ExitCode.USAGE)
    return requests


def _json_object(line: str) -> dict[str, Any] | None:
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def submit_file(options: Options, path: Path, key_prefix: str, patience: Patience) -> ExitCode:
    """Submit every job of a JSONL file."""
    requests = read_job_file(path, key_prefix)
    return uvloop.run(submit_jobs(options, requests, patience))


async def submit_jobs(options: Options, requests: list[JobRequest], patience: Patience) -> ExitCode:
    """Submit every request, print each result as it comes, and return the gravest outcome."""
    results: list[_Result] = []
    limit = asyncio.Semaphore(MAX_JOBS_AT_ONCE)
    progress = _progress()
    async with open_client(options) as client:
        with progress:
            task = progress.add_task("jobs", total=len(requests), visible=len(requests) > 1)

            async def submit_one(request: JobRequest) -> None:
                async with limit:
                    result = await _submit_and_wait(client, request, patience)
                results.append(result)
                _print(options, result)
                progress.advance(task)

            async with asyncio.TaskGroup() as group:
                for request in requests:
                    group.create_task(submit_one(request))
    return worst_exit_code([result.code for result in results])


def _progress() -> Progress:
    console = Console(stderr=True, markup=False, highlight=False)
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=console,
        disable=not console.is_terminal,
        transient=True,
        redirect_stdout=sys.stdout.isatty(),
    )


def _print(options: Options, result: _Result) -> None:
    if result.document is None:
        print(result.message, file=sys.stderr)
    elif options.output is OutputForm.TEXT:
        print(job_summary(result.document))
    if options.output is OutputForm.JSON:
        print_json(result.document or {"error": result.message, "exit_code": result.code})


async def _submit_and_wait(client: EntryClient, request: JobRequest, patience: Patience) -> _Result:
    try:
        document = await _submit(client, request, patience)
        if patience.wait and document["state"] != "done":
            deadline = time.monotonic() + patience.wait_s
            document = await wait_for_job(client, document["job_id"], deadline)
    except CommandError as error:
        label = request.body.get("label") or request.idempotency_key
        return _Result(error.code, None, f"{label}: {error}")
    if patience.wait and document["state"] != "done":
        return _Result(ExitCode.UNKNOWN, document, "")
    return _Result(exit_code_of_job(document), document, "")


async def _submit(
    client: EntryClient, request: JobRequest, patience: Patience
) -> Mapping[str, Any]:
    """Submit until the job is accepted; without the store, work needs the wait to be served."""
    deadline = time.monotonic() + patience.retry_s
    wait_ms = _hold_ms(patience)
    body = json.dumps(request.body).encode()
    headers = {"Content-Type": "application/json", "Idempotency-Key": request.idempotency_key}
    while True:
        outcome = await client.call("POST", "/v1/jobs", body=body, headers=headers, wait_ms=wait_ms)
        if isinstance(outcome, Reply):
            return outcome.document
        if not isinstance(outcome, Refusal) or outcome.retry_at_ms == 0:
            raise error_of(outcome)
        delay_s = _retry_delay_s(outcome)
        if time.monotonic() + delay_s > deadline:
            raise error_of(outcome)
        await asyncio.sleep(delay_s)


def _hold_ms(patience: Patience) -> int:
    """Return how long an entry may hold the submission until the job is done."""
    if not patience.wait:
        return 0
    return min(MAX_HOLD_MS, int(patience.wait_s * MILLISECONDS_PER_SECOND))


def _retry_delay_s(refusal: Refusal) -> float:
    asked_s = refusal.retry_at_ms / MILLISECONDS_PER_SECOND - time.time()
    return min(MAX_RETRY_WAIT_S, max(MIN_RETRY_WAIT_S, asked_s))
