"""Pauses of the leader and of an agent at once, as real processes: no task runs twice at a time."""

import asyncio
import signal
from contextlib import suppress

import pytest
import pytest_asyncio
from lycheeslip_common.workload.times import DispatchTimes

from tests.harness.platform_processes import Processes, submit, until_completed

pytestmark = pytest.mark.processes

RUN_LEASE_S = DispatchTimes().run_lease_ms / 1_000
MARGIN_S = 2.0  # by which runs outlast the pause
WHOLE_WORKER = 8  # accelerators


@pytest_asyncio.fixture
async def processes(tmp_path):
    processes = Processes(tmp_path, agents=2)
    try:
        await processes.start()
        yield processes
    finally:
        await processes.stop()


def running_by_task(processes: Processes) -> dict[str, int]:
    """Return on how many workers each task runs now."""
    tasks = [task for worker in processes.workers for task in worker.runs]
    return {task: tasks.count(task) for task in tasks}


async def assert_no_task_runs_twice(processes: Processes) -> None:
    while True:
        assert max(running_by_task(processes).values(), default=0) <= 1
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("pause_s", [2.0, 5.0, 12.0])
async def test_pause_of_leader_and_agent_starts_nothing_twice(processes: Processes, pause_s: float):
    """Runs outlive a pause that is shorter than their lease, and start again after a longer one."""
    watch = asyncio.create_task(assert_no_task_runs_twice(processes))
    work_ms = int((pause_s + MARGIN_S) * 1_000)
    urls = [await submit(processes, n, work_ms, accelerators=WHOLE_WORKER) for n in (1, 2)]
    async with asyncio.timeout(5):
        while len(running_by_task(processes)) < len(urls):  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    leader = processes.leader()
    assert leader is not None
    paused = [processes.entries[leader], processes.agents[0]]
    for process in paused:
        process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(pause_s)
    for process in paused:
        process.send_signal(signal.SIGCONT)
    urls.append(await submit(processes, 3, entry=1 - leader))
    for url in urls:
        await until_completed(url)
    starts = [worker.started.by_task for worker in processes.workers]
    runs = sorted(run for by_task in starts for task in by_task.values() for run in task)
    assert runs == ([1, 1, 1] if pause_s < RUN_LEASE_S else [1, 1, 1, 2])
    assert all(process.returncode is None for process in processes.running)
    assert not watch.done()
    watch.cancel()
    with suppress(asyncio.CancelledError):
        await watch
