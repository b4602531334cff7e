"""Scenarios that test that no task starts in a zone that is out of service."""

import asyncio

from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "no start in a zone taken out"
ZONE = "zone-a"
OUT_OF_SERVICE_S = 5.0
LEASE_EXPIRY_WAIT_S = 6.0
LOAD_S = 12.0


async def _take_zone_out_and_back(trial: Trial) -> None:
    """Take the zone out of service for longer than the time limit, then bring it back."""
    await trial.operator.set_zone(ZONE, in_service=False)
    await asyncio.sleep(OUT_OF_SERVICE_S)
    await trial.operator.set_zone(ZONE, in_service=True)


def _start_load(trial: Trial) -> None:
    trial.start_load(200, over_s=LOAD_S, run_ms=200)


def _zone_workers(trial: Trial) -> list[str]:
    return [w for w, zone in trial.fleet.zone_by_worker.items() if zone == ZONE]


@scenario(PROMISE, "none")
async def under_load(trial: Trial) -> None:
    """Take a zone out of service under load without a fault."""
    _start_load(trial)
    await trial.pause(0.5)
    await _take_zone_out_and_back(trial)


@scenario(PROMISE, "its agents cut off from one entry")
async def agents_cut_from_one_entry(trial: Trial) -> None:
    """Cut off the zone's agents from one entry, so that some move to another."""
    _start_load(trial)
    await trial.pause(0.3)
    entry = trial.random_entry()
    for worker in _zone_workers(trial):
        await trial.fleet.set_route(f"{worker}.{entry}", cut_to_target=True, cut_to_client=True)
    await _take_zone_out_and_back(trial)


@scenario(PROMISE, "its agents cut off from all entries")
async def agents_cut_from_all_entries(trial: Trial) -> None:
    """Cut off the zone's agents from every entry, in one or both directions, before the change."""
    _start_load(trial)
    await trial.pause(0.3)
    faults = trial.rng.choice([{"cut_to_client": True}, {"cut_to_target": True}])
    if trial.rng.random() < 0.5:
        faults = {"cut_to_client": True, "cut_to_target": True}
    for worker in _zone_workers(trial):
        await trial.fleet.set_routes(f"{worker}.entry", **faults)
    await _take_zone_out_and_back(trial)


@scenario(PROMISE, "an entry cut off from the store")
async def entry_cut_from_store(trial: Trial) -> None:
    """Cut off one entry from the store and apply the change at another."""
    _start_load(trial)
    entry = list(trial.fleet.entries_by_id)[trial.rng.choice([1, 2])]
    trial.isolated_entries.add(entry)
    faults = trial.rng.choice([{"refuse": True}, {"cut_to_client": True}, {"drop_to_target": True}])
    await trial.fleet.set_route(f"{entry}.store", **faults)
    await trial.pause(0.2, 3.0)
    await _take_zone_out_and_back(trial)


@scenario(PROMISE, "an entry cut off from store and peers")
async def entry_isolated(trial: Trial) -> None:
    """Cut off one entry from the store and from its peers, leaving only its agents."""
    _start_load(trial)
    entry = list(trial.fleet.entries_by_id)[trial.rng.choice([1, 2])]
    trial.isolated_entries.add(entry)
    cut = {"cut_to_client": True, "cut_to_target": True}
    await trial.fleet.set_route(f"{entry}.store", **cut)
    for peer in trial.fleet.entries_by_id:
        if peer != entry:
            await trial.fleet.set_route(f"{entry}.{peer}", **cut)
            await trial.fleet.set_route(f"{peer}.{entry}", **cut)
    await trial.pause(0.2, 3.0)
    await _take_zone_out_and_back(trial)


