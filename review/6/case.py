"""A short cut leaves the leader without the link of a side machine, whose agent keeps its lease."""

import asyncio
import time
from pathlib import Path

from deployment import CannotRunError, Deployment, Record, Worker, run_case, task_name
from partition import SideNetwork

EDGES = 2
LABELS = [["a", "r1-1"], ["a", "r1-2"]]
HEARTBEAT_S = 1.0  # of an agent to its leader, which answers each
FORECAST_S = 1.35  # about this long after a start the agent reports of it, without an answer
GAP_S = 0.35  # between the starts of two jobs, so that there are two such reports
CUT_UNTIL_S = 2.05  # since the agent last heard of the leader; after 2 s it opens a new link
HELD_FOR_S = 0.35  # TCP repeats the heartbeat of 1.0 s after 0.2, 0.4 and 0.8 s: at 2.4 s
WATCH_S = 16.0
LAST_CUT_S = 45.0  # since the start of the case; until then a cut without effect is repeated
WORK_MS = 3_600_000  # "most running for hours"
TRIES = 6
STEP = {"count": 1, "cpu": 5_600, "mem_mb": 23_000, "gpu": 1, "estimate_ms": WORK_MS}


async def start_job(deployment: Deployment, number: int) -> str:
    return task_name(await deployment.submit("match", number, WORK_MS, STEP))


def home(deployment: Deployment, task: str) -> Worker | None:
    return next((w for w in deployment.workers if task in w.runs), None)


async def report_before_heartbeat(
    deployment: Deployment, record: Record, first_number: int
) -> tuple[list[str], Worker, SideNetwork]:
    """Start two jobs until an agent has reported of the first one shortly before a heartbeat."""
    network = deployment.networks[0]
    for number in range(first_number, first_number + 2 * TRIES, 2):
        heard_at = network.received_at
        await deployment.until("heartbeat", lambda h=heard_at: network.received_at > h, 5)
        phase_s = (0.8 - FORECAST_S) % HEARTBEAT_S
        await asyncio.sleep(max(0.0, network.received_at + phase_s - time.monotonic()))
        began_at = time.monotonic()
        tasks = [await start_job(deployment, number)]
        await asyncio.sleep(GAP_S)
        tasks.append(await start_job(deployment, number + 1))
        await deployment.until("start", lambda t=tasks: all(home(deployment, x) for x in t), 10)
        worker = home(deployment, tasks[0])
        network = deployment.networks[deployment.workers.index(worker)]
        while home(deployment, tasks[1]) is worker and time.monotonic() < began_at + 2.2:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            is_report = now - network.sent_at < 0.02 and now > began_at + 1.0
            if is_report and 0.65 < now - network.received_at < 0.95:
                return tasks, worker, network
        await cancel(deployment, record, tasks)
    raise CannotRunError("no report came shortly before a heartbeat")


async def cancel(deployment: Deployment, record: Record, tasks: list[str]) -> None:
    for task in tasks:
        path = f"/match/{task.partition('.')[0]}"
        status, _ = await deployment.call("DELETE", path)
        record.write(f"client: DELETE {path} -> {status}; the next jobs are tried")
    await asyncio.sleep(3)


async def cut_once(
    deployment: Deployment, record: Record, first_number: int, is_troubled: bool
) -> tuple[list[str], dict[str, float]]:
    """Cut a machine off; return its tasks and for how long each had two runs."""
    tasks, worker, network = await report_before_heartbeat(deployment, record, first_number)
    heard_at = network.received_at
    if is_troubled:
        network.cut(from_store=False)
        record.write(f"{worker.node} is cut off from the edge machines")
        await asyncio.sleep(heard_at + CUT_UNTIL_S - time.monotonic())
        record.write(f"{worker.node} is no longer cut off")
        await network.heal(HELD_FOR_S)
        record.write("what was held up on the old link has arrived")
    both_s = dict.fromkeys(tasks, 0.0)
    until, checked_at = record.now() + WATCH_S, record.now()
    while record.now() < until:
        await asyncio.sleep(0.02)
        for task in tasks:
            if sum(task in w.runs for w in deployment.workers) > 1:
                both_s[task] += record.now() - checked_at
        checked_at = record.now()
    runs = {w.node: [(r.task, r.run) for r in w.runs.values()] for w in deployment.workers}
    record.write(f"running: {runs}")
    return tasks, both_s


async def case(record: Record, is_troubled: bool) -> str:
    async with Deployment(record, EDGES, LABELS, can_cut=True) as deployment:
        for first_number in range(1, 1_000, 2 * TRIES):
            tasks, both_s = await cut_once(deployment, record, first_number, is_troubled)
            broken = [f"{task} for {seconds:.1f} s" for task, seconds in both_s.items() if seconds]
            if broken:
                return f"TWICE: two runs at the same time of {', '.join(broken)}"
            if record.now() > LAST_CUT_S:
                return ""
            await cancel(deployment, record, tasks)


run_case(case, Path(__file__).parent)
