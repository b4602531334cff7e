"""Samples busy accelerators by rack, waiting jobs and fragmentation during a run."""

import asyncio
import contextlib
from typing import Any, NamedTuple

from lycheeslip.config.model import Account, FleetConfig, Zone
from lycheeslip.policy.fragmentation import fragmentation
from lycheeslip.policy.model import FleetView, WaitingJob
from lycheeslip_common.structure.fleet import Grant, GrantState, WorkerInfo, WorkerState
from lycheeslip_common.structure.jobs import Adjacency, JobKind, JobSpec, Shape
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins.load_workloads import ACCOUNTS

from benchmarks.fleet import BenchFleet

__all__ = ["Sample", "Sampler"]

SAMPLE_INTERVAL_S = 0.3
SLOTS = 8
PROCESSORS = 60
MEMORY_MB = 250_000


class Sample(NamedTuple):
    """The state of the fleet `at_ms` after the load started."""

    at_ms: int
    busy: int
    waiting: int
    fragmentation: float
    busy_by_rack: dict[str, int]


class Sampler:
    """Polls one entry's view of the fleet until it is stopped."""

    def __init__(self, fleet: BenchFleet) -> None:
        """Poll the first entry of `fleet`."""
        self._fleet = fleet
        self._address = next(iter(fleet.http_by_entry.values()))
        self._task: asyncio.Task[None] | None = None
        self.samples: list[Sample] = []

    def start(self) -> None:
        """Start sampling."""
        self._task = asyncio.create_task(self._run(monotonic_ms()))

    async def stop(self) -> list[Sample]:
        """Stop sampling and return the samples."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        return self.samples

    async def _run(self, started_ms: int) -> None:
        while True:
            fleet = await self._fleet.get(self._address, "/v1/fleet")
            pending = await self._fleet.get(self._address, "/v1/jobs?state=pending&limit=1000")
            if fleet is not None and pending is not None:
                self.samples.append(_make_sample(fleet, pending, monotonic_ms() - started_ms))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _make_sample(fleet: dict[str, Any], pending: dict[str, Any], at_ms: int) -> Sample:
    busy_by_rack: dict[str, int] = {}
    for worker in fleet["workers"]:
        rack = worker["rack"]
        busy_by_rack[rack] = busy_by_rack.get(rack, 0) + worker["busy"]
    view = _make_view(fleet, pending["jobs"])
    busy = sum(busy_by_rack.values())
    return Sample(at_ms, busy, len(view.waiting), fragmentation(view), busy_by_rack)


def _make_view(fleet: dict[str, Any], pending: list[dict[str, Any]]) -> FleetView:
    accounts = {
        name: Account(name, _parse_shape(fields["guarantee"]) if fields else None)
        for name, fields in ACCOUNTS.items()
    }
    zones = {zone["zone_id"]: Zone(zone["zone_id"], zone["in_service"]) for zone in fleet["zones"]}
    workers = {worker["worker_id"]: _parse_worker(worker) for worker in fleet["workers"]}
    waiting = tuple(
        _parse_waiting_job(job) for job in pending if job["shape"]["accelerators"] <= SLOTS
    )
    return FleetView(0, FleetConfig(1, accounts, zones), workers, waiting, {}, {}, {}, {})


def _parse_shape(fields: dict[str, Any]) -> Shape:
    return Shape(**{**fields, "adjacency": Adjacency(fields.get("adjacency", "any"))})


def _parse_waiting_job(job: dict[str, Any]) -> WaitingJob:
    spec = JobSpec(job["account"], JobKind(job["kind"]), _parse_shape(job["shape"]))
    return WaitingJob(job["job_id"], spec, job["accepted_at_ms"], 0)


def _parse_worker(worker: dict[str, Any]) -> WorkerState:
    info = WorkerInfo(
        worker["worker_id"],
        "",
        worker["zone"],
        worker["rack"],
        "",
        worker["accelerators"],
        PROCESSORS,
        MEMORY_MB,
        SLOTS,
    )
    grants = tuple(_parse_grant(fields) for fields in worker["grants"])
    return WorkerState(info, worker["incarnation"], 1, worker["leaving"], grants)


def _parse_grant(fields: dict[str, Any]) -> Grant:
    return Grant(
        **{
            **fields,
            "kind": JobKind(fields["kind"]),
            "state": GrantState(fields["state"]),
            "accelerators": tuple(fields["accelerators"]),
        }
    )
