"""Five jobs of many small tasks come at once, for which there is room, and never begin."""

import asyncio
from pathlib import Path

from deployment import Deployment, Record, run_case, task_name

EDGES = 2
LABELS = [["a", f"r1-{n}"] for n in range(3)]
JOBS = 5
TASKS = 230  # the widest step of the sites
APART_S = 1.5  # between the same jobs with TROUBLE=0
FINISH_S, IDLE_S = 14.0, 3.0  # of the rule LOST
WATCH_S = 40.0
WORK_MS = 5_000
# 1,150 tasks need 294 GB in all, and no processor time of their own; a worker has 256 GB
STEP = {"count": TASKS, "cpu": 500, "mem_mb": 256, "estimate_ms": WORK_MS, "fills": True}


async def case(record: Record, is_troubled: bool) -> str:
    async with Deployment(record, EDGES, LABELS) as deployment:
        await asyncio.sleep(3)
        jobs = []
        for number in range(1, JOBS + 1):
            job = asyncio.create_task(deployment.submit("match", number, WORK_MS, STEP))
            jobs.append(job)
            await asyncio.sleep(0 if is_troubled else APART_S)
        paths = await asyncio.gather(*jobs)
        names = {task_name(path, 0, index) for path in paths for index in range(TASKS)}
        handed_in_at, idle_s = record.now(), 0.0
        done: set[str] = set()
        while record.now() < handed_in_at + WATCH_S and done != names:
            await asyncio.sleep(0.2)
            running = sum(len(w.runs) for w in deployment.workers)
            done = {end[1] for w in deployment.workers for end in w.ended_at if end[3] == "done"}
            is_owed = record.now() > handed_in_at + FINISH_S and running == 0
            idle_s = idle_s + 0.2 if is_owed and done != names else 0.0
        await asyncio.sleep(0.5)
        states = [await deployment.state(path) for path in paths]
        starts = sum(len(w.started_at) for w in deployment.workers)
        record.write(f"client: GET -> {states}; {starts} starts, {len(done)} tasks done")
        if idle_s > IDLE_S:
            return (
                f"LOST: {len(names) - len(done)} of {len(names)} tasks of accepted jobs have not"
                f" been run, and nothing has been running for {idle_s:.0f} s, {FINISH_S:.0f} s and"
                " more after the last job was handed in"
            )
        return ""


run_case(case, Path(__file__).parent)
