"""Proofs that a guaranteed shape can always be reclaimed."""

import asyncio

from lycheeslip_common.structure.jobs import derive_job_id
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins.checker_facts import GuaranteeDemand

from tests.prove.trial import Trial, scenario

__all__: list[str] = []

PROMISE = "guaranteed shape reclaimable"
ACCOUNT = "hooghly"
MEMBERS = 4
ACCELERATORS = 4


async def _fill_with_borrowers(trial: Trial, repeatable: bool = True) -> None:
    """Declare the guarantee, then let another account take every accelerator."""
    shape = {"members": MEMBERS, "accelerators": ACCELERATORS}
    trial.operator.document["accounts"][ACCOUNT] = {"guarantee": shape}
    await trial.operator.apply()
    await asyncio.sleep(2.0)
    for _ in range(20):
        request = trial.request(
            account="kite",
            kind="bulk",
            members=1,
            accelerators=4,
            run_ms=60_000,
            repeatable=repeatable,
        )
        trial.background(_hold_until_cancelled(trial, request))
    await asyncio.sleep(3.0)


async def _hold_until_cancelled(trial: Trial, request) -> None:
    following = asyncio.create_task(trial.callers.run(request, 50))
    await asyncio.sleep(14.0)
    await trial.callers.cancel(request)
    await following


async def _demand(trial: Trial) -> None:
    """Ask for the guaranteed shape and wait until it must run."""
    request = trial.request(
        account=ACCOUNT, kind="urgent", members=MEMBERS, accelerators=ACCELERATORS, run_ms=500
    )
    job_id = derive_job_id(request.account, request.key)
    trial.demands.append(GuaranteeDemand(job_id, MEMBERS, monotonic_ms()))
    await trial.callers.run(request, 20)


@scenario(PROMISE, "a fleet full of borrowers")
async def full(trial: Trial) -> None:
    """Reclaim from work that checkpoints."""
    await _fill_with_borrowers(trial)
    await _demand(trial)


@scenario(PROMISE, "borrowers that ignore checkpoints")
async def ignoring(trial: Trial) -> None:
    """Reclaim from work that ignores the request to checkpoint."""
    for worker in trial.fleet.zone_by_worker:
        await trial.fleet.tell_backend(worker, "mode", {"mode": "ignores_checkpoint"})
    await _fill_with_borrowers(trial)
    await _demand(trial)
    for worker in trial.fleet.zone_by_worker:
        await trial.fleet.tell_backend(worker, "mode", {"mode": "normal"})


@scenario(PROMISE, "borrowers that can't be repeated")
async def not_repeatable(trial: Trial) -> None:
    """Reclaim where the borrowers' work may not be stopped."""
    await _fill_with_borrowers(trial, repeatable=False)
    await _demand(trial)


@scenario(PROMISE, "a zone lost")
async def zone_lost(trial: Trial) -> None:
    """Take one zone out while its accelerators are full, then demand the guarantee."""
    trial.operator.document["survive_zone_loss"] = True
    await _fill_with_borrowers(trial)
    await trial.operator.set_zone("zone-a", in_service=False)
    await asyncio.sleep(1.0)
    await _demand(trial)
    await trial.operator.set_zone("zone-a", in_service=True)


@scenario(PROMISE, "the planner killed during the reclaim")
async def planner_killed(trial: Trial) -> None:
    """Kill the planner while it reclaims; the bound is then its lease longer."""
    await _fill_with_borrowers(trial)
    planner = await trial.fleet.planner()
    demand = asyncio.create_task(_demand(trial))
    await trial.pause(0.05, 0.5)
    trial.fleet.entries_by_id[planner].kill()
    await demand
