"""Soak of real processes: faults at random moments, in series and at once, beside a load of jobs.

`SOAK_SEEDS=50` plays that many seeds.
"""

import asyncio
import os
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
from lycheeslip_standins.platform.worker import PlatformWorkerServer

from tests.harness.platform_processes import Processes, submit, until_completed

pytestmark = pytest.mark.processes

AGENTS = 4
JOBS = 30
JOB_INTERVAL_S = 0.3
WORK_MS = (200, 2_500)
ACCELERATORS = (1, 8)
FAULT_INTERVAL_S = (0.1, 0.6)
PAUSE_S = (0.5, 3.0)  # well below the lease of runs
REFUSAL_S = (0.2, 3.0)
LATE_START_S = (0.5, 3.0)
CROWD = 80  # with 200 KB each more than the budget of 16 MB has for large bodies
CROWD_STAY_S = (0.5, 3.0)
UNFINISHED_REQUEST = b"POST /q/1 HTTP/1.1\r\nContent-Length: 250000\r\n\r\n" + b"x" * 200_000
MAX_CRASHES = 2  # of workers: a job under which three crash is given up
ENDS = (signal.SIGTERM, signal.SIGKILL)
SEEDS = range(1, 1 + int(os.environ.get("SOAK_SEEDS", "2")))


class Soak:
    """Plays the faults of one seed until told to end, and checks that no task runs twice."""

    def __init__(self, processes: Processes, seed: int) -> None:
        self.processes = processes
        self.random = random.Random(seed)
        self.played: Counter[str] = Counter()
        self.twice: list[str] = []
        self._crashes_left = MAX_CRASHES
        self._faults: set[asyncio.Task[None]] = set()
        self._occupied: set[str] = set()

    async def watch(self) -> None:
        """Record each task that is at work on two workers."""
        while True:
            tasks = Counter(task for worker in self.processes.workers for task in worker.runs)
            self.twice += [task for task, count in tasks.items() if count > 1]
            await asyncio.sleep(0.01)

    def run_after_their_end(self) -> list[str]:
        """Return the tasks with a run after one whose end as done was acknowledged."""
        last_run: Counter[str] = Counter()
        for worker in self.processes.workers:
            for task, runs in worker.started.by_task.items():
                last_run[task] = max(last_run[task], *runs)
        return [
            task
            for worker in self.processes.workers
            for task, run, how in worker.acknowledged_ends
            if how == "done" and run < last_run[task]
        ]

    async def play(self, until: asyncio.Event) -> None:
        """Begin a fault at random intervals, some while others last; return when all are over."""
        kinds = (
            self.restart_agent,
            self.restart_entry,
            self.pause,
            self.crash_worker,
            self.refuse_calls,
            self.refuse_starts,
            self.carry_starts_out_late,
            self.send_stray_heartbeat,
            self.crowd,
        )
        while not until.is_set():
            kind = self.random.choice(kinds)
            self.played[kind.__name__] += 1
            fault = asyncio.create_task(kind())
            self._faults.add(fault)
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_S))
        await asyncio.gather(*self._faults)

    def _worker(self) -> PlatformWorkerServer:
        return self.random.choice(self.processes.workers)

    async def restart_agent(self) -> None:
        """End an agent and start it again; its worker may call others meanwhile."""
        number = self.random.randrange(AGENTS)
        await self._exclusively(
            f"agent-{number}", self.processes.restart_agent, number, self.random.choice(ENDS)
        )

    async def restart_entry(self) -> None:
        """End an entry and start it again, one of the two at a time."""
        number = self.random.randrange(2)
        await self._exclusively(
            "entry", self.processes.restart_entry, number, self.random.choice(ENDS)
        )

    async def pause(self) -> None:
        """Stop an agent or an entry for a while."""
        number, pause_s = self.random.randrange(AGENTS), self.random.uniform(*PAUSE_S)
        if self.random.random() < 0.5:
            name, stopped = f"agent-{number}", self.processes.agents[number]
        else:
            name, stopped = "entry", self.processes.entries[number % 2]
        await self._exclusively(name, self._pause, stopped, pause_s)

    async def _pause(self, process: asyncio.subprocess.Process, pause_s: float) -> None:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        process.send_signal(signal.SIGCONT)

    async def crash_worker(self) -> None:
        """Let a worker crash, which is back under its id a short while later."""
        worker = self._worker()
        self._crashes_left -= 1
        if self._crashes_left < 0:
            return
        await self._exclusively(worker.worker_id, worker.crash)

    async def refuse_calls(self) -> None:
        """Let a worker refuse all calls for a while."""
        worker, status = self._worker(), self.random.choice((429, 503))
        worker.faults.status = status
        await asyncio.sleep(self.random.uniform(*REFUSAL_S))
        worker.faults.status = 0

    async def refuse_starts(self) -> None:
        """Let a worker refuse starts for a while."""
        worker = self._worker()
        worker.faults.refuses_starts = True
        await asyncio.sleep(self.random.uniform(*REFUSAL_S))
        worker.faults.refuses_starts = False

    async def carry_starts_out_late(self) -> None:
        """Let a worker leave the next start unanswered, and begin the run later."""
        worker = self._worker()
        worker.faults.start_delay_s = self.random.uniform(*LATE_START_S)
        worker.faults.delayed_starts = 1

    async def send_stray_heartbeat(self) -> None:
        """Send a worker's heartbeat to the agent of any worker."""
        await self._worker().stray_heartbeat(self.random.choice(self.processes.agent_addresses))

    async def crowd(self) -> None:
        """Let clients send most of a body to an entry or an agent, and hold their connections."""
        addresses = [*self.processes.frontends, *self.processes.agent_addresses]
        host, _, port = self.random.choice(addresses).rpartition(":")
        stay_s = self.random.uniform(*CROWD_STAY_S)
        await asyncio.gather(*(self._stall(host, int(port), stay_s) for _ in range(CROWD)))

    async def _stall(self, host: str, port: int, stay_s: float) -> None:
        with suppress(OSError):  # the process may be down
            _, writer = await asyncio.open_connection(host, port)
            writer.write(UNFINISHED_REQUEST)
            await asyncio.sleep(stay_s)
            writer.transport.abort()

    async def _exclusively(
        self, name: str, fault: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Play a fault of a process or a worker unless another of it lasts."""
        if name in self._occupied:
            return
        self._occupied.add(name)
        try:
            await fault(*arguments)
        finally:
            self._occupied.discard(name)


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_task_runs_twice_and_no_job_is_lost(tmp_path, seed: int):
    processes = Processes(tmp_path, agents=AGENTS)
    soak, is_over = Soak(processes, seed), asyncio.Event()
    try:
        await processes.start()
        urls = [await submit(processes, 0)]
        watching = asyncio.create_task(soak.watch())
        playing = asyncio.create_task(soak.play(is_over))
        for number in range(1, JOBS + 1):
            await asyncio.sleep(JOB_INTERVAL_S)
            work_ms, gpus = soak.random.randint(*WORK_MS), soak.random.choice(ACCELERATORS)
            entry = soak.random.randrange(2)
            urls.append(await submit(processes, number, work_ms, entry, gpus))
        is_over.set()
        await playing
        for url in urls:
            await until_completed(url)
        watching.cancel()
        assert not soak.twice, (seed, soak.twice, soak.played)
        assert not soak.run_after_their_end(), (seed, soak.played)
    finally:
        await processes.stop()
