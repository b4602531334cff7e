"""Compares the measures of two result files: python -m benchmarks.compare OLD NEW."""

import json
from pathlib import Path
from typing import Annotated

import typer

from benchmarks.report import TABLE_MEASURES, mean_measures

__all__ = ["main"]


def main(
    old: Path,
    new: Path,
    policy: Annotated[str, typer.Option(help="Policy to compare.")] = "lycheeslip",
) -> None:
    """Print both means and the relative change for each workload found in both files."""
    before = mean_measures(json.loads(old.read_text()))
    after = mean_measures(json.loads(new.read_text()))
    for key in sorted(before.keys() & after.keys()):
        if key[1] != policy:
            continue
        typer.echo(f"\n{key[0]} ({policy})")
        for measure in TABLE_MEASURES:
            old_mean, new_mean = before[key].get(measure), after[key].get(measure)
            if old_mean is not None and new_mean is not None:
                change = f"{(new_mean / old_mean - 1) * 100:+.1f}%" if old_mean else "n/a"
                typer.echo(f"  {measure:32} {old_mean:10.4g} {new_mean:10.4g} {change:>9}")


if __name__ == "__main__":
    typer.run(main)
