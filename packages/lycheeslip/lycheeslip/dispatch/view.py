"""Builds what the placement decides on from the jobs and workers that the leader knows."""

from collections import Counter
from collections.abc import Mapping

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.jobs import Demand, JobSpec, StepSpec, demand_of, parse_task_name
from lycheeslip_common.workload.progress import JobProgress, TaskKey, waiting_units

from lycheeslip.dispatch.board import Board, StepAdvice, StoredJob, WorkerView
from lycheeslip.dispatch.rooms import (
    ACCELERATOR_CORES,
    URGENT_PRIORITY,
    Advice,
    Occupant,
    Room,
    StepKey,
    Unit,
    UnitKey,
)

__all__ = ["build_rooms", "build_units", "reserve_of", "service_of", "task_text"]

MAX_COUNTED_FAILURES = 3
QUARANTINE_FAILURES = 2  # in a row; sound runs fail one time in fifty, a failing worker's most
QUARANTINE_MS = 6_000  # a failing worker is tried again after this; such troubles last 5 to 7 s
MAX_OVERRUN = 1.5  # times its estimate that a run may take before the estimate is not believed
SLACK_SHARE = 0.5  # of the time that the latency objective leaves; estimates are off by half
MAX_WAIT_MS = 8_000  # where room is not scarce, no unit waits longer for a better place
MAX_IDLE_WAIT_MS = 2_000  # nor this long where most is idle; deployments allow 3 s there
EARLY_LOSS_SHARE = 0.3  # of its own work that an urgent unit may cost while it has time
LATE_LOSS_SHARE = 1.0  # and later: an urgent job that is late loses four fifths of its worth
CROWDED = 0.6  # share of a service's accelerators in use from which room is scarce
IDLE = 0.5  # share in use below which most is idle


def task_text(job_id: str, key: TaskKey) -> str:
    """Return the name of a task as backend servers know it."""
    return f"{job_id}.{key[0]}.{key[1]}.{key[2]}"


def service_of(board: Board, job: JobProgress) -> str:
    """Return the service that runs the job's queue now; a removed queue keeps its last one."""
    queue = board.config.queue_named(job.spec.queue) if board.config else None
    return queue.service if queue else job.spec.service


def build_rooms(board: Board) -> list[Room]:
    """Return all workers that may start tasks, with what is free and who occupies the rest."""
    occupants = _occupants_by_lifetime(board)
    rooms = []
    for view in board.workers.values():
        if view.link is None or view.lifetime is None:
            continue
        room = _room_of(view, view.lifetime)
        for occupant in occupants.get(view.lifetime, []):
            room.take(occupant.demand)
            room.occupants.append(occupant)
            room.counts[occupant.unit] += 1
        _take_strays(board, view, room)
        is_in_service = view.report.is_ready and view.report.zone not in board.evacuated_zones
        if is_in_service and steady_ms() >= view.avoided_until_ms:
            rooms.append(room)
    return _without_failing(board, rooms)


def _without_failing(board: Board, rooms: list[Room]) -> list[Room]:
    """Leave out workers that lately failed what they started, unless most workers did."""
    now = steady_ms()
    sound = [
        room
        for room in rooms
        if room.failures < QUARANTINE_FAILURES
        or now - board.workers[room.node].blamed_at_ms > QUARANTINE_MS
    ]
    return sound if 2 * len(sound) >= len(rooms) else rooms


def _room_of(view: WorkerView, lifetime: Lifetime) -> Room:
    report = view.report
    total = Demand(report.cpu_milli, report.memory_mb, report.accelerators)
    return Room(
        view.node,
        lifetime,
        report.service,
        report.zone,
        report.labels[-1] if report.labels else "",
        frozenset(report.labels),
        total,
        *total,
        failures=min(view.failures, MAX_COUNTED_FAILURES),
    )


def _occupants_by_lifetime(board: Board) -> dict[Lifetime, list[Occupant]]:
    now = wall_ms()
    guaranteed = _guaranteed_accounts(board)
    result: dict[Lifetime, list[Occupant]] = {}
    for job_id, job in board.jobs.items():
        for key, task in job.progress.placed():
            if task.lifetime is not None:
                occupant = _occupant(job_id, job, key, now, guaranteed)
                result.setdefault(task.lifetime, []).append(occupant)
    return result


def _occupant(
    job_id: str, job: StoredJob, key: TaskKey, now_ms: int, guaranteed: frozenset[str]
) -> Occupant:
    spec = job.progress.spec
    step = spec.steps[key[1]]
    task = job.progress.tasks[key]
    name = task_text(job_id, key)
    demand = demand_of(step)
    members = step.task_count if step.gang else 1
    run_s = max(0, now_ms - task.started_at_ms) / 1_000
    lost_s = min(run_s, 1.0) if step.checkpointing else run_s
    is_ending = job.progress.has_ended or (name, task.run) in job.stopping
    return Occupant(
        job_id,
        name,
        task.run,
        spec.account,
        spec.priority,
        demand,
        _cores(demand) * lost_s * members,
        is_ending,
        (job_id, key[0], key[1]),
        step.gang,
        _is_guaranteed(job.progress, guaranteed),
        _is_costly_to_stop(spec, step),
        _remaining_ms(step, run_s * 1_000),
        step.max_unavailable > 0,
    )


