"""Checks that the declared hardware can satisfy all guarantees at the same time."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lycheeslip_common.structure.jobs import Adjacency, Shape

from lycheeslip.config.model import Account, FleetConfig, Zone

__all__ = ["CapacityProblem", "Scenario", "find_capacity_problems", "service_scenarios"]

GUARANTEE_KEY = "guarantee"


class CapacityProblem(NamedTuple):
    """A guarantee that can't be satisfied, with the path of the configuration key to change."""

    path: tuple[str, ...]
    message: str


class Scenario(NamedTuple):
    """Available zones and a description of them for messages, such as "in service"."""

    zones: tuple[Zone, ...]
    description: str


def find_capacity_problems(config: FleetConfig) -> list[CapacityProblem]:
    """Return the guarantees that the declared hardware can't satisfy.

    Returns nothing if no zones are declared or a zone in service declares no hardware.
    """
    in_service = [zone for zone in config.zones_by_id.values() if zone.in_service]
    if any(zone.accelerators == 0 for zone in in_service) or not config.zones_by_id:
        return []
    scenarios = service_scenarios(config)
    problems: list[CapacityProblem] = []
    for account in config.accounts_by_id.values():
        problems += _shape_problems(account, scenarios)
    return problems or _total_problems(config.accounts_by_id.values(), scenarios)


def service_scenarios(config: FleetConfig) -> list[Scenario]:
    """Return the scenarios in which the guarantees must be satisfied.

    With `survive_zone_loss` these are the losses of any one zone; a zone that is already out of
    service counts as the lost one.
    """
    in_service = [zone for zone in config.zones_by_id.values() if zone.in_service]
    all_in_service = len(in_service) == len(config.zones_by_id)
    if not config.survive_zone_loss or not all_in_service:
        return [Scenario(tuple(in_service), "in service")]
    return [
        Scenario(
            tuple(zone for zone in in_service if zone is not lost),
            f"left after the loss of zone {lost.zone_id}",
        )
        for lost in in_service
    ]


def _shape_problems(account: Account, scenarios: list[Scenario]) -> Iterable[CapacityProblem]:
    if account.guarantee is None or account.guarantee.accelerators == 0:
        return
    for scenario in scenarios:
        if not _fits(account.guarantee, scenario.zones):
            path = ("accounts", account.account_id, GUARANTEE_KEY)
            yield CapacityProblem(path, _shape_message(account.guarantee, scenario))
            return


def _fits(shape: Shape, zones: Sequence[Zone]) -> bool:
    match shape.adjacency:
        case Adjacency.SAME_WORKER:
            return any(shape.total_accelerators <= _accelerators_per_worker(zone) for zone in zones)
        case Adjacency.SAME_RACK:
            return any(shape.members <= _members_per_rack(shape, zone) for zone in zones)
        case Adjacency.ANY:
            return shape.members <= sum(_members_per_zone(shape, zone) for zone in zones)


def _accelerators_per_worker(zone: Zone) -> int:
    return zone.accelerators_per_worker or zone.accelerators


def _members_per_zone(shape: Shape, zone: Zone) -> int:
    per_worker = _accelerators_per_worker(zone)
    workers, remaining_accelerators = divmod(zone.accelerators, per_worker)
    return (
        workers * (per_worker // shape.accelerators) + remaining_accelerators // shape.accelerators
    )


def _members_per_rack(shape: Shape, zone: Zone) -> int:
    if zone.workers_per_rack == 0:
        return _members_per_zone(shape, zone)
    members_in_full_rack = (
        _accelerators_per_worker(zone) // shape.accelerators * zone.workers_per_rack
    )
    return min(members_in_full_rack, _members_per_zone(shape, zone))


def _shape_message(shape: Shape, scenario: Scenario) -> str:
    gang = f"{shape.members} members with {shape.accelerators} accelerators each"
    match shape.adjacency:
        case Adjacency.SAME_WORKER:
            return f"no worker {scenario.description} holds {gang}"
        case Adjacency.SAME_RACK:
            return f"no rack {scenario.description} holds {gang}"
        case Adjacency.ANY:
            return f"the workers {scenario.description} can't hold {gang}"


def _total_problems(
    accounts: Iterable[Account], scenarios: list[Scenario]
) -> list[CapacityProblem]:
    shapes = [account.guarantee for account in accounts if account.guarantee is not None]
    guaranteed = sum(shape.total_accelerators for shape in shapes)
    for scenario in scenarios:
        available = sum(zone.accelerators for zone in scenario.zones)
        if guaranteed > available:
            message = (
                f"guarantees add up to {guaranteed} accelerators, "
                f"but {available} are {scenario.description}"
            )
            return [CapacityProblem(("accounts",), message)]
    return []
