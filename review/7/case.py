"""One large job of many steps is accepted; from then on no leader lasts and no other job starts."""

import asyncio
import json
from pathlib import Path

from deployment import Deployment, Record, run_case, task_name

EDGES = 3
LABELS = [["a", f"r1-{n}"] for n in range(3)]
STEPS = 3_000
MAX_BODY_BYTES = 262_144
FINISH_S, IDLE_S = 14.0, 3.0  # of the rule LOST
WATCH_S = 45.0
WORK_MS = 12_200
STEP = {"count": 1, "cpu": 5_600, "mem_mb": 23_000, "gpu": 1, "estimate_ms": WORK_MS}


async def case(record: Record, is_troubled: bool) -> str:
    async with Deployment(record, EDGES, LABELS) as deployment:
        first = await deployment.submit("recon", 1, WORK_MS, STEP)
        await deployment.until("start", lambda: deployment.is_running(task_name(first)), 10)
        if is_troubled:
            body = {"spec": str(WORK_MS), "steps": [STEP] * STEPS}
            size = len(json.dumps(body))
            assert size <= MAX_BODY_BYTES
            status, answer = await deployment.call("POST", f"/match/{2:016x}", 0, body)
            record.write(f"client: POST /match/{2:016x}, {STEPS} steps, {size} B -> {status} {answer}")
        jobs = [await deployment.submit("recon", number, WORK_MS, STEP) for number in (3, 4, 5)]
        tasks = [task_name(path) for path in jobs]
        ended_at, idle_s, leaders = record.now(), 0.0, []
        while record.now() < ended_at + WATCH_S:
            await asyncio.sleep(0.1)
            started = {task for w in deployment.workers for _, task, _ in w.started_at}
            running = sum(len(w.runs) for w in deployment.workers)
            is_owed = record.now() > ended_at + FINISH_S and running == 0
            idle_s = idle_s + 0.1 if is_owed and not started & set(tasks) else 0.0
            leader = deployment.leader()
            if leader and leaders[-1:] != [leader]:
                leaders.append(leader)
                record.write(f"{leader} leads; {running} runs on {len(LABELS)} workers")
            if started >= set(tasks):
                break
        states = [await deployment.state(path, n % EDGES) for n, path in enumerate(jobs)]
        record.write(f"{len(leaders)} terms; the jobs are shown as {states}")
        if idle_s > IDLE_S:
            return (
                f"LOST: {len(jobs)} accepted jobs have not started {WATCH_S:.0f} s after the last"
                f" was handed in; all workers have been idle for {idle_s:.1f} s"
            )
        return ""


run_case(case, Path(__file__).parent)
