"""Runs a year-end close in miniature on a fleet inside this process.

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

from lycheeslip_standins.demo_cell import DemoCell
from lycheeslip_standins.demo_close import (
    QUIET_CAP,
    ZONES,
    Job,
    close_work,
    configuration,
    overnight_work,
)
from lycheeslip_standins.demo_report import (
    Finding,
    Result,
    faults_of,
    print_summary,
    start_faults,
)

__all__ = ["main"]

TIME_LIMIT_S = 55
LONG_POLL_MS = 10_000
POLL_S = 0.1
SUBMIT_EVERY_S = 0.05
ZONE_OUT_AFTER_S = 1.0
ZONE_OUT_FOR_S = 3.0
PROMISED_STOP_MS = 5_000
MILLISECONDS_PER_SECOND = 1_000


class Demo:
    """One run: clients, what they found, and the progress display."""

    def __init__(self, cell: DemoCell, console: Console) -> None:
        """Show progress on `console`."""
        self._cell = cell
        self._console = console
        self._clients: list[EntryClient] = []
        self._pairs: Iterator[tuple[EntryClient, EntryClient]] = iter(())
        self._findings: list[Finding] = []
        self._results: list[Result] = []

    async def run(self) -> int:
        """Return 0 if every request got its one answer and no finding is bad, else 1."""
        addresses = self._cell.entry_addresses
        async with (
            EntryClient((addresses[0], addresses[1])) as first,
            EntryClient((addresses[1], addresses[0])) as second,
        ):
            self._clients = [first, second]
            self._pairs = cycle([(first, second), (second, first)])
            await self._wait_for_workers()
            await self._apply("configuration", configuration())
            await self._work()
        faults = [fault for fault in map(faults_of, self._results) if fault]
        faults += start_faults(self._results, self._cell.starts())
        wanted = len(close_work()) + len(overnight_work())
        summary = f"{len(self._results) - len(faults)} of {wanted} requests got their one answer"
        self._findings.append(Finding(summary, not faults and len(self._results) == wanted))
        self._findings += [Finding(fault, good=False) for fault in faults]
        print_summary(self._console, self._results, self._findings)
        return 0 if all(finding.good for finding in self._findings) else 1

    async def _wait_for_workers(self) -> None:
        while True:
            fleet = _reply(await self._clients[0].call("GET", "/v1/fleet")).document
            if len(fleet["workers"]) == self._cell.workers:
                break
            await asyncio.sleep(POLL_S)
        self._note(f"{self._cell.workers} workers have announced themselves")

    async def _work(self) -> None:
        with self._progress() as progress:
            day, night = close_work(), overnight_work()
            task = progress.add_task("requests answered", total=len(day) + len(night))

            async def follow(job: Job) -> None:
                self._results.append(await self._submit(job))
                progress.advance(task)

            async with asyncio.TaskGroup() as group:
                group.create_task(self._take_zone_out())
                await self._submit_all(group, day, follow)
            quiet = self._cell.most_used_zone()
            await self._apply(f"{quiet} quiet", configuration(quiet_zone=quiet))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch_quiet_zone(quiet, len(day) + len(night)))
                await self._submit_all(group, night, follow)

    async def _submit_all(
        self,
        group: asyncio.TaskGroup,
        jobs: list[Job],
        follow: Callable[[Job], Coroutine[None, None, None]],
    ) -> None:
        for job in jobs:
            group.create_task(follow(job))
            await asyncio.sleep(SUBMIT_EVERY_S)

    async def _take_zone_out(self) -> None:
        await asyncio.sleep(ZONE_OUT_AFTER_S)
        zone = self._cell.most_used_zone()
        taken_out_ms = await self._apply(f"{zone} out", configuration(out_of_service=zone))
        await asyncio.sleep(ZONE_OUT_FOR_S)
        back_ms = wall_ms()
        await self._apply(f"{zone} back", configuration())
        self._check_zone(zone, taken_out_ms, back_ms)

    async def _watch_quiet_zone(self, zone: str, wanted: int) -> None:
        """Note how many accelerators are busy at most in the only rack of the quiet zone."""
        most = 0
        while len(self._results) < wanted:
            most = max(most, self._cell.busy(zone))
            await asyncio.sleep(SUBMIT_EVERY_S)
        text = f"{zone} was quiet: at most {most} accelerators busy, cap {QUIET_CAP}"
        self._findings.append(Finding(text, most <= QUIET_CAP))

    def _check_zone(self, zone: str, taken_out_ms: int, back_ms: int) -> None:
        started_ms = [start.wall_ms for start in self._cell.starts() if start.zone == zone]
        before = sum(1 for at_ms in started_ms if at_ms <= taken_out_ms)
        late_ms = [at_ms - taken_out_ms for at_ms in started_ms if taken_out_ms < at_ms < back_ms]
        out_s = (back_ms - taken_out_ms) / MILLISECONDS_PER_SECOND
        text = f"{zone} was out for {out_s:.1f} s: {before} starts in it before"
        text += f", {len(late_ms)} after that was accepted"
        self._findings.append(Finding(text, max(late_ms, default=0) <= PROMISED_STOP_MS))

    async def _apply(self, what: str, text: str) -> int:
        """Apply a configuration and return when it was accepted."""
        client = self._clients[0]
        revision = _reply(await client.call("GET", "/v1/config")).document["revision"]
        headers = {"If-Match": f'"{revision}"'}
        started_ms = monotonic_ms()
        outcome = await client.call("PUT", "/v1/config", body=text.encode(), headers=headers)
        document = _reply(outcome).document
        self._note(
            f"{what}: revision {document['revision']} in force after "
            f"{monotonic_ms() - started_ms} ms, confirmed by {', '.join(document['confirmed_by'])}"
        )
        return wall_ms()

    async def _submit(self, job: Job) -> Result:
        client, other = next(self._pairs)
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

    def _note(self, text: str) -> None:
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
    cell = DemoCell(ZONES)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await cell.start()
            return await Demo(cell, console).run()
    except TimeoutError:
        console.print(f"FAIL not done within {TIME_LIMIT_S} s")
        return 1
    finally:
        await cell.stop()


def main(
    log_level: Annotated[str, typer.Option(help="debug, info, warning or error")] = "error",
) -> None:
    """Run the demo."""
    configure_logs(log_level)
    raise typer.Exit(uvloop.run(_run()))


if __name__ == "__main__":
    typer.run(main)
