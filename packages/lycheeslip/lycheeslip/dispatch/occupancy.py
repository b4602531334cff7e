"""Builds the rooms that the placement decides on from the workers that the leader knows."""

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.jobs import Demand, StepSpec, demand_of, format_task_name
from lycheeslip_common.workload.progress import TaskKey

from lycheeslip.dispatch.board import Board, StoredJob, WorkerView
from lycheeslip.dispatch.rooms import Occupant, Room
from lycheeslip.dispatch.work import (
    cores_of,
    guaranteed_accounts,
    is_costly_to_stop,
    is_guaranteed,
)

__all__ = ["build_rooms"]

MAX_COUNTED_FAILURES = 3
QUARANTINE_FAILURES = 2  # in a row; sound runs fail one time in fifty, a failing worker's most
QUARANTINE_MS = 6_000  # a failing worker is tried again after this; such troubles last 5 to 7 s
UNSTEADY_MS = 10_000  # a worker that crashed this lately counts as failing; some go down by turns
MAX_OVERRUN = 1.5  # times its estimate that a run may take before the estimate is not believed


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
    views = {room.node: board.workers[room.node] for room in rooms}
    sound = [
        room
        for room in rooms
        if views[room.node].failures < QUARANTINE_FAILURES
        or now - views[room.node].blamed_at_ms > QUARANTINE_MS
    ]
    return sound if 2 * len(sound) >= len(rooms) else rooms


def _room_of(view: WorkerView, lifetime: Lifetime) -> Room:
    report = view.report
    is_unsteady = view.lost_life_at_ms and steady_ms() - view.lost_life_at_ms < UNSTEADY_MS
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
        failures=min(view.failures + bool(is_unsteady), MAX_COUNTED_FAILURES),
    )


def _occupants_by_lifetime(board: Board) -> dict[Lifetime, list[Occupant]]:
    now = wall_ms()
    guaranteed = guaranteed_accounts(board)
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
    name = format_task_name(job_id, key)
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
        cores_of(demand) * lost_s * members,
        is_ending,
        (job_id, key[0], key[1]),
        step.gang,
        is_guaranteed(job.progress, guaranteed),
        is_costly_to_stop(spec, step),
        _remaining_ms(step, run_s * 1_000),
        step.max_unavailable > 0,
    )


def _remaining_ms(step: StepSpec, run_ms: float) -> float:
    """Estimate when a run ends; one that is far over its estimate tells nothing."""
    if step.long_running or run_ms > step.estimate_ms * MAX_OVERRUN:
        return float("inf")
    return max(0.0, step.estimate_ms - run_ms)


def _take_strays(board: Board, view: WorkerView, room: Room) -> None:
    """Count runs that the worker lists but that no record places there."""
    placed = {(occupant.task, occupant.run) for occupant in room.occupants}
    for run in view.report.running:
        if (run.task, run.run) in placed:
            continue
        found = board.find_task(run.task)
        known = found.job.progress.spec.steps[found.key[1]] if found else None
        room.take(demand_of(known) if known else room.total)
