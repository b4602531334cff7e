"""One step of many small tasks, which one worker has room for, is accepted and never begins."""

import asyncio
from pathlib import Path

from deployment import Deployment, Record, run_case, task_name

EDGES = 2
LABELS = [["a", f"r1-{n}"] for n in range(3)]
TASKS = 1_100  # 55 cores and 110 GB in all; a worker has 64 cores and 256 GB
USUAL_TASKS = 230  # the widest step of the sites, for TROUBLE=0
FINISH_S, IDLE_S = 14.0, 3.0  # of the rule LOST
WATCH_S = 40.0
WORK_MS = 5_000
STEP = {"cpu": 50, "mem_mb": 100, "estimate_ms": WORK_MS}


async def case(record: Record, is_troubled: bool) -> str:
    async with Deployment(record, EDGES, LABELS) as deployment:
        count = TASKS if is_troubled else USUAL_TASKS
        path = await deployment.submit("match", 1, WORK_MS, STEP | {"count": count})
        names = {task_name(path, 0, index) for index in range(count)}
        handed_in_at, idle_s, state = record.now(), 0.0, ""
        while record.now() < handed_in_at + WATCH_S and state != "completed":
            await asyncio.sleep(0.2)
            running = sum(len(w.runs) for w in deployment.workers)
            done = {end[1] for w in deployment.workers for end in w.ended_at if end[3] == "done"}
            is_owed = record.now() > handed_in_at + FINISH_S and running == 0 and done != names
            idle_s = idle_s + 0.2 if is_owed else 0.0
            state = await deployment.state(path)
        starts = sum(len(w.started_at) for w in deployment.workers)
        record.write(f"client: GET {path} -> {state}; {starts} starts, {len(done)} tasks done")
        if idle_s > IDLE_S:
            return (
                f"LOST: an accepted job of {count} tasks has had nothing running for {idle_s:.0f} s,"
                f" {FINISH_S:.0f} s and more after it was handed in, with all workers idle"
            )
        return ""


run_case(case, Path(__file__).parent)
