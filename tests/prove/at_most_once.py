"""Scenarios that test at-most-once starts of non-repeatable jobs and true `not run` verdicts."""

import asyncio

from tests.harness.callers import JobRequest
from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "not repeatable: at most once"
NOT_RUN = "not run is true"
JOB_COUNT = 60
LOAD_S = 4.0
ACCELERATORS_PER_WORKER = 8


def _start_load(trial: Trial) -> None:
    trial.start_load(JOB_COUNT, over_s=LOAD_S, repeatable=False)


@scenario(PROMISE, "entries killed and restarted")
async def entries_killed(trial: Trial) -> None:
    """Kill and restart entries at random moments."""
    _start_load(trial)
    for _ in range(3):
        await trial.pause(0.2, 1.0)
        entry = trial.fleet.entries_by_id[trial.random_entry()]
        entry.kill()
        await trial.pause(0.2, 1.5)
        entry.start()


@scenario(PROMISE, "an entry frozen past its lease")
async def entry_frozen(trial: Trial) -> None:
    """Suspend an entry past its lease, so that others adopt its jobs, then resume it."""
    _start_load(trial)
    await trial.pause(0.3, 1.5)
    entry = trial.random_entry()
    trial.isolated_entries.add(entry)
    trial.fleet.entries_by_id[entry].freeze()
    await trial.pause(6.0, 9.0)
    trial.fleet.entries_by_id[entry].thaw()
    await trial.pause(1.0)


@scenario(PROMISE, "agents killed and restarted")
async def agents_killed(trial: Trial) -> None:
    """Kill and restart agents while their backend servers keep running the tasks."""
    _start_load(trial)
    for _ in range(5):
        await trial.pause(0.1, 0.8)
        agent = trial.fleet.agents_by_id[trial.random_worker()]
        agent.kill()
        await trial.pause(0.0, 1.0)
        agent.start()


@scenario(PROMISE, "agents frozen and thawed")
async def agents_frozen(trial: Trial) -> None:
    """Suspend agents for longer than their leases and permits, then resume them."""
    _start_load(trial)
    await trial.pause(0.2, 1.0)
    frozen = [trial.fleet.agents_by_id[trial.random_worker()] for _ in range(4)]
    for agent in frozen:
        agent.freeze()
        await trial.pause(0.1, 0.4)
    await trial.pause(4.0, 12.0)
    for agent in frozen:
        agent.thaw()


@scenario(PROMISE, "backend servers killed")
async def backends_killed(trial: Trial) -> None:
    """Kill backend servers with running tasks."""
    _start_load(trial)
    for worker in trial.rng.sample(sorted(trial.fleet.zone_by_worker), 3):
        await trial.pause(0.2, 1.0)
        await trial.fleet.kill_backend(worker)


@scenario(PROMISE, "whole instances killed")
async def instances_killed(trial: Trial) -> None:
    """Kill agents together with their backend servers."""
    _start_load(trial)
    for worker in trial.rng.sample(sorted(trial.fleet.zone_by_worker), 3):
        await trial.pause(0.2, 1.0)
        await trial.fleet.kill_instance(worker)
    await trial.pause(2.0)


@scenario(PROMISE, "answers of the store lost")
async def store_responses_lost(trial: Trial) -> None:
    """Drop the responses to writes of job records that the store has applied."""
    _start_load(trial)
    for _ in range(10):
        await trial.fleet.set_store(
            lose_next_answers=trial.rng.randrange(1, 8), lose_answers_of_prefix="lycheeslip/state/"
        )
        await trial.pause(0.1, 0.6)


@scenario(PROMISE, "a store slower than its timeout")
async def store_slow(trial: Trial) -> None:
    """Delay the store's calls, so that writes take effect after their timeout."""
    _start_load(trial)
    for _ in range(4):
        await trial.fleet.set_store(delay_ms=trial.rng.randrange(300, 1800))
        await trial.pause(0.3, 1.0)
        await trial.fleet.set_store()
        await trial.pause(0.2, 0.8)


@scenario(PROMISE, "a store that goes up and down")
async def store_down_repeatedly(trial: Trial) -> None:
    """Take the store down and up repeatedly under load."""
    _start_load(trial)
    trial.isolated_entries |= trial.fleet.entries_by_id.keys()
    for _ in range(4):
        await trial.pause(0.2, 1.0)
        await trial.fleet.set_store(down=True)
        await trial.pause(0.5, 2.0)
        await trial.fleet.set_store()


@scenario(PROMISE, "leases lapse")
async def leases_expire(trial: Trial) -> None:
    """Expire the leases of all entries at once under load."""
    _start_load(trial)
    for _ in range(3):
        await trial.pause(0.3, 1.0)
        await trial.fleet.lapse_leases()


