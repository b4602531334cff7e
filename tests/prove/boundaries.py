"""Proofs that a process may die at each step of an attempt that the store shows.

The steps are those that the store shows: its writes are delayed, so that a step lasts long
enough to be seen and the kill falls between it and the next.
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
POLL_S = 0.005
STEP_LIMIT_S = 8.0
DOWN_S = 1.5
FOLLOW_LIMIT_S = 60.0


class Seen(NamedTuple):
    """What the store shows of one job."""

    record: dict[str, Any]
    has_answer: bool


class Step(NamedTuple):
    """A step of an attempt, and how to tell that it has been reached."""

    name: str
    reached: Callable[[Seen], bool]


STEPS = (
    Step("accepted", lambda seen: True),
    Step("start intent recorded", lambda seen: seen.record["state"] == "started"),
    Step("start recorded", lambda seen: bool(seen.record["started_at_ms"])),
    Step("answer stored", lambda seen: seen.has_answer),
    Step("verdict recorded", lambda seen: seen.record["state"] == "done"),
)
KINDS = (
    {"members": 1, "repeatable": False},
    {"members": 2, "repeatable": False},
    {"members": 2, "repeatable": True},
)


async def _look(trial: Trial, job_id: str) -> Seen | None:
    try:
        record = json.loads(await trial.fleet.read_key(STATE_PREFIX + job_id))
    except (IndexError, TypeError):
        return None
    path = f"/admin/keys?prefix={ANSWER_PREFIX}{job_id}/"
    answers = await trial.fleet.get(trial.fleet.store_address, path)
    return Seen(record, bool(answers and answers["items"]))


async def _reach(trial: Trial, job_id: str, step: Step) -> Seen | None:
    """Return what the store shows once `step` is reached, None if it isn't in time."""
    for _ in range(int(STEP_LIMIT_S / POLL_S)):
        seen = await _look(trial, job_id)
        if seen is not None and step.reached(seen):
            return seen
        await asyncio.sleep(POLL_S)
    return None


def _owner(trial: Trial, seen: Seen) -> ManagedProcess:
    return trial.fleet.entries_by_id[seen.record["owner"]]


def _anchor(trial: Trial, seen: Seen) -> ManagedProcess | None:
    placement = seen.record["placement"]
    return trial.fleet.agents_by_id[placement[0][0]] if placement else None


VICTIMS = {"its owner": _owner, "its anchor's agent": _anchor}


async def _kill_at(step: Step, victim: str, trial: Trial) -> None:
    await trial.fleet.set_store(delay_ms=WRITE_DELAY_MS, delay_writes_of_prefix="lycheeslip/")
    for kind in KINDS:
        request: JobRequest = trial.request(run_ms=400, answer_bytes=1_000, **kind)
        trial.background(trial.callers.run(request, FOLLOW_LIMIT_S))
        job_id = derive_job_id(request.account, request.key)
        seen = await _reach(trial, job_id, step)
        process = VICTIMS[victim](trial, seen) if seen is not None else None
        if process is None:
            continue
        process.kill()
        await asyncio.sleep(DOWN_S)
        process.start()
        await trial.fleet.wait_until(trial.fleet.entries_are_ready, "the entries are ready")


def _register() -> None:
    for victim in VICTIMS:
        for step in STEPS:
            if victim == "its anchor's agent" and step.name == "accepted":
                continue
            fault = f"{victim} killed at: {step.name}"
            SCENARIOS.append(Scenario(PROMISE, fault, partial(_kill_at, step, victim)))


_register()
