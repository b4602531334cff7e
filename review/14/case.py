"""Two leaders are killed, each as it writes to the store, and a job is cancelled meanwhile.

Rule (RULES.md, UNASKED): a machine in touch must not start a task later than `cancel_ms` after the
job's cancelling was acknowledged.
"""

import asyncio
import base64
import time

from deployment import HAS_TROUBLE, LEADER_KEY, CouldNotRunError, Deployment, main

JOB = "1c5e8f20b7d94a63"
TASK = f"{JOB}.0.0.0"
RUNS_KEY = f"lycheeslip/runs/{JOB}"
WORK_MS = 20_000
CANCEL_S = 3.0
DOWN_S = 3.5
WATCH_S = 15.0


class Killer:
    """Kills the process that has just written a key of the store under a condition."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.killed: list[int] = []
        self.restarts: list[asyncio.Task[None]] = []
        self._write = deployment.store._write
        deployment.store._write = self.write  # type: ignore[method-assign]

    def write(self, key: str, value: str, lease: int) -> None:
        """Write a key, and kill the leader whose write that was, twice in all."""
        self._write(key, value, lease)
        leader = self.deployment.leader()
        # a record that places the task names the node of a worker
        is_start = key == RUNS_KEY and b"side-" in base64.b64decode(value)
        is_first = not self.killed and is_start
        is_second = len(self.killed) == 1 and key == LEADER_KEY
        if leader is not None and (is_first or is_second):
            self.killed.append(leader)
            self.deployment.kill_entry(leader, f"as it has written {key}")
            restart = self.deployment.restart_entry(leader, DOWN_S)
            self.restarts.append(asyncio.create_task(restart))


async def play(deployment: Deployment) -> str:
    """Return how the rule was broken, "" if it held."""
    killer = Killer(deployment) if HAS_TROUBLE else None
    leader = deployment.leader()
    if leader is None:
        raise CouldNotRunError("there is no leader")
    entries = [number for number in range(len(deployment.entry_ips)) if number != leader]
    body = {
        "spec": str(WORK_MS),
        "steps": [{"count": 1, "cpu": 1_000, "mem_mb": 256, "gpu": 1, "estimate_ms": WORK_MS}],
    }
    status, _ = await deployment.ask("POST", 1, JOB, body, entries[0])
    if status != 200:
        raise CouldNotRunError(f"the job was answered with {status}")
    if killer is not None:
        await deployment.until("the leader is killed", lambda: bool(killer.killed), 5)
    status, _ = await deployment.ask("DELETE", 1, JOB, None, entries[1])
    if status != 200:
        raise CouldNotRunError(f"the cancelling was answered with {status}")
    acknowledged_at = time.time()
    await asyncio.sleep(WATCH_S)
    if killer is not None:
        if len(killer.killed) < 2:
            raise CouldNotRunError("no second leader was killed")
        await asyncio.gather(*killer.restarts)
    late = [
        event["at"] - acknowledged_at
        for event in deployment.starts
        if event["event"] == "started" and event["task"] == TASK
    ]
    broken = [after_s for after_s in late if after_s > CANCEL_S]
    if not broken:
        return ""
    return f"the task was started {broken[0]:.1f} s after the cancelling was acknowledged"


if __name__ == "__main__":
    main(__file__, play)
