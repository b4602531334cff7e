"""A gang that finds no room keeps all other jobs of its rank from starting, for ever."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.deployment import HOST, CaseError, Deployment, run_case

WORKERS = 4
KEY = "key-batch"
FINISH_S = 14.0  # `finish_s` after the end of the traffic jobs are asked for
IDLE_S = 3.0  # "for 3 s, a job has nothing running"
HOPELESS_OF = 24  # jobs in all, one of them hopeless: `poison` has a share of 0.05
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "serve",
            "host": HOST,
            "prefix": "/serve/",
            "service": "runner",
            "priority": 1,
            "attempts": 4,
            "stretch": 1.5,
            "target_latency_ms": 250,
        },
        {
            "name": "batch",
            "host": HOST,
            "prefix": "/batch/",
            "service": "runner",
            "priority": 1,
            "attempts": 4,
            "stretch": 1.5,
            "target_latency_ms": 250,
        },
    ],
    "services": [{"name": "runner"}],
    "tenants": [{"name": "batch", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
}
LASTING = {
    "count": WORKERS,
    "cpu": 2000,
    "mem_mb": 4000,
    "gpu": 1,
    "long_running": True,
    "anti_affinity": 1,
}
GANG = {
    "count": WORKERS,
    "cpu": 16000,
    "mem_mb": 32000,
    "gpu": 8,
    "estimate_ms": 2000,
    "gang": True,
}
SMALL = {"count": 1, "cpu": 2000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 1000}


def case(trouble: bool) -> tuple[Deployment, Callable[[], Awaitable[str]]]:
    deployment = Deployment(WORKERS, CONFIG)
    world = deployment.world

    async def small(number: int) -> str:
        job = f"{0x1000 + number:016x}"
        await deployment.submit("/batch/", KEY, job, [SMALL], [1.0])
        return job

    async def play() -> str:
        lasting, gang = f"{1:016x}", f"{2:016x}"
        await deployment.submit("/serve/", KEY, lasting, [LASTING], [0.0])
        await asyncio.sleep(3)
        if sum(1 for run in world.runs if not run.how) != WORKERS:
            raise CaseError("the lasting job doesn't run")
        before = [await small(number) for number in range((HOPELESS_OF - 2) // 2)]
        await asyncio.sleep(3)
        if trouble:
            await deployment.submit("/batch/", KEY, gang, [GANG], [2.0])
        await asyncio.sleep(12)
        after = [await small(100 + number) for number in range((HOPELESS_OF - 2) // 2)]
        await asyncio.sleep(FINISH_S)
        states = {job: await deployment.state("/batch/", KEY, job) for job in [*before, *after]}
        await asyncio.sleep(IDLE_S)
        started = {run.task.split(".")[0] for run in world.runs}
        idle = [job for job in [*before, *after] if job not in started]
        in_use = sum(world.step_of(run.task).gpu for run in world.runs if not run.how)
        world.note(f"{len(idle)} small jobs never began; {in_use} of {8 * WORKERS} GPUs are in use")
        world.note(f"states asked for after finish_s: {sorted(set(states.values()))}")
        if idle and in_use < 8 * WORKERS / 2:
            return f"LOST: for over {IDLE_S} s nothing runs of {len(idle)} accepted jobs of 1 GPU"
        return ""

    return deployment, play


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
