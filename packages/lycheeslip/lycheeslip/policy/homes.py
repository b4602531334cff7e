"""Assignment of home accelerators to the accounts' guarantees.

The home accelerators of an account are set aside for its guarantee. Other accounts may start
only interruptible jobs on them, which are preempted when the account needs its guarantee.
"""

from collections.abc import Iterator, Mapping

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.structure.jobs import Adjacency, Shape

from lycheeslip.config.model import FleetConfig
from lycheeslip.policy.capacity import zone_in_service
from lycheeslip.policy.home_site import AccountGuarantee, HomeSite
from lycheeslip.policy.model import HomeMap

__all__ = ["accounts_lacking_homes", "assign_homes", "homes_satisfy_guarantee"]

MAX_STRICTNESS = 2
"""Strictest rule for the choice of homes, which is tried first; see `HomeSite.usable`."""


def assign_homes(
    config: FleetConfig,
    workers_by_id: Mapping[str, WorkerState],
    previous: HomeMap,
    unfit_workers: frozenset[str] = frozenset(),
) -> HomeMap:
    """Return the home account of every accelerator by worker id, "" for those without one.

    Previous homes are kept while they are usable. Workers that are leaving, that are among
    `unfit_workers` or whose zone is out of service get no homes.
    """
    guarantees = _sorted_guarantees(config)
    guaranteed = {guarantee.account for guarantee in guarantees}
    sites = []
    for worker_id in sorted(workers_by_id):
        state = workers_by_id[worker_id]
        if _can_host_homes(config, state) and worker_id not in unfit_workers:
            accounts = previous.get(worker_id, ())
            kept = tuple(account if account in guaranteed else "" for account in accounts)
            sites.append(HomeSite(state, kept))
    zones_by_account = {
        guarantee.account: _assign_primary(guarantee, sites) for guarantee in guarantees
    }
    if config.survive_zone_loss:
        for guarantee in guarantees:
            _assign_redundant(guarantee, sites, zones_by_account[guarantee.account])
    homes = {
        worker_id: ("",) * state.info.accelerators for worker_id, state in workers_by_id.items()
    }
    homes.update((site.worker_id, tuple(site.accounts)) for site in sites)
    return homes


def accounts_lacking_homes(config: FleetConfig, homes: HomeMap) -> list[str]:
    """Return the accounts whose guarantee has fewer home accelerators than it needs."""
    held: dict[str, int] = {}
    for accounts in homes.values():
        for account in accounts:
            held[account] = held.get(account, 0) + 1
    guarantees = _sorted_guarantees(config)
    return [
        item.account
        for item in guarantees
        if held.get(item.account, 0) < item.shape.total_accelerators
    ]


def homes_satisfy_guarantee(
    shape: Shape, account: str, homes: HomeMap, workers_by_id: Mapping[str, WorkerState]
) -> bool:
    """Return whether the homes of `account` on `workers_by_id` fit its whole guarantee."""
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


def _sorted_guarantees(config: FleetConfig) -> list[AccountGuarantee]:
    guarantees = [
        AccountGuarantee(account.account_id, account.guarantee)
        for account in config.accounts_by_id.values()
        if account.guarantee is not None and account.guarantee.accelerators
    ]
    return sorted(guarantees, key=lambda item: (-item.shape.total_accelerators, item.account))


def _can_host_homes(config: FleetConfig, state: WorkerState) -> bool:
    return not state.leaving and zone_in_service(config, state.info.zone)


def _assign_primary(guarantee: AccountGuarantee, sites: list[HomeSite]) -> frozenset[str]:
    """Assign the primary homes of the guarantee and return their zones."""
    return _assign(guarantee, sites, guarantee.shape.members)


def _assign_redundant(
    guarantee: AccountGuarantee, sites: list[HomeSite], zones: frozenset[str]
) -> None:
    """Assign redundant homes, so that the guarantee holds if any one of `zones` is lost."""
    if not zones:
        return
    if guarantee.shape.adjacency is Adjacency.ANY:
        _spread(guarantee, sites)
        return
    elsewhere = [site for site in sites if site.zone not in zones]
    _assign(guarantee, elsewhere, guarantee.shape.members)


