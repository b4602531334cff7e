"""Measures the cost of each role as the fleet grows and fits a line to it.

Each size is measured twice: without load, and with a steady stream of short jobs. Slopes are
per agent and per job; `docs/CAPACITY.md` extrapolates them to the size expected in two years.
"""

import asyncio
import json
import os
import platform
import tempfile
from pathlib import Path
from typing import Annotated, NamedTuple

import numpy as np
import typer

from tests.harness.callers import Callers, JobRequest
from tests.harness.fleet import Fleet, FleetLayout
from tests.harness.processes import ManagedProcess

__all__: list[str] = []

SETTLE_DELAY_S = 8.0
CALLER_TIMEOUT_S = 30.0
JOBS_PER_SECOND = 4.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CPU_FIELDS = slice(11, 13)
RESIDENT_FIELD = 1
MEGABYTE = 1024 * 1024
ENTRY = "entry"
PLANNER = "planner"
AGENT = "agent"


class Cost(NamedTuple):
    """The cost of one process; CPU is in percent of one core."""

    cpu_percent: float = 0.0
    memory_mb: float = 0.0
    bytes_per_s: float = 0.0
    frames_per_s: float = 0.0


class Sample(NamedTuple):
    """One measurement: mean cost by role and store calls per second."""

    agents: int
    jobs_per_s: float
    cost_by_role: dict[str, Cost]
    store_calls_per_s: float
    answered: int


class LinearFit(NamedTuple):
    """A fitted line and the largest absolute error of a sample."""

    base: float
    slope: float
    worst_error: float


def fit_line(sizes: list[int], values: list[float]) -> LinearFit:
    """Fit a line by least squares."""
    slope, base = np.polyfit(sizes, values, 1)
    errors = [abs(base + slope * x - y) for x, y in zip(sizes, values, strict=True)]
    return LinearFit(float(base), float(slope), float(max(errors)))


def _cpu_s(process: ManagedProcess) -> float:
    text = Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(") ")[2].split()
    return sum(map(int, fields[CPU_FIELDS])) / CLOCK_TICKS_PER_S


def _memory_mb(process: ManagedProcess) -> float:
    pages = Path(f"/proc/{process.pid}/statm").read_text().split()[RESIDENT_FIELD]
    return int(pages) * PAGE_BYTES / MEGABYTE


