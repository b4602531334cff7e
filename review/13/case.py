"""A version replaces a route by one of another name with the same host, prefix and service.

Rule (RULES.md, UNASKED): a task must not run on `stop_timeout_ms` after `cancel_ms` after the job's
cancelling was acknowledged, or had waited `ack_ms` of steady state for its confirmation.
"""

import asyncio
import time

from deployment import HAS_TROUBLE, Deployment, main

JOB = "e4d1c2b3a4958677"
TASK = f"{JOB}.0.0.0"
WORK_MS = 45_000
CONFIG_APPLY_S = 2.0
ACK_S, CANCEL_S, STOP_S = 4.0, 3.0, 0.2


async def play(deployment: Deployment) -> str:
    """Return how the rule was broken, "" if it held."""
    await deployment.submit(1, JOB, str(WORK_MS), count=1, gpu=1, estimate_ms=WORK_MS)
    await deployment.until("the task runs", lambda: TASK in deployment.running(), 20)
    await asyncio.sleep(2.0)
    if HAS_TROUBLE:
        deployment.configure(2, "-new")
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    before = await deployment.state(1, JOB)
    asked_at = time.monotonic()
    statuses = []
    for entry in range(len(deployment.entry_ips)):
        status, _ = await deployment.ask("DELETE", 1, JOB, None, entry)
        statuses.append(status)
        if 200 <= status < 300:
            break
    await asyncio.sleep(max(0.0, asked_at + ACK_S + CANCEL_S + STOP_S + 1.0 - time.monotonic()))
    if TASK not in deployment.running():
        return ""
    after = await deployment.state(1, JOB)
    late_s = time.monotonic() - asked_at - ACK_S - CANCEL_S - STOP_S
    return (
        f"the job was shown as {before!r}, its cancelling was answered with {statuses}, and "
        f"{late_s:.1f} s after the rule's limit its task still runs; it is shown as {after!r}"
    )


if __name__ == "__main__":
    main(__file__, play)
