"""Judges what the demo's requests came to and prints the summary."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from hashlib import sha256
from statistics import median
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from lycheeslip_standins.backend_server import expected_answer
from lycheeslip_standins.demo_cell import Start
from lycheeslip_standins.demo_close import Job

__all__ = ["Finding", "Result", "faults_of", "print_summary", "start_faults"]

MILLISECONDS_PER_SECOND = 1_000


class Result(NamedTuple):
    """What became of one request."""

    job: Job
    job_id: str
    verdict: str
    answer: bytes
    took_ms: int


class Finding(NamedTuple):
    """One line about the fleet under the table; `good` is False where a promise was broken."""

    text: str
    good: bool = True


def faults_of(result: Result) -> str:
    """Return what is wrong with a result, or "" if it is the one true answer."""
    if result.verdict != "answered":
        return f"{result.job.idempotency_key}: {result.verdict}"
    expected = sha256(expected_answer(result.job.payload)).digest()
    if sha256(result.answer).digest() != expected:
        return f"{result.job.idempotency_key}: not the answer to this request"
    return ""


def start_faults(results: Iterable[Result], starts: Sequence[Start]) -> list[str]:
    """Return the requests that ran more often than promised, or with members missing."""
    attempts_by_job: defaultdict[str, set[int]] = defaultdict(set)
    members_by_attempt: Counter[tuple[str, int]] = Counter()
    for start in starts:
        attempts_by_job[start.job_id].add(start.attempt)
        members_by_attempt[start.job_id, start.attempt] += 1
    faults = []
    for result in results:
        body, key = result.job.body, result.job.idempotency_key
        attempts = attempts_by_job[result.job_id]
        if not body["repeatable"] and len(attempts) > 1:
            faults.append(f"{key}: started {len(attempts)} times")
        for attempt in attempts:
            members = members_by_attempt[result.job_id, attempt]
            if members != body["shape"]["members"]:
                faults.append(f"{key}: attempt {attempt} ran with {members} members")
    return faults


def print_summary(console: Console, results: Sequence[Result], findings: list[Finding]) -> None:
    """Print one row for each kind of work, then the findings."""
    by_name: defaultdict[str, list[Result]] = defaultdict(list)
    for result in results:
        by_name[result.job.name].append(result)
    table = Table(title="Year-end close", title_justify="left")
    table.add_column("work")
    table.add_column("kind")
    for column in ("requests", "answered", "median s", "longest s"):
        table.add_column(column, justify="right")
    for name, group in sorted(by_name.items()):
        times = [result.took_ms / MILLISECONDS_PER_SECOND for result in group]
        answered = sum(1 for result in group if not faults_of(result))
        table.add_row(
            name,
            group[0].job.body["kind"],
            str(len(group)),
            str(answered),
            f"{median(times):.2f}",
            f"{max(times):.2f}",
        )
    console.print(table)
    for finding in findings:
        console.print(f"{'ok  ' if finding.good else 'FAIL'} {finding.text}")
