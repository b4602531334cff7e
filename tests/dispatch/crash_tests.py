"""Tests of tasks that crash their workers, and of workers that crash by themselves."""

import asyncio

from lycheeslip_common.workload.fleet import EndCause
from lycheeslip_standins.platform.worker import CRASH_PAYLOAD

from tests.harness.platform_cell import TIMES, AgentProcess, Cell, assert_stays_true

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}
OUTAGE_S = 3.5
MAX_STARTS = 5  # of a task that crashes its workers: two more after the third crash


def ended(cell: Cell, cause: EndCause) -> float:
    """Return how many runs ended with `cause`, as counted by all entries."""
    name = f'lycheeslip_runs_ended_total{{reason="{cause}"}} '
    lines = [line for e in cell.entries for line in e.board.counters.text().decode().splitlines()]
    return sum(float(line.removeprefix(name)) for line in lines if line.startswith(name))


async def test_crash_of_a_worker_is_told_from_its_loss(cell: Cell):
    await cell.submit(1, ONE, work_ms=60_000)
    await cell.until(lambda: cell.running() == 1)
    crashing = next(agent for agent in cell.agents if agent.worker.runs)
    await crashing.worker.crash()
    await cell.until(lambda: ended(cell, EndCause.CRASHED) == 1)
    await cell.until(lambda: cell.running() == 1)
    lost = next(agent for agent in cell.agents if agent.worker.runs)
    await lost.stop_agent()  # a loss of power ends the agent with its worker
    await lost.worker.crash()
    await lost.start_agent()
    await cell.until(lambda: ended(cell, EndCause.LOST) == 1)
    assert ended(cell, EndCause.CRASHED) == 1


async def test_worker_that_leaves_is_not_taken_for_crashed(cell: Cell):
    await cell.submit(1, ONE, work_ms=60_000)
    await cell.until(lambda: cell.running() == 1)
    leaving = next(agent for agent in cell.agents if agent.worker.runs)
    leaving.worker.state = "draining"
    await cell.until(lambda: not leaving.agent.board.worker_status.is_ready)
    await leaving.worker.stop()
    await cell.until(lambda: ended(cell, EndCause.LOST) == 1)
    assert ended(cell, EndCause.CRASHED) == 0


async def test_task_that_crashes_each_worker_is_not_started_without_end(cell: Cell):
    path = await cell.submit(1, ONE, payload=CRASH_PAYLOAD)
    await cell.until_state(path, "failed")
    assert cell.starts() == {f"{1:016x}.0.0.0": [1, 2, 3]}


async def test_caller_learns_at_every_entry_why_its_job_was_given_up(cell: Cell):
    path = await cell.submit(1, ONE, payload=CRASH_PAYLOAD)
    await cell.until_state(path, "failed")
    shown = (200, {"state": "failed", "reason": "crashes_workers"})
    assert [await cell.call("GET", path, entry=entry) for entry in (0, 1)] == [shown] * 2
    for agent in cell.agents:
        agent.worker.faults.failing = True
    path = await cell.submit(2, ONE)
    await cell.until_state(path, "failed")
    assert await cell.call("GET", path) == (200, {"state": "failed"})


async def test_crashes_are_counted_on_after_a_change_of_leaders(cell: Cell):
    path = await cell.submit(1, ONE, payload=CRASH_PAYLOAD, entry=1)
    await cell.until(lambda: len(cell.starts().get(f"{1:016x}.0.0.0", [])) == 2)
    cell.store.delete("lycheeslip/leader")
    await cell.until_state(path, "failed")
    assert len(cell.starts()[f"{1:016x}.0.0.0"]) <= MAX_STARTS


async def test_crashes_are_counted_on_after_an_outage_of_the_store(cell: Cell):
    path = await cell.submit(1, ONE, payload=CRASH_PAYLOAD)
    await cell.until(lambda: len(cell.starts().get(f"{1:016x}.0.0.0", [])) == 2)
    cell.store.faults.status = 503
    await asyncio.sleep(2.0)
    cell.store.faults.status = 0
    await cell.until_state(path, "failed")
    assert len(cell.starts()[f"{1:016x}.0.0.0"]) <= MAX_STARTS


async def test_gang_with_a_member_that_crashes_workers_is_given_up(cell: Cell):
    gang = {**ONE, "count": 2, "gpu": 8, "gang": True}
    path = await cell.submit(1, gang, payload=CRASH_PAYLOAD)
    await cell.until_state(path, "failed")
    assert all(len(runs) <= MAX_STARTS for runs in cell.starts().values())


async def test_work_beside_a_task_that_crashes_workers_is_lost_once_and_done_at_last(cell: Cell):
    """The task is placed beside other work at first, and by itself once a worker has crashed."""
    innocent = await cell.submit(1, {**ONE, "count": 10}, work_ms=1_500)
    await cell.until(lambda: cell.running() == 10)
    deadly = await cell.submit(2, ONE, payload=CRASH_PAYLOAD)
    await cell.until_state(deadly, "failed")
    await cell.until_state(innocent, "completed")
    starts = cell.starts()
    assert len(starts.pop(f"{2:016x}.0.0.0")) <= MAX_STARTS
    assert max(len(runs) for runs in starts.values()) <= 2


