"""Reasons why a job could never fit on any live or declared hardware."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.structure.jobs import Adjacency, JobSpec, Shape

from lycheeslip.config.model import FleetConfig, Zone

__all__ = ["misfit_reason"]

DECLARED_SLOTS = 8
"""Slots assumed for a worker that is declared but has never registered."""


class _WorkerHardware(NamedTuple):
    """Total resources of a worker; None where they aren't declared."""

    rack: tuple[str, str]
    region: str
    accelerators: int
    slots: int
    processors: int | None
    memory_mb: int | None


def misfit_reason(spec: JobSpec, workers: Mapping[str, WorkerState], config: FleetConfig) -> str:
    """Return why the job could never fit on live or declared hardware, or "" if it could.

    Zones that are out of service count, since operators may bring them back. Without any live
    or declared hardware the check isn't possible, and the result is "".
    """
    live = [_live_hardware(worker) for worker in workers.values()]
    declared = [
        hardware for zone in config.zones_by_id.values() for hardware in _declared_hardware(zone)
    ]
    known = live + declared
    if not known or _gang_fits(spec.shape, live) or _gang_fits(spec.shape, declared):
        return ""
    return _reason(spec.shape, known)


def _live_hardware(worker: WorkerState) -> _WorkerHardware:
    info = worker.info
    return _WorkerHardware(
        (info.zone, info.rack),
        info.region,
        info.accelerators,
        info.slots,
        info.processors,
        info.memory_mb,
    )


def _declared_hardware(zone: Zone) -> Iterable[_WorkerHardware]:
    if not zone.accelerators or not zone.accelerators_per_worker:
        return
    per_rack = zone.workers_per_rack or 1
    for number in range(zone.accelerators // zone.accelerators_per_worker):
        rack = (zone.zone_id, f"declared-{number // per_rack}")
        per_worker = zone.accelerators_per_worker
        yield _WorkerHardware(rack, "", per_worker, DECLARED_SLOTS, None, None)


def _members_that_fit(shape: Shape, hardware: _WorkerHardware) -> int:
    limits = [hardware.slots]
    if shape.accelerators:
        limits.append(hardware.accelerators // shape.accelerators)
    if shape.processors and hardware.processors is not None:
        limits.append(hardware.processors // shape.processors)
    if shape.memory_mb and hardware.memory_mb is not None:
        limits.append(hardware.memory_mb // shape.memory_mb)
    return min(limits)


def _gang_fits(shape: Shape, hardware: Iterable[_WorkerHardware]) -> bool:
    members_by_group: dict[object, int] = {}
    for worker_index, worker in enumerate(hardware):
        group = _group(shape, worker, worker_index)
        members_by_group[group] = members_by_group.get(group, 0) + _members_that_fit(shape, worker)
    return max(members_by_group.values(), default=0) >= shape.members


def _group(shape: Shape, hardware: _WorkerHardware, worker_index: int) -> object:
    """Return a key that is the same for all workers over which one gang may be spread."""
    match shape.adjacency:
        case Adjacency.SAME_WORKER:
            return worker_index
        case Adjacency.SAME_RACK:
            return hardware.rack
        case Adjacency.ANY:
            return hardware.region


def _reason(shape: Shape, known: list[_WorkerHardware]) -> str:
    if not any(_members_that_fit(shape, item) for item in known):
        return (
            f"no worker has {shape.accelerators} accelerators, {shape.processors} processors"
            f" and {shape.memory_mb} MB for one member"
        )
    return f"no set of workers ({shape.adjacency}) can hold {shape.members} members at once"
