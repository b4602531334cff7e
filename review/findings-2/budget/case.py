"""A run fails while its machine is cut off; the failure is taken note of but never counted."""

import asyncio
from pathlib import Path

from deployment import Deployment, Record, run_case, task_name

EDGES = 2
LABELS = [["a", f"r1-{n}"] for n in range(1, 4)]
CUT_S = 12.0
WORK_MS = 3_000
ATTEMPTS = 3  # of the queue "match"
STEP = {"count": 1, "cpu": 5_600, "mem_mb": 23_000, "gpu": 1, "estimate_ms": WORK_MS}


async def case(record: Record, is_troubled: bool) -> str:
    async with Deployment(record, EDGES, LABELS, can_cut=True) as deployment:
        for worker in deployment.workers:
            worker.faults.failing = True  # the job can never be done: each run fails at its end
        path = await deployment.submit("match", 1, WORK_MS, STEP)
        task = task_name(path)
        await deployment.until("start", lambda: deployment.is_running(task), 10)
        first = next(w for w in deployment.workers if task in w.runs)
        if is_troubled:
            network = deployment.networks[deployment.workers.index(first)]
            network.cut()
            record.write(f"{first.node} is cut off from the edge machines and the store")
            await asyncio.sleep(CUT_S)
            await network.heal()
            record.write(f"{first.node} is no longer cut off")
        until, state = record.now() + 40, ""
        while state != "failed" and record.now() < until:
            await asyncio.sleep(0.5)
            state = await deployment.state(path)
        record.write(f"client: GET {path} -> {state}")
        starts = [(at, run) for w in deployment.workers for at, _, run in w.started_at]
        failed = [
            (at, run)
            for w in deployment.workers
            for at, _, run, how in w.ended_at
            if how == "failed" and (task, run, "failed") in w.acknowledged_ends
        ]
        record.write(f"starts: {sorted(starts)}")
        record.write(f"ends 'failed' that were taken note of: {sorted(failed)}")
        for at, run in sorted(starts):
            before = sorted(number for ended, number in failed if ended < at)
            if len(before) >= ATTEMPTS:
                return (
                    f"BUDGET: run {run} starts after the runs {before} have ended 'failed',"
                    f" with {ATTEMPTS} attempts"
                )
        return ""


run_case(case, Path(__file__).parent)
