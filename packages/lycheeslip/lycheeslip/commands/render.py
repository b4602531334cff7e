"""Prints results as human-readable text or as JSON."""

import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from rich.console import Console
from rich.table import Table

from lycheeslip.commands.options import OutputFormat

__all__ = ["format_time", "job_summary", "print_json", "print_result", "print_table"]

MILLISECONDS_PER_SECOND = 1_000


def print_json(document: object) -> None:
    """Print `document` as one line of JSON."""
    print(json.dumps(document, ensure_ascii=False))


def print_result(output: OutputFormat, document: object, lines: Iterable[str]) -> None:
    """Print `document` as JSON, or `lines` as text."""
    if output is OutputFormat.JSON:
        print_json(document)
        return
    for line in lines:
        print(line)


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table to standard output; cells are printed without interpreting markup."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console(markup=False, highlight=False).print(table)


def format_time(wall_ms: int) -> str:
    """Return wall-clock milliseconds as an ISO 8601 UTC time, or "-" for 0."""
    if not wall_ms:
        return "-"
    moment = datetime.fromtimestamp(wall_ms / MILLISECONDS_PER_SECOND, tz=UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def job_summary(document: Mapping[str, Any]) -> str:
    """Return a one-line summary of the state of a job."""
    head = f"job {document['job_id']}: {document['state']}"
    verdict = document.get("verdict")
    if verdict is None:
        waiting = document.get("waiting")
        return f"{head}, waits: {_format_reason(waiting)}" if waiting else head
    ran = "may have run" if verdict["may_have_run"] else "did not run"
    answer = document.get("answer")
    size = f", answer of {answer['length']} bytes" if answer else ""
    outcome = verdict["tag"] if verdict["tag"] == "answered" else f"{verdict['tag']}, {ran}"
    return f"{head}, {outcome}: {_format_reason(verdict)}{size}"


def _format_reason(document: Mapping[str, Any]) -> str:
    detail = document.get("detail")
    return f"{document['reason']} ({detail})" if detail else str(document["reason"])
