"""Scenarios that test that a gang never runs with only some of its members.

The anchor runs in the agent of member 0 and coordinates the gang.
"""

from tests.harness.fleet import Fleet
from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "no partial gang"
GANG_COUNT = 8
ACCELERATORS_PER_MEMBER = (
    5  # more than half of a worker's 8, so that each member has its own worker
)


def _start_load(trial: Trial) -> None:
    trial.start_load(
        GANG_COUNT, over_s=2.0, members=3, run_ms=3000, accelerators=ACCELERATORS_PER_MEMBER
    )


async def _running_workers(fleet: Fleet) -> list[str]:
    """Return the workers whose latest event for a gang's task is a preparation or a start."""
    last_event_by_task = {}
    for event in await fleet.events():
        if event.members > 1:
            last_event_by_task[event.task_id] = event
    return sorted(
        {e.backend for e in last_event_by_task.values() if e.event in ("prepared", "started")}
    )


async def _pick_workers(trial: Trial, count: int) -> list[str]:
    workers = await _running_workers(trial.fleet) or sorted(trial.fleet.zone_by_worker)
    return trial.rng.sample(workers, min(count, len(workers)))


@scenario(PROMISE, "agents of members and anchors killed")
async def agents_killed(trial: Trial) -> None:
    """Kill agents at random moments of a gang's run without restarting them."""
    _start_load(trial)
    for _ in range(3):
        await trial.pause(0.05, 0.8)
        for worker in await _pick_workers(trial, 1):
            trial.fleet.agents_by_id[worker].kill()
    await trial.pause(3.0)


@scenario(PROMISE, "agents killed and restarted at once")
async def agents_restarted(trial: Trial) -> None:
    """Kill agents and restart them at once, so that they adopt the running tasks."""
    _start_load(trial)
    for _ in range(5):
        await trial.pause(0.05, 0.7)
        for worker in await _pick_workers(trial, 1):
            trial.fleet.agents_by_id[worker].kill()
            trial.fleet.agents_by_id[worker].start()


@scenario(PROMISE, "agents frozen past their leases")
async def agents_frozen(trial: Trial) -> None:
    """Suspend agents of members and anchors for longer than a lease, then resume them."""
    _start_load(trial)
    await trial.pause(0.1, 1.5)
    workers = await _pick_workers(trial, 2)
    for worker in workers:
        trial.fleet.agents_by_id[worker].freeze()
    await trial.pause(1.6, 5.0)
    for worker in workers:
        trial.fleet.agents_by_id[worker].thaw()


@scenario(PROMISE, "backend servers killed")
async def backends_killed(trial: Trial) -> None:
    """Kill the backend servers of gang members."""
    _start_load(trial)
    for _ in range(2):
        await trial.pause(0.2, 1.5)
        for worker in await _pick_workers(trial, 1):
            await trial.fleet.kill_backend(worker)


@scenario(PROMISE, "whole instances killed")
async def instances_killed(trial: Trial) -> None:
    """Kill both the agent and the backend server of a member, so that neither reports the loss."""
    _start_load(trial)
    for _ in range(2):
        await trial.pause(0.5, 1.5)
        for worker in await _pick_workers(trial, 1):
            await trial.fleet.kill_instance(worker)
    await trial.pause(5.0)


@scenario(PROMISE, "instances cut off from all others")
async def instances_isolated(trial: Trial) -> None:
    """Cut off the agents of gang members from the entries and from all other agents."""
    _start_load(trial)
    await trial.pause(0.5, 1.5)
    for worker in await _pick_workers(trial, 2):
        cut = {"cut_to_client": True, "cut_to_target": True}
        await trial.fleet.set_routes(f"{worker}.", **cut)
        await trial.fleet.set_routes("worker", f".{worker}", **cut)
    await trial.pause(4.0, 6.0)


@scenario(PROMISE, "members cut off from their anchors")
async def members_isolated(trial: Trial) -> None:
    """Hold or drop bytes between agents in one or both directions."""
    _start_load(trial)
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
        await trial.fleet.set_routes(f"{trial.random_worker()}.worker", **faults)
    await trial.pause(2.0, 4.0)


@scenario(PROMISE, "messages of gangs delayed and cut")
async def member_messages_delayed(trial: Trial) -> None:
    """Delay messages between agents by up to the lease, and reset their connections."""
    _start_load(trial)
    for _ in range(5):
        await trial.fleet.set_routes(
            "worker",
            delay_ms=trial.rng.randrange(100, 1600),
            reset_after_bytes=trial.rng.choice([0, 2000, 8000]),
        )
        await trial.pause(0.4, 1.0)


@scenario(PROMISE, "the planner killed during starts")
async def planner_killed(trial: Trial) -> None:
    """Kill and restart every entry in turn while gangs start."""
    _start_load(trial)
    for entry in trial.fleet.entries_by_id.values():
        await trial.pause(0.05, 0.5)
        entry.kill()
        await trial.pause(0.3, 1.0)
        entry.start()


@scenario(PROMISE, "store down, then a member lost")
async def store_down(trial: Trial) -> None:
    """Kill a member's agent while the store is down and no decision can be recorded."""
    _start_load(trial)
    await trial.pause(0.5, 1.5)
    trial.isolated_entries |= trial.fleet.entries_by_id.keys()
    await trial.fleet.set_store(down=True)
    for worker in await _pick_workers(trial, 1):
        trial.fleet.agents_by_id[worker].kill()
    await trial.pause(3.0, 5.0)
