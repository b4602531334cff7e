"""Maps each account's guarantee to home accelerators."""

from collections.abc import Iterator, Mapping

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.structure.jobs import Adjacency, Shape

from lycheeslip.config.model import FleetConfig
from lycheeslip.policy.capacity import zone_in_service
from lycheeslip.policy.home_site import Claim, Site
from lycheeslip.policy.model import HomeMap

__all__ = ["accounts_without_homes", "assign_homes", "homes_hold_guarantee"]


MAX_CAUTION = 2


def assign_homes(
    config: FleetConfig,
    workers_by_id: Mapping[str, WorkerState],
    previous: HomeMap,
    unfit_workers: frozenset[str] = frozenset(),
) -> HomeMap:
    """Return the account of every accelerator, "" for those without a home account.

    Homes stay where they were as long as they serve. Workers that leave, that are among
    `unfit_workers` or whose zone is out of service hold none.
    """
    claims = _claims(config)
    guaranteed = {claim.account for claim in claims}
    sites = []
    for worker_id in sorted(workers_by_id):
        state = workers_by_id[worker_id]
        if _serves(config, state) and worker_id not in unfit_workers:
            accounts = previous.get(worker_id, ())
            kept = tuple(account if account in guaranteed else "" for account in accounts)
            sites.append(Site(state, kept))
    zones_by_account = {claim.account: _assign_first(claim, sites) for claim in claims}
    if config.survive_zone_loss:
        for claim in claims:
            _assign_spare(claim, sites, zones_by_account[claim.account])
    homes = {
        worker_id: ("",) * state.info.accelerators for worker_id, state in workers_by_id.items()
    }
    homes.update((site.worker_id, tuple(site.accounts)) for site in sites)
    return homes


def accounts_without_homes(config: FleetConfig, homes: HomeMap) -> list[str]:
    """Return the accounts whose guarantee has fewer homes than it needs."""
    held: dict[str, int] = {}
    for accounts in homes.values():
        for account in accounts:
            held[account] = held.get(account, 0) + 1
    claims = _claims(config)
    return [c.account for c in claims if held.get(c.account, 0) < c.shape.total_accelerators]


def homes_hold_guarantee(
    shape: Shape, account: str, homes: HomeMap, workers_by_id: Mapping[str, WorkerState]
) -> bool:
    """Return whether the homes of `account` on `workers_by_id` hold its whole guarantee."""
    members: dict[object, int] = {}
    for worker_id, state in workers_by_id.items():
        count = homes.get(worker_id, ()).count(account) // max(1, shape.accelerators)
        group = _group_of(shape, worker_id, state.info.zone, state.info.rack, state.info.region)
        members[group] = members.get(group, 0) + count
    return max(members.values(), default=0) >= shape.members


def _group_of(shape: Shape, worker_id: str, zone: str, rack: str, region: str) -> object:
    match shape.adjacency:
        case Adjacency.SAME_WORKER:
            return worker_id
        case Adjacency.SAME_RACK:
            return zone, rack
        case Adjacency.ANY:
            return region


def _claims(config: FleetConfig) -> list[Claim]:
    claims = [
        Claim(account.account_id, account.guarantee)
        for account in config.accounts_by_id.values()
        if account.guarantee is not None and account.guarantee.accelerators
    ]
    return sorted(claims, key=lambda claim: (-claim.shape.total_accelerators, claim.account))


def _serves(config: FleetConfig, state: WorkerState) -> bool:
    return not state.leaving and zone_in_service(config, state.info.zone)


def _assign_first(claim: Claim, sites: list[Site]) -> frozenset[str]:
    """Give the guarantee its first homes and return their zones."""
    return _assign(claim, sites, claim.shape.members)


def _assign_spare(claim: Claim, sites: list[Site], zones: frozenset[str]) -> None:
    """Give the guarantee homes that remain when any one of `zones` is lost."""
    if not zones:
        return
    if claim.shape.adjacency is Adjacency.ANY:
        _spread(claim, sites)
        return
    elsewhere = [site for site in sites if site.zone not in zones]
    _assign(claim, elsewhere, claim.shape.members)


def _spread(claim: Claim, sites: list[Site]) -> None:
    """Add members, in the zone with the fewest, until any zone can be lost."""
    while not _survives(claim, sites):
        chosen = _next_spread(claim, sites)
        if chosen is None:
            return
        site, caution = chosen
        site.take(claim, caution)


def _next_spread(claim: Claim, sites: list[Site]) -> tuple[Site, int] | None:
    by_zone = _members_by_zone(claim, sites)
    for caution in range(MAX_CAUTION, -1, -1):
        usable = [site for site in sites if site.members(claim, caution)]
        if usable:
            site = min(
                usable,
                key=lambda site: (
                    by_zone.get(site.zone, 0),
                    -site.kept(claim.account).bit_count(),
                    site.free.bit_count(),
                    site.worker_id,
                ),
            )
            return site, caution
    return None


def _members_by_zone(claim: Claim, sites: list[Site]) -> dict[str, int]:
    by_zone: dict[str, int] = {}
    for site in sites:
        members = site.accounts.count(claim.account) // claim.shape.accelerators
        by_zone[site.zone] = by_zone.get(site.zone, 0) + members
    return by_zone


def _survives(claim: Claim, sites: list[Site]) -> bool:
    by_zone = _members_by_zone(claim, sites)
    return sum(by_zone.values()) - max(by_zone.values()) >= claim.shape.members


def _assign(claim: Claim, sites: list[Site], members: int) -> frozenset[str]:
    """Choose homes for one copy of the guarantee; return their zones, none if it fits nowhere."""
    for caution in range(MAX_CAUTION, -1, -1):
        fitting = [
            group
            for group in _groups(claim, sites)
            if sum(site.members(claim, caution) for site in group) >= members
        ]
        if fitting:
            group = min(fitting, key=lambda group: _preference(claim, group))
            return _take_members(claim, group, members, caution)
    return frozenset()


def _groups(claim: Claim, sites: list[Site]) -> Iterator[list[Site]]:
    groups: dict[object, list[Site]] = {}
    for site in sites:
        key = _group_of(claim.shape, site.worker_id, site.zone, site.rack[1], site.region)
        groups.setdefault(key, []).append(site)
    yield from groups.values()


def _preference(claim: Claim, group: list[Site]) -> tuple[int, int, str]:
    kept = sum(site.kept(claim.account).bit_count() for site in group)
    free = sum(site.free.bit_count() for site in group)
    return -min(kept, claim.shape.total_accelerators), free, group[0].worker_id


def _take_members(claim: Claim, group: list[Site], members: int, caution: int) -> frozenset[str]:
    order = sorted(group, key=lambda site: _take_order(claim, site))
    zones = set()
    for kept_only in (True, False):
        for site in order:
            fit = site.members(claim, caution)
            if kept_only:
                kept = site.kept(claim.account).bit_count()
                fit = min(fit, kept // claim.shape.accelerators)
            for _ in range(min(members, fit)):
                site.take(claim, caution)
                zones.add(site.zone)
                members -= 1
    return frozenset(zones)


def _take_order(claim: Claim, site: Site) -> tuple[int, int, str]:
    return -site.kept(claim.account).bit_count(), site.free.bit_count(), site.worker_id
