"""Builders of fleets, jobs and views with defaults for tests."""

from lycheeslip.config.model import Account, FleetConfig, Limits, Zone
from lycheeslip.policy.homes import assign_homes
from lycheeslip.policy.model import FleetView, RunningJob, WaitingJob, WorkerHealth
from lycheeslip_common.structure.fleet import Grant, GrantState, WorkerInfo, WorkerState
from lycheeslip_common.structure.jobs import (
    Adjacency,
    AttemptRef,
    JobKind,
    JobSpec,
    MemberPlacement,
    Shape,
)

NOW_MS = 1_750_000_000_000
EMPTY_CONFIG = FleetConfig()


def shape(members=1, accelerators=1, adjacency="any", processors=1, memory_mb=256):
    """Return a shape whose members need few resources by default."""
    return Shape(members, accelerators, processors, memory_mb, Adjacency(adjacency))


def worker(worker_id, zone="a", rack="r1", accelerators=8, slots=8, leaving=False, grants=()):
    """Return the state of a live worker."""
    info = WorkerInfo(worker_id, "reg", zone, rack, "addr", accelerators, 60, 250_000, slots)
    return WorkerState(info, f"inc-{worker_id}", 1, leaving, tuple(grants))


def fleet(zones="abcd", workers=10, per_rack=3, **kwargs):
    """Return workers by id, distributed round-robin over zones, `per_rack` in each rack."""
    by_id = {}
    for number in range(workers):
        zone = zones[number % len(zones)]
        rack = f"r{number // len(zones) // per_rack}"
        by_id[f"w{number}"] = worker(f"w{number}", zone, rack, **kwargs)
    return by_id


def spec(account="acc", kind="deferrable", repeatable=True, deadline_at_ms=0, **of_shape):
    """Return a job specification."""
    return JobSpec(
        account, JobKind(kind), shape(**of_shape), "", repeatable, deadline_at_ms=deadline_at_ms
    )


def waiting(job_id, since_ms=0, run_ms=0, avoided_workers=(), **of_spec):
    """Return a job that has waited since `since_ms` relative to now."""
    return WaitingJob(
        job_id, spec(**of_spec), NOW_MS + since_ms, run_ms, 0, frozenset(avoided_workers)
    )


def place(view_workers, *members):
    """Return the placement of members given as (worker id, accelerator indices)."""
    return tuple(
        MemberPlacement(worker_id, view_workers[worker_id].incarnation, tuple(indices), "addr")
        for worker_id, indices in members
    )


def running(job_id, placement, started_ms=-1000, ends_ms=60_000, stopping=False, **of_spec):
    """Return a running job with times in milliseconds relative to now."""
    return RunningJob(
        AttemptRef(job_id, 1, 1),
        spec(**of_spec),
        placement,
        NOW_MS + started_ms,
        NOW_MS + ends_ms,
        stopping,
    )


def grants_of(job):
    """Return the grants of a running job by worker id."""
    by_worker = {}
    for member, member_place in enumerate(job.placement):
        grant = Grant(
            job.ref.job_id,
            1,
            1,
            member,
            "entry",
            job.spec.account,
            job.spec.kind,
            member_place.accelerators,
            job.spec.shape.processors,
            job.spec.shape.memory_mb,
            job.spec.interruptible,
            GrantState.RUNNING,
        )
        by_worker.setdefault(member_place.worker_id, []).append(grant)
    return by_worker


def with_grants(workers, jobs):
    """Return the workers with the grants of all running jobs."""
    by_worker = {}
    for job in jobs:
        for worker_id, grants in grants_of(job).items():
            by_worker.setdefault(worker_id, []).extend(grants)
    return {
        worker_id: state._replace(grants=tuple(by_worker.get(worker_id, ())))
        for worker_id, state in workers.items()
    }


def config(zones=(), accounts=(), **kwargs):
    """Return a fleet configuration of the given zones and accounts."""
    return FleetConfig(
        1,
        {account.account_id: account for account in accounts},
        {zone.zone_id: zone for zone in zones},
        Limits(),
        **kwargs,
    )


def view(workers, waiting=(), running=(), config=EMPTY_CONFIG, homes=None, **kwargs):
    """Return the planner's view; homes are assigned unless given."""
    workers = with_grants(workers, running)
    return FleetView(
        kwargs.pop("now_ms", NOW_MS),
        config,
        workers,
        tuple(waiting),
        {job.ref.job_id: job for job in running},
        assign_homes(config, workers, {}) if homes is None else homes,
        kwargs.pop("used", {}),
        kwargs.pop("health", {}),
        kwargs.pop("reservation", None),
    )


__all__ = [
    "Account",
    "NOW_MS",
    "WorkerHealth",
    "Zone",
    "config",
    "fleet",
    "place",
    "running",
    "shape",
    "spec",
    "view",
    "with_grants",
    "waiting",
    "worker",
]
