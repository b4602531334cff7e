"""Commands for one job: explain, cancel and fetch its answer."""

import sys
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any
from urllib.parse import quote

from lycheeslip.commands.client import EntryClient
from lycheeslip.commands.options import Options, open_client
from lycheeslip.commands.outcomes import (
    CommandError,
    ExitCode,
    Refusal,
    Reply,
    command_error,
    job_exit_code,
)
from lycheeslip.commands.render import format_time, job_summary, print_result

__all__ = ["cancel_job", "explain_job", "fetch_answer", "wait_for_job"]

LONG_POLL_MS = 20_000
ACCEPTED_STATUS = 202
MILLISECONDS_PER_SECOND = 1_000


async def explain_job(options: Options, job_id: str) -> ExitCode:
    """Print why a job is waiting, or the history of its attempts."""
    async with open_client(options) as client:
        outcome = await client.call("GET", _job_path(job_id))
    if not isinstance(outcome, Reply):
        raise command_error(outcome)
    print_result(options.output, outcome.document, _explanation(outcome.document))
    return ExitCode.OK


async def cancel_job(options: Options, job_id: str) -> ExitCode:
    """Request the cancellation of a job and print its current state."""
    async with open_client(options) as client:
        outcome = await client.call("DELETE", _job_path(job_id))
    if not isinstance(outcome, Reply):
        raise command_error(outcome)
    print_result(options.output, outcome.document, [job_summary(outcome.document)])
    return ExitCode.OK


async def fetch_answer(options: Options, job_id: str, path: Path | None, wait_s: float) -> ExitCode:
    """Wait for the answer of a job and write it to `path` or to standard output."""
    deadline = time.monotonic() + wait_s
    async with open_client(options) as client:
        while True:
            wait_ms = _next_wait_ms(deadline)
            outcome = await client.call("GET", f"{_job_path(job_id)}/answer", wait_ms=wait_ms)
            if not isinstance(outcome, Reply):
                raise await _answer_error(client, job_id, outcome)
            if outcome.status != ACCEPTED_STATUS:
                break
            if time.monotonic() >= deadline:
                raise CommandError(f"job {job_id} is not done yet", ExitCode.FAILED)
    _write_answer(outcome.body, path)
    return ExitCode.OK


async def wait_for_job(client: EntryClient, job_id: str, deadline: float) -> Mapping[str, Any]:
    """Return the job document once the job is done, or its state at the deadline."""
    while True:
        outcome = await client.call("GET", _job_path(job_id), wait_ms=_next_wait_ms(deadline))
        if not isinstance(outcome, Reply):
            raise command_error(outcome)
        if outcome.document["state"] == "done" or time.monotonic() >= deadline:
            return outcome.document


def _write_answer(answer: bytes, path: Path | None) -> None:
    if path is not None:
        path.write_bytes(answer)
        return
    sys.stdout.buffer.write(answer)
    sys.stdout.buffer.flush()


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"


def _next_wait_ms(deadline: float) -> int:
    remaining_ms = int((deadline - time.monotonic()) * MILLISECONDS_PER_SECOND)
    return max(0, min(LONG_POLL_MS, remaining_ms))


async def _answer_error(client: EntryClient, job_id: str, outcome: Any) -> CommandError:
    """Return the error for a job without an answer, with the verdict of the job if known."""
    if isinstance(outcome, Refusal):
        job = await client.call("GET", _job_path(job_id))
        if isinstance(job, Reply) and job.document["verdict"] is not None:
            return CommandError(job_summary(job.document), job_exit_code(job.document))
    return command_error(outcome)


def _explanation(document: Mapping[str, Any]) -> Iterator[str]:
    yield job_summary(document)
    shape = document["shape"]
    yield (
        f"  account {document['account']}, {document['kind']}, {shape['members']} x "
        f"{shape['accelerators']} accelerators, {shape['adjacency']}, "
        f"{'repeatable' if document['repeatable'] else 'at most once'}"
    )
    yield f"  accepted {format_time(document['accepted_at_ms'])}"
    if document["deadline_at_ms"]:
        yield f"  deadline {format_time(document['deadline_at_ms'])}"
    if not document["attempts"]:
        yield "  no attempt yet"
    for attempt in document["attempts"]:
        workers = ", ".join(attempt["workers"])
        yield (
            f"  attempt {attempt['attempt']} on {workers}: {attempt['outcome'] or 'running'}, "
            f"{format_time(attempt['started_at_ms'])} to {format_time(attempt['ended_at_ms'])}"
        )
