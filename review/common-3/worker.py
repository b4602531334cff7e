"""Stand-in for one worker of the platform, as PROTOCOL.md describes it ("Running tasks").

A process of its own: it may be killed, stopped and continued by signals. Each task needs the
milliseconds of work that its job's `spec` names; one whose spec is "serve" works until it is
stopped. What happens is written to standard output, one JSON document a line.
"""

import argparse
import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

TICK_S = 0.01
MAX_HOLD_MS = 10_000
STOP_S = 0.05
HEARTBEAT_S = 1.5
PAGE = 500
LASTS = "serve"


@dataclass(slots=True)
class Run:
    """One run of a task; `ends_at` is on the worker's steady clock, infinite if it lasts."""

    task: str
    run: int
    began_at: float
    ends_at: float
    is_stopping: bool = False


class Worker:
    """The worker's state and its HTTP interface."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.started_at = time.monotonic()
        self.born_ms = int(time.time() * 1_000)
        self.runs: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.last_number = 0
        self.highest_ended: dict[str, int] = {}
        self.token = 0
        self.lease_until_ms = 0.0
        self.sequence = 0
        self.end_event = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the worker's steady clock, which starts with the worker."""
        return int((time.monotonic() - self.started_at) * 1_000) + 1

    def tell(self, event: str, **fields: Any) -> None:
        """Write one line of what happened."""
        line = {"at": time.time(), "worker": self.options.id, "event": event, **fields}
        print(json.dumps(line), flush=True)

    def reply(self, document: dict[str, Any] | None = None, status: int = 200) -> web.Response:
        """Return a response with a body, which includes the clock."""
        content = msgspec.json.encode({"clock_ms": self.clock_ms(), **(document or {})})
        return web.Response(status=status, body=content, content_type="application/json")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call of the agent."""
        body = msgspec.json.decode(await request.read() or b"{}")
        if request.headers.get("Expected-Instance", self.options.id) != self.options.id:
            return web.Response(status=421)
        token = int(body.get("fencing_token", 0))
        if token < self.token:
            return self.reply({"reason": "fence"}, 409)
        self.token = token
        match request.path:
            case "/hold":
                return await self.hold(body)
            case "/run-start":
                return self.start(body)
            case "/run-stop":
                self.stop(body["task"], body["run"])
                return self.reply()
            case "/pace":
                return self.reply()
        return web.Response(status=404)

    def extend(self, until_ms: float) -> None:
        """Extend the lease, which is never shortened and at most `MAX_HOLD_MS` long."""
        latest = self.clock_ms() + MAX_HOLD_MS
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, latest))

    async def hold(self, body: dict[str, Any]) -> web.Response:
        """Extend the lease, forget the ends that are taken note of, and list the rest."""
        self.extend(body.get("until_ms", 0))
        seen = body["last_seen"]
        for row in self.ended:
            if row[0] <= seen:
                self.tell("taken_note_of", task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("wait_ms"):
            try:
                async with asyncio.timeout(min(2_000, body["wait_ms"]) / 1_000):
                    await self.end_event.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [[run.task, run.run, "", self.percent(run, now), 0] for run in self.runs.values()]
        return self.reply({"born": self.born_ms, "running": running, "ended": self.ended[:PAGE]})

    def percent(self, run: Run, now: float) -> int:
        """Return a run's progress; one that lasts is at 100 while it is at work."""
        if run.ends_at == float("inf"):
            return 100
        return min(100, int(100 * (now - run.began_at) / max(0.001, run.ends_at - run.began_at)))

    def start(self, body: dict[str, Any]) -> web.Response:
        """Start a run unless it is there, old, or without a lease."""
        task, run = body["task"], body["run"]
        active = self.runs.get(task)
        if active is not None and active.run == run:
            return self.reply()
        if active is not None or run <= self.highest_ended.get(task, 0):
            self.extend(body["until_ms"])
            return self.reply({"reason": "old"}, 409)
        if body["until_ms"] <= self.clock_ms():
            return self.reply({"reason": "late"}, 409)
        self.extend(body["until_ms"])
        now = time.monotonic()
        spec = body["spec"]
        ends_at = float("inf") if spec == LASTS else now + int(spec) / 1_000
        self.runs[task] = Run(task, run, now, ends_at)
        self.tell("started", task=task, run=run)
        return self.reply()

    def stop(self, task: str, run: int) -> None:
        """Stop a run; one that isn't there yet is rejected from now on."""
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        active = self.runs.get(task)
        if active is not None and active.run <= run and not active.is_stopping:
            active.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end, active, "stopped")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.last_number += 1
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.run)
        self.ended.append([self.last_number, run.task, run.run, how, ""])
        self.tell("ended", task=run.task, run=run.run, how=how)
        event, self.end_event = self.end_event, asyncio.Event()
        event.set()

    async def advance(self) -> None:
        """End the runs that are done, and all once the lease has run out."""
        while True:
            await asyncio.sleep(TICK_S)
            has_lapsed = self.lease_until_ms < self.clock_ms()
            now = time.monotonic()
            for run in list(self.runs.values()):
                if has_lapsed:
                    self.end(run, "lapsed")
                elif run.ends_at <= now:
                    self.end(run, "done")

    async def send_heartbeats(self) -> None:
        """Check in at the agent on this worker's machine."""
        options = self.options
        url = f"http://{options.agent}/instances/{options.id}/heartbeat"
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self.sequence += 1
                document = {
                    "service": options.service,
                    "address": options.listen,
                    "zone": options.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "capacity": {"cpu": 64_000, "mem_mb": 262_144, "gpu": options.gpu},
                    "labels": ["a", options.rack],
                    "clock_ms": self.clock_ms(),
                    "sequence": self.sequence,
                    "born": self.born_ms,
                }
                try:
                    async with session.post(url, json=document) as response:
                        await response.read()
                except (aiohttp.ClientError, TimeoutError):
                    await asyncio.sleep(0.2)
                    continue
                await asyncio.sleep(HEARTBEAT_S)


async def serve(options: argparse.Namespace) -> None:
    """Run the worker until its process ends."""
    worker = Worker(options)
    runner = web.ServerRunner(web.Server(worker.handle, access_log=None))
    await runner.setup()
    host, _, port = options.listen.rpartition(":")
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    worker.tell("worker_up", born=worker.born_ms)
    await asyncio.gather(worker.advance(), worker.send_heartbeats())


def main() -> None:
    """Parse the options and run."""
    parser = argparse.ArgumentParser()
    for name in ("listen", "agent", "id", "service", "zone", "rack"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--gpu", type=int, default=8)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
