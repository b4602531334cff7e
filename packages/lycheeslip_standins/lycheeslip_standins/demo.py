"""Runs a small year-end closing workload on a fleet inside this process.

Run it with `make demo` or `python -m lycheeslip_standins.demo`.
"""

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterator
from itertools import cycle
from typing import Annotated

import typer
import uvloop
from lycheeslip.commands.client import EntryClient
from lycheeslip.commands.outcomes import Outcome, Reply, command_error
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.utils.logs import configure_logs
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from lycheeslip_standins.demo_fleet import DemoFleet
from lycheeslip_standins.demo_report import (
    Finding,
    Result,
    describe_answer_fault,
    describe_start_faults,
    print_summary,
)
from lycheeslip_standins.demo_workload import (
    QUIET_CAP,
    ZONES,
    Job,
    closing_jobs,
    configuration,
    overnight_jobs,
)

__all__ = ["main"]

TIME_LIMIT_S = 55
LONG_POLL_MS = 10_000
POLL_INTERVAL_S = 0.1
SUBMIT_INTERVAL_S = 0.05
ZONE_OUT_DELAY_S = 1.0
ZONE_OUT_DURATION_S = 3.0
ZONE_OUT_LIMIT_MS = 5_000
MILLISECONDS_PER_SECOND = 1_000


