"""Times planning rounds at the fleet size expected in two years: python -m benchmarks.plan_time."""

import random
import statistics
import sys
import time

from lycheeslip.config.model import Account, FleetConfig, Zone
from lycheeslip.policy import assign_homes, plan
from lycheeslip.policy.model import FleetView, RunningJob, WaitingJob
from lycheeslip_common.structure.fleet import Grant, GrantState, WorkerInfo, WorkerState
from lycheeslip_common.structure.jobs import (
    Adjacency,
    AttemptRef,
    JobKind,
    JobSpec,
    MemberPlacement,
    Shape,
)

WORKERS = 1_100
RUNNING_TASKS = 8_400
WAITING_JOBS = 500
ACCOUNTS = 43
ZONES = 7
WORKERS_PER_RACK = 3
ROUNDS = 7
NOW_MS = 1_750_000_000_000


def build_view(seed: int) -> FleetView:
    """Return a fleet of the size expected in two years, with jobs running and waiting."""
    rng = random.Random(seed)
    workers = {f"w{n}": _worker(n) for n in range(WORKERS)}
    accounts = {f"t{n}": Account(f"t{n}", Shape(rng.choice([2, 4, 8]), 1)) for n in range(ACCOUNTS)}
    zones = {f"z{n}": Zone(f"z{n}") for n in range(ZONES)}
    config = FleetConfig(1, accounts, zones)
    homes = assign_homes(config, workers, {})
    running = {}
    grants: dict[str, list[Grant]] = {worker_id: [] for worker_id in workers}
    free = [(worker_id, i) for worker_id, w in workers.items() for i in range(w.info.accelerators)]
    rng.shuffle(free)
    slots = dict.fromkeys(workers, 8)
    job_number = running_tasks = 0
    while running_tasks < RUNNING_TASKS:
        job_number += 1
        spec = _spec(rng, gang=rng.choice([1, 1, 1, 2, 4, 16, 64, 128]))
        placement = _placement(rng, spec, workers, free, slots)
        if placement is None:
            continue
        job = RunningJob(
            AttemptRef(f"r{job_number}", 1, 1),
            spec,
            placement,
            NOW_MS - rng.randint(0, 7_200_000),
            NOW_MS + rng.randint(0, 7_200_000),
        )
        running[job.ref.job_id] = job
        running_tasks += len(placement)
        for member, place in enumerate(placement):
            grants[place.worker_id].append(_grant(job, member))
    workers = {k: w._replace(grants=tuple(grants[k])) for k, w in workers.items()}
    waiting = tuple(
        WaitingJob(f"q{n}", _spec(rng, rng.choice([1, 1, 2, 8, 64])), NOW_MS - n * 1000, 60_000)
        for n in range(WAITING_JOBS)
    )
    return FleetView(NOW_MS, config, workers, waiting, running, homes, {}, {})


def _worker(number: int) -> WorkerState:
    zone = f"z{number % ZONES}"
    rack = f"r{number // ZONES // WORKERS_PER_RACK}"
    accelerators = 8 if number % 7 == 0 else 0
    region = f"region{number % ZONES % 2}"
    info = WorkerInfo(f"w{number}", region, zone, rack, "a", accelerators, 60, 250_000, 8)
    return WorkerState(info, "i", 1, False, ())


def _spec(rng: random.Random, gang: int) -> JobSpec:
    shape = Shape(gang, rng.choice([0, 0, 0, 0, 1]) if gang > 1 else rng.choice([0, 0, 0, 1, 4]))
    if gang <= 8 and rng.random() < 0.3:
        shape = shape._replace(adjacency=Adjacency.SAME_RACK)
    kind = rng.choices(list(JobKind), [1, 4, 4])[0]
    return JobSpec(f"t{rng.randrange(ACCOUNTS)}", kind, shape, repeatable=rng.random() < 0.8)


def _placement(rng, spec, workers, free, slots) -> tuple[MemberPlacement, ...] | None:
    """Place a job on random workers; only some members if slots or accelerators run out."""
    placements = []
    workers_with_slots = [worker_id for worker_id, left in slots.items() if left]
    for _ in range(spec.shape.members):
        if spec.shape.accelerators:
            usable = [pair for pair in free[-40:] if slots[pair[0]]]
            if not usable:
                return None if not placements else tuple(placements)
            pair = usable[-1]
            free.remove(pair)
            placements.append(MemberPlacement(pair[0], "i", (pair[1],)))
        else:
            worker_id = rng.choice(workers_with_slots)
            if not slots[worker_id]:
                continue
            placements.append(MemberPlacement(worker_id, "i", ()))
        slots[placements[-1].worker_id] -= 1
    return tuple(placements) or None


def _grant(job: RunningJob, member: int) -> Grant:
    spec = job.spec
    place = job.placement[member]
    return Grant(
        job.ref.job_id, 1, 1, member, "e", spec.account, spec.kind, place.accelerators, 1, 256,
        spec.interruptible, GrantState.RUNNING,
    )  # fmt: skip


def main() -> None:
    """Print the CPU time of a planning round with and without waiting jobs."""
    view = build_view(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    grants = sum(len(worker.grants) for worker in view.workers_by_id.values())
    print(f"workers={len(view.workers_by_id)} grants={grants} waiting={len(view.waiting)}")
    for name, case_view in (("idle", view._replace(waiting=())), ("waiting", view)):
        times = []
        for _ in range(ROUNDS):
            started = time.process_time()
            actions = plan(case_view)
            times.append((time.process_time() - started) * 1000)
        tags = {type(action).__name__ for action in actions}
        counts = {tag: sum(type(a).__name__ == tag for a in actions) for tag in sorted(tags)}
        print(f"{name}: median_ms={statistics.median(times):.1f} max_ms={max(times):.1f} {counts}")


if __name__ == "__main__":
    main()
