"""Two workers crash, one after the other, under a task, while each worker serves a lasting task.

Rule (RULES.md, LOST): the job must not have nothing running for 3 s while its task's turn has come,
there is capacity for it twice over, and under half of the service's capacity is in use.
"""

import asyncio
import time

from deployment import HAS_TROUBLE, Deployment, main

SERVING = "0f0f0f0f00000001"
JOB = "9d3c55e2a1b04c77"
TASK = f"{JOB}.0.0.0"
WORK_MS = 12_000
CRASHES = 2
DOWN_S = 4.5
AT_WORK_S = 5.0
WATCH_S = 45.0
CONTACT_S = 3.0
NOTHING_RUNS_S = 3.0


async def play(deployment: Deployment) -> str:
    """Return how the rule was broken, "" if it held."""
    count = len(deployment.machines)
    serving = {f"{SERVING}.0.0.{index}" for index in range(count)}
    await deployment.submit(
        1, SERVING, "serve", count=count, gpu=1, long_running=True, anti_affinity=1
    )
    await deployment.until("all serve", lambda: serving <= deployment.running().keys(), 20)
    await deployment.submit(2, JOB, str(WORK_MS), count=1, gpu=1, estimate_ms=WORK_MS)
    background = []
    for _ in range(CRASHES):
        await deployment.until("the task runs", lambda: TASK in deployment.running(), 20)
        await asyncio.sleep(AT_WORK_S)
        if HAS_TROUBLE:
            number = deployment.running()[TASK][0]
            crash = deployment.crash_worker(deployment.machines[number], DOWN_S)
            background.append(asyncio.create_task(crash))
            await asyncio.sleep(0.5)
    await asyncio.gather(*background)
    await deployment.until("all serve again", lambda: serving <= deployment.running().keys(), 25)
    calm_at = time.monotonic() + CONTACT_S
    starts_before = _starts(deployment)
    until = time.monotonic() + WATCH_S
    state, entry = "", 0
    while time.monotonic() < until:
        entry += 1
        state = await deployment.state(2, JOB, entry)
        if state == "completed" or TASK in deployment.running():
            return ""
        await asyncio.sleep(2.0)
    if _starts(deployment) > starts_before:
        return ""
    idle_s = time.monotonic() - calm_at - NOTHING_RUNS_S
    return (
        f"the job is shown as {state!r} and has nothing running, {idle_s:.0f} s longer than the "
        f"rule allows; {count} of {8 * count} accelerators are in use"
    )


def _starts(deployment: Deployment) -> int:
    return sum(e["event"] == "started" and e.get("task") == TASK for e in deployment.starts)


if __name__ == "__main__":
    main(__file__, play)
