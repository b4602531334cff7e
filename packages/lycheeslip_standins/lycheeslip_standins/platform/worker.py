"""Stand-in for a worker of the platform, which simulates the runs it is given."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from lycheeslip_standins.platform.listener import Listener

__all__ = ["CRASH_PAYLOAD", "PlatformWorkerServer", "WorkerFaults"]

ADVANCE_INTERVAL_S = 0.01
MAX_HOLD_MS = 10_000
STOP_DELAY_S = 0.02
CRASH_PAYLOAD = "crash"  # a run with this payload crashes the worker that starts it
CRASH_DELAY_S = 0.01


@dataclass(slots=True)
class WorkerFaults:
    """Active faults; by default none.

    The next `delayed_starts` calls to start a run are not answered, and take effect after
    `start_delay_s`. `failing` makes each run fail at its end. Calls fail with `status` unless it
    is 0, and starts with 503 if `refuses_starts`. `requires_ticket` rejects starts without a
    ticket of the advice service. A worker that has crashed is back after `restart_s`. If
    `loses_answer_in_crash` is set, the start that crashes it is not answered.
    """

    delayed_starts: int = 0
    start_delay_s: float = 0.5
    failing: bool = False
    status: int = 0
    refuses_starts: bool = False
    requires_ticket: bool = False
    restart_s: float = 0.5
    loses_answer_in_crash: bool = False


@dataclass(slots=True)
class Run:
    """One run; `began_at` and `ends_at` are in seconds of the monotonic clock.

    Its progress was `done_percent` at `began_at`, when it got its present speed. `percent` is the
    pace last requested and `load` the load to report; neither affects the run.
    """

    task: str
    run: int
    work_s: float
    began_at: float
    ends_at: float
    checkpoint: str = ""
    percent: int = 100
    load: int = 0
    done_percent: float = 0.0

    def progress(self, now: float) -> float:
        """Return the progress in percent at `now`."""
        share = min(1.0, (now - self.began_at) / max(1e-3, self.ends_at - self.began_at))
        return self.done_percent + (100 - self.done_percent) * share

    def slow_down(self, factor: float, now: float) -> None:
        """Let the rest of the run take `factor` times as long."""
        self.done_percent, self.began_at = self.progress(now), now
        self.ends_at = now + (self.ends_at - now) * factor


@dataclass(slots=True)
class Started:
    """Run numbers of all accepted starts by task, for tests to inspect."""

    by_task: dict[str, list[int]] = field(default_factory=dict)


class PlatformWorkerServer:
    """One worker; each task runs for the number of milliseconds in its payload.

    All runs end as lapsed when the hold, which the agent extends, expires.
    """

    def __init__(self, worker_id: str, service: str, zone: str, rack: str) -> None:
        """Set up a worker with 64 cores, 256 GB of memory and 8 accelerators."""
        self.worker_id, self.service, self.zone, self.rack = worker_id, service, zone, rack
        self.born_ms = int(time.time() * 1_000)
        self.state = "ready"
        self.capacity = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 8}
        self.remaining_ms = 0
        self.slowdown = 1.0
        self.crashes = 0
        self.faults = WorkerFaults()
        self.calls: Counter[str] = Counter()
        self.started = Started()
        self.acknowledged_ends: list[tuple[str, int, str]] = []
        self.runs: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._last_end_number = 0
        self._highest_ended_run_by_task: dict[str, int] = {}
        self._fencing_token = 0
        self._hold_until_ms = 0.0
        self._heartbeat_sequence = 0
        self._end_event = asyncio.Event()
        self._agent_address = ""
        self._background_tasks: list[asyncio.Task[None]] = []
        self._listener = Listener(self._handle)

    @property
    def address(self) -> str:
        """Address (host:port) on which the worker listens."""
        return self._listener.address

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        await self._listener.start()
        self._background_tasks = [asyncio.create_task(self._advance_runs())]

    def announce(self, agent_address: str, every_s: float = 0.1) -> None:
        """Start sending a heartbeat to the agent every `every_s` seconds."""
        self._agent_address = agent_address
        self._background_tasks.append(
            asyncio.create_task(self._send_heartbeats(agent_address, every_s))
        )

    def silence(self) -> None:
        """Stop sending heartbeats; everything else goes on."""
        for task in self._background_tasks[1:]:
            task.cancel()

    async def crash(self, exit_delay_s: float = 0.0) -> None:
        """Stop at once, and return after `restart_s` as a new lifetime without any runs."""
        await asyncio.sleep(exit_delay_s)
        self.crashes += 1
        await self.stop()
        self.restart_empty()
        await asyncio.sleep(self.faults.restart_s)
        await self.start()
        self.announce(self._agent_address)

    async def stop(self) -> None:
        """Stop listening, running and sending heartbeats."""
        for task in self._background_tasks:
            task.cancel()
        await self._listener.stop()

    def slow_down(self, factor: float) -> None:
        """Let all runs, also those started later, take `factor` times as long from now on."""
        self.slowdown *= factor
        for run in self.runs.values():
            run.slow_down(factor, time.monotonic())

    def restart_empty(self) -> None:
        """Simulate a restart under the same id: a later `born_ms`, and all state is lost."""
        self.born_ms = max(self.born_ms + 1, int(time.time() * 1_000))
        self.runs.clear()
        self._ended.clear()
        self._highest_ended_run_by_task.clear()
        self._last_end_number = self._fencing_token = self._heartbeat_sequence = 0
        self._hold_until_ms = 0.0

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1_000)

    async def _send_heartbeats(self, agent_address: str, every_s: float) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self._send_heartbeat(session, agent_address)
                await asyncio.sleep(every_s)

    async def stray_heartbeat(self, agent_address: str) -> int:
        """Send one heartbeat to any agent; return the status of its answer, 0 without one."""
        async with aiohttp.ClientSession() as session:
            return await self._send_heartbeat(session, agent_address)

    async def _send_heartbeat(self, session: aiohttp.ClientSession, agent_address: str) -> int:
        self._heartbeat_sequence += 1
        url = f"http://{agent_address}/instances/{self.worker_id}/heartbeat"
        try:
            async with session.post(url, json=self._heartbeat()) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    def _heartbeat(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "remaining_ms": self.remaining_ms,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clock_ms": self._clock_ms(),
            "sequence": self._heartbeat_sequence,
            "born": self.born_ms,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls[request.path] += 1
        body = msgspec.json.decode(await request.read())
        if self.faults.status:
            return web.Response(status=self.faults.status)
        if self.faults.refuses_starts and request.path == "/run-start":
            return web.Response(status=503)
        if request.headers.get("Expected-Instance", self.worker_id) != self.worker_id:
            return web.Response(status=421)
        if int(body.get("fencing_token", 0)) < self._fencing_token:
            return self._reply({"reason": "fence"}, 409)
        self._fencing_token = int(body.get("fencing_token", 0))
        match request.path:
            case "/hold":
                return await self._hold(body)
            case "/run-start":
                return await self._start(request, body)
            case "/pace":
                return self._pace(body)
            case "/run-stop":
                self._stop(body["task"], body["run"])
                return self._reply({})
        return web.Response(status=404)

    def _reply(self, document: dict[str, Any], status: int = 200) -> web.Response:
        content = msgspec.json.encode({"clock_ms": self._clock_ms(), **document})
        return web.Response(status=status, body=content, content_type="application/json")

    def _extend_hold(self, body: dict[str, Any]) -> None:
        latest = self._clock_ms() + MAX_HOLD_MS
        self._hold_until_ms = max(self._hold_until_ms, min(body.get("until_ms", 0), latest))

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        self._extend_hold(body)
        for row in self._ended:
            if row[0] <= body["last_seen"]:
                self.acknowledged_ends.append((row[1], row[2], row[3]))
        self._ended = [row for row in self._ended if row[0] > body["last_seen"]]
        if not self._ended and body.get("wait_ms"):
            try:
                async with asyncio.timeout(body["wait_ms"] / 1_000):
                    await self._end_event.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [run.task, run.run, run.checkpoint, int(run.progress(now)), run.load]
            for run in self.runs.values()
        ]
        return self._reply({"born": self.born_ms, "running": running, "ended": self._ended[:500]})

    async def _start(self, request: web.BaseRequest, body: dict[str, Any]) -> web.Response:
        if self.faults.delayed_starts > 0:
            self.faults.delayed_starts -= 1
            loop, born_ms = asyncio.get_running_loop(), self.born_ms
            loop.call_later(self.faults.start_delay_s, self._accept_late_run, body, born_ms)
            await asyncio.sleep(3_600)
        response = self._accept_run(body)
        if body["spec"] == CRASH_PAYLOAD and self.faults.loses_answer_in_crash:
            await asyncio.sleep(3_600)
        return response

    def _accept_late_run(self, body: dict[str, Any], born_ms: int) -> None:
        if born_ms == self.born_ms:  # a crash ends what the lifetime before had still to do
            self._accept_run(body)

    def _accept_run(self, body: dict[str, Any]) -> web.Response:
        task, run = body["task"], body["run"]
        active_run = self.runs.get(task)
        if active_run is not None and active_run.run == run:
            return self._reply({})
        if run <= self._highest_ended_run_by_task.get(task, 0) or active_run is not None:
            return self._reply({"reason": "old"}, 409)
        if body["until_ms"] <= self._clock_ms():
            return self._reply({"reason": "late"}, 409)
        if self.faults.requires_ticket and not self._has_ticket(body):
            return self._reply({"reason": "ticket"}, 409)
        self._extend_hold(body)
        now = time.monotonic()
        crashes = body["spec"] == CRASH_PAYLOAD
        work_s = MAX_HOLD_MS if crashes else int(body["spec"] or 0) / 1_000 * self.slowdown
        self.runs[task] = Run(task, run, work_s, now, now + work_s, body.get("checkpoint", ""))
        self.started.by_task.setdefault(task, []).append(run)
        if crashes:
            self._crash_task = asyncio.create_task(self.crash(CRASH_DELAY_S))
        return self._reply({})

    def _has_ticket(self, body: dict[str, Any]) -> bool:
        step = body["task"].rpartition(".")[0]
        return body.get("ticket", "").startswith(f"{step}@{self.worker_id}@")

    def _pace(self, body: dict[str, Any]) -> web.Response:
        run = self.runs.get(body["task"])
        if run is None or run.run != body["run"]:
            return self._reply({"reason": "old"}, 409)
        run.percent = body["percent"]
        return self._reply({})

    def _stop(self, task: str, run: int) -> None:
        self._highest_ended_run_by_task[task] = max(
            self._highest_ended_run_by_task.get(task, 0), run
        )
        active_run = self.runs.get(task)
        if active_run is not None and active_run.run <= run:
            asyncio.get_running_loop().call_later(STOP_DELAY_S, self._end, active_run, "stopped")

    def _end(self, run: Run, end_state: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._last_end_number += 1
        self._highest_ended_run_by_task[run.task] = max(
            self._highest_ended_run_by_task.get(run.task, 0), run.run
        )
        self._ended.append([self._last_end_number, run.task, run.run, end_state, run.checkpoint])
        changed, self._end_event = self._end_event, asyncio.Event()
        changed.set()

    async def _advance_runs(self) -> None:
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            now = time.monotonic()
            hold_has_lapsed = self._hold_until_ms < self._clock_ms()
            for run in list(self.runs.values()):
                if hold_has_lapsed:
                    self._end(run, "lapsed")
                elif run.ends_at <= now:
                    self._end(run, "failed" if self.faults.failing else "done")