async def test_job_that_lost_its_worker_twice_to_a_neighbour_is_not_given_up(cell: Cell):
    innocent = await cell.submit(1, ONE, work_ms=2_500)
    for number in (2, 3):
        await cell.until(lambda: cell.running() == 1)
        running = next(agent for agent in cell.agents if agent.worker.runs)
        await running.worker.crash()
        await cell.until_state(await cell.submit(number, ONE), "completed")
    await cell.until_state(innocent, "completed")


async def test_crash_in_an_outage_leaves_its_crash_counted(cell: Cell):
    """The outage outlasts the lease, so that another term decides on the crash."""
    innocent = await cell.submit(1, {**ONE, "count": 10}, work_ms=60_000)
    await cell.until(lambda: cell.running() == 10)
    await cell.submit(2, ONE, payload=CRASH_PAYLOAD)
    await cell.until(lambda: f"{2:016x}.0.0.0" in cell.starts())
    cell.store.faults.status = 503
    await asyncio.sleep(OUTAGE_S)
    cell.store.faults.status = 0
    await cell.until(lambda: ended(cell, EndCause.CRASHED))
    await cell.until(lambda: cell.leader() is not None)
    task = cell.leader().board.jobs[f"{2:016x}"].progress.tasks[(0, 0, 0)]
    await cell.until(lambda: task.crash_weight or task.open_crashes)
    assert task.is_suspect
    await cell.call("DELETE", innocent)


async def test_crash_that_takes_the_answer_to_the_start_with_it_is_counted(cell: Cell):
    for agent in cell.agents:
        agent.worker.faults.loses_answer_in_crash = True
    path = await cell.submit(1, ONE, payload=CRASH_PAYLOAD)
    await cell.until_state(path, "failed")
    assert cell.starts() == {f"{1:016x}.0.0.0": [1, 2, 3]}


async def test_unanswered_start_is_not_repeated_to_the_next_lifetime_of_its_worker(cell: Cell):
    """The next lifetime has the same id, and listens before it sends its first heartbeat."""
    reborn, other = (agent.worker for agent in cell.agents)
    other.state = "draining"
    await cell.until(lambda: not cell.agents[1].agent.board.worker_status.is_ready)
    reborn.faults.delayed_starts, reborn.faults.start_delay_s = 1, 60.0
    path = await cell.submit(1, ONE)
    await cell.until(lambda: reborn.calls["/run-start"])
    await reborn.stop()
    reborn.restart_empty()
    await reborn.start()
    await assert_stays_true(lambda: not reborn.runs, TIMES.run_lease_ms / 1_000)
    reborn.announce(cell.agents[0].address)
    await cell.until_state(path, "completed")
    assert cell.starts() == {f"{1:016x}.0.0.0": [2]}


async def test_worker_that_has_just_ended_is_not_sent_order_after_order(cell: Cell):
    """The agent notices after 0.6 s; until then its worker is the only one that fits."""
    crashing, leaving = cell.agents
    leaving.worker.state = "draining"
    await cell.until(lambda: not leaving.agent.board.worker_status.is_ready)
    crash = asyncio.create_task(crashing.worker.crash())
    await cell.until(lambda: crashing.worker.crashes)
    path = await cell.submit(1, ONE)
    await cell.until_state(path, "completed")
    await crash
    job = cell.leader().board.jobs[f"{1:016x}"]
    assert job.progress.tasks[(0, 0, 0)].run <= 3


async def lose_power(agent: AgentProcess) -> None:
    """End an agent and its worker, and start both again; the worker sends no heartbeat yet."""
    await agent.stop_agent()
    await agent.worker.stop()
    agent.worker.restart_empty()
    await agent.worker.start()
    await agent.start_agent()


async def test_lost_run_does_not_wait_for_the_first_heartbeat_of_its_restarted_worker(cell: Cell):
    await cell.submit(1, ONE, work_ms=60_000)
    await cell.until(lambda: cell.running() == 1)
    await lose_power(next(agent for agent in cell.agents if agent.worker.runs))
    async with asyncio.timeout(TIMES.run_lease_ms / 1_000 / 2):
        await cell.until(lambda: cell.starts() == {f"{1:016x}.0.0.0": [1, 2]})


async def test_run_of_a_worker_that_lived_on_is_not_taken_for_lost_when_its_agent_restarts(
    cell: Cell,
):
    await cell.submit(1, ONE, work_ms=60_000)
    await cell.until(lambda: cell.running() == 1)
    agent = next(agent for agent in cell.agents if agent.worker.runs)
    await agent.stop_agent()
    agent.worker.silence()
    await agent.start_agent()
    await assert_stays_true(
        lambda: cell.starts() == {f"{1:016x}.0.0.0": [1]}, TIMES.run_lease_ms / 1_000 / 2
    )
