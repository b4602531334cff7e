import asyncio
import json
from hashlib import sha256

import pytest_asyncio
from aiohttp.test_utils import TestClient, TestServer
from lycheeslip.app import EntryApp
from lycheeslip.entry import lifecycle
from lycheeslip_common.config.settings import EntrySettings
from lycheeslip_common.structure.jobs import JobState, derive_job_id
from lycheeslip_common.structure.verdicts import Answered

UNUSED_ADDRESS = "127.0.0.1:1"
JOB_ID = derive_job_id("a", "k")
BODY = {"account": "a", "shape": {"accelerators": 0}}


@pytest_asyncio.fixture
async def entry():
    app = EntryApp(
        EntrySettings(
            "e1", "r", "z", UNUSED_ADDRESS, UNUSED_ADDRESS, (UNUSED_ADDRESS,), "0123456789abcdef"
        )
    )
    app.board.synced = True
    app.board.store_reachable = False
    client = TestClient(TestServer(app._web))
    await client.start_server()
    yield app.board, client
    await client.close()


async def submit(client, wait_ms=300):
    headers = {"Idempotency-Key": "k"}
    async with client.post(f"/v1/jobs?wait_ms={wait_ms}", json=BODY, headers=headers) as response:
        return response.status, json.loads(await response.text())


def answered_record(record):
    done = lifecycle.finish(record, Answered(), 5)
    return {**done, "answer_digest": sha256(b"x").hexdigest(), "answer_length": 1}


async def wait_for_job(board):
    for _ in range(100):
        if JOB_ID in board.jobs.by_id:
            break
        await asyncio.sleep(0.01)
    return board.jobs.by_id[JOB_ID].record


async def test_a_job_found_in_the_store_answers_the_waiting_caller(entry):
    board, client = entry
    submitting = asyncio.create_task(submit(client))
    record = await wait_for_job(board)
    board.jobs.put(answered_record(record), 7)
    status, document = await submitting
    assert status == 200
    assert "base64" not in document["answer"]
    assert board.jobs.by_id[JOB_ID].is_recorded


async def test_a_recorded_job_continues_after_its_caller_times_out(entry):
    board, client = entry
    submitting = asyncio.create_task(submit(client, wait_ms=100))
    record = await wait_for_job(board)
    board.jobs.put(record, 7)
    status, document = await submitting
    assert (status, document["state"]) == (202, JobState.PENDING)
    assert board.jobs.by_id[JOB_ID].record["state"] is JobState.PENDING


async def test_a_repeated_submission_of_an_unrecorded_job_is_refused(entry):
    board, client = entry
    first = asyncio.create_task(submit(client, wait_ms=400))
    await wait_for_job(board)
    status, document = await submit(client, wait_ms=10)
    assert status == 503
    assert document["may_have_run"]
    await first


async def test_an_entry_that_has_not_read_the_store_refuses_submissions(entry):
    board, client = entry
    board.synced = False
    status, document = await submit(client, wait_ms=100)
    assert (status, document["reason"]) == (503, "not_synced")
    assert JOB_ID not in board.jobs.by_id
    async with client.get("/v1/config") as response:
        assert response.status == 503
