"""Tests of queues whose steps may run only on workers that the advice service approves."""

import asyncio

import pytest

from tests.harness.platform_cell import Cell, assert_stays_true

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}
WHOLE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 8}
PAIR = {**WHOLE, "count": 2, "gang": True}
STEP = f"{1:016x}.0.0"


@pytest.fixture
def advised_cell(cell: Cell) -> Cell:
    cell.advised_priorities = {0, 1}
    cell.configure()
    for agent in cell.agents:
        agent.worker.faults.requires_ticket = True
    return cell


async def test_tasks_start_only_where_the_service_approves(advised_cell: Cell):
    advised_cell.advice.approved = {"i-1"}
    path = await advised_cell.submit(1, {**ONE, "count": 4})
    await advised_cell.until_state(path, "completed")
    assert advised_cell.agents[0].worker.started.by_task == {}
    assert advised_cell.advice.asked[STEP] == 1
    assert "/run-start" not in advised_cell.agents[0].worker.calls


async def test_no_advice_is_requested_for_other_queues(cell: Cell):
    path = await cell.submit(1, ONE)
    await cell.until_state(path, "completed")
    assert not cell.advice.asked


async def test_step_without_approved_workers_waits_and_is_asked_once(advised_cell: Cell):
    await advised_cell.submit(1, ONE)
    await advised_cell.until(lambda: advised_cell.advice.asked[STEP] == 1)
    await assert_stays_true(lambda: advised_cell.starts() == {}, 1.0)
    assert advised_cell.advice.asked[STEP] == 1


async def test_request_is_retried_after_refusals(advised_cell: Cell):
    advised_cell.advice.approved = {"i-0", "i-1"}
    advised_cell.advice.statuses = [429, 503]
    path = await advised_cell.submit(1, ONE)
    await advised_cell.until_state(path, "completed")


async def test_gang_gets_tickets_for_all_its_workers(advised_cell: Cell):
    advised_cell.advice.approved = {"i-0", "i-1"}
    path = await advised_cell.submit(1, PAIR)
    await advised_cell.until_state(path, "completed")
    assert advised_cell.starts() == {f"{STEP}.0": [1], f"{STEP}.1": [1]}


async def test_expired_tickets_of_a_waiting_step_are_renewed(advised_cell: Cell):
    advised_cell.advice.approved = {"i-0", "i-1"}
    advised_cell.advice.validity_ms = 600
    first = await advised_cell.submit(1, {**WHOLE, "count": 3}, work_ms=1_000)
    await advised_cell.until_state(first, "completed")
    assert advised_cell.advice.asked[STEP] >= 2
    metrics = [agent.agent.board.counters.text() for agent in advised_cell.agents]
    assert not any(b'orders_without_run_total{reason="ticket"}' in text for text in metrics)


async def test_urgent_step_preempts_only_on_approved_workers(advised_cell: Cell):
    advised_cell.advised_priorities = {0}
    advised_cell.configure()
    for agent in advised_cell.agents:
        agent.worker.faults.requires_ticket = False
    advised_cell.advice.approved = {"i-1"}
    bulk = await advised_cell.submit(2, {**WHOLE, "count": 2}, work_ms=6_000, priority=2)
    await advised_cell.until(lambda: advised_cell.running() == 2)
    path = await advised_cell.submit(1, WHOLE, priority=0)
    await advised_cell.until_state(path, "completed")
    assert advised_cell.agents[0].worker.started.by_task.keys().isdisjoint({f"{STEP}.0"})
    assert len(advised_cell.agents[0].worker.runs) == 1
    await advised_cell.call("DELETE", bulk)


async def test_new_leader_requests_advice_again(advised_cell: Cell):
    advised_cell.advice.approved = {"i-0"}
    path = await advised_cell.submit(1, {**WHOLE, "count": 2}, work_ms=700)
    await advised_cell.until(lambda: advised_cell.running() == 1)
    leader = advised_cell.leader()
    assert leader is not None
    advised_cell.entries.remove(leader)
    await leader.kill()
    await advised_cell.until_state(path, "completed")
    assert advised_cell.starts() == {f"{STEP}.0": [1], f"{STEP}.1": [1]}
    await asyncio.sleep(0)
    await leader.store.close()