@scenario(PROMISE, "agents cut off one way")
async def agents_cut_one_way(trial: Trial) -> None:
    """Hold or drop bytes between agents and entries in one direction."""
    _start_load(trial)
    for _ in range(4):
        await trial.pause(0.1, 0.6)
        fault = trial.rng.choice(
            ["cut_to_client", "cut_to_target", "drop_to_client", "drop_to_target"]
        )
        await trial.fleet.set_routes(f"{trial.random_worker()}.entry", **{fault: True})
    await trial.pause(2.0, 7.0)


@scenario(PROMISE, "entries cut off from each other")
async def peers_isolated(trial: Trial) -> None:
    """Hold all bytes between entries, while store and agents stay reachable."""
    _start_load(trial)
    await trial.pause(0.2, 1.0)
    cut = {"cut_to_client": True, "cut_to_target": True}
    for entry in trial.fleet.entries_by_id:
        await trial.fleet.set_routes(entry, ".entry-1", **cut)
        await trial.fleet.set_routes(entry, ".entry-2", **cut)
        await trial.fleet.set_routes(entry, ".entry-3", **cut)
    await trial.pause(3.0, 6.0)


@scenario(PROMISE, "connections reset and delayed")
async def connections_reset(trial: Trial) -> None:
    """Delay the agents' connections and reset them after a random number of bytes."""
    _start_load(trial)
    for _ in range(6):
        await trial.fleet.set_routes(
            "worker",
            delay_ms=trial.rng.randrange(0, 120),
            reset_after_bytes=trial.rng.randrange(500, 20_000),
        )
        await trial.pause(0.3, 0.8)


@scenario(PROMISE, "an entry killed, another frozen, answers lost")
async def combined_faults(trial: Trial) -> None:
    """Drop store responses, kill one entry and suspend another."""
    _start_load(trial)
    await trial.pause(0.3, 1.0)
    first, second = trial.rng.sample(sorted(trial.fleet.entries_by_id), 2)
    trial.isolated_entries.add(second)
    await trial.fleet.set_store(lose_next_answers=5, lose_answers_of_prefix="lycheeslip/state/")
    trial.fleet.entries_by_id[first].kill()
    trial.fleet.entries_by_id[second].freeze()
    await trial.pause(5.5, 8.0)
    trial.fleet.entries_by_id[second].thaw()


@scenario(PROMISE, "one key at two entries at once")
async def same_key_at_several_entries(trial: Trial) -> None:
    """Submit each request to several entries at the same time."""
    for _ in range(20):
        request = trial.make_request(repeatable=False)
        for _ in range(3):
            trial.run_in_background(trial.callers.run(request, 30))
        await trial.pause(0.02, 0.1)


@scenario(NOT_RUN, "deadlines pass while agents and entries die")
async def deadlines_under_kills(trial: Trial) -> None:
    """Give every request a short deadline, and kill entries and agents meanwhile."""
    trial.start_load(120, over_s=LOAD_S, deadline_in_ms=1500, run_ms=400)
    for _ in range(3):
        await trial.pause(0.2, 1.0)
        entry = trial.fleet.entries_by_id[trial.random_entry()]
        agent = trial.fleet.agents_by_id[trial.random_worker()]
        entry.kill()
        agent.kill()
        await trial.pause(0.2, 0.8)
        entry.start()
        agent.start()


@scenario(NOT_RUN, "a wave of cancellations under lost answers")
async def cancellations(trial: Trial) -> None:
    """Cancel requests at random moments after submission.

    Each member takes a whole worker, so that some jobs are still waiting when cancelled.
    """
    await trial.fleet.set_store(lose_next_answers=20, lose_answers_of_prefix="lycheeslip/state/")
    for _ in range(60):
        request = trial.make_request(run_ms=300, accelerators=ACCELERATORS_PER_WORKER)
        trial.run_in_background(trial.callers.run(request, 40))
        trial.run_in_background(_cancel_later(trial, request))
        await trial.pause(0.0, 0.05)


@scenario(NOT_RUN, "a burst over the queue's limit")
async def queue_overflow(trial: Trial) -> None:
    """Submit far more jobs at once than the queue accepts."""
    trial.operator.document["limits"] = {"max_waiting_jobs": 20}
    await trial.operator.apply()
    trial.start_load(150, run_ms=100)
    await trial.pause(2.0)
    del trial.operator.document["limits"]
    await trial.operator.apply()


@scenario(NOT_RUN, "the store down")
async def store_down(trial: Trial) -> None:
    """Submit jobs while the store is down; each must be served without a record or refused."""
    await trial.fleet.set_store(down=True)
    trial.isolated_entries |= trial.fleet.entries_by_id.keys()
    await trial.pause(1.0)
    trial.start_load(60, over_s=4.0)
    await trial.pause(6.0)
    await trial.fleet.set_store()


async def _cancel_later(trial: Trial, request: JobRequest) -> None:
    await asyncio.sleep(trial.rng.uniform(0.0, 0.6))
    await trial.callers.cancel(request)
