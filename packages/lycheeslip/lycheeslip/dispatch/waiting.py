"""Builds the waiting units of a planning round from the leader's jobs."""

from collections import Counter
from collections.abc import Iterator, Mapping

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.jobs import demand_of
from lycheeslip_common.workload.operator import Queue
from lycheeslip_common.workload.progress import TaskKey, waiting_units

from lycheeslip.dispatch.board import Board, StepAdvice, StoredJob
from lycheeslip.dispatch.isolation import must_start_apart, must_start_isolated
from lycheeslip.dispatch.objective import Objectives, StepTimes, waiting_since_ms
from lycheeslip.dispatch.placement_model import (
    Advice,
    StepKey,
    Unit,
    UnitKey,
    WorkerCapacity,
    cores_of,
)
from lycheeslip.dispatch.slices import run_at_once
from lycheeslip.dispatch.work import (
    MAX_OVERRUN_RATIO,
    guaranteed_accounts,
    is_costly_to_stop,
    is_guaranteed,
)

__all__ = ["accelerator_reserve", "build_unit", "build_units", "collect_units"]

MAX_LASTING_WAIT_MS = 5_000  # of tasks that last; deployments allow 6 s after their last run
SLACK_RATIO = 0.5  # usable part of the slack to the latency objective; estimates are off by half
MAX_WAIT_MS = 8_000  # longest wait for a worker outside the reserve while capacity is not scarce
MAX_IDLE_WAIT_MS = 2_000  # the same while most capacity is idle; deployments allow 3 s then
# Share of its own work that an urgent unit may cost others: in the usable part of its slack, later.
EARLY_MAX_LOSS_RATIO = 0.3
# A late urgent job loses four fifths of its value; what is stopped for it may yet end in time.
LATE_MAX_LOSS_RATIO = 2.0
SPEED_MARGIN = 0.25  # of its run time that a run takes longer on the slowest usual workers
SCARCE_UTILIZATION = 0.6  # from this share of a service's accelerators in use, capacity is scarce
IDLE_UTILIZATION = 0.5  # below this share most capacity is idle


def build_units(
    board: Board, workers: list[WorkerCapacity], claims: Mapping[UnitKey, frozenset[str]]
) -> list[Unit]:
    """Return all gangs and tasks that are ready to start, with the `claims` of earlier rounds."""
    units: list[Unit] = []
    run_at_once(collect_units(board, workers, claims, units))
    return units


def collect_units(
    board: Board,
    workers: list[WorkerCapacity],
    claims: Mapping[UnitKey, frozenset[str]],
    units: list[Unit],
) -> Iterator[None]:
    """Add all gangs and tasks that are ready to start to `units`; yields where it may pause."""
    guaranteed = guaranteed_accounts(board)
    utilization_by_service = _utilization_by_service(workers)
    objectives = Objectives(board)
    for job_id, job in list(board.jobs.items()):
        yield
        for _, members in waiting_units(job.progress):
            times = objectives.step_times(job, *members[0][:2])
            unit = build_unit(board, job_id, job, members, times, guaranteed)
            utilization = utilization_by_service.get(unit.service, 0.0)
            suspicion = (job.progress, members[0], wall_ms(), utilization < IDLE_UTILIZATION)
            units.append(
                unit._replace(
                    may_wait=_may_wait(job, unit, utilization),
                    may_use_reserved=_is_held_up(job, unit, utilization),
                    avoided_workers=_avoided_workers(job, members[0], utilization),
                    is_isolated=must_start_isolated(*suspicion),
                    starts_apart=must_start_apart(*suspicion),
                    claimed_nodes=claims.get(unit.key, frozenset()),
                )
            )
            yield


def accelerator_reserve(board: Board) -> int:
    """Return the size of the reserve in accelerators: the largest guarantee of any account."""
    accounts = board.config.accounts if board.config else ()
    return max((account.guaranteed for account in accounts), default=0)


def _latest_start_ms(times: StepTimes, since_ms: int) -> float:
    """Return the Unix time in ms by which a unit waiting since `since_ms` should start.

    A unit that can't meet its latency objective any more gives way to those that can, until its
    result would be too late to be of value. Past that, the oldest unit comes first again.
    """
    now_ms = wall_ms()
    limits = (since_ms + times.slack_ms, since_ms + times.late_slack_ms)
    return next((limit for limit in limits if now_ms <= limit), since_ms)


def _known_for_ms(job: StoredJob, unit: Unit) -> int:
    """Return for how long this leader has known that a unit's step may start, on its clock."""
    now = steady_ms()
    return now - job.ready_at_ms.setdefault((unit.occurrence, unit.step), now)


def _ready_ms(job: StoredJob, unit: Unit) -> int:
    """Return since when a unit can start, in Unix ms: for a first step, since its job's arrival."""
    if job.progress.spec.steps[unit.step].after:
        return wall_ms() - _known_for_ms(job, unit)
    return unit.waiting_since_ms


def _is_held_up(job: StoredJob, unit: Unit, utilization: float) -> bool:
    """Return whether a unit has waited long enough, while most capacity is idle, to be next."""
    return utilization < IDLE_UTILIZATION and wall_ms() - _ready_ms(job, unit) >= MAX_IDLE_WAIT_MS


