"""Scenarios that test that an accepted configuration takes effect in time and never reverts."""

import asyncio

from lycheeslip_standins.checker import Finding, Violation

from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "configuration in force, never reverts"
CONFIG_KEY = "lycheeslip/state/config"


async def _apply_changes(trial: Trial, count: int) -> None:
    for number in range(count):
        trial.operator.document["limits"] = {"max_waiting_jobs": 1000 + number}
        await trial.operator.apply(trial.rng.choice(trial.operator.addresses))
        await trial.pause(0.1, 0.6)


@scenario(PROMISE, "answers of writes lost")
async def responses_lost(trial: Trial) -> None:
    """Drop responses of the store while configurations are applied."""
    for _ in range(5):
        await trial.fleet.set_store(lose_next_answers=1, lose_answers_of_prefix=CONFIG_KEY)
        await _apply_changes(trial, 2)


@scenario(PROMISE, "watches cut and half-open")
async def watches_cut(trial: Trial) -> None:
    """Reset the connections that carry watches, or leave them half-open."""
    changes = asyncio.create_task(_apply_changes(trial, 12))
    while not changes.done():
        route = f"{trial.random_entry()}.store"
        await trial.fleet.set_route(route, reset_after_bytes=trial.rng.randrange(500, 5000))
        await trial.pause(0.2, 0.6)
        await trial.fleet.set_route(route, half_open=True)
        await trial.pause(0.2, 0.6)
        await trial.fleet.set_route(route)
    await changes


@scenario(PROMISE, "entries restarted")
async def entries_restarted(trial: Trial) -> None:
    """Kill and restart entries while configurations are applied."""
    changes = asyncio.create_task(_apply_changes(trial, 10))
    while not changes.done():
        entry = trial.fleet.entries_by_id[trial.random_entry()]
        entry.kill()
        await trial.pause(0.2, 0.8)
        entry.start()
        await trial.pause(1.0, 1.5)
    await changes


@scenario(PROMISE, "the store compacted, leases lapsed")
async def store_compacted(trial: Trial) -> None:
    """Compact the store's history and expire leases while configurations change."""
    changes = asyncio.create_task(_apply_changes(trial, 10))
    while not changes.done():
        await trial.fleet.compact_store()
        await trial.fleet.lapse_leases()
        await trial.pause(0.3, 0.9)
    await changes


@scenario(PROMISE, "two operators race")
async def operators_race(trial: Trial) -> None:
    """Apply configurations at every entry at once; only one may be accepted per revision."""
    operators = [trial.operator.fork(address) for address in trial.operator.addresses]
    for number, operator in enumerate(operators):
        operator.document["limits"] = {"max_waiting_jobs": 2000 + number}
    for _ in range(8):
        await asyncio.gather(*(operator.apply() for operator in operators))
    revisions = [r for operator in operators for r in operator.accepted_ms_by_revision]
    accepted_twice = {revision for revision in revisions if revisions.count(revision) > 1}
    violations = tuple(Violation(str(r), "accepted for two operators") for r in accepted_twice)
    for operator in operators:
        trial.operator.accepted_ms_by_revision |= operator.accepted_ms_by_revision
    trial.extra_findings.append(
        Finding(
            "one winner of a race", len(revisions), violations, len(accepted_twice), 0, "revisions"
        )
    )


@scenario(PROMISE, "a write that lands after it was refused")
async def late_write(trial: Trial) -> None:
    """Delay a write until the operator has received a definite refusal."""
    await trial.fleet.set_store(delay_ms=1500, delay_writes_of_prefix=CONFIG_KEY)
    marker = trial.rng.randrange(3000, 9000)
    trial.operator.document["limits"] = {"max_waiting_jobs": marker}
    await trial.operator.apply()
    reported_unchanged = trial.operator.last_refusal_is_definite
    await trial.fleet.set_store()
    await asyncio.sleep(2.5)
    text = await trial.fleet.read_key(CONFIG_KEY)
    violations = []
    if reported_unchanged and str(marker) in text:
        violations.append(
            Violation("operator", "refusal reported no change, but the change was applied later")
        )
    trial.extra_findings.append(
        Finding("a refused change stays out", 1, tuple(violations), len(violations), 0, "changes")
    )