@scenario(PROMISE, "a new entry while all others are cut off from the store")
async def new_entry(trial: Trial) -> None:
    """Apply the change at a new entry that the entries cut off from the store don't know."""
    _start_load(trial)
    trial.isolated_entries |= trial.fleet.entries_by_id.keys()
    await trial.fleet.set_routes("entry-", ".store", refuse=True)
    await trial.fleet.set_route("entry-spare.store")
    await asyncio.sleep(LEASE_EXPIRY_WAIT_S)
    trial.fleet.spare_entry.start()
    for _ in range(40):
        await asyncio.sleep(0.2)
        if await trial.operator.set_zone(ZONE, in_service=False, address=trial.fleet.spare_address):
            break
    trial.start_load(60, over_s=OUT_OF_SERVICE_S, run_ms=200, repeatable=True, members=1)
    await asyncio.sleep(OUT_OF_SERVICE_S)


@scenario(PROMISE, "the store down right after the change")
async def store_down_after(trial: Trial) -> None:
    """Take the store down right after the change is accepted."""
    _start_load(trial)
    await trial.pause(0.3)
    await trial.operator.set_zone(ZONE, in_service=False)
    trial.isolated_entries |= trial.fleet.entries_by_id.keys()
    await trial.fleet.set_store(down=True)
    await asyncio.sleep(OUT_OF_SERVICE_S)
    await trial.fleet.set_store()
    await asyncio.sleep(1)
    await trial.operator.set_zone(ZONE, in_service=True)


@scenario(PROMISE, "its agents frozen across the change")
async def agents_frozen(trial: Trial) -> None:
    """Suspend the zone's agents across the change and resume them after the time limit."""
    _start_load(trial)
    await trial.pause(0.2, 1.0)
    for worker in _zone_workers(trial):
        trial.fleet.agents_by_id[worker].freeze()
    await trial.operator.set_zone(ZONE, in_service=False)
    await trial.pause(3.2, 5.0)
    for worker in _zone_workers(trial):
        trial.fleet.agents_by_id[worker].thaw()
    await asyncio.sleep(2)
    await trial.operator.set_zone(ZONE, in_service=True)


@scenario(PROMISE, "an entry frozen across the change")
async def entry_frozen(trial: Trial) -> None:
    """Suspend an entry across the change and resume it after the time limit."""
    _start_load(trial)
    await trial.pause(0.2, 1.0)
    entry = list(trial.fleet.entries_by_id)[trial.rng.choice([1, 2])]
    trial.isolated_entries.add(entry)
    trial.fleet.entries_by_id[entry].freeze()
    await trial.operator.set_zone(ZONE, in_service=False)
    await trial.pause(3.2, 5.0)
    trial.fleet.entries_by_id[entry].thaw()
    await asyncio.sleep(2)
    await trial.operator.set_zone(ZONE, in_service=True)


@scenario(PROMISE, "the answer of the write lost")
async def write_response_lost(trial: Trial) -> None:
    """Drop the store's response to the configuration write."""
    _start_load(trial)
    await trial.pause(0.3)
    await trial.fleet.set_store(
        lose_next_answers=1, lose_answers_of_prefix="lycheeslip/state/config"
    )
    await _take_zone_out_and_back(trial)


@scenario(PROMISE, "two operators race")
async def operators_race(trial: Trial) -> None:
    """Have a second operator keep applying changes at another entry."""
    _start_load(trial)
    second_operator = trial.operator.fork(trial.operator.addresses[1])
    toggling = asyncio.create_task(_toggle_zone(second_operator))
    await trial.pause(0.3)
    for _ in range(10):
        if await trial.operator.set_zone(ZONE, in_service=False):
            break
    await asyncio.sleep(OUT_OF_SERVICE_S)
    toggling.cancel()
    await asyncio.gather(toggling, return_exceptions=True)
    trial.operator.changes += second_operator.changes


async def _toggle_zone(operator) -> None:
    in_service = True
    while True:
        await operator.set_zone(ZONE, in_service=in_service)
        in_service = not in_service
        await asyncio.sleep(0.7)
