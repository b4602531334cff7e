"""Proofs that a gang never runs with part of its members."""

from tests.harness.fleet import Fleet
from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "no partial gang"
GANGS = 8
ACCELERATORS = 5  # of the 8 of a worker, so that each member has a worker of its own


def _load(trial: Trial) -> None:
    trial.load(GANGS, over_s=2.0, members=3, run_ms=3000, accelerators=ACCELERATORS)


async def _running_workers(fleet: Fleet) -> list[str]:
    """Return the workers that run a member of a gang."""
    running = {}
    for event in await fleet.events():
        if event.members > 1:
            running[event.task_id] = event
    return sorted({e.backend for e in running.values() if e.event in ("prepared", "started")})


async def _victims(trial: Trial, count: int) -> list[str]:
    workers = await _running_workers(trial.fleet) or sorted(trial.fleet.zone_by_worker)
    return trial.rng.sample(workers, min(count, len(workers)))


@scenario(PROMISE, "agents of members and anchors killed")
async def agents_killed(trial: Trial) -> None:
    """Kill agents at moments drawn from a gang's whole life, for good."""
    _load(trial)
    for _ in range(3):
        await trial.pause(0.05, 0.8)
        for worker in await _victims(trial, 1):
            trial.fleet.agents_by_id[worker].kill()
    await trial.pause(3.0)


@scenario(PROMISE, "agents killed and restarted at once")
async def agents_restarted(trial: Trial) -> None:
    """Kill agents and let new ones adopt what runs."""
    _load(trial)
    for _ in range(5):
        await trial.pause(0.05, 0.7)
        for worker in await _victims(trial, 1):
            trial.fleet.agents_by_id[worker].kill()
            trial.fleet.agents_by_id[worker].start()


@scenario(PROMISE, "agents frozen past their leases")
async def agents_frozen(trial: Trial) -> None:
    """Freeze members and anchors for longer than a lease and thaw them."""
    _load(trial)
    await trial.pause(0.1, 1.5)
    workers = await _victims(trial, 2)
    for worker in workers:
        trial.fleet.agents_by_id[worker].freeze()
    await trial.pause(1.6, 5.0)
    for worker in workers:
        trial.fleet.agents_by_id[worker].thaw()


@scenario(PROMISE, "backend servers killed")
async def backends_killed(trial: Trial) -> None:
    """Kill the backend servers of members."""
    _load(trial)
    for _ in range(2):
        await trial.pause(0.2, 1.5)
        for worker in await _victims(trial, 1):
            await trial.fleet.kill_backend(worker)


@scenario(PROMISE, "whole instances killed")
async def instances_killed(trial: Trial) -> None:
    """Kill the agent and the backend server of a member, so that nobody says that it is gone."""
    _load(trial)
    for _ in range(2):
        await trial.pause(0.5, 1.5)
        for worker in await _victims(trial, 1):
            await trial.fleet.kill_instance(worker)
    await trial.pause(5.0)


@scenario(PROMISE, "instances cut off from all others")
async def instances_isolated(trial: Trial) -> None:
    """Cut the agents of members off from entries and from all other agents."""
    _load(trial)
    await trial.pause(0.5, 1.5)
    for worker in await _victims(trial, 2):
        cut = {"cut_to_client": True, "cut_to_target": True}
        await trial.fleet.set_routes(f"{worker}.", **cut)
        await trial.fleet.set_routes("worker", f".{worker}", **cut)
    await trial.pause(4.0, 6.0)


@scenario(PROMISE, "members cut off from their anchors")
async def members_cut(trial: Trial) -> None:
    """Hold or drop bytes between agents, one way or both."""
    _load(trial)
    for _ in range(4):
        await trial.pause(0.1, 0.8)
        faults = trial.rng.choice(
            [
                {"cut_to_client": True},
                {"cut_to_target": True},
                {"drop_to_client": True},
                {"drop_to_target": True},
                {"cut_to_client": True, "cut_to_target": True},
            ]
        )
        await trial.fleet.set_routes(f"{trial.worker()}.worker", **faults)
    await trial.pause(2.0, 4.0)


@scenario(PROMISE, "messages of gangs delayed and cut")
async def members_delayed(trial: Trial) -> None:
    """Delay the messages between agents up to a lease, and reset their connections."""
    _load(trial)
    for _ in range(5):
        await trial.fleet.set_routes(
            "worker",
            delay_ms=trial.rng.randrange(100, 1600),
            reset_after_bytes=trial.rng.choice([0, 2000, 8000]),
        )
        await trial.pause(0.4, 1.0)


@scenario(PROMISE, "the planner killed during starts")
async def planner_killed(trial: Trial) -> None:
    """Kill every entry in turn while gangs are being started."""
    _load(trial)
    for entry in trial.fleet.entries_by_id.values():
        await trial.pause(0.05, 0.5)
        entry.kill()
        await trial.pause(0.3, 1.0)
        entry.start()


@scenario(PROMISE, "store down, then a member lost")
async def store_down(trial: Trial) -> None:
    """Lose a member while no decision could be recorded."""
    _load(trial)
    await trial.pause(0.5, 1.5)
    trial.cut_entries |= trial.fleet.entries_by_id.keys()
    await trial.fleet.set_store(down=True)
    for worker in await _victims(trial, 1):
        trial.fleet.agents_by_id[worker].kill()
    await trial.pause(3.0, 5.0)