def _avoided_workers(job: StoredJob, key: TaskKey, utilization: float) -> frozenset[str]:
    """Return the workers where a unit has failed, which it avoids only for a limited time.

    It would wait for the others for as long as they are busy, though these may work again.
    """
    task = job.progress.tasks[key]
    waited_ms = steady_ms() - job.unit_ended_at_ms.get(key, job.loaded_at_ms)
    is_lasting = job.progress.spec.steps[key[1]].long_running
    limit_ms = MAX_IDLE_WAIT_MS if utilization < IDLE_UTILIZATION else MAX_LASTING_WAIT_MS
    is_limited = is_lasting or utilization < IDLE_UTILIZATION
    return frozenset(task.failed_on if waited_ms < limit_ms or not is_limited else ())


def _may_wait(job: StoredJob, unit: Unit, utilization: float) -> bool:
    """Return whether a unit may wait longer for an unreserved worker."""
    now_ms = wall_ms()
    ready_ms = _ready_ms(job, unit)
    limit_ms = (unit.waiting_since_ms + unit.slack_ms - ready_ms) * SLACK_RATIO
    if utilization < IDLE_UTILIZATION:
        limit_ms = min(limit_ms, MAX_IDLE_WAIT_MS)
    elif utilization < SCARCE_UTILIZATION:
        limit_ms = min(limit_ms, MAX_WAIT_MS)
    return now_ms - ready_ms < limit_ms


def _utilization_by_service(workers: list[WorkerCapacity]) -> dict[str, float]:
    """Return the share of each service's accelerators in use, of its cores if it has none."""
    total: Counter[str] = Counter()
    free: Counter[str] = Counter()
    total_cpu: Counter[str] = Counter()
    free_cpu: Counter[str] = Counter()
    for worker in workers:
        total[worker.service] += worker.total.accelerators
        free[worker.service] += max(0, worker.free_accelerators)
        total_cpu[worker.service] += worker.total.cpu_milli
        free_cpu[worker.service] += max(0, worker.free_cpu_milli)
    return {
        service: (
            1 - free[service] / total[service]
            if total[service]
            else 1 - free_cpu[service] / max(1, total_cpu[service])
        )
        for service in total
    }


def _advice(board: Board, queue: Queue | None, step: StepKey) -> Advice | None:
    """Return the advice service's decisions for a step, None if its queue needs none."""
    if queue is None or queue.advice is None:
        return None
    decisions = board.advice.get(step, StepAdvice())
    now = steady_ms()
    valid = (
        lifetime for lifetime, ticket in decisions.tickets.items() if now < ticket.valid_until_ms
    )
    return Advice(frozenset(valid), frozenset(decisions.tickets), frozenset(decisions.denied))


def build_unit(
    board: Board,
    job_id: str,
    job: StoredJob,
    members: list[TaskKey],
    times: StepTimes,
    guaranteed: frozenset[str],
) -> Unit:
    """Return the unit of these tasks of a step, without a claim, a wait or isolation."""
    spec = job.progress.spec
    occurrence, step_number, _ = members[0]
    step = spec.steps[step_number]
    first_task = job.progress.tasks[members[0]]
    since_ms = waiting_since_ms(job, occurrence)
    unit = Unit(
        job_id=job_id,
        occurrence=occurrence,
        step=step_number,
        indexes=tuple(key[2] for key in members),
        account=spec.account,
        service=board.service_of(spec),
        priority=spec.priority,
        waiting_since_ms=since_ms,
        demand=demand_of(step),
        label=step.label,
        data_rack=step.data_rack,
        same_rack=step.same_rack and step.gang,
        max_per_worker=step.max_per_worker,
        avoided_workers=frozenset(first_task.failed_on),
        is_guaranteed=is_guaranteed(job.progress, guaranteed),
        is_gang=step.gang,
        work=cores_of(demand_of(step)) * len(members) * times.run_ms / 1_000,
        slack_ms=times.slack_ms,
        frees_at_ms=wall_ms() + times.run_ms * MAX_OVERRUN_RATIO,
        latest_start_ms=_latest_start_ms(times, since_ms),
        is_late=wall_ms() > since_ms + times.slack_ms,
        is_costly_to_stop=is_costly_to_stop(spec, step),
        saves_progress=step.checkpointing,
        advice=_advice(board, board.queue_of(spec), (job_id, occurrence, step_number)),
        is_last_attempt=0 < first_task.failures >= spec.attempts - 1,
        prefers_fast=0 <= since_ms + times.slack_ms - wall_ms() < times.run_ms * SPEED_MARGIN,
    )
    # a unit that was late before this leader knew of it waits, too: for the workers to connect
    waited_ms = _known_for_ms(job, unit)
    patience_ms = unit.slack_ms * SLACK_RATIO
    return unit._replace(
        wait_budget_ms=max(0.0, min(board.times.reclaim_wait_ms, patience_ms) - waited_ms),
        max_loss_ratio=EARLY_MAX_LOSS_RATIO if waited_ms < patience_ms else LATE_MAX_LOSS_RATIO,
    )
