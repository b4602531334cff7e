"""Submits jobs and waits until they are done."""

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
from lycheeslip.commands.options import Options, OutputFormat, open_client
from lycheeslip.commands.outcomes import (
    CommandError,
    ExitCode,
    Refusal,
    Reply,
    command_error,
    job_exit_code,
    most_severe_exit_code,
)
from lycheeslip.commands.render import job_summary, print_json

__all__ = [
    "JobRequest",
    "WaitPolicy",
    "new_idempotency_key",
    "read_job_file",
    "submit_file",
    "submit_jobs",
]

IDEMPOTENCY_KEY = "idempotency_key"
IDEMPOTENCY_KEY_BYTES = 16
MAX_CONCURRENT_JOBS = 32
MIN_RETRY_WAIT_S = 0.05
MAX_RETRY_WAIT_S = 5.0
MILLISECONDS_PER_SECOND = 1_000
MAX_REQUEST_WAIT_MS = 60_000


class JobRequest(NamedTuple):
    """The body of a submission and its idempotency key, which makes it safe to retry."""

    body: Mapping[str, Any]
    idempotency_key: str


class WaitPolicy(NamedTuple):
    """Whether and how long to wait for a job to be done, and how long to retry refusals."""

    wait: bool = True
    wait_s: float = 3600.0
    retry_s: float = 30.0


class _Result(NamedTuple):
    code: ExitCode
    document: Mapping[str, Any] | None
    message: str


def new_idempotency_key() -> str:
    """Return a random idempotency key."""
    return secrets.token_hex(IDEMPOTENCY_KEY_BYTES)


def read_job_file(path: Path, key_prefix: str) -> list[JobRequest]:
    """Return the jobs of a JSONL file; raises CommandError listing the invalid lines.

    A line may contain its own `idempotency_key`; for the others it is `key_prefix` and the line
    number, so that resubmitting a file with the same prefix runs no job twice.
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


def submit_file(options: Options, path: Path, key_prefix: str, wait_policy: WaitPolicy) -> ExitCode:
    """Submit every job of a JSONL file."""
    requests = read_job_file(path, key_prefix)
    return uvloop.run(submit_jobs(options, requests, wait_policy))


async def submit_jobs(
    options: Options, requests: list[JobRequest], wait_policy: WaitPolicy
) -> ExitCode:
    """Submit all requests, print results as they arrive and return the most severe exit code."""
    results: list[_Result] = []
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_JOBS)
    progress = _progress()
    async with open_client(options) as client:
        with progress:
            task = progress.add_task("jobs", total=len(requests), visible=len(requests) > 1)

            async def submit_one(request: JobRequest) -> None:
                async with semaphore:
                    result = await _submit_and_wait(client, request, wait_policy)
                results.append(result)
                _print_result(options, result)
                progress.advance(task)

            async with asyncio.TaskGroup() as group:
                for request in requests:
                    group.create_task(submit_one(request))
    return most_severe_exit_code([result.code for result in results])


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


def _print_result(options: Options, result: _Result) -> None:
    if result.document is None:
        print(result.message, file=sys.stderr)
    elif options.output is OutputFormat.TEXT:
        print(job_summary(result.document))
    if options.output is OutputFormat.JSON:
        print_json(result.document or {"error": result.message, "exit_code": result.code})


async def _submit_and_wait(
    client: EntryClient, request: JobRequest, wait_policy: WaitPolicy
) -> _Result:
    try:
        document = await _submit(client, request, wait_policy)
        if wait_policy.wait and document["state"] != "done":
            deadline = time.monotonic() + wait_policy.wait_s
            document = await wait_for_job(client, document["job_id"], deadline)
    except CommandError as error:
        label = request.body.get("label") or request.idempotency_key
        return _Result(error.code, None, f"{label}: {error}")
    if wait_policy.wait and document["state"] != "done":
        return _Result(ExitCode.UNKNOWN, document, "")
    return _Result(job_exit_code(document), document, "")


async def _submit(
    client: EntryClient, request: JobRequest, wait_policy: WaitPolicy
) -> Mapping[str, Any]:
    """Retry until the job is accepted or refused for good, or `wait_policy.retry_s` have passed.

    The request itself waits for the job, because an entry that can't reach the store serves a job
    only on a connection that waits for it.
    """
    deadline = time.monotonic() + wait_policy.retry_s
    wait_ms = _request_wait_ms(wait_policy)
    body = json.dumps(request.body).encode()
    headers = {"Content-Type": "application/json", "Idempotency-Key": request.idempotency_key}
    while True:
        outcome = await client.call("POST", "/v1/jobs", body=body, headers=headers, wait_ms=wait_ms)
        if isinstance(outcome, Reply):
            return outcome.document
        if not isinstance(outcome, Refusal) or outcome.retry_at_ms == 0:
            raise command_error(outcome)
        delay_s = _retry_delay_s(outcome)
        if time.monotonic() + delay_s > deadline:
            raise command_error(outcome)
        await asyncio.sleep(delay_s)


def _request_wait_ms(wait_policy: WaitPolicy) -> int:
    """Return how long an entry may hold the request until the job is done."""
    if not wait_policy.wait:
        return 0
    return min(MAX_REQUEST_WAIT_MS, int(wait_policy.wait_s * MILLISECONDS_PER_SECOND))


def _retry_delay_s(refusal: Refusal) -> float:
    requested_s = refusal.retry_at_ms / MILLISECONDS_PER_SECOND - time.time()
    return min(MAX_RETRY_WAIT_S, max(MIN_RETRY_WAIT_S, requested_s))
