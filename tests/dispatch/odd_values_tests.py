"""Values of other writers in the store, among heartbeats and in calls, with everything running."""

import aiohttp
import cbor2
import msgspec
import pytest
from lycheeslip.dispatch.keys import LEADER_KEY, RUNS_PREFIX, SPEC_PREFIX
from lycheeslip.dispatch.leadership import decode_leader

from tests.harness.platform_cell import HOST, Cell

STEP = {"count": 2, "cpu": 1_000, "mem_mb": 256}
DEEP_JSON = b'{"version":2,"another":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
DEEP_CBOR = b"\x81" * 100_000 + b"\x01"
LARGE_STEP = [50_000]
HEARTBEAT = {
    "service": "service",
    "address": "127.0.0.1:8080",
    "zone": "zone-0",
    "state": "ready",
    "sequence": 1,
    "capacity": {"cpu": 1_000, "mem_mb": 1_000, "gpu": 1},
    "born": 1,
}
BORN_LATER = {**HEARTBEAT, "born": 2**53 + 1}  # would make all later heartbeats outdated


def stored_spec(job_id: str, step: object) -> bytes:
    return cbor2.dumps([job_id, "q-1", "t-a", "service", 1, 1, "50", [step], 1])


def counters(cell: Cell) -> bytes:
    boards = [entry.board for entry in cell.entries] + [agent.agent.board for agent in cell.agents]
    return b"".join(board.counters.text() for board in boards)


async def assert_still_works(cell: Cell, number: int) -> None:
    """Assert that a new job completes and that no controller has failed."""
    path = await cell.submit(number, STEP)
    await cell.until_state(path, "completed")
    assert b"controller_faults" not in counters(cell)


@pytest.mark.parametrize(
    "record",
    [
        cbor2.dumps(["entry-9", "127.0.0.1:700000"]),
        cbor2.dumps("not a pair"),
        DEEP_CBOR,
        b"",
    ],
    ids=["port", "no pair", "nested", "empty"],
)
async def test_odd_record_of_the_leader_is_replaced(cell: Cell, record: bytes):
    cell.store.put(LEADER_KEY, record)
    await cell.until(lambda: decode_leader(cell.store.value(LEADER_KEY) or b"") is not None)
    await cell.until(cell.known_workers)
    await assert_still_works(cell, 1)


async def test_odd_job_records_do_not_keep_a_new_leader_from_the_others(cell: Cell):
    path = await cell.submit(1, STEP, work_ms=1_500)
    odd = {
        "a" * 16: DEEP_CBOR,
        "b" * 16: stored_spec("b" * 16, LARGE_STEP),
        "c" * 16: stored_spec("d" * 16, [1]),
        "e" * 16: stored_spec("e" * 16, [1, 2**70]),
        "f" * 16: stored_spec("f" * 16, [1]),
    }
    for job_id, value in odd.items():
        cell.store.put(SPEC_PREFIX + job_id, value)
    cell.store.put(RUNS_PREFIX + "f" * 16, cbor2.dumps(["active", 1, 0, []]))
    former = cell.leader()
    assert former is not None
    await former.entry.release_leadership()
    await cell.until(lambda: cell.leader() not in (None, former))
    await cell.until_state(path, "completed")
    leader = cell.leader()
    assert leader is not None
    assert not odd.keys() & leader.board.jobs.keys()
    assert await cell.state("/normal/" + "f" * 16) == "503"
    cell.store.put(SPEC_PREFIX + "b" * 16, stored_spec("b" * 16, [1]))
    await cell.until(lambda: "b" * 16 in leader.board.jobs)
    await assert_still_works(cell, 2)


async def test_odd_heartbeat_among_those_of_the_workers_is_refused(cell: Cell):
    odd = [
        DEEP_JSON,
        msgspec.json.encode({**HEARTBEAT, "address": "127.0.0.1:700000"}),
        msgspec.json.encode({**HEARTBEAT, "slots": -1}),
        msgspec.json.encode(BORN_LATER),
        msgspec.json.encode({**HEARTBEAT, "cold_remaining_ms": 0}).replace(
            b'"cold_remaining_ms":0', b'"cold_remaining_ms":' + b"9" * 400
        ),
    ]
    agent = cell.agents[0]
    url = f"http://127.0.0.1:{agent._port}/instances/i-odd/heartbeat"
    async with aiohttp.ClientSession() as session:
        for content in odd:
            async with session.post(url, data=content) as response:
                assert response.status == 400
    status = agent.agent.board.worker_status
    assert status is not None
    assert status.lifetime.worker_id == agent.worker.worker_id
    assert b'unusable_values_total{reason="heartbeat"} 1.0' in agent.agent.board.counters.text()
    await assert_still_works(cell, 1)


async def test_odd_configuration_is_counted_once_and_the_next_one_applied(cell: Cell):
    await cell.until(lambda: all(entry.board.config is not None for entry in cell.entries))
    cell.version += 1
    cell.store.put("op/config", DEEP_JSON)
    await cell.until(
        lambda: all(
            b'unusable_values_total{reason="config"} 1.0' in entry.board.counters.text()
            for entry in cell.entries
        )
    )
    status, _ = await cell.call("GET", f"/normal/{1:016x}")
    assert status == 410
    version = cell.configure()
    await cell.until(lambda: all(entry.board.config.version == version for entry in cell.entries))
    assert counters(cell).count(b'unusable_values_total{reason="config"} 1.0') == 2
    await assert_still_works(cell, 1)


@pytest.mark.parametrize("digits", ["9" * 20, "9" * 5_000, "٣"])
async def test_deadline_that_is_no_usable_number_counts_as_absent(cell: Cell, digits: str):
    headers = {"Host": HOST, "Authorization": "Bearer key-a", "Deadline-Ms": digits}
    url = f"http://{cell.entries[0].address}/normal/{1:016x}"
    async with aiohttp.ClientSession() as session, session.get(url, headers=headers) as response:
        assert response.status == 410


async def test_deeply_nested_call_is_refused(cell: Cell):
    headers = {"Host": HOST, "Authorization": "Bearer key-a"}
    url = f"http://{cell.entries[0].address}/normal/{1:016x}"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=DEEP_JSON, headers=headers) as response,
    ):
        assert response.status == 400
