"""Compares two result files measure by measure: python -m benchmarks.compare OLD NEW."""

import json
from pathlib import Path
from typing import Annotated

import typer

from benchmarks.report import TABLED, averages

__all__ = ["main"]


def main(
    old: Path,
    new: Path,
    policy: Annotated[str, typer.Option(help="Policy to compare.")] = "lycheeslip",
) -> None:
    """Print both means and the change for each workload that both files have."""
    before = averages(json.loads(old.read_text()))
    after = averages(json.loads(new.read_text()))
    for key in sorted(before.keys() & after.keys()):
        if key[1] != policy:
            continue
        typer.echo(f"\n{key[0]} ({policy})")
        for measure in TABLED:
            was, now = before[key].get(measure), after[key].get(measure)
            if was is not None and now is not None:
                change = f"{(now / was - 1) * 100:+.1f}%" if was else "n/a"
                typer.echo(f"  {measure:32} {was:10.4g} {now:10.4g} {change:>9}")


if __name__ == "__main__":
    typer.run(main)
