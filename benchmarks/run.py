"""Runs workloads on real processes under several policies: python -m benchmarks.run.

Policies are paired by seed: each seed is run under all policies on the same fleet, in the
given order and then in reverse order.
"""

import asyncio
import json
import os
import tempfile
from importlib.metadata import version
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins.load import LoadGenerator
from lycheeslip_standins.load_workloads import WORKLOADS, Event, Workload, build_workload

from benchmarks.fleet import LAYOUT_BY_SIZE, BenchFleet
from benchmarks.measures import measure
from benchmarks.report import write_report
from benchmarks.sampler import Sampler
from tests.harness.operators import Operator

__all__ = ["clear_fleet", "main"]

ROOT = Path(__file__).parent.parent
POLICIES = {
    "lycheeslip": "lycheeslip.policy.plan",
    "fcfs": "benchmarks.baselines.fcfs",
    "backfill": "benchmarks.baselines.backfill",
}
IDLE_TIMEOUT_S = 30.0


def main(
    workload: Annotated[
        list[str], typer.Option(help="Workload; repeat for more.")
    ] = [],  # noqa: B006
    policy: Annotated[
        list[str], typer.Option(help="Policy name or module; repeat for more.")
    ] = [],  # noqa: B006
    size: Annotated[str, typer.Option(help="Fleet layout: hooghly or kite.")] = "hooghly",
    seed: Annotated[list[int], typer.Option(help="Seed; repeat for more.")] = [1],  # noqa: B006
    seconds: Annotated[float, typer.Option(help="Time over which jobs are submitted.")] = 10.0,
    limit_s: Annotated[float, typer.Option(help="Time after which a run ends.")] = 30.0,
    both_orders: Annotated[bool, typer.Option(help="Run each seed in reverse order too.")] = True,
    out: Annotated[Path, typer.Option(help="Folder for results.json and report.md.")] = Path(
        "results/latest"
    ),
) -> None:
    """Run the workloads and write the results and the report."""
    sources = [ROOT, *sorted((ROOT / "packages").iterdir())]
    os.environ["PYTHONPATH"] = os.pathsep.join(map(str, sources))
    benchmark = _Benchmark(policy or list(POLICIES), size, seconds, limit_s, both_orders)
    out.mkdir(parents=True, exist_ok=True)
    results = uvloop.run(benchmark.run(workload or list(WORKLOADS), seed))
    (out / "results.json").write_text(json.dumps(results, indent=1))
    write_report(results, out)
    typer.echo(f"wrote {out}/results.json and {out}/report.md")


class _Benchmark:
    """A series of runs on one fleet."""

    def __init__(
        self, policies: list[str], size: str, seconds: float, limit_s: float, both_orders: bool
    ) -> None:
        self._policies = policies
        self._size = size
        self._seconds = seconds
        self._limit_s = limit_s
        self._both_orders = both_orders
        self._layout = LAYOUT_BY_SIZE[size]

    async def run(self, workloads: list[str], seeds: list[int]) -> dict[str, Any]:
        """Run all workloads; return the results with the parameters needed to repeat them."""
        runs = []
        load_before = os.getloadavg()
        with tempfile.TemporaryDirectory() as folder:
            fleet = BenchFleet(self._layout, Path(folder))
            try:
                await fleet.start()
                for seed in seeds:
                    for policies in self._orders():
                        runs += await self._run_policies(fleet, policies, workloads, seed)
            finally:
                await fleet.stop()
        return {
            "version": version("lycheeslip"),
            "size": self._size,
            "seeds": seeds,
            "seconds": self._seconds,
            "machine": {
                "cores": os.cpu_count(),
                "load_before": load_before,
                "load_after": os.getloadavg(),
            },
            "runs": runs,
        }

    def _orders(self) -> list[list[str]]:
        return [self._policies, self._policies[::-1]] if self._both_orders else [self._policies]

    async def _run_policies(
        self, fleet: BenchFleet, policies: list[str], workloads: list[str], seed: int
    ) -> list[dict[str, Any]]:
        runs = []
        for policy in policies:
            await fleet.use_policy(POLICIES.get(policy, policy))
            for name in workloads:
                workload = build_workload(name, seed, self._seconds)
                run = await self._run_one(fleet, policy, workload)
                runs.append(run)
                print(
                    f"{policy} {name} seed={seed} {_format_measures(run['measures'])}", flush=True
                )
        return runs

    async def _run_one(self, fleet: BenchFleet, policy: str, workload: Workload) -> dict[str, Any]:
        operator = fleet.operator()
        await operator.apply()
        sampler = Sampler(fleet)
        run_id = f"{policy}-{workload.name}-{workload.seed}-{monotonic_ms()}"
        addresses = list(fleet.http_by_entry.values())
        load = LoadGenerator(addresses, workload, run_id, self._limit_s)
        load_average = os.getloadavg()[0]
        sampler.start()
        events = [asyncio.create_task(_run_event(fleet, operator, e)) for e in workload.events]
        jobs = await load.run()
        await asyncio.gather(*events)
        samples = await sampler.stop()
        await clear_fleet(fleet)
        accelerators = self._layout.workers * self._layout.accelerators
        return {
            "policy": policy,
            "workload": workload.name,
            "seed": workload.seed,
            "load_average": load_average,
            "measures": measure(jobs, samples, accelerators),
            "jobs": [job._asdict() for job in jobs],
            "samples": [sample._asdict() for sample in samples],
        }


async def _run_event(fleet: BenchFleet, operator: Operator, event: Event) -> None:
    await asyncio.sleep(event.at_ms / 1000)
    await fleet.begin(event, operator)
    await asyncio.sleep((event.until_ms - event.at_ms) / 1000)
    await fleet.end(event, operator)


async def clear_fleet(fleet: BenchFleet) -> None:
    """Cancel all remaining jobs and wait until the fleet is idle."""
    address = next(iter(fleet.http_by_entry.values()))
    for state in ("pending", "started"):
        found = await fleet.get(address, f"/v1/jobs?state={state}&limit=1000") or {"jobs": []}
        for job in found["jobs"]:
            url = f"http://{address}/v1/jobs/{job['job_id']}"
            async with fleet.http.delete(url) as response:
                await response.read()

    async def is_idle() -> bool:
        document = await fleet.get(address, "/v1/fleet")
        return document is not None and not any(w["busy"] for w in document["workers"])

    await fleet.wait_until(is_idle, "the fleet is idle", IDLE_TIMEOUT_S)


def _format_measures(measures: dict[str, Any]) -> str:
    keys: tuple[str, ...] = ("completion_p50_ms", "completion_p95_ms", "completion_p95_ms.large")
    keys += ("largest_wait_ms.large", "start_p99_ms.urgent", "makespan_ms")
    keys += ("deadlines_met", "utilisation", "fragmentation", "overhead_ratio")
    return " ".join(f"{key}={measures.get(key, -1):.4g}" for key in keys)


if __name__ == "__main__":
    typer.run(main)
