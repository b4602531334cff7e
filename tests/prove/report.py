"""The table that `make prove` prints."""

from typing import NamedTuple

from lycheeslip_standins.checker import Finding

__all__ = ["Row", "format_rows", "make_extra_rows", "make_row"]

HEADINGS = ("promise", "fault", "trials", "cases", "violations", "worst", "bound")


STANDARD = frozenset(
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


class Row(NamedTuple):
    """One promise under one fault, over all trials."""

    promise: str
    fault: str
    trials: int
    cases: int
    violations: int
    worst: str
    bound: str


def make_row(promise: str, fault: str, trials: list[list[Finding]]) -> Row:
    """Return the row of a scenario; violations of any promise count."""
    own = [f for findings in trials for f in findings if f.promise == promise]
    violations = sum(len(f.violations) for findings in trials for f in findings)
    worst = max((finding.worst for finding in own), default=0)
    unit = own[0].unit if own else ""
    bound = own[0].bound if own else 0
    cases = sum(finding.cases for finding in own)
    return Row(promise, fault, len(trials), cases, violations, f"{worst} {unit}", f"{bound} {unit}")


def make_extra_rows(fault: str, trials: list[list[Finding]]) -> list[Row]:
    """Return the rows of figures that only this fault's proof takes."""
    extra = {f.promise: [] for findings in trials for f in findings if f.promise not in STANDARD}
    for findings in trials:
        for finding in findings:
            if finding.promise in extra:
                extra[finding.promise].append([finding])
    return [make_row(promise, fault, found) for promise, found in extra.items()]


def format_rows(rows: list[Row]) -> str:
    """Return the rows as an aligned table."""
    lines = [HEADINGS, *(tuple(map(str, row)) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(HEADINGS))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
