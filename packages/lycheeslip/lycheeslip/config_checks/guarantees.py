"""Checks of the accounts' guarantees against the zones that have to hold them."""

from collections.abc import Iterator, Sequence

from lycheeslip_common.structure.fleet import WorkerInfo, WorkerState
from lycheeslip_common.structure.jobs import MAX_MEMBERS, Adjacency, JobKind, JobSpec, Shape

from lycheeslip.config.capacity import service_scenarios
from lycheeslip.config.diff import describe_shape
from lycheeslip.config.loader import LocatedConfig
from lycheeslip.config.model import FleetConfig, Zone
from lycheeslip.config_checks.finding import Check, Note, Severity
from lycheeslip.policy.feasibility import misfit_reason
from lycheeslip.policy.homes import assign_homes, homes_satisfy_guarantee

__all__ = ["GUARANTEE_CHECKS", "MAX_HOME_TRIALS"]

MAX_HOME_TRIALS = 200_000
"""Guarantees times workers up to which the assignment is tried; it takes a few seconds then."""

UNLIMITED_PROCESSORS = 4_096 * MAX_MEMBERS
UNLIMITED_MEMORY_MB = 64 * 1_024 * 1_024 * MAX_MEMBERS

GUARANTEE_KEY = "guarantee"
SURVIVE_KEY = "survive_zone_loss"


def _without_accelerators(located: LocatedConfig) -> Iterator[Note]:
    """Report guarantees without accelerators, which are all that is kept and reclaimed."""
    for account_id, account in located.config.accounts_by_id.items():
        if account.guarantee is not None and account.guarantee.accelerators == 0:
            message = "guarantees nothing without accelerators; raise accelerators or remove it"
            yield Note(("accounts", account_id, GUARANTEE_KEY), message)


def _adjacency_without_gang(located: LocatedConfig) -> Iterator[Note]:
    for account_id, account in located.config.accounts_by_id.items():
        shape = account.guarantee
        if shape is not None and shape.members == 1 and shape.adjacency is not Adjacency.ANY:
            message = "has no effect with a single member; remove it or raise members"
            yield Note(("accounts", account_id, GUARANTEE_KEY, "adjacency"), message)


def _not_checked(located: LocatedConfig) -> Iterator[Note]:
    """Report what turns off the check of all guarantees, such as undeclared hardware."""
    config = located.config
    if not _guarantees(config):
        return
    for zone_id, zone in config.zones_by_id.items():
        if zone.in_service and zone.accelerators == 0:
            message = "declares no accelerators, so that no guarantee is checked; declare them"
            yield Note(("zones", zone_id), message)
    if _is_declared(config) and not _is_small_enough(config):
        message = (
            f"{len(_guarantees(config))} guarantees on {_count_workers(config)} workers are too "
            "many to check together; only their sum and each shape were checked"
        )
        yield Note(("accounts",), message)


def _without_homes(located: LocatedConfig) -> Iterator[Note]:
    """Assign homes on the declared workers as the planner does on live ones.

    Processors and memory aren't declared and count as sufficient.
    """
    config = located.config
    if not _is_declared(config) or not _is_small_enough(config):
        return
    reported = set()
    for scenario in service_scenarios(config):
        for account_id in _accounts_without_homes(config, scenario.zones):
            if account_id in reported:
                continue
            reported.add(account_id)
            message = (
                f"finds no room for {describe_shape(_guarantees(config)[account_id])} beside the "
                f"other guarantees on the whole workers {scenario.description}; "
                "lower one of them or declare more workers"
            )
            yield Note(("accounts", account_id, GUARANTEE_KEY), message)


def _shape_refused(located: LocatedConfig) -> Iterator[Note]:
    """Report shapes that no job may have, since submissions are checked against workers too."""
    config = located.config
    if not _is_declared(config) or not _is_small_enough(config):
        return
    for account_id, shape in _guarantees(config).items():
        reason = misfit_reason(JobSpec(account_id, JobKind.URGENT, shape), {}, config)
        if reason:
            message = (
                f"jobs of this shape are refused unless live workers hold more than the declared "
                f"ones: {reason}; lower members or declare larger workers"
            )
            yield Note(("accounts", account_id, GUARANTEE_KEY), message)


def _survival_unused(located: LocatedConfig) -> Iterator[Note]:
    config = located.config
    if config.survive_zone_loss and not _guarantees(config):
        message = "has no effect without a guarantee; declare one or remove this"
        yield Note((SURVIVE_KEY,), message)


def _survival_with_one_zone(located: LocatedConfig) -> Iterator[Note]:
    """Report a single zone; without declared hardware the file is accepted nevertheless."""
    config = located.config
    if config.survive_zone_loss and _guarantees(config) and len(config.zones_by_id) == 1:
        message = "can't hold with a single zone; declare another zone or set it to false"
        yield Note((SURVIVE_KEY,), message)


def _guarantees(config: FleetConfig) -> dict[str, Shape]:
    return {
        account_id: account.guarantee
        for account_id, account in config.accounts_by_id.items()
        if account.guarantee is not None and account.guarantee.accelerators
    }


def _is_declared(config: FleetConfig) -> bool:
    in_service = [zone for zone in config.zones_by_id.values() if zone.in_service]
    return bool(in_service) and all(zone.accelerators for zone in in_service)


def _is_small_enough(config: FleetConfig) -> bool:
    trials = len(_guarantees(config)) * _count_workers(config) * len(service_scenarios(config))
    return trials <= MAX_HOME_TRIALS


def _count_workers(config: FleetConfig) -> int:
    zones = config.zones_by_id.values()
    return sum(zone.accelerators // _per_worker(zone) for zone in zones if zone.in_service)


def _per_worker(zone: Zone) -> int:
    return zone.accelerators_per_worker or max(1, zone.accelerators)


def _accounts_without_homes(config: FleetConfig, zones: Sequence[Zone]) -> list[str]:
    workers = {
        worker.info.worker_id: worker for zone in zones for worker in _declared_workers(zone)
    }
    homes = assign_homes(config._replace(survive_zone_loss=False), workers, {})
    return [
        account_id
        for account_id, shape in _guarantees(config).items()
        if not homes_satisfy_guarantee(shape, account_id, homes, workers)
    ]


def _declared_workers(zone: Zone) -> Iterator[WorkerState]:
    """Yield the whole workers of the zone; without declared racks they share one."""
    accelerators = _per_worker(zone)
    workers = zone.accelerators // accelerators
    per_rack = zone.workers_per_rack or max(1, workers)
    for number in range(workers):
        info = WorkerInfo(
            worker_id=f"{zone.zone_id}/{number:06}",
            region="",
            zone=zone.zone_id,
            rack=str(number // per_rack),
            address="",
            accelerators=accelerators,
            processors=UNLIMITED_PROCESSORS,
            memory_mb=UNLIMITED_MEMORY_MB,
            slots=accelerators,
        )
        yield WorkerState(info, incarnation="", sequence=0, leaving=False, grants=())


GUARANTEE_CHECKS = (
    Check("guarantee_without_accelerators", Severity.WARNING, _without_accelerators),
    Check("adjacency_without_gang", Severity.WARNING, _adjacency_without_gang),
    Check("guarantees_not_checked", Severity.WARNING, _not_checked),
    Check("guarantee_without_homes", Severity.ERROR, _without_homes),
    Check("guarantee_shape_refused", Severity.WARNING, _shape_refused),
    Check("survive_zone_loss_unused", Severity.WARNING, _survival_unused),
    Check("survive_zone_loss_single_zone", Severity.ERROR, _survival_with_one_zone),
)