def _cores(demand: Demand) -> float:
    """Return what `demand` counts in cores, accelerators included."""
    return demand.cpu_milli / 1_000 + demand.accelerators * ACCELERATOR_CORES


def _remaining_ms(step: StepSpec, run_ms: float) -> float:
    """Estimate when a run ends; one that is far over its estimate tells nothing."""
    if step.long_running or run_ms > step.estimate_ms * MAX_OVERRUN:
        return float("inf")
    return max(0.0, step.estimate_ms - run_ms)


def _is_costly_to_stop(spec: JobSpec, step: StepSpec) -> bool:
    """Return whether a stop would lose the run's work; urgent runs are short and not stopped."""
    return spec.priority != URGENT_PRIORITY and not step.checkpointing


def _slack_ms(board: Board, spec: JobSpec, step: StepSpec) -> float:
    """Return how late a unit may start and still meet its latency objective."""
    queue = board.config.queue_named(spec.queue) if board.config else None
    if queue is None or step.long_running:
        return 0.0
    return (queue.stretch - 1) * step.estimate_ms + queue.objective_ms


def _may_wait(board: Board, spec: JobSpec, step: StepSpec, since_ms: int, use: float) -> bool:
    """Return whether a unit that waits since `since_ms` may wait on for a better place."""
    limit_ms = _slack_ms(board, spec, step) * SLACK_SHARE
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


def reserve_of(board: Board) -> int:
    """Return how many accelerators to keep: the largest guarantee of any account."""
    accounts = board.config.accounts if board.config else ()
    return max((account.guaranteed for account in accounts), default=0)


def _take_strays(board: Board, view: WorkerView, room: Room) -> None:
    """Count runs that the worker lists but that no record places there."""
    placed = {(occupant.task, occupant.run) for occupant in room.occupants}
    for run in view.report.running:
        if (run.task, run.run) in placed:
            continue
        name = parse_task_name(run.task)
        job = board.jobs.get(name.job_id) if name else None
        if name and job and name.step < len(job.progress.spec.steps):
            room.take(demand_of(job.progress.spec.steps[name.step]))
        else:
            room.take(room.total)


def build_units(
    board: Board, rooms: list[Room], claims: Mapping[UnitKey, frozenset[str]]
) -> list[Unit]:
    """Return all gangs and tasks that may start now; `claims` are those of earlier rounds."""
    guaranteed = _guaranteed_accounts(board)
    use_by_service = _use_by_service(rooms)
    units = []
    for job_id, job in board.jobs.items():
        for step, members in waiting_units(job.progress):
            units.append(_unit(board, job_id, job, step, members, guaranteed, use_by_service))
    return [unit._replace(claimed=claims.get(unit.key, frozenset())) for unit in units]


def _guaranteed_accounts(board: Board) -> frozenset[str]:
    """Return the accounts whose most urgent jobs need no more than they are guaranteed."""
    demands = _urgent_accelerators_by_account(board)
    accounts = board.config.accounts if board.config else ()
    return frozenset(
        account.name
        for account in accounts
        if account.guaranteed and demands.get(account.name, 0) <= account.guaranteed
    )


def _is_guaranteed(job: JobProgress, guaranteed: frozenset[str]) -> bool:
    return job.spec.priority == URGENT_PRIORITY and job.spec.account in guaranteed


def _urgent_accelerators_by_account(board: Board) -> dict[str, int]:
    """Return what each account's most urgent jobs need, counting jobs that haven't ended."""
    result: Counter[str] = Counter()
    for job in board.jobs.values():
        spec = job.progress.spec
        if spec.priority == URGENT_PRIORITY and not job.progress.has_ended:
            result[spec.account] += sum(step.task_count * step.accelerators for step in spec.steps)
    return result


def _advice(board: Board, spec: JobSpec, step: StepKey) -> Advice | None:
    """Return what the advice service has said of a step, None if its queue needs none."""
    queue = board.config.queue_named(spec.queue) if board.config else None
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
    service = service_of(board, job.progress)
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
        is_guaranteed=_is_guaranteed(job.progress, guaranteed),
        is_gang=step.gang,
        work=_cores(demand_of(step)) * len(members) * step.estimate_ms / 1_000,
        is_costly_to_stop=_is_costly_to_stop(spec, step),
        patience_ms=patience_ms,
        loss_share=EARLY_LOSS_SHARE if patience_ms else LATE_LOSS_SHARE,
        may_wait=_may_wait(board, spec, step, since_ms, use_by_service.get(service, 0.0)),
        advice=_advice(board, spec, (job_id, occurrence, step_number)),
    )
