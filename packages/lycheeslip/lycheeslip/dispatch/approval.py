"""Filters workers by the advice service's decisions, and chooses what to ask it next."""

from collections.abc import Sequence

from lycheeslip.dispatch.packing import choose_workers
from lycheeslip.dispatch.placement_model import URGENT_PRIORITY, AdviceRequest, Unit, WorkerCapacity

__all__ = ["advice_request", "approved", "with_ticket"]

MAX_WORKERS_PER_REQUEST = 30  # each worker prolongs the decision; latency objectives allow for 30


def with_ticket(unit: Unit, workers: Sequence[WorkerCapacity]) -> list[WorkerCapacity]:
    """Return the workers with a valid ticket for `unit`, all if it needs no advice."""
    if unit.advice is None:
        return list(workers)
    return [worker for worker in workers if worker.lifetime in unit.advice.ticketed]


def approved(unit: Unit, workers: Sequence[WorkerCapacity]) -> list[WorkerCapacity]:
    """Return the workers approved for `unit`, with or without a valid ticket."""
    if unit.advice is None:
        return list(workers)
    return [worker for worker in workers if worker.lifetime in unit.advice.approved]


def advice_request(unit: Unit, workers: Sequence[WorkerCapacity]) -> list[AdviceRequest]:
    """Return the request that would let a blocked `unit` start, if there is one.

    Approved workers come first, since only their tickets have expired. If the unit fits nowhere,
    advice is requested only for an urgent unit, as runs can be preempted for it.
    """
    if unit.advice is None:
        return []
    chosen = choose_workers(unit, approved(unit, workers)) or choose_workers(unit, workers)
    if chosen is None and unit.priority != URGENT_PRIORITY:
        return []
    preferred = {worker.lifetime for worker in chosen or ()}
    without_ticket = [worker for worker in workers if worker.lifetime not in unit.advice.ticketed]
    without_ticket.sort(
        key=lambda worker: (worker.lifetime not in preferred, not worker.fits(unit.demand))
    )
    asked = tuple(worker.lifetime for worker in without_ticket[:MAX_WORKERS_PER_REQUEST])
    return [AdviceRequest(unit.step_key, asked)] if asked else []
