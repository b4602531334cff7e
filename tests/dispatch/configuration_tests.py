"""Tests of the configuration at entries: keys, queues and versions, and store outages."""

import asyncio

from tests.harness.broken_store import BrokenStore, Failure
from tests.harness.platform_cell import TIMES, Cell

ONE = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1}
BODY = {"spec": "10", "steps": [ONE]}
PATH = f"/normal/{1:016x}"
DEADLINE_S = 3.0  # of calls without a deadline of their own


async def test_unknown_keys_and_queues_are_refused(cell: Cell):
    assert (await cell.call("POST", PATH, BODY, key="key-b"))[0] == 401
    assert (await cell.call("GET", PATH, key=""))[0] == 401
    assert (await cell.call("GET", f"/other/{1:016x}"))[0] == 404
    assert (await cell.call("GET", PATH))[0] == 410
    assert (await cell.call("POST", PATH, {"spec": "10", "steps": []}))[0] == 400
    too_long = {"spec": "x" * 300_000, "steps": [ONE]}
    assert (await cell.call("POST", PATH, too_long))[0] == 413


async def test_new_key_takes_effect_at_every_entry(cell: Cell):
    cell.keys = ["key-b"]
    version = cell.configure()
    await cell.until(lambda: all(e.board.config.version == version for e in cell.entries))
    for entry in (0, 1):
        assert (await cell.call("GET", PATH, entry=entry, key="key-a"))[0] == 401
        assert (await cell.call("GET", PATH, entry=entry, key="key-b"))[0] == 410


async def test_submission_under_a_revoked_key_is_refused_before_the_watch_reports_it(cell: Cell):
    """Guards the condition on the configuration's revision in the accepting transaction."""
    board = cell.entries[0].board
    known = board.config
    cell.keys = ["key-b"]
    cell.configure()
    await cell.until(lambda: board.config.version == cell.version)
    board.config = known._replace(version=known.version)
    assert (await cell.call("POST", PATH, BODY, key="key-a"))[0] == 401


async def test_entry_without_the_store_refuses_calls_once_its_configuration_is_unconfirmed(
    cell: Cell,
):
    assert (await cell.call("GET", PATH))[0] == 410
    cell.store.faults.status = 503
    await asyncio.sleep((TIMES.config_watch_ms + TIMES.config_valid_ms) / 1_000 + 0.2)
    status, document = await cell.call("GET", PATH)
    assert (status, document["reason"]) == (503, "configuration_unconfirmed")
    cell.store.faults.status = 0
    await cell.until(lambda: cell.entries[0].board.config_age_ms < TIMES.config_valid_ms)
    assert (await cell.call("GET", PATH))[0] == 410


async def test_submission_is_not_refused_shortly_before_the_store_is_back(cell: Cell):
    cell.store.faults.status = 503
    await cell.until(
        lambda: all(e.board.config_age_ms > TIMES.config_valid_ms for e in cell.entries)
    )
    submission = asyncio.create_task(cell.call("POST", PATH, BODY))
    await asyncio.sleep(0.4)
    cell.store.faults.status = 0
    assert (await submission)[0] == 200


async def test_submission_is_refused_well_before_its_deadline_if_the_store_stays_away(cell: Cell):
    cell.store.faults.status = 503
    await cell.until(
        lambda: all(e.board.config_age_ms > TIMES.config_valid_ms for e in cell.entries)
    )
    async with asyncio.timeout(DEADLINE_S / 2):
        status, document = await cell.call("POST", PATH, BODY)
    assert (status, document["reason"]) == (503, "configuration_unconfirmed")


async def test_answer_that_may_have_run_says_when_to_come_back(cell: Cell):
    assert (await cell.call("GET", PATH))[0] == 410
    cell.store.faults.is_silent = True
    assert (await cell.call("POST", PATH, BODY))[0] == 504
    assert int(cell.last_headers["Retry-After"]) >= 1


async def test_older_configuration_version_is_ignored(cell: Cell):
    await cell.until(lambda: all(entry.board.config is not None for entry in cell.entries))
    cell.version = -5
    cell.configure()
    await asyncio.sleep(0.3)
    assert [entry.board.config.version for entry in cell.entries] == [1, 1]


async def test_unreadable_configuration_leaves_the_last_one_in_effect(cell: Cell):
    cell.store.put("op/config", b"\xff not JSON")
    await asyncio.sleep(0.3)
    assert (await cell.call("GET", PATH))[0] == 410


async def test_entry_without_a_configuration_is_not_ready(free_port):
    async with Cell(free_port) as cell:
        cell.store.items.pop("op/config")
        await cell.add_entry(2)
        status, document = await cell.call("GET", PATH, entry=2)
        assert (status, document["reason"]) == (503, "no_configuration")


async def test_an_entry_that_the_store_turns_away_serves_by_the_leaders_confirmation(cell: Cell):
    follower = next(entry for entry in cell.entries if entry is not cell.leader())
    number = cell.entries.index(follower)
    path = await cell.submit(1, ONE)
    await cell.until_state(path, "completed")
    follower.store.client.base_url = "http://127.0.0.1:9"
    await cell.until(lambda: not follower.board.is_ready)
    assert await cell.state(path, entry=number) == "completed"
    cell.keys = ["key-b"]
    version = cell.configure()
    await cell.until(lambda: follower.board.config.version == version)
    assert (await cell.call("GET", path, entry=number, key="key-a"))[0] == 401
    assert (await cell.call("GET", path, entry=number, key="key-b"))[0] == 200


async def test_call_with_little_time_left_is_not_refused_untried(cell: Cell):
    await cell.until(lambda: cell.entries[0].board.config is not None)
    status, _ = await cell.call("POST", PATH, BODY, time_ms=200)
    assert status == 200


async def test_return_of_a_silent_store_is_noticed_before_the_call_in_progress_times_out(
    cell: Cell,
):
    entry = cell.entries[0]
    started = asyncio.Event()
    for name in ("changes", "read"):
        call = getattr(entry.store, name)

        async def note_start(key, *arguments, call=call):
            if key.startswith("op/"):
                started.set()
            return await call(key, *arguments)

        setattr(entry.store, name, note_start)
    async with BrokenStore(Failure.SILENT) as broken:
        broken.cut_off(entry.store)
        await cell.until(lambda: entry.board.is_store_lost)
        started.clear()
        await started.wait()
        broken.restore()
        async with asyncio.timeout(0.6):
            await cell.until(lambda: not entry.board.is_store_lost)


async def test_job_with_an_unreadable_record_is_not_called_unknown(cell: Cell):
    cell.store.put(f"lycheeslip/jobs/spec/{1:016x}", b"odd")
    assert (await cell.call("GET", PATH))[0] == 503
    assert (await cell.call("DELETE", PATH))[0] == 503
