"""Builds the table that `make prove` prints."""

from typing import NamedTuple

from lycheeslip_standins.checker import Finding

__all__ = ["ReportRow", "format_rows", "make_extra_rows", "make_row"]

HEADINGS = ("promise", "fault", "trials", "cases", "violations", "worst", "bound")

STANDARD_PROMISES = frozenset(
    {
        "no start in a zone taken out",
        "not repeatable: at most once",
        "not run is true",
        "no partial gang",
        "whole answer, right caller",
        "exactly one true answer",
        "configuration in force, never reverts",
        "no new work when leaving",
        "guaranteed shape reclaimable",
        "graceful shutdown cuts off nothing",
    }
)


class ReportRow(NamedTuple):
    """The result for one promise under one fault, over all trials."""

    promise: str
    fault: str
    trials: int
    cases: int
    violations: int
    worst: str
    bound: str


def make_row(promise: str, fault: str, trials: list[list[Finding]]) -> ReportRow:
    """Return the row of a scenario, which counts the violations of every promise."""
    matching = [f for findings in trials for f in findings if f.promise == promise]
    violations = sum(len(f.violations) for findings in trials for f in findings)
    worst = max((finding.worst for finding in matching), default=0)
    unit = matching[0].unit if matching else ""
    bound = matching[0].bound if matching else 0
    cases = sum(finding.cases for finding in matching)
    return ReportRow(
        promise, fault, len(trials), cases, violations, f"{worst} {unit}", f"{bound} {unit}"
    )


def make_extra_rows(fault: str, trials: list[list[Finding]]) -> list[ReportRow]:
    """Return a row for each additional check that only this scenario makes."""
    extra = {
        f.promise: [] for findings in trials for f in findings if f.promise not in STANDARD_PROMISES
    }
    for findings in trials:
        for finding in findings:
            if finding.promise in extra:
                extra[finding.promise].append([finding])
    return [make_row(promise, fault, found) for promise, found in extra.items()]


def format_rows(rows: list[ReportRow]) -> str:
    """Return the rows as a text table with aligned columns."""
    lines = [HEADINGS, *(tuple(map(str, row)) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(HEADINGS))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
