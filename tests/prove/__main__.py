"""Runs the fault scenarios against a fleet of real processes and prints a table of results."""

import asyncio
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from tests.harness.fleet import Fleet, FleetLayout
from tests.prove import all_scenarios
from tests.prove.report import ReportRow, format_rows, make_extra_rows, make_row
from tests.prove.trial import Scenario, format_violations, run_trial

__all__: list[str] = []


async def _prove(
    seed: int, trials: int, scenarios: list[Scenario], folder: Path
) -> list[ReportRow]:
    fleet = Fleet(FleetLayout(), folder)
    rows = []
    try:
        await fleet.start()
        for scenario in scenarios:
            results = []
            for offset in range(trials):
                findings, summary = await run_trial(fleet, scenario, seed + offset)
                print(
                    f"{scenario.promise} | {scenario.fault} | seed={seed + offset} {summary}",
                    flush=True,
                )
                for line in format_violations(findings):
                    print(f"VIOLATION {scenario.fault} seed={seed + offset} {line}", flush=True)
                results.append(findings)
            rows.append(make_row(scenario.promise, scenario.fault, results))
            rows += make_extra_rows(scenario.fault, results)
    finally:
        await fleet.stop()
    return rows


def main(
    seed: int = 1,
    trials: int = 1,
    match: Annotated[
        str, typer.Option(help="Run only scenarios whose promise or fault contains this text.")
    ] = "",
) -> None:
    """Run each scenario `trials` times with consecutive seeds; exit 1 on any violation.

    A row without a case has tested nothing; it is printed and also makes the exit code 1.
    """
    scenarios = [s for s in all_scenarios() if match in s.promise or match in s.fault]
    folder = Path(tempfile.mkdtemp(prefix="lycheeslip-prove-"))
    print(f"seed={seed} trials={trials} logs={folder}", flush=True)
    rows = asyncio.run(_prove(seed, trials, scenarios, folder))
    print(format_rows(rows))
    without_cases = [row for row in rows if not row.cases]
    for row in without_cases:
        print(f"NOT SHOWN {row.promise} | {row.fault}: no case occurred")
    raise typer.Exit(1 if without_cases or any(row.violations for row in rows) else 0)


if __name__ == "__main__":
    typer.run(main)
