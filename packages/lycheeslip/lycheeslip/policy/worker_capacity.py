"""Free resources of one worker and of its rack during a planning round."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lycheeslip_common.structure.fleet import WorkerState

from lycheeslip.config.model import Account
from lycheeslip.policy.quiet import QuietRule

__all__ = ["WorkerCapacity", "Rack", "RackKey", "Resources", "UNLIMITED", "indices_of", "mask_of"]

UNLIMITED = 1 << 30


class RackKey(NamedTuple):
    """Key of a rack; rack names are unique only within their zone."""

    zone: str
    rack: str


class Resources(NamedTuple):
    """Resources that a task uses on its worker apart from accelerators."""

    slots: int = 0
    processors: int = 0
    memory_mb: int = 0

    def plus(self, other: "Resources", times: int = 1) -> "Resources":
        """Return the sum of these resources and `times` the other."""
        return Resources(
            self.slots + other.slots * times,
            self.processors + other.processors * times,
            self.memory_mb + other.memory_mb * times,
        )

    def elementwise_max(self, other: "Resources") -> "Resources":
        """Return the larger amount of each resource."""
        return Resources(*map(max, self, other))


NO_RESOURCES = Resources()


def mask_of(indices: Iterable[int]) -> int:
    """Return a bit mask with the bits of `indices` set."""
    mask = 0
    for index in indices:
        mask |= 1 << index
    return mask


def indices_of(mask: int) -> tuple[int, ...]:
    """Return the positions of the set bits of `mask`."""
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


class Rack:
    """Accelerator counts of a rack and the quiet hours that limit them.

    `busy` counts the allocated accelerators, `uninterruptible_busy` those of them that run
    uninterruptible tasks. `free` is the number of accelerators of usable workers less `busy`.
    """

    __slots__ = ("busy", "free", "key", "rule", "uninterruptible_busy")

    def __init__(self, key: RackKey, rule: QuietRule | None) -> None:
        """Start with no busy accelerators; `rule` is the active rule, None outside quiet hours."""
        self.key = key
        self.rule = rule
        self.busy = 0
        self.free = 0
        self.uninterruptible_busy = 0

    def headroom(self, urgent: bool) -> int:
        """Return how many more accelerators of the rack may become busy now."""
        if self.rule is None or urgent and self.rule.urgent_exempt:
            return UNLIMITED
        return max(0, self.rule.max_busy - self.busy)


class WorkerCapacity:
    """Free resources of one worker.

    `free`, `claimed`, `homeless` and the values of `home_masks` are bit masks of accelerators.
    `claimed` are accelerators that are claimed for a waiting job while a running job may still
    use them; `homeless` are those without a home account. `resources` are the other free
    resources of the worker, `guaranteed` those kept for each account's guarantee, and
    `uninterruptible_use` those in use by uninterruptible tasks of each account; the last is
    recorded only on workers with guarantees. `reserved_for` is the id of the job of
    `reserved_size` accelerators for which the worker is reserved until `reserved_until_ms`.
    """

    __slots__ = (
        "claimed",
        "free",
        "guaranteed",
        "home_masks",
        "homeless",
        "info",
        "probation",
        "rack",
        "reserved_for",
        "reserved_size",
        "reserved_until_ms",
        "resources",
        "state",
        "uninterruptible_use",
        "worker_id",
    )

    def __init__(self, state: WorkerState, rack: Rack, probation: bool = False) -> None:
        """Start with all resources free and no home accounts."""
        info = state.info
        self.worker_id = info.worker_id
        self.info = info
        self.state = state
        self.rack = rack
        self.probation = probation
        self.free = (1 << info.accelerators) - 1
        self.claimed = 0
        self.resources = Resources(info.slots, info.processors, info.memory_mb)
        self.home_masks: dict[str, int] = {}
        self.homeless = self.free
        self.guaranteed: dict[str, Resources] = {}
        self.uninterruptible_use: dict[str, Resources] = {}
        self.reserved_for = ""
        self.reserved_size = 0
        self.reserved_until_ms = 0

    def set_homes(self, homes: tuple[str, ...], accounts_by_id: Mapping[str, Account]) -> None:
        """Set the home account of each accelerator and the resources kept for guarantees."""
        for index, account in enumerate(homes[: self.info.accelerators]):
            if account:
                self.home_masks[account] = self.home_masks.get(account, 0) | 1 << index
                self.homeless &= ~(1 << index)
        for account_id, mask in self.home_masks.items():
            account_config = accounts_by_id.get(account_id)
            guarantee = account_config.guarantee if account_config is not None else None
            if guarantee is not None:
                members = mask.bit_count() // max(1, guarantee.accelerators)
                member = Resources(1, guarantee.processors, guarantee.memory_mb)
                self.guaranteed[account_id] = NO_RESOURCES.plus(member, members)

    def allocate(self, mask: int, used: Resources, account: str, interruptible: bool) -> None:
        """Allocate the accelerators of `mask` and the resources `used`."""
        slots, processors, memory_mb = self.resources
        self.resources = Resources(
            slots - used.slots, processors - used.processors, memory_mb - used.memory_mb
        )
        if mask:
            self.free &= ~mask
        count = mask.bit_count()
        self.rack.busy += count
        self.rack.free -= count
        if not interruptible:
            self.rack.uninterruptible_busy += count
            if self.guaranteed:
                self.uninterruptible_use[account] = self.uninterruptible_use.get(
                    account, NO_RESOURCES
                ).plus(used)

    def claim(self, mask: int, used: Resources) -> None:
        """Claim resources for a waiting job; the accelerators may still be in use."""
        self.free &= ~mask
        self.claimed |= mask
        self.resources = self.resources.plus(used, -1)

    def trial_copy(self) -> "WorkerCapacity":
        """Return a copy for simulations, which leave this worker unchanged."""
        trial = WorkerCapacity.__new__(WorkerCapacity)
        for name in WorkerCapacity.__slots__:
            setattr(trial, name, getattr(self, name))
        trial.uninterruptible_use = dict(self.uninterruptible_use)
        return trial

    def deallocate(self, mask: int, returned: Resources, account: str, interruptible: bool) -> None:
        """Free the resources of an ended task; claimed accelerators stay claimed."""
        self.free |= mask & ~self.claimed
        self.resources = self.resources.plus(returned)
        if not interruptible and account in self.uninterruptible_use:
            self.uninterruptible_use[account] = self.uninterruptible_use[account].plus(returned, -1)

    def resources_available_to(self, account: str, interruptible: bool) -> Resources:
        """Return the resources that a task of `account` may use.

        An uninterruptible task must leave enough for the guarantees of other accounts with homes
        on this worker.
        """
        if interruptible or not self.guaranteed:
            return self.resources
        info = self.info
        spare = Resources(info.slots, info.processors, info.memory_mb)
        for owner in self.guaranteed.keys() | self.uninterruptible_use.keys():
            in_use = self.uninterruptible_use.get(owner, NO_RESOURCES)
            spare = spare.plus(in_use.elementwise_max(self.guaranteed.get(owner, NO_RESOURCES)), -1)
        own_in_use = self.uninterruptible_use.get(account, NO_RESOURCES)
        own_guaranteed = self.guaranteed.get(account, NO_RESOURCES)
        own_resources = spare.plus(own_guaranteed.elementwise_max(own_in_use)).plus(own_in_use, -1)
        return Resources(*map(min, self.resources, own_resources))