class _CostMeter:
    """Measures the costs of a fleet's processes over a period."""

    def __init__(self, fleet: Fleet, planner: str) -> None:
        self._fleet = fleet
        self._planner = planner

    async def measure(self, seconds: float) -> tuple[dict[str, Cost], float]:
        """Return the mean cost by role and the store's calls per second."""
        before = await self._read()
        calls_before = await self._store_calls()
        await asyncio.sleep(seconds)
        after = await self._read()
        calls = (await self._store_calls() - calls_before) / seconds
        costs: dict[str, list[Cost]] = {ENTRY: [], PLANNER: [], AGENT: []}
        for name, (cpu_s, sent, frames) in after.items():
            old_cpu_s, old_sent, old_frames = before[name]
            process = self._process(name)
            cost = Cost(
                100 * (cpu_s - old_cpu_s) / seconds,
                _memory_mb(process),
                (sent - old_sent) / seconds,
                (frames - old_frames) / seconds,
            )
            costs[self._role(name)].append(cost)
        return {role: _mean(role_costs) for role, role_costs in costs.items() if role_costs}, calls

    def _process(self, name: str) -> ManagedProcess:
        return self._fleet.entries_by_id.get(name) or self._fleet.agents_by_id[name]

    def _role(self, name: str) -> str:
        if name in self._fleet.agents_by_id:
            return AGENT
        return PLANNER if name == self._planner else ENTRY

    async def _read(self) -> dict[str, tuple[float, int, int]]:
        """Return CPU seconds, bytes and frames by process.

        Each agent gets an equal share of the bytes and frames that the entries count for agents.
        """
        readings = {}
        agent_bytes = agent_frames = 0
        for name, process in self._fleet.entries_by_id.items():
            counters = await self._fleet.get(self._fleet.http_by_entry[name], "/v1/counters")
            sessions = counters["sessions"]
            sent = sessions["agents_bytes"] + sessions["peers_bytes"]
            frames = sessions["agents_frames"] + sessions["peers_frames"]
            readings[name] = (_cpu_s(process), sent, frames)
            agent_bytes += sessions["agents_bytes"]
            agent_frames += sessions["agents_frames"]
        agents = len(self._fleet.agents_by_id)
        for name, process in self._fleet.agents_by_id.items():
            readings[name] = (_cpu_s(process), agent_bytes // agents, agent_frames // agents)
        return readings

    async def _store_calls(self) -> int:
        counters = await self._fleet.get(self._fleet.store_address, "/admin/counters")
        return sum(counters["calls"].values())


def _mean(costs: list[Cost]) -> Cost:
    return Cost(*(float(np.mean(column)) for column in zip(*costs, strict=True)))


async def _submit_jobs(fleet: Fleet, callers: Callers, seconds: float) -> None:
    """Submit short jobs at a steady rate and wait until all have ended."""
    tasks = []
    for number in range(int(seconds * JOBS_PER_SECOND)):
        request = JobRequest(f"slope-{fleet.layout.workers}-{number}", run_ms=200)
        tasks.append(asyncio.create_task(callers.run(request, CALLER_TIMEOUT_S)))
        await asyncio.sleep(1 / JOBS_PER_SECOND)
    await asyncio.gather(*tasks)


async def _measure_size(agents: int, seconds: float, permit_ms: int, folder: Path) -> list[Sample]:
    zones = ("zone-a", "zone-b", "zone-c")
    fleet = Fleet(FleetLayout(workers=agents, zones=zones, times={"permit_ms": permit_ms}), folder)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_DELAY_S)
        meter = _CostMeter(fleet, await fleet.planner())
        idle, idle_calls = await meter.measure(seconds)
        callers = Callers(list(fleet.http_by_entry.values()), 1)
        loading = asyncio.create_task(_submit_jobs(fleet, callers, seconds))
        busy, busy_calls = await meter.measure(seconds)
        await loading
        answered = sum(
            any(verdict.tag == "answered" for verdict in record.verdicts)
            for record in callers.records()
        )
        return [
            Sample(agents, 0.0, idle, idle_calls, 0),
            Sample(agents, JOBS_PER_SECOND, busy, busy_calls, answered),
        ]
    finally:
        await fleet.stop()


def _print_fits(samples: list[Sample]) -> None:
    for jobs_per_s in (0.0, JOBS_PER_SECOND):
        selected = [sample for sample in samples if sample.jobs_per_s == jobs_per_s]
        sizes = [sample.agents for sample in selected]
        print(
            f"\nat {jobs_per_s:g} jobs/s over {sizes} agents: base + slope per agent (worst error)"
        )
        for role in (ENTRY, PLANNER, AGENT):
            for field in Cost._fields:
                values = [getattr(sample.cost_by_role[role], field) for sample in selected]
                line = fit_line(sizes, values)
                shown = ", ".join(f"{value:.3g}" for value in values)
                print(
                    f"{role:8}{field:14}{line.base:10.3f} + {line.slope:9.5f} n"
                    f" ({line.worst_error:.3f})  [{shown}]"
                )
        calls = fit_line(sizes, [sample.store_calls_per_s for sample in selected])
        print(f"{'store':8}{'calls_per_s':14}{calls.base:10.3f} + {calls.slope:9.5f} n")


async def _run(sizes: list[int], seconds: float, permit_ms: int) -> list[Sample]:
    samples: list[Sample] = []
    for agents in sizes:
        folder = Path(tempfile.mkdtemp(prefix=f"lycheeslip-slopes-{agents}-"))
        size_samples = await _measure_size(agents, seconds, permit_ms, folder)
        samples += size_samples
        for sample in size_samples:
            print(json.dumps(sample._asdict()), flush=True)
    return samples


def main(
    sizes: Annotated[str, typer.Option(help="Numbers of agents, comma-separated.")] = "10,20,40,80",
    seconds: Annotated[float, typer.Option(help="Length of each measurement in seconds.")] = 20.0,
    permit_ms: Annotated[int, typer.Option(help="Length of the zone permits in ms.")] = 2_500,
) -> None:
    """Measure the costs at each size and print the fitted lines."""
    print(
        f"{platform.platform()} cores={os.cpu_count()}",
        f"load={os.getloadavg()} permit_ms={permit_ms}",
        flush=True,
    )
    samples = asyncio.run(_run([int(size) for size in sizes.split(",")], seconds, permit_ms))
    _print_fits(samples)


if __name__ == "__main__":
    typer.run(main)
