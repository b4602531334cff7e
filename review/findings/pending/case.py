"""A count of pending jobs leaves out jobs of which no task has begun (MIXED)."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from aiohttp import web
from harness.deployment import HOST, Deployment, run_case

WORKERS = 10  # one of them doesn't answer: 0.1
SILENT_S = 6.5  # the longest `srv_grey` of the site file
DUE_S = 5.05  # `visible_ms` + 2 s, and a margin
JOBS = 10
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
    "requirements": "r1-3",  # the rack of the last worker alone
}


def case(trouble: bool) -> tuple[Deployment, Callable[[], Awaitable[str]]]:
    deployment = Deployment(WORKERS, CONFIG)
    world = deployment.world

    async def play() -> str:
        worker = deployment.workers[-1]
        sound, until = worker._handle, world.now() + SILENT_S

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if trouble and world.now() < until:
                await asyncio.sleep(60)
            return await sound(request)

        worker._handle = handle  # type: ignore[method-assign]
        jobs = [f"{1 + number:016x}" for number in range(JOBS)]
        accepted = {
            job: await deployment.submit("/batch/", KEY, job, [STEP], [3.0]) for job in jobs
        }
        broken = ""
        while world.now() < until + 3:
            await asyncio.sleep(0.2)
            for entry in range(len(deployment.frontends)):
                due = [job for job in jobs if world.now() - accepted[job] > DUE_S]
                status, document = await deployment.call("GET", "/batch/", KEY, entry=entry)
                begun = {run.task.split(".")[0] for run in world.runs}
                waiting = [job for job in due if job not in begun]
                if status == 200 and document["pending"] < len(waiting) / 2 and not broken:
                    broken = f"MIXED: pending {document['pending']}, {len(waiting)} have not begun"
                    world.note(f"edge-{entry}: {broken}")
        return broken

    return deployment, play


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