class Demo:
    """One run of the demo: its clients, results and progress display."""

    def __init__(self, fleet: DemoFleet, console: Console) -> None:
        """Show progress on `console`."""
        self._fleet = fleet
        self._console = console
        self._clients: list[EntryClient] = []
        self._client_pairs: Iterator[tuple[EntryClient, EntryClient]] = iter(())
        self._findings: list[Finding] = []
        self._results: list[Result] = []

    async def run(self) -> int:
        """Return 0 if every request was answered correctly and no check failed, else 1."""
        addresses = self._fleet.entry_addresses
        async with (
            EntryClient((addresses[0], addresses[1])) as first,
            EntryClient((addresses[1], addresses[0])) as second,
        ):
            self._clients = [first, second]
            self._client_pairs = cycle([(first, second), (second, first)])
            await self._wait_for_workers()
            await self._apply("configuration", configuration())
            await self._run_workload()
        faults = [fault for fault in map(describe_answer_fault, self._results) if fault]
        faults += describe_start_faults(self._results, self._fleet.starts())
        expected = len(closing_jobs()) + len(overnight_jobs())
        summary = (
            f"{len(self._results) - len(faults)} of {expected} requests were answered correctly"
        )
        self._findings.append(Finding(summary, not faults and len(self._results) == expected))
        self._findings += [Finding(fault, good=False) for fault in faults]
        print_summary(self._console, self._results, self._findings)
        return 0 if all(finding.good for finding in self._findings) else 1

    async def _wait_for_workers(self) -> None:
        while True:
            document = _reply(await self._clients[0].call("GET", "/v1/fleet")).document
            if len(document["workers"]) == self._fleet.workers:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self._print(f"{self._fleet.workers} workers have joined the fleet")

    async def _run_workload(self) -> None:
        with self._progress() as progress:
            day, overnight = closing_jobs(), overnight_jobs()
            task = progress.add_task("requests answered", total=len(day) + len(overnight))

            async def submit_and_record(job: Job) -> None:
                self._results.append(await self._submit(job))
                progress.advance(task)

            async with asyncio.TaskGroup() as group:
                group.create_task(self._take_zone_out())
                await self._submit_all(group, day, submit_and_record)
            quiet_zone = self._fleet.most_used_zone()
            await self._apply(f"{quiet_zone} in quiet hours", configuration(quiet_zone=quiet_zone))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._check_quiet_zone(quiet_zone, len(day) + len(overnight)))
                await self._submit_all(group, overnight, submit_and_record)

    async def _submit_all(
        self,
        group: asyncio.TaskGroup,
        jobs: list[Job],
        submit_and_record: Callable[[Job], Coroutine[None, None, None]],
    ) -> None:
        for job in jobs:
            group.create_task(submit_and_record(job))
            await asyncio.sleep(SUBMIT_INTERVAL_S)

    async def _take_zone_out(self) -> None:
        await asyncio.sleep(ZONE_OUT_DELAY_S)
        zone = self._fleet.most_used_zone()
        removed_ms = await self._apply(f"{zone} out of service", configuration(out_of_service=zone))
        await asyncio.sleep(ZONE_OUT_DURATION_S)
        returned_ms = wall_ms()
        await self._apply(f"{zone} in service", configuration())
        self._check_starts_in_zone(zone, removed_ms, returned_ms)

    async def _check_quiet_zone(self, zone: str, total: int) -> None:
        """Check the peak number of busy accelerators in the only rack of the quiet zone."""
        peak = 0
        while len(self._results) < total:
            peak = max(peak, self._fleet.count_busy_accelerators(zone))
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        text = f"{zone} in quiet hours: at most {peak} accelerators busy, limit {QUIET_CAP}"
        self._findings.append(Finding(text, peak <= QUIET_CAP))

    def _check_starts_in_zone(self, zone: str, removed_ms: int, returned_ms: int) -> None:
        started_ms = [start.wall_ms for start in self._fleet.starts() if start.zone == zone]
        before = sum(1 for at_ms in started_ms if at_ms <= removed_ms)
        late_ms = [at_ms - removed_ms for at_ms in started_ms if removed_ms < at_ms < returned_ms]
        out_s = (returned_ms - removed_ms) / MILLISECONDS_PER_SECOND
        text = f"{zone} out of service for {out_s:.1f} s: {before} starts in it before"
        text += f", {len(late_ms)} after the removal was accepted"
        self._findings.append(Finding(text, max(late_ms, default=0) <= ZONE_OUT_LIMIT_MS))

    async def _apply(self, description: str, text: str) -> int:
        """Apply a configuration and return the wall-clock time in ms of its acceptance."""
        client = self._clients[0]
        revision = _reply(await client.call("GET", "/v1/config")).document["revision"]
        headers = {"If-Match": f'"{revision}"'}
        started_ms = monotonic_ms()
        outcome = await client.call("PUT", "/v1/config", body=text.encode(), headers=headers)
        document = _reply(outcome).document
        self._print(
            f"{description}: revision {document['revision']} applied after "
            f"{monotonic_ms() - started_ms} ms, confirmed by {', '.join(document['confirmed_by'])}"
        )
        return wall_ms()

    async def _submit(self, job: Job) -> Result:
        client, other = next(self._client_pairs)
        started_ms = monotonic_ms()
        headers = {"Idempotency-Key": job.idempotency_key}
        body = json.dumps(job.body).encode()
        outcome = await client.call("POST", "/v1/jobs", body=body, headers=headers)
        document = _reply(outcome).document
        path = f"/v1/jobs/{document['job_id']}"
        while document["state"] != "done":
            document = _reply(await client.call("GET", path, wait_ms=LONG_POLL_MS)).document
        took_ms = monotonic_ms() - started_ms
        verdict = document["verdict"]["tag"]
        answer = b""
        if verdict == "answered":
            answer = _reply(await other.call("GET", f"{path}/answer", wait_ms=LONG_POLL_MS)).body
        return Result(job, document["job_id"], verdict, answer, took_ms)

    def _print(self, text: str) -> None:
        self._console.print(text)

    def _progress(self) -> Progress:
        return Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeElapsedColumn(),
            console=self._console,
            disable=not self._console.is_terminal,
        )


def _reply(outcome: Outcome) -> Reply:
    if isinstance(outcome, Reply):
        return outcome
    raise command_error(outcome)


async def _run() -> int:
    console = Console(highlight=False, markup=False)
    fleet = DemoFleet(ZONES)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await fleet.start()
            return await Demo(fleet, console).run()
    except TimeoutError:
        console.print(f"FAIL not done within {TIME_LIMIT_S} s")
        return 1
    finally:
        await fleet.stop()


def main(
    log_level: Annotated[str, typer.Option(help="debug, info, warning or error")] = "error",
) -> None:
    """Run the demo; the exit code is 0 if all checks passed."""
    configure_logs(log_level)
    raise typer.Exit(uvloop.run(_run()))


if __name__ == "__main__":
    typer.run(main)
