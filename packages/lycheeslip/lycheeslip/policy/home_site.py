"""A worker as a candidate for the home accelerators of guarantees."""

from typing import NamedTuple

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.structure.jobs import Shape

from lycheeslip.policy.placement import pick_adjacent
from lycheeslip.policy.worker_capacity import Resources, mask_of

__all__ = ["AccountGuarantee", "HomeSite"]


class AccountGuarantee(NamedTuple):
    """Guarantee of one account."""

    account: str
    shape: Shape


class HomeSite:
    """A worker that may provide home accelerators, and its resources not yet assigned."""

    def __init__(self, state: WorkerState, previous: tuple[str, ...]) -> None:
        """Start without homes; `previous` is the home account of each accelerator until now."""
        info = state.info
        self.worker_id = info.worker_id
        self.zone = info.zone
        self.rack = (info.zone, info.rack)
        self.region = info.region
        self.remaining = Resources(info.slots, info.processors, info.memory_mb)
        self.free = (1 << info.accelerators) - 1
        self.accounts = [""] * info.accelerators
        self.previous: dict[str, int] = {}
        for index, account in enumerate(previous[: info.accelerators]):
            if account:
                self.previous[account] = self.previous.get(account, 0) | 1 << index
        self._uninterruptible: dict[str, int] = {}
        for grant in state.grants:
            if not grant.interruptible:
                mask = self._uninterruptible.get(grant.account, 0) | mask_of(grant.accelerators)
                self._uninterruptible[grant.account] = mask

    def kept(self, account: str) -> int:
        """Return a mask of previous home accelerators of `account` that are still unassigned."""
        return self.previous.get(account, 0) & self.free

    def usable(self, account: str, strictness: int) -> int:
        """Return a mask of accelerators that may become homes of `account`.

        A `strictness` of 1 excludes previous homes of other accounts, 2 also accelerators on
        which other accounts run uninterruptible tasks. Homes that `account` can keep are
        always included.
        """
        mask = self.free
        for other in self.previous.keys() - {account} if strictness >= 1 else ():
            mask &= ~self.previous[other]
        for other in self._uninterruptible.keys() - {account} if strictness >= 2 else ():
            mask &= ~self._uninterruptible[other]
        return mask | self.kept(account)

    def members_that_fit(self, guarantee: AccountGuarantee, strictness: int) -> int:
        """Return how many members of the guarantee fit; see `usable` for `strictness`."""
        shape = guarantee.shape
        limits = [
            self.remaining.slots,
            self.usable(guarantee.account, strictness).bit_count() // shape.accelerators,
        ]
        if shape.processors:
            limits.append(self.remaining.processors // shape.processors)
        if shape.memory_mb:
            limits.append(self.remaining.memory_mb // shape.memory_mb)
        return max(0, min(limits))

    def allocate(self, guarantee: AccountGuarantee, strictness: int) -> None:
        """Assign homes for one member, on previous homes of the account if possible.

        See `usable` for `strictness`.
        """
        count = guarantee.shape.accelerators
        usable = self.usable(guarantee.account, strictness)
        kept = usable & self.kept(guarantee.account)
        indices = pick_adjacent(kept, min(count, kept.bit_count()))
        indices += pick_adjacent(usable & ~mask_of(indices), count - len(indices))
        for index in indices:
            self.accounts[index] = guarantee.account
        self.free &= ~mask_of(indices)
        self.remaining = self.remaining.plus(
            Resources(1, guarantee.shape.processors, guarantee.shape.memory_mb), -1
        )
