"""Builds the units that wait for a place from the jobs that the leader knows."""

from collections import Counter
from collections.abc import Mapping

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.jobs import StepSpec, demand_of
from lycheeslip_common.workload.operator import Queue
from lycheeslip_common.workload.progress import TaskKey, waiting_units

from lycheeslip.dispatch.board import Board, StepAdvice, StoredJob
from lycheeslip.dispatch.rooms import Advice, Room, StepKey, Unit, UnitKey
from lycheeslip.dispatch.work import (
    cores_of,
    guaranteed_accounts,
    is_costly_to_stop,
    is_guaranteed,
)

__all__ = ["build_units", "reserve_of"]

SLACK_SHARE = 0.5  # of the time that the latency objective leaves; estimates are off by half
MAX_WAIT_MS = 8_000  # where room is not scarce, no unit waits longer for a better place
MAX_IDLE_WAIT_MS = 2_000  # nor this long where most is idle; deployments allow 3 s there
EARLY_LOSS_SHARE = 0.3  # of its own work that an urgent unit may cost while it has time
LATE_LOSS_SHARE = 1.0  # and later: an urgent job that is late loses four fifths of its worth
CROWDED = 0.6  # share of a service's accelerators in use from which room is scarce
IDLE = 0.5  # share in use below which most is idle


def build_units(
    board: Board, rooms: list[Room], claims: Mapping[UnitKey, frozenset[str]]
) -> list[Unit]:
    """Return all gangs and tasks that may start now; `claims` are those of earlier rounds."""
    guaranteed = guaranteed_accounts(board)
    use_by_service = _use_by_service(rooms)
    units = []
    for job_id, job in board.jobs.items():
        for step, members in waiting_units(job.progress):
            units.append(_unit(board, job_id, job, step, members, guaranteed, use_by_service))
    return [
        unit._replace(claimed=claims[unit.key]) if unit.key in claims else unit for unit in units
    ]


def reserve_of(board: Board) -> int:
    """Return how many accelerators to keep: the largest guarantee of any account."""
    accounts = board.config.accounts if board.config else ()
    return max((account.guaranteed for account in accounts), default=0)


def _slack_ms(queue: Queue | None, step: StepSpec) -> float:
    """Return how late a unit may start and still meet its latency objective."""
    if queue is None or step.long_running:
        return 0.0
    return (queue.stretch - 1) * step.estimate_ms + queue.objective_ms


def _may_wait(queue: Queue | None, step: StepSpec, since_ms: int, use: float) -> bool:
    """Return whether a unit that waits since `since_ms` may wait on for a better place."""
    limit_ms = _slack_ms(queue, step) * SLACK_SHARE
    if use < IDLE:
        limit_ms = min(limit_ms, MAX_IDLE_WAIT_MS)
    elif use < CROWDED:
        limit_ms = min(limit_ms, MAX_WAIT_MS)
    return wall_ms() - since_ms < limit_ms


def _use_by_service(rooms: list[Room]) -> dict[str, float]:
    """Return the share of each service's accelerators that is in use."""
    total: Counter[str] = Counter()
    free: Counter[str] = Counter()
    for room in rooms:
        total[room.service] += room.total.accelerators
        free[room.service] += max(0, room.free_accelerators)
    return {service: 1 - free[service] / max(1, total[service]) for service in total}


def _advice(board: Board, queue: Queue | None, step: StepKey) -> Advice | None:
    """Return what the advice service has said of a step, None if its queue needs none."""
    if queue is None or queue.advice is None:
        return None
    known = board.advice.get(step, StepAdvice())
    now = steady_ms()
    valid = (lifetime for lifetime, ticket in known.tickets.items() if now < ticket.valid_until_ms)
    return Advice(frozenset(valid), frozenset(known.tickets), frozenset(known.denied))


def _unit(
    board: Board,
    job_id: str,
    job: StoredJob,
    step: StepSpec,
    members: list[TaskKey],
    guaranteed: frozenset[str],
    use_by_service: Mapping[str, float],
) -> Unit:
    spec = job.progress.spec
    occurrence, step_number, _ = members[0]
    counter = job.progress.tasks[members[0]]
    queue = board.config.queue_named(spec.queue) if board.config else None
    service = queue.service if queue else spec.service  # a removed queue keeps its last one
    since_ms = max(spec.accepted_at_ms, spec.due_at_ms(occurrence))
    waited_ms = wall_ms() - since_ms if spec.occurrences else steady_ms() - job.known_at_ms
    patience_ms = max(0, board.times.reclaim_wait_ms - waited_ms)
    return Unit(
        job_id=job_id,
        occurrence=occurrence,
        step=step_number,
        indexes=tuple(key[2] for key in members),
        account=spec.account,
        service=service,
        priority=spec.priority,
        waiting_since_ms=since_ms,
        demand=demand_of(step),
        label=step.label,
        data_rack=step.data_rack,
        same_rack=step.same_rack and step.gang,
        max_per_worker=step.max_per_worker,
        avoided_workers=frozenset(counter.failed_on),
        is_guaranteed=is_guaranteed(job.progress, guaranteed),
        is_gang=step.gang,
        work=cores_of(demand_of(step)) * len(members) * step.estimate_ms / 1_000,
        is_costly_to_stop=is_costly_to_stop(spec, step),
        patience_ms=patience_ms,
        loss_share=EARLY_LOSS_SHARE if patience_ms else LATE_LOSS_SHARE,
        may_wait=_may_wait(queue, step, since_ms, use_by_service.get(service, 0.0)),
        advice=_advice(board, queue, (job_id, occurrence, step_number)),
    )
