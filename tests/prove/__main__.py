"""Runs the proofs against a fleet of real processes and prints their table."""

import asyncio
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from tests.harness.fleet import Fleet, FleetLayout
from tests.prove import all_scenarios
from tests.prove.report import Row, format_rows, make_extra_rows, make_row
from tests.prove.trial import Scenario, run_trial, violations_of

__all__: list[str] = []


async def _prove(seed: int, trials: int, proofs: list[Scenario], folder: Path) -> list[Row]:
    fleet = Fleet(FleetLayout(), folder)
    rows = []
    try:
        await fleet.start()
        for proof in proofs:
            results = []
            for number in range(trials):
                findings, tally = await run_trial(fleet, proof, seed + number)
                print(f"{proof.promise} | {proof.fault} | seed={seed + number} {tally}", flush=True)
                for line in violations_of(findings):
                    print(f"VIOLATION {proof.fault} seed={seed + number} {line}", flush=True)
                results.append(findings)
            rows.append(make_row(proof.promise, proof.fault, results))
            rows += make_extra_rows(proof.fault, results)
    finally:
        await fleet.stop()
    return rows


def main(
    seed: int = 1,
    trials: int = 1,
    match: Annotated[str, typer.Option(help="only promises or faults with this text")] = "",
) -> None:
    """Run each proof `trials` times with seeds from `seed` on; exit 1 on any violation."""
    proofs = [p for p in all_scenarios() if match in p.promise or match in p.fault]
    folder = Path(tempfile.mkdtemp(prefix="lycheeslip-prove-"))
    print(f"seed={seed} trials={trials} logs={folder}", flush=True)
    rows = asyncio.run(_prove(seed, trials, proofs, folder))
    print(format_rows(rows))
    raise typer.Exit(1 if any(row.violations for row in rows) else 0)


if __name__ == "__main__":
    typer.run(main)
