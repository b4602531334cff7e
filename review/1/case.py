"""A start that is carried out late runs beside the next run, since the stop was refused."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web
from harness.deployment import HOST, CaseError, Deployment, run_case
from harness.worker import Worker

WORKERS = 12  # one of them fails calls: 0.083; `srv_grey` has a share of up to 0.11 in the site file
SMALL_JOBS = 30  # one order of all is late: `applied_late` has a share of up to 0.057 there
LATE_S = 6.0  # `kinds`: "carried out 2 to 12 s later"
SHED_S = 6.5  # `srv_grey` in the site file
MAX_SHED_SHARE = 0.4  # `kinds`: "fail x (.4) of their requests"
TARGET = f"{0xA:016x}"
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
SMALL = {"count": 1, "cpu": 2000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 1000}
LARGE = {"count": 1, "cpu": 26000, "mem_mb": 110000, "gpu": 8, "estimate_ms": 15000}


class Trouble:
    """Which worker leaves the target's first start unanswered, and until when it refuses orders."""

    def __init__(self, is_on: bool) -> None:
        self.is_due = is_on
        self.worker = ""
        self.until = 0.0
        self.calls = self.shed = self.orders = self.late = 0


def make_handler(worker: Worker, trouble: Trouble) -> Callable[[web.BaseRequest], Awaitable[Any]]:
    """Return the handler of a worker that may leave one order unanswered and refuse others."""
    sound = worker._handle
    world = worker.world

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        is_order = request.path in ("/run-start", "/run-stop")
        trouble.orders += is_order
        is_sick = trouble.worker == worker.id and world.now() < trouble.until
        trouble.calls += is_sick
        if is_sick and is_order:
            trouble.shed += 1
            world.note(f"worker {worker.id} refuses {request.path} with 503 and does nothing")
            return web.Response(status=503)
        if trouble.is_due and request.path == "/run-start":
            body = await request.json()
            if body["task"].startswith(TARGET):
                trouble.is_due = False
                trouble.worker, trouble.until = worker.id, world.now() + SHED_S
                trouble.late += 1
                world.note(f"worker {worker.id} leaves the start of {body['task']} unanswered")
                loop = asyncio.get_running_loop()
                loop.call_later(LATE_S, worker.start_run, body)
                await asyncio.sleep(30)
        return await sound(request)

    return handle


def overlaps(deployment: Deployment) -> list[str]:
    """Return the pairs of runs of one task that were at work at the same time."""
    runs, now = deployment.world.runs, deployment.world.now()
    return [
        f"{a.task} run {a.number} on {a.worker} and run {b.number} on {b.worker}"
        for a in runs
        for b in runs
        if a.task == b.task
        and a.number < b.number
        and max(a.started_at, b.started_at) < min(a.ended_at or now, b.ended_at or now)
    ]


def case(trouble_on: bool) -> tuple[Deployment, Callable[[], Awaitable[str]]]:
    deployment = Deployment(WORKERS, CONFIG)
    world = deployment.world
    trouble = Trouble(trouble_on)

    async def play() -> str:
        for worker in deployment.workers:
            worker._handle = make_handler(worker, trouble)  # type: ignore[method-assign]
        for number in range(SMALL_JOBS):
            await deployment.submit("/batch/", KEY, f"{0x1000 + number:016x}", [SMALL], [1.0])
        await asyncio.sleep(3)
        await deployment.submit("/batch/", KEY, TARGET, [LARGE], [15.0])
        await asyncio.sleep(25)
        await deployment.state("/batch/", KEY, TARGET)
        world.note(
            f"{trouble.late} of {trouble.orders} orders late; the worker refused {trouble.shed} of"
            f" {trouble.calls} calls in {SHED_S} s"
        )
        if trouble.calls and trouble.shed > MAX_SHED_SHARE * trouble.calls:
            raise CaseError("the worker refused too many calls")
        found = overlaps(deployment)
        return f"TWICE: at the same time {'; '.join(found)}" if found else ""

    return deployment, play


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
