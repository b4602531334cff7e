"""Scenarios that test that leaving processes take no new work and cut off no request."""

from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins.checker_facts import Leaving

from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "no new work when leaving"
GRACEFUL = "graceful shutdown cuts off nothing"


@scenario(PROMISE, "agents told to end in a burst")
async def agents_terminated(trial: Trial) -> None:
    """Send SIGTERM to several agents in quick succession."""
    trial.start_load(100, over_s=5.0)
    for worker in trial.rng.sample(sorted(trial.fleet.zone_by_worker), 3):
        await trial.pause(0.2, 0.8)
        trial.departures.append(Leaving(worker, monotonic_ms()))
        trial.fleet.agents_by_id[worker].terminate()
    await trial.pause(6.0)
    trial.end_departures()


@scenario(PROMISE, "the notice lost")
async def notice_lost(trial: Trial) -> None:
    """Cut off agents from all entries just before they receive SIGTERM."""
    trial.start_load(100, over_s=5.0)
    for worker in trial.rng.sample(sorted(trial.fleet.zone_by_worker), 3):
        await trial.pause(0.2, 0.8)
        await trial.fleet.set_routes(f"{worker}.entry", cut_to_target=True)
        trial.departures.append(Leaving(worker, monotonic_ms()))
        trial.fleet.agents_by_id[worker].terminate()
    await trial.pause(6.0)
    trial.end_departures()


@scenario(PROMISE, "backend servers announce that they leave")
async def backends_leave(trial: Trial) -> None:
    """Have backend servers announce that they are leaving."""
    trial.start_load(100, over_s=5.0)
    workers = trial.rng.sample(sorted(trial.fleet.zone_by_worker), 3)
    for worker in workers:
        await trial.pause(0.2, 0.8)
        await trial.fleet.tell_backend(worker, "leaving", {"on": True})
        trial.departures.append(Leaving(worker, monotonic_ms()))
    await trial.pause(6.0)
    trial.end_departures()
    for worker in workers:
        await trial.fleet.tell_backend(worker, "leaving", {"on": False})


@scenario(GRACEFUL, "every entry and agent restarted in turn under load")
async def rolling_restart(trial: Trial) -> None:
    """Restart every entry and agent gracefully, one at a time.

    Callers connect to the entries directly, because the proxy would turn a connection that a
    stopped entry refuses into a reset.
    """
    trial.callers.addresses = list(trial.fleet.http_by_entry.values())
    trial.expects_no_cut_off = True
    trial.start_load(150, over_s=14.0)
    for entry in trial.fleet.entries_by_id.values():
        entry.terminate()
        await trial.fleet.wait_until(entry.has_ended, "the entry has ended", 40)
        entry.start()
        await trial.fleet.wait_until(trial.fleet.entries_are_ready, "entries are ready")
    for agent in trial.fleet.agents_by_id.values():
        agent.terminate()
        await trial.fleet.wait_until(agent.has_ended, "the agent has ended", 40)
        agent.start()
