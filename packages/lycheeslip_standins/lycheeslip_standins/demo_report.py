"""Checks the results of the demo's requests and prints the summary."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from hashlib import sha256
from statistics import median
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from lycheeslip_standins.backend_server import expected_answer
from lycheeslip_standins.demo_fleet import Start
from lycheeslip_standins.demo_workload import Job

__all__ = ["Finding", "Result", "describe_answer_fault", "print_summary", "describe_start_faults"]

MILLISECONDS_PER_SECOND = 1_000


class Result(NamedTuple):
    """Result of one request."""

    job: Job
    job_id: str
    verdict: str
    answer: bytes
    took_ms: int


class Finding(NamedTuple):
    """One line below the table; `good` is False if a guarantee was violated."""

    text: str
    good: bool = True


def describe_answer_fault(result: Result) -> str:
    """Return what is wrong with a result, or "" if it is the expected answer."""
    if result.verdict != "answered":
        return f"{result.job.idempotency_key}: {result.verdict}"
    expected = sha256(expected_answer(result.job.payload)).digest()
    if sha256(result.answer).digest() != expected:
        return f"{result.job.idempotency_key}: unexpected answer"
    return ""


def describe_start_faults(results: Iterable[Result], starts: Sequence[Start]) -> list[str]:
    """Describe requests that started more often than allowed, or with members missing."""
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
    """Print one table row for each job name, then the findings."""
    results_by_name: defaultdict[str, list[Result]] = defaultdict(list)
    for result in results:
        results_by_name[result.job.name].append(result)
    table = Table(title="Year-end closing", title_justify="left")
    table.add_column("job")
    table.add_column("kind")
    for column in ("requests", "answered", "median s", "longest s"):
        table.add_column(column, justify="right")
    for name, group in sorted(results_by_name.items()):
        times = [result.took_ms / MILLISECONDS_PER_SECOND for result in group]
        answered = sum(1 for result in group if not describe_answer_fault(result))
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
