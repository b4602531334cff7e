"""Scenarios that test that each caller gets one complete answer to its own request."""

from lycheeslip_standins.checker import Finding, Violation

from tests.harness.callers import Callers
from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "whole answer, right caller"
ONE_VERDICT = "exactly one true answer"
URGENT_WAIT_MS = 3_000  # covers an urgent start within 1.6 s, the run and several planning rounds
STORE_READS_PER_S = 2_000
STORE_WRITES_PER_S = 300


@scenario(PROMISE, "large answers on connections that break")
async def connections_reset(trial: Trial) -> None:
    """Reset the connections of callers while answers are being sent."""
    trial.start_load(30, over_s=3.0, answer_bytes=1_500_000)
    for _ in range(8):
        limit = trial.rng.randrange(50_000, 3_000_000)
        await trial.fleet.set_routes("entry", ".http", reset_after_bytes=limit)
        await trial.pause(0.5)
    await trial.fleet.set_routes("entry", ".http")


@scenario(PROMISE, "answers lost and late")
async def responses_lost_and_delayed(trial: Trial) -> None:
    """Drop and delay responses to callers."""
    trial.start_load(60, over_s=3.0, answer_bytes=3_000)
    for _ in range(8):
        await trial.fleet.set_routes(
            "entry",
            ".http",
            lose_answers=trial.rng.randrange(0, 5),
            delay_ms=trial.rng.randrange(0, 900),
        )
        await trial.pause(0.5)


@scenario(PROMISE, "sessions broken while answers travel")
async def sessions_reset(trial: Trial) -> None:
    """Reset sessions between agents and entries while large answers are being sent."""
    trial.start_load(24, over_s=3.0, answer_bytes=1_000_000)
    for _ in range(8):
        limit = trial.rng.randrange(20_000, 2_000_000)
        await trial.fleet.set_routes("worker", reset_after_bytes=limit)
        await trial.pause(0.5)


@scenario(ONE_VERDICT, "entries killed in turn")
async def entries_killed(trial: Trial) -> None:
    """Kill and restart each entry while callers wait."""
    trial.start_load(80, over_s=5.0)
    for entry in trial.fleet.entries_by_id.values():
        await trial.pause(0.3, 1.2)
        entry.kill()
        await trial.pause(0.5, 1.5)
        entry.start()


@scenario(ONE_VERDICT, "a store outage")
async def store_outage(trial: Trial) -> None:
    """Take the store down while jobs are accepted, run and end."""
    trial.start_load(60, over_s=3.0, run_ms=800)
    await trial.pause(0.5, 1.5)
    trial.isolated_entries |= trial.fleet.entries_by_id.keys()
    await trial.fleet.set_store(down=True)
    await trial.pause(4.0, 12.0)
    await trial.fleet.set_store()


@scenario(ONE_VERDICT, "all entries killed at once")
async def all_entries_killed(trial: Trial) -> None:
    """Kill every entry while tasks run and agents hold answers that are not yet recorded."""
    trial.start_load(40, over_s=1.0, run_ms=1500)
    await trial.pause(1.2, 2.0)
    for entry in trial.fleet.entries_by_id.values():
        entry.kill()
    await trial.pause(1.0, 4.0)
    for entry in trial.fleet.entries_by_id.values():
        entry.start()


@scenario(ONE_VERDICT, "a store outage under urgent work, then its return")
async def store_outage_under_urgent_load(trial: Trial) -> None:
    """Check that urgent repeatable jobs still run, and the load on the store when it returns."""
    trial.start_load(60, over_s=4.0, run_ms=800)
    await trial.pause(2.0)
    trial.isolated_entries |= trial.fleet.entries_by_id.keys()
    await trial.fleet.set_store(down=True)
    await trial.pause(2.0)
    urgent = Callers(trial.callers.addresses, trial.rng.getrandbits(32))
    urgent_options = {
        "kind": "urgent",
        "repeatable": True,
        "run_ms": 100,
        "wait_ms": URGENT_WAIT_MS,
    }
    requests = [trial.make_request(**urgent_options) for _ in range(20)]
    await urgent.run_all(requests, 20)
    served = [record for record in urgent.records() if record.answers]
    await trial.pause(4.0)
    await trial.fleet.reset_store_counters()
    await trial.fleet.set_store()
    await trial.pause(4.0)
    peaks = (await trial.fleet.store_counters())["peak_per_s"]
    reads, writes = peaks.get("range", 0), peaks.get("txn", 0)
    trial.extra_findings += [
        _check_limit("urgent work served in an outage", len(requests) - len(served), 0, "unserved"),
        _check_limit("store reads after an outage", reads, STORE_READS_PER_S, "reads/s"),
        _check_limit("store writes after an outage", writes, STORE_WRITES_PER_S, "writes/s"),
    ]


def _check_limit(name: str, measured: int, limit: int, unit: str) -> Finding:
    violations = (Violation(name, f"{measured} {unit}"),) if measured > limit else ()
    return Finding(name, 1, violations, measured, limit, unit)
