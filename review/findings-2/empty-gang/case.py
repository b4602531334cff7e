"""A job with a gang of no tasks beside its other step is accepted; from then on nothing starts."""

import asyncio
from pathlib import Path

from deployment import Deployment, Record, run_case, task_name

EDGES = 2
LABELS = [["a", f"r1-{n}"] for n in range(3)]
FINISH_S, IDLE_S = 14.0, 3.0  # of the rule LOST
WATCH_S = 20.0
WORK_MS = 2_000
STEP = {"count": 1, "cpu": 5_600, "mem_mb": 23_000, "gpu": 1, "estimate_ms": WORK_MS}
EMPTY = {"cpu": 5_600, "gang": True}  # `count` is 0 and omitted


async def case(record: Record, is_troubled: bool) -> str:
    async with Deployment(record, EDGES, LABELS) as deployment:
        first = await deployment.submit("recon", 1, WORK_MS, STEP)
        await deployment.until("start", lambda: deployment.is_running(task_name(first)), 10)
        if is_troubled:
            await deployment.submit("match", 2, WORK_MS, STEP, EMPTY)
        tasks = {task_name(await deployment.submit("recon", n, WORK_MS, STEP)) for n in (3, 4)}
        handed_in_at, idle_s = record.now(), 0.0
        while record.now() < handed_in_at + WATCH_S:
            await asyncio.sleep(0.1)
            started = {task for w in deployment.workers for _, task, _ in w.started_at}
            is_owed = record.now() > handed_in_at + FINISH_S and not started & tasks
            idle_s = idle_s + 0.1 if is_owed else 0.0
            if started >= tasks:
                break
        if idle_s > IDLE_S:
            return f"LOST: two accepted jobs have not started after {WATCH_S:.0f} s on idle workers"
        return ""


run_case(case, Path(__file__).parent)
