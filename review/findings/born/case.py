"""An agent ignores a worker whose `born` is lower than that of the lifetime before (LOST)."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.deployment import HOST, Deployment, run_case

STEP_MS = 2000  # `clock_step` has 2,400 in the site file
FINISH_S = 14.0
IDLE_S = 3.0
KEY = "key-batch"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "batch",
            "host": HOST,
            "prefix": "/batch/",
            "service": "runner",
            "priority": 1,
            "attempts": 4,
            "stretch": 3.0,
            "target_latency_ms": 1000,
        }
    ],
    "services": [{"name": "runner"}],
    "tenants": [{"name": "batch", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
}
STEP = {
    "count": 1,
    "cpu": 1000,
    "mem_mb": 100,
    "gpu": 1,
    "estimate_ms": 1000,
    "requirements": "r1-2",  # the rack of the last worker alone
}


def case(trouble: bool) -> tuple[Deployment, Callable[[], Awaitable[str]]]:
    deployment = Deployment(7, CONFIG)  # the crash of one is a share of 0.143; `srv_crash` has 0.15
    world = deployment.world

    async def play() -> str:
        worker, job = deployment.workers[-1], f"{1:016x}"
        await worker.crash()
        await asyncio.sleep(1)
        await worker.begin(STEP_MS if trouble else 0)
        await asyncio.sleep(1)
        await worker.crash()
        await asyncio.sleep(0.5)
        await worker.begin()
        await asyncio.sleep(4)
        await deployment.submit("/batch/", KEY, job, [STEP], [1.0])
        await asyncio.sleep(FINISH_S + IDLE_S)
        state = await deployment.state("/batch/", KEY, job)
        return "" if world.runs else f"LOST: nothing of an accepted job ever ran, shown as {state}"

    return deployment, play


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
