"""Measures the effect of overload, cancellations and failing workers.

Run with `python -m benchmarks.overload`.
"""

import asyncio
import contextlib
import json
import os
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer
import uvloop
from lycheeslip_common.utils.clock import monotonic_ms

from benchmarks.fleet import LAYOUT_BY_SIZE, BenchFleet
from benchmarks.overload_load import ACCOUNTS, OverloadLoad, Submission
from benchmarks.run import clear_fleet
from tests.harness.operators import Operator

__all__ = ["main"]

ROOT = Path(__file__).parent.parent
RUN_MS = 1_000
CLIENTS_PER_ACCELERATOR = 1.25
WARM_UP_MS = 3_000
OVERLOAD_FACTOR = 3
MAX_WAITING = 200
MAX_WAITING_PER_ACCOUNT = 60
FAILING_WORKERS = 5
BURST_REQUESTS = 2_000
BURST_CONCURRENCY = 16
SAMPLE_INTERVAL_S = 0.25
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FILLER_RUN_MS = 60_000


def main(
    seed: Annotated[int, typer.Option(help="Seed of arrivals and accounts.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of each load.")] = 10.0,
    phase: Annotated[
        list[str], typer.Option(help="Run only this phase; repeat for more.")
    ] = [],  # noqa: B006
    out: Annotated[Path, typer.Option(help="File for the results.")] = Path(
        "results/overload.json"
    ),
) -> None:
    """Run the phases on one fleet, print their results and write them to a file."""
    sources = [ROOT, *sorted((ROOT / "packages").iterdir())]
    os.environ["PYTHONPATH"] = os.pathsep.join(map(str, sources))
    bench = OverloadBench(seed, round(seconds * 1000), set(phase))
    results = uvloop.run(bench.run())
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps({"seed": seed, "seconds": seconds, "phases": results}, indent=1))
    typer.echo(f"wrote {out}")


