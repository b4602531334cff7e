"""Scenarios that test that a guaranteed shape can be reclaimed within the time limit."""

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
    """Configure the guarantee, then fill the fleet with jobs of another account."""
    shape = {"members": MEMBERS, "accelerators": ACCELERATORS}
    trial.operator.document["accounts"][ACCOUNT] = {"guarantee": shape}
    await trial.operator.apply()
    await asyncio.sleep(2.0)
    for _ in range(20):
        request = trial.make_request(
            account="kite",
            kind="bulk",
            members=1,
            accelerators=4,
            run_ms=60_000,
            repeatable=repeatable,
        )
        trial.run_in_background(_hold_until_cancelled(trial, request))
    await asyncio.sleep(3.0)


async def _hold_until_cancelled(trial: Trial, request) -> None:
    calling = asyncio.create_task(trial.callers.run(request, 50))
    await asyncio.sleep(14.0)
    await trial.callers.cancel(request)
    await calling


async def _request_guaranteed_shape(trial: Trial) -> None:
    """Submit a job of the guaranteed shape and wait up to 20 s for it to end."""
    request = trial.make_request(
        account=ACCOUNT, kind="urgent", members=MEMBERS, accelerators=ACCELERATORS, run_ms=500
    )
    job_id = derive_job_id(request.account, request.key)
    trial.guarantee_demands.append(GuaranteeDemand(job_id, MEMBERS, monotonic_ms()))
    await trial.callers.run(request, 20)


@scenario(PROMISE, "a fleet full of borrowers")
async def fleet_full(trial: Trial) -> None:
    """Reclaim accelerators from jobs that checkpoint on request."""
    await _fill_with_borrowers(trial)
    await _request_guaranteed_shape(trial)


@scenario(PROMISE, "borrowers that ignore checkpoints")
async def checkpoints_ignored(trial: Trial) -> None:
    """Reclaim accelerators from jobs that ignore the request to checkpoint."""
    for worker in trial.fleet.zone_by_worker:
        await trial.fleet.tell_backend(worker, "mode", {"mode": "ignores_checkpoint"})
    await _fill_with_borrowers(trial)
    await _request_guaranteed_shape(trial)
    for worker in trial.fleet.zone_by_worker:
        await trial.fleet.tell_backend(worker, "mode", {"mode": "normal"})


@scenario(PROMISE, "borrowers that can't be repeated")
async def not_repeatable(trial: Trial) -> None:
    """Request the shape while borrowing jobs can't be repeated and may not be stopped."""
    await _fill_with_borrowers(trial, repeatable=False)
    await _request_guaranteed_shape(trial)


@scenario(PROMISE, "a zone lost")
async def zone_lost(trial: Trial) -> None:
    """Take a fully used zone out of service, then request the guaranteed shape."""
    trial.operator.document["survive_zone_loss"] = True
    await _fill_with_borrowers(trial)
    await trial.operator.set_zone("zone-a", in_service=False)
    await asyncio.sleep(1.0)
    await _request_guaranteed_shape(trial)
    await trial.operator.set_zone("zone-a", in_service=True)


@scenario(PROMISE, "the planner killed during the reclaim")
async def planner_killed(trial: Trial) -> None:
    """Kill the planner while it reclaims.

    The guaranteed limit is then longer by the planner's lease; the check still applies
    `RECLAIM_BOUND_MS`.
    """
    await _fill_with_borrowers(trial)
    planner = await trial.fleet.planner()
    demanding = asyncio.create_task(_request_guaranteed_shape(trial))
    await trial.pause(0.05, 0.5)
    trial.fleet.entries_by_id[planner].kill()
    await demanding
