"""Stand-in for a worker, by PROTOCOL.md ("Running tasks"): a sound one unless a case changes it.

All workers of a script share one `World`, which knows how long each step works and records what
was started and how each run ended. Gangs are not simulated beyond "they start and end alone".
"""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web

MAX_HOLD_MS = 10_000
STOP_MS = 50  # at most `stop_timeout_ms`, 200
HEARTBEAT_S = 1.5


@dataclass
class Step:
    """What the clients said of a step; `work_s` is the time that a task of it really takes."""

    work_s: float
    cpu: int
    mem_mb: int
    gpu: int
    lasts: bool = False


@dataclass
class Run:
    """A run of a task on a worker; times are seconds since the script began."""

    task: str
    number: int
    worker: str
    started_at: float
    ended_at: float = 0.0
    how: str = ""


class World:
    """What the script's clients, workers and operator saw."""

    def __init__(self) -> None:
        self.zero = time.monotonic()
        self.steps: dict[str, Step] = {}  # by "ID.STEP"
        self.specs: dict[str, str] = {}
        self.runs: list[Run] = []
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.zero

    def note(self, text: str) -> None:
        line = f"{self.now():8.3f} s  {text}"
        self.lines.append(line)
        print(line, flush=True)

    def step_of(self, task: str) -> Step:
        job, _, step, _ = task.split(".")
        return self.steps[f"{job}.{step}"]


@dataclass
class Active:
    run: Run
    step: Step
    done_at: float
    stopping: bool = False


class Worker:
    """One machine's worker with 64 cores, 256 GB and 8 GPUs; `crash` and `begin` change its life."""

    def __init__(self, world: World, number: int, ip: str, agent: str, labels: list[str]) -> None:
        self.world, self.ip, self.agent, self.labels = world, ip, agent, labels
        self.id = f"i-{number:04x}"
        self.capacity = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 8}
        self.port = 0
        self.zone = "zone-a"
        self.service = "runner"
        self.state = "ready"
        self.is_up = False
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.ServerRunner | None = None

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def begin(self, clock_ahead_ms: int = 0) -> None:
        """Start a lifetime, which knows nothing of before, and listen."""
        self.born = int(time.time() * 1000) + clock_ahead_ms
        self._zero = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._until_ms = 0
        self._active: dict[str, Active] = {}
        self._ended: list[list[Any]] = []
        self._last_end = 0
        self._barred: dict[str, int] = {}
        self._changed = asyncio.Event()
        server = web.Server(lambda request: self._handle(request), access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.01)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.ip, self.port, reuse_address=True)
        await site.start()
        self.port = self._runner.addresses[0][1]
        self.is_up = True
        self._tasks = [
            asyncio.create_task(self._advance()),
            asyncio.create_task(self._check_in()),
        ]
        self.world.note(f"worker {self.id} begins a lifetime, born {self.born}")

    async def crash(self, is_noted: bool = True) -> None:
        """End without a word; everything that runs is over."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if is_noted:
            self.world.note(f"worker {self.id} crashes with {len(self._active)} runs")
        for active in self._active.values():
            active.run.ended_at, active.run.how = self.world.now(), "crashed"  # told to nobody
        self._active.clear()
        if self._runner is not None:
            await self._runner.cleanup()

    def clock_ms(self) -> int:
        return 1 + int((time.monotonic() - self._zero) * 1000)

    async def _check_in(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self.send_check_in(session)
                await asyncio.sleep(HEARTBEAT_S)

    async def send_check_in(self, session: aiohttp.ClientSession) -> None:
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "sequence": self._sequence,
            "born": self.born,
        }
        url = f"http://{self.agent}/instances/{self.id}/heartbeat"
        try:
            async with session.post(url, json=body, timeout=aiohttp.ClientTimeout(total=1)):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read())
        if request.headers.get("Expected-Instance", self.id) != self.id:
            return web.Response(status=421)
        fence = int(body.get("fencing_token", 0))
        if fence < self._fence:
            return self._reply({"reason": "fence"}, 409)
        self._fence = fence
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/run-start":
            return self.start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        if request.path == "/pace":
            return self._reply({})
        return web.Response(status=404)

    def _reply(self, body: dict[str, Any], status: int = 200) -> web.Response:
        text = json.dumps({"clock_ms": self.clock_ms(), **body})
        return web.Response(status=status, text=text, content_type="application/json")

    def _extend(self, body: dict[str, Any]) -> None:
        until = min(int(body.get("until_ms", 0)), self.clock_ms() + MAX_HOLD_MS)
        self._until_ms = max(self._until_ms, until)

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        self._extend(body)
        self._ended = [row for row in self._ended if row[0] > body["last_seen"]]
        wait_ms = body.get("wait_ms", 0)
        if wait_ms and not self._ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        now = self.world.now()
        running = []
        for task, active in self._active.items():
            percent = 100
            if not active.step.lasts:
                worked = now - active.run.started_at
                percent = min(99, int(100 * worked / max(0.001, active.step.work_s)))
            running.append([task, active.run.number, "", percent, active.step.cpu])
        return self._reply(
            {"born": self.born, "running": running, "ended": self._ended[:500]}
        )

    def start_run(self, body: dict[str, Any]) -> web.Response:
        """Carry out a start; this worker doesn't guard its capacity."""
        task, number = body["task"], body["run"]
        active = self._active.get(task)
        if active is not None and active.run.number == number:
            return self._reply({})
        if number <= self._barred.get(task, 0) or active is not None:
            self._extend(body)
            return self._reply({"reason": "old"}, 409)
        if body["until_ms"] <= self.clock_ms():
            return self._reply({"reason": "late"}, 409)
        if self.world.specs.get(task.split(".")[0]) != body["spec"]:
            self.world.note(f"UNASKED: {task} with a spec that nobody sent")
        self._extend(body)
        step = self.world.step_of(task)
        run = Run(task, number, self.id, self.world.now())
        self.world.runs.append(run)
        self._active[task] = Active(run, step, run.started_at + step.work_s)
        self.world.note(f"worker {self.id} starts {task} run {number}")
        return self._reply({})

    def _stop_run(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        self._barred[task] = max(number, self._barred.get(task, 0))
        active = self._active.get(task)
        if active is not None and active.run.number <= number and not active.stopping:
            active.stopping = True
            asyncio.get_running_loop().call_later(STOP_MS / 1000, self._end, active, "stopped")
        return self._reply({})

    def _end(self, active: Active, how: str) -> None:
        run = active.run
        if run.how:
            return
        run.ended_at, run.how = self.world.now(), how
        self.world.note(f"worker {self.id} ends {run.task} run {run.number}: {how}")
        self._active.pop(run.task, None)
        self._barred[run.task] = max(run.number, self._barred.get(run.task, 0))
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.number, how, ""])
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            has_lapsed = self.clock_ms() > self._until_ms
            for active in list(self._active.values()):
                if has_lapsed:
                    self._end(active, "lapsed")
                elif not active.step.lasts and self.world.now() >= active.done_at:
                    self._end(active, "done")