def _spread(guarantee: AccountGuarantee, sites: list[HomeSite]) -> None:
    """Add homes for members until the guarantee survives the loss of any zone.

    Each one is added in the zone that has the fewest. Stop early if no worker can take more.
    """
    while not _survives_zone_loss(guarantee, sites):
        chosen = _next_spread_site(guarantee, sites)
        if chosen is None:
            return
        site, strictness = chosen
        site.allocate(guarantee, strictness)


def _next_spread_site(
    guarantee: AccountGuarantee, sites: list[HomeSite]
) -> tuple[HomeSite, int] | None:
    by_zone = _members_by_zone(guarantee, sites)
    for strictness in range(MAX_STRICTNESS, -1, -1):
        usable = [site for site in sites if site.members_that_fit(guarantee, strictness)]
        if usable:
            site = min(
                usable,
                key=lambda site: (
                    by_zone.get(site.zone, 0),
                    -site.kept(guarantee.account).bit_count(),
                    site.free.bit_count(),
                    site.worker_id,
                ),
            )
            return site, strictness
    return None


def _members_by_zone(guarantee: AccountGuarantee, sites: list[HomeSite]) -> dict[str, int]:
    by_zone: dict[str, int] = {}
    for site in sites:
        members = site.accounts.count(guarantee.account) // guarantee.shape.accelerators
        by_zone[site.zone] = by_zone.get(site.zone, 0) + members
    return by_zone


def _survives_zone_loss(guarantee: AccountGuarantee, sites: list[HomeSite]) -> bool:
    by_zone = _members_by_zone(guarantee, sites)
    return sum(by_zone.values()) - max(by_zone.values()) >= guarantee.shape.members


def _assign(guarantee: AccountGuarantee, sites: list[HomeSite], members: int) -> frozenset[str]:
    """Assign homes for `members` of the guarantee; return their zones, none if they don't fit."""
    for strictness in range(MAX_STRICTNESS, -1, -1):
        fitting = [
            group
            for group in _groups(guarantee, sites)
            if sum(site.members_that_fit(guarantee, strictness) for site in group) >= members
        ]
        if fitting:
            group = min(fitting, key=lambda group: _preference(guarantee, group))
            return _allocate_members(guarantee, group, members, strictness)
    return frozenset()


def _groups(guarantee: AccountGuarantee, sites: list[HomeSite]) -> Iterator[list[HomeSite]]:
    groups: dict[object, list[HomeSite]] = {}
    for site in sites:
        key = _group_of(guarantee.shape, site.worker_id, site.zone, site.rack[1], site.region)
        groups.setdefault(key, []).append(site)
    yield from groups.values()


def _preference(guarantee: AccountGuarantee, group: list[HomeSite]) -> tuple[int, int, str]:
    kept = sum(site.kept(guarantee.account).bit_count() for site in group)
    free = sum(site.free.bit_count() for site in group)
    return -min(kept, guarantee.shape.total_accelerators), free, group[0].worker_id


def _allocate_members(
    guarantee: AccountGuarantee, group: list[HomeSite], members: int, strictness: int
) -> frozenset[str]:
    """Assign homes for `members` within the group, previous homes first; return their zones."""
    order = sorted(group, key=lambda site: _site_order(guarantee, site))
    zones = set()
    for kept_only in (True, False):
        for site in order:
            fit = site.members_that_fit(guarantee, strictness)
            if kept_only:
                kept = site.kept(guarantee.account).bit_count()
                fit = min(fit, kept // guarantee.shape.accelerators)
            for _ in range(min(members, fit)):
                site.allocate(guarantee, strictness)
                zones.add(site.zone)
                members -= 1
    return frozenset(zones)


def _site_order(guarantee: AccountGuarantee, site: HomeSite) -> tuple[int, int, str]:
    return -site.kept(guarantee.account).bit_count(), site.free.bit_count(), site.worker_id
