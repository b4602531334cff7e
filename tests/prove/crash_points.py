"""Scenarios that kill a process at each step of an attempt.

A step is reached when the store's records show it. Writes to the store are delayed, so that
a step lasts long enough to be observed and the process is killed before the next one.
"""

import asyncio
import json
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from lycheeslip_common.structure.jobs import derive_job_id

from tests.harness.callers import JobRequest
from tests.harness.processes import ManagedProcess
from tests.prove.trial import SCENARIOS, Scenario, Trial

__all__: list[str] = []

PROMISE = "exactly one true answer"
WRITE_DELAY_MS = 150
STATE_PREFIX = "lycheeslip/state/jobs/"
ANSWER_PREFIX = "lycheeslip/answers/"
POLL_INTERVAL_S = 0.005
STEP_TIMEOUT_S = 8.0
RESTART_DELAY_S = 1.5
CALLER_TIMEOUT_S = 60.0


class StoredJob(NamedTuple):
    """The record of one job in the store, and whether its answer is stored."""

    record: dict[str, Any]
    has_answer: bool


class Step(NamedTuple):
    """A step of an attempt and the test that it has been reached."""

    name: str
    is_reached: Callable[[StoredJob], bool]


STEPS = (
    Step("accepted", lambda job: True),
    Step("start intent recorded", lambda job: job.record["state"] == "started"),
    Step("start recorded", lambda job: bool(job.record["started_at_ms"])),
    Step("answer stored", lambda job: job.has_answer),
    Step("verdict recorded", lambda job: job.record["state"] == "done"),
)
JOB_OPTIONS = (
    {"members": 1, "repeatable": False},
    {"members": 2, "repeatable": False},
    {"members": 2, "repeatable": True},
)


async def _read_job(trial: Trial, job_id: str) -> StoredJob | None:
    try:
        record = json.loads(await trial.fleet.read_key(STATE_PREFIX + job_id))
    except (IndexError, TypeError):
        return None
    path = f"/admin/keys?prefix={ANSWER_PREFIX}{job_id}/"
    answers = await trial.fleet.get(trial.fleet.store_address, path)
    return StoredJob(record, bool(answers and answers["items"]))


async def _wait_for_step(trial: Trial, job_id: str, step: Step) -> StoredJob | None:
    """Return the stored job once it has reached `step`, or None after `STEP_TIMEOUT_S`."""
    for _ in range(int(STEP_TIMEOUT_S / POLL_INTERVAL_S)):
        job = await _read_job(trial, job_id)
        if job is not None and step.is_reached(job):
            return job
        await asyncio.sleep(POLL_INTERVAL_S)
    return None


def _owning_entry(trial: Trial, job: StoredJob) -> ManagedProcess:
    return trial.fleet.entries_by_id[job.record["owner"]]


def _anchor_agent(trial: Trial, job: StoredJob) -> ManagedProcess | None:
    """Return the agent of member 0, which coordinates the gang, or None if nothing is placed."""
    placement = job.record["placement"]
    return trial.fleet.agents_by_id[placement[0][0]] if placement else None


TARGETS = {"its owner": _owning_entry, "its anchor's agent": _anchor_agent}


async def _kill_at(step: Step, target: str, trial: Trial) -> None:
    await trial.fleet.set_store(delay_ms=WRITE_DELAY_MS, delay_writes_of_prefix="lycheeslip/")
    for options in JOB_OPTIONS:
        request: JobRequest = trial.make_request(run_ms=400, answer_bytes=1_000, **options)
        trial.run_in_background(trial.callers.run(request, CALLER_TIMEOUT_S))
        job_id = derive_job_id(request.account, request.key)
        job = await _wait_for_step(trial, job_id, step)
        process = TARGETS[target](trial, job) if job is not None else None
        if process is None:
            continue
        process.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        process.start()
        await trial.fleet.wait_until(trial.fleet.entries_are_ready, "the entries are ready")


def _register() -> None:
    for target in TARGETS:
        for step in STEPS:
            if target == "its anchor's agent" and step.name == "accepted":
                continue
            fault = f"{target} killed at: {step.name}"
            SCENARIOS.append(Scenario(PROMISE, fault, partial(_kill_at, step, target)))


_register()