class OverloadBench:
    """Runs the phases one after another on the same fleet of real processes."""

    def __init__(self, seed: int, duration_ms: int, phases: set[str]) -> None:
        """Select `phases`, or all phases if it is empty.

        The `unloaded` phase always runs, because its goodput sets the load that others offer.
        """
        self._seed = seed
        self._duration_ms = duration_ms
        self._phases = phases
        self._results: list[dict[str, Any]] = []
        self._goodput = 0.0

    async def run(self) -> list[dict[str, Any]]:
        """Run the selected phases and return one result for each."""
        layout = LAYOUT_BY_SIZE["hooghly"]
        with tempfile.TemporaryDirectory() as folder:
            self._fleet = BenchFleet(layout, Path(folder))
            try:
                await self._fleet.start()
                operator = Operator(list(self._fleet.http_by_entry.values()), layout.zones)
                operator.document["limits"] = {"max_waiting_jobs": MAX_WAITING}
                operator.document["accounts"] = {
                    account: {"max_waiting_jobs": MAX_WAITING_PER_ACCOUNT} for account in ACCOUNTS
                }
                assert await operator.apply()
                await self._run_phases()
            finally:
                await self._fleet.stop()
        return self._results

    async def _run_phases(self) -> None:
        accelerators = self._fleet.layout.workers * self._fleet.layout.accelerators
        clients = round(accelerators * CLIENTS_PER_ACCELERATOR)
        await self._run_phase(
            "unloaded", lambda load: load.run_closed_loop(clients, self._duration_ms)
        )
        self._goodput = self._results[0]["goodput_per_s"]
        offered_per_s = self._goodput * OVERLOAD_FACTOR
        if self._is_selected("refusals"):
            await self._measure_refusals()
        if self._is_selected("overload"):
            await self._run_phase(
                "overload", lambda load: load.run_open_loop(offered_per_s, self._duration_ms)
            )
        if self._is_selected("cancellation"):
            await self._run_phase(
                "cancellation", lambda load: self._run_with_cancellations(load, offered_per_s)
            )
        if self._is_selected("failing"):
            for worker in sorted(self._fleet.backend_by_worker)[:FAILING_WORKERS]:
                await self._fleet.tell_backend(worker, "mode", {"mode": "fails_all"})
            await self._run_phase(
                "failing", lambda load: load.run_open_loop(offered_per_s, self._duration_ms)
            )

    def _is_selected(self, phase: str) -> bool:
        return not self._phases or phase in self._phases

    async def _run_phase(self, name: str, run: Any) -> None:
        load = self._create_load(name, RUN_MS)
        queue: list[dict[str, int]] = []
        sampling = asyncio.create_task(self._sample_queue(load, queue))
        cpu_before, started_ms = self._cpu_by_entry(), monotonic_ms()
        load_average = os.getloadavg()[0]
        results = await run(load)
        cpu_after, elapsed_s = self._cpu_by_entry(), (monotonic_ms() - started_ms) / 1000
        sampling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampling
        result = await self._summarize(name, results, queue)
        result["load_average"] = load_average
        result["entry_cpu"] = {
            entry: round((cpu_after[entry] - cpu_before[entry]) / elapsed_s, 2)
            for entry in cpu_after
        }
        self._results.append(result)
        print(_format_result(result), flush=True)
        await clear_fleet(self._fleet)

    def _create_load(self, name: str, run_ms: int) -> OverloadLoad:
        addresses = list(self._fleet.http_by_entry.values())
        return OverloadLoad(addresses, f"{name}-{monotonic_ms()}", self._seed, run_ms)

    async def _summarize(
        self, name: str, results: list[Submission], queue: list[dict[str, int]]
    ) -> dict[str, Any]:
        window_ms = self._duration_ms - WARM_UP_MS
        answered = [item for item in results if item.answered_ms >= 0]
        answered_in_window = [
            item for item in answered if WARM_UP_MS <= item.answered_ms < self._duration_ms
        ]
        goodput = len(answered_in_window) / (window_ms / 1000)
        starts = Counter(e.job_id for e in await self._fleet.events() if e.event == "started")
        started = sum(starts[item.job_id] for item in results)
        not_run = [item for item in results if item.answered_ms < 0 and not item.may_have_run]
        return {
            "phase": name,
            "submitted": len(results),
            "answered": len(answered),
            "goodput_per_s": round(goodput, 1),
            "of_unloaded": round(goodput / self._goodput, 3) if self._goodput else 1.0,
            "outcomes": dict(Counter(i.reason for i in results if i.reason).most_common()),
            "starts_per_answer": round(started / max(1, len(answered)), 3),
            "starts_per_answered_job": round(
                sum(starts[item.job_id] for item in answered) / max(1, len(answered)), 3
            ),
            "not_run_but_started": sum(1 for item in not_run if starts[item.job_id]),
            "longest_queue": max((sample["waiting"] for sample in queue), default=0),
            "longest_queue_of_account": max((s["largest_account"] for s in queue), default=0),
            "queue": queue,
            "counts": await self._read_counters(),
        }

    async def _read_counters(self) -> dict[str, int]:
        total: Counter[str] = Counter()
        for address in self._fleet.http_by_entry.values():
            document = await self._fleet.get(address, "/v1/counters") or {"counts": {}}
            total.update(document["counts"])
        prefixes = ("retry.", "wait.", "worker.", "refuse.", "attempt.", "plan.")
        return {name: n for name, n in sorted(total.items()) if name.startswith(prefixes)}

    async def _sample_queue(self, load: OverloadLoad, queue: list[dict[str, int]]) -> None:
        address = next(iter(self._fleet.http_by_entry.values()))
        while True:
            fleet = await self._fleet.get(address, "/v1/fleet")
            if fleet is not None:
                waiting = [account["waiting"] for account in fleet["accounts"]]
                busy = sum(worker["busy"] for worker in fleet["workers"])
                sample = {"at_ms": load.now_ms(), "waiting": sum(waiting), "busy": busy}
                queue.append(sample | {"largest_account": max(waiting, default=0)})
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _run_with_cancellations(
        self, load: OverloadLoad, offered_per_s: float
    ) -> list[Submission]:
        """Run the open loop and cancel every second waiting job halfway through."""
        loading = asyncio.create_task(load.run_open_loop(offered_per_s, self._duration_ms))
        await asyncio.sleep(self._duration_ms / 2000)
        address = next(iter(self._fleet.http_by_entry.values()))
        found = await self._fleet.get(address, "/v1/jobs?state=pending&limit=1000")
        started_ms = monotonic_ms()
        ids = [job["job_id"] for job in found["jobs"]][::2]
        await asyncio.gather(*(self._cancel(address, job_id) for job_id in ids))
        print(f"cancelled {len(ids)} of {len(found['jobs'])} in {monotonic_ms() - started_ms} ms")
        return await loading

    async def _cancel(self, address: str, job_id: str) -> None:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._fleet.http.delete(f"http://{address}/v1/jobs/{job_id}") as response:
                await response.read()

    async def _measure_refusals(self) -> None:
        """Fill the queue with long jobs, then send a burst that one entry must refuse."""
        filler_load = self._create_load("filling", FILLER_RUN_MS)
        filler_results = await filler_load.run_burst(MAX_WAITING + 400, BURST_CONCURRENCY)
        await asyncio.sleep(2)
        await filler_load.run_burst(100, BURST_CONCURRENCY)
        pending = await self._fleet.get(self._first_address(), "/v1/jobs?state=pending&limit=1000")
        idle_cpu = await self._measure_cpu(asyncio.sleep(2))
        load = self._create_load("refused", RUN_MS)
        load_average = os.getloadavg()[0]
        started_ms = monotonic_ms()
        busy_s = (await self._measure_cpu(load.run_burst(BURST_REQUESTS, BURST_CONCURRENCY)))[0]
        elapsed_s = (monotonic_ms() - started_ms) / 1000
        refused = Counter(item.reason for item in load.results)
        result = {
            "phase": "refusals",
            "refused": dict(refused),
            "cpu_ms_per_refusal": round(
                (busy_s - idle_cpu[0] / idle_cpu[1] * elapsed_s) * 1000 / BURST_REQUESTS, 3
            ),
            "refusals_per_s": round(BURST_REQUESTS / elapsed_s),
            "filling": dict(Counter(item.reason for item in filler_results)),
            "waiting_when_full": len(pending["jobs"]),
            "load_average": load_average,
        }
        self._results.append(result)
        print(result, flush=True)
        await clear_fleet(self._fleet)

    def _first_address(self) -> str:
        return next(iter(self._fleet.http_by_entry.values()))

    async def _measure_cpu(self, work: Any) -> tuple[float, float]:
        """Await `work`; return the CPU seconds used by the first entry and the elapsed seconds."""
        entry = next(iter(self._fleet.entries_by_id))
        before, started_ms = self._cpu_by_entry()[entry], monotonic_ms()
        await work
        return self._cpu_by_entry()[entry] - before, (monotonic_ms() - started_ms) / 1000

    def _cpu_by_entry(self) -> dict[str, float]:
        return {entry: _cpu_s(p.pid) for entry, p in self._fleet.entries_by_id.items()}


def _cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _format_result(result: dict[str, Any]) -> str:
    hidden = ("queue", "counts")
    return " ".join(f"{key}={value}" for key, value in result.items() if key not in hidden)


if __name__ == "__main__":
    typer.run(main)
