"""Odd values among those of running platform processes: none ends, and jobs complete."""

import asyncio

import cbor2
import msgspec
import pytest
import pytest_asyncio
from lycheeslip.dispatch.keys import LEADER_KEY, SPEC_PREFIX

from tests.harness.platform_processes import CONFIG, Processes, call, submit, until_completed

pytestmark = pytest.mark.processes

OBSERVED_S = 2
DEEP_JSON = b'{"another":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
DEEP_CBOR = b"\x81" * 100_000 + b"\x01"
ODD_CLAIM = cbor2.dumps(["entry-9", "127.0.0.1:700000"])


@pytest_asyncio.fixture
async def processes(tmp_path):
    processes = Processes(tmp_path)
    try:
        await processes.start()
        yield processes
    finally:
        await processes.stop()


async def test_odd_values_end_no_process_and_jobs_complete(processes: Processes):
    await until_completed(await submit(processes, 1))
    processes.store.put(SPEC_PREFIX + "a" * 16, DEEP_CBOR)
    processes.store.put("op/config", DEEP_JSON)
    processes.store.put(LEADER_KEY, ODD_CLAIM)
    heartbeat = f"http://{processes.agent_addresses[0]}/instances/i-odd/heartbeat"
    assert (await call("POST", heartbeat, DEEP_JSON))[0] == 400
    await asyncio.sleep(OBSERVED_S)
    processes.store.put("op/config", msgspec.json.encode({**CONFIG, "version": 2}))
    await until_completed(await submit(processes, 2))
    assert processes.leader() is not None
    assert all(process.returncode is None for process in processes.running)
    assert processes.logged("controller_failed") == 0
    assert processes.logged("config_unreadable") == 2  # once in each entry
