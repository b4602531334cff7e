"""Checks of the zones and their declared hardware."""

from collections.abc import Iterator

from lycheeslip.config.loader import LocatedConfig
from lycheeslip.config_checks.finding import Check, Note, Severity

__all__ = ["ZONE_CHECKS"]

ZONES_KEY = "zones"
WORKERS_PER_RACK_KEY = "workers_per_rack"


def _no_zone_in_service(located: LocatedConfig) -> Iterator[Note]:
    """Report that nothing is in service; undeclared zones aren't either."""
    zones = located.config.zones_by_id
    if zones and not any(zone.in_service for zone in zones.values()):
        message = "no zone is in service, so that no task starts; set in_service in one of them"
        yield Note((ZONES_KEY,), message)


def _workers_not_declared(located: LocatedConfig) -> Iterator[Note]:
    """Report zones that are checked as one worker, and that no job's shape is checked against."""
    for zone_id, zone in located.config.zones_by_id.items():
        if zone.accelerators and not zone.accelerators_per_worker:
            message = (
                "is checked against guarantees as if one worker had all accelerators; "
                "declare accelerators_per_worker too"
            )
            yield Note((ZONES_KEY, zone_id, "accelerators"), message)


def _partial_worker(located: LocatedConfig) -> Iterator[Note]:
    for zone_id, zone in located.config.zones_by_id.items():
        per_worker = zone.accelerators_per_worker
        if per_worker and zone.accelerators % per_worker:
            message = (
                f"{zone.accelerators} isn't a multiple of the {per_worker} accelerators of a "
                f"worker, and the last {zone.accelerators % per_worker} fit no worker; "
                "correct one of the two"
            )
            yield Note((ZONES_KEY, zone_id, "accelerators"), message)


def _rack_without_workers(located: LocatedConfig) -> Iterator[Note]:
    for zone_id, zone in located.config.zones_by_id.items():
        if zone.workers_per_rack and not zone.accelerators_per_worker:
            message = "has no effect without accelerators_per_worker; declare it or remove this"
            yield Note((ZONES_KEY, zone_id, WORKERS_PER_RACK_KEY), message)


def _rack_above_zone(located: LocatedConfig) -> Iterator[Note]:
    for zone_id, zone in located.config.zones_by_id.items():
        if not zone.accelerators_per_worker:
            continue
        workers = zone.accelerators // zone.accelerators_per_worker
        if zone.workers_per_rack > workers:
            message = (
                f"{zone.workers_per_rack} is more than the {workers} workers of the zone; "
                "lower it or correct accelerators"
            )
            yield Note((ZONES_KEY, zone_id, WORKERS_PER_RACK_KEY), message)


ZONE_CHECKS = (
    Check("no_zone_in_service", Severity.WARNING, _no_zone_in_service),
    Check("workers_not_declared", Severity.WARNING, _workers_not_declared),
    Check("partial_worker", Severity.WARNING, _partial_worker),
    Check("rack_without_workers", Severity.WARNING, _rack_without_workers),
    Check("rack_above_zone", Severity.WARNING, _rack_above_zone),
)
