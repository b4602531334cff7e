"""Proofs that an accepted configuration is in force within seconds and never reverts."""

import asyncio

from lycheeslip_standins.checker import Finding, Violation

from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "configuration in force, never reverts"
CONFIG_KEY = "lycheeslip/state/config"


async def _changes(trial: Trial, count: int) -> None:
    for number in range(count):
        trial.operator.document["limits"] = {"max_waiting_jobs": 1000 + number}
        await trial.operator.apply(trial.rng.choice(trial.operator.addresses))
        await trial.pause(0.1, 0.6)


@scenario(PROMISE, "answers of writes lost")
async def answers_lost(trial: Trial) -> None:
    """Lose answers of the store while configurations are applied."""
    for _ in range(5):
        await trial.fleet.set_store(lose_next_answers=1, lose_answers_of_prefix=CONFIG_KEY)
        await _changes(trial, 2)


@scenario(PROMISE, "watches cut and half-open")
async def watches_cut(trial: Trial) -> None:
    """Break the connections that carry watches, silently or not."""
    changes = asyncio.create_task(_changes(trial, 12))
    while not changes.done():
        route = f"{trial.entry()}.store"
        await trial.fleet.set_route(route, reset_after_bytes=trial.rng.randrange(500, 5000))
        await trial.pause(0.2, 0.6)
        await trial.fleet.set_route(route, half_open=True)
        await trial.pause(0.2, 0.6)
        await trial.fleet.set_route(route)
    await changes


@scenario(PROMISE, "entries restarted")
async def entries_restarted(trial: Trial) -> None:
    """Kill and restart entries while configurations are applied."""
    changes = asyncio.create_task(_changes(trial, 10))
    while not changes.done():
        entry = trial.fleet.entries_by_id[trial.entry()]
        entry.kill()
        await trial.pause(0.2, 0.8)
        entry.start()
        await trial.pause(1.0, 1.5)
    await changes


@scenario(PROMISE, "the store compacted, leases lapsed")
async def compacted(trial: Trial) -> None:
    """Compact the store's history and let leases lapse under changes."""
    changes = asyncio.create_task(_changes(trial, 10))
    while not changes.done():
        await trial.fleet.compact_store()
        await trial.fleet.lapse_leases()
        await trial.pause(0.3, 0.9)
    await changes


@scenario(PROMISE, "two operators race")
async def race(trial: Trial) -> None:
    """Let three operators apply at three entries; each revision has one winner."""
    others = [trial.operator.fork(address) for address in trial.operator.addresses]
    for number, other in enumerate(others):
        other.document["limits"] = {"max_waiting_jobs": 2000 + number}
    for _ in range(8):
        await asyncio.gather(*(other.apply() for other in others))
    revisions = [r for other in others for r in other.accepted_ms_by_revision]
    twice = {revision for revision in revisions if revisions.count(revision) > 1}
    violations = tuple(Violation(str(r), "accepted for two operators") for r in twice)
    for other in others:
        trial.operator.accepted_ms_by_revision |= other.accepted_ms_by_revision
    trial.extra.append(
        Finding("one winner of a race", len(revisions), violations, len(twice), 0, "revisions")
    )


@scenario(PROMISE, "a write that lands after it was refused")
async def late_write(trial: Trial) -> None:
    """Delay a write until the operator has been told that nothing changed."""
    await trial.fleet.set_store(delay_ms=1500, delay_writes_of_prefix=CONFIG_KEY)
    marker = trial.rng.randrange(3000, 9000)
    trial.operator.document["limits"] = {"max_waiting_jobs": marker}
    await trial.operator.apply()
    told_unchanged = trial.operator.last_refusal_is_sure
    await trial.fleet.set_store()
    await asyncio.sleep(2.5)
    text = await trial.fleet.read_key(CONFIG_KEY)
    violations = []
    if told_unchanged and str(marker) in text:
        violations.append(Violation("operator", "told that nothing changed, then it changed"))
    trial.extra.append(
        Finding("a refused change stays out", 1, tuple(violations), len(violations), 0, "changes")
    )
