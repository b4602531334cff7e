"""A worker as a site for the home accelerators of guarantees."""

from typing import NamedTuple

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.structure.jobs import Shape

from lycheeslip.policy.free_worker import Resources, mask_of
from lycheeslip.policy.placement import pick_adjacent

__all__ = ["Claim", "Site"]


class Claim(NamedTuple):
    """One account's guarantee, in the order in which homes are chosen."""

    account: str
    shape: Shape


class Site:
    """A worker on which homes may lie, with what is left for further guarantees."""

    def __init__(self, state: WorkerState, previous: tuple[str, ...]) -> None:
        """Start without homes; `previous` are the accounts of the accelerators until now."""
        info = state.info
        self.worker_id = info.worker_id
        self.zone = info.zone
        self.rack = (info.zone, info.rack)
        self.region = info.region
        self.left = Resources(info.slots, info.processors, info.memory_mb)
        self.free = (1 << info.accelerators) - 1
        self.accounts = [""] * info.accelerators
        self.previous: dict[str, int] = {}
        for index, account in enumerate(previous[: info.accelerators]):
            if account:
                self.previous[account] = self.previous.get(account, 0) | 1 << index
        self._firm: dict[str, int] = {}
        for grant in state.grants:
            if not grant.interruptible:
                mask = self._firm.get(grant.account, 0) | mask_of(grant.accelerators)
                self._firm[grant.account] = mask

    def kept(self, account: str) -> int:
        """Return the accelerators that were and can stay homes of `account`."""
        return self.previous.get(account, 0) & self.free

    def usable(self, account: str, caution: int) -> int:
        """Return where new homes may lie; a higher `caution` leaves out more.

        1 leaves out other accounts' previous homes, 2 also what others hold unstoppably.
        """
        mask = self.free
        for other in self.previous.keys() - {account} if caution >= 1 else ():
            mask &= ~self.previous[other]
        for other in self._firm.keys() - {account} if caution >= 2 else ():
            mask &= ~self._firm[other]
        return mask | self.kept(account)

    def members(self, claim: Claim, caution: int) -> int:
        """Return how many members of the guarantee can have their homes here."""
        shape = claim.shape
        limits = [
            self.left.slots,
            self.usable(claim.account, caution).bit_count() // shape.accelerators,
        ]
        if shape.processors:
            limits.append(self.left.processors // shape.processors)
        if shape.memory_mb:
            limits.append(self.left.memory_mb // shape.memory_mb)
        return max(0, min(limits))

    def take(self, claim: Claim, caution: int) -> None:
        """Make homes for one member, where they were before if possible."""
        count = claim.shape.accelerators
        usable = self.usable(claim.account, caution)
        kept = usable & self.kept(claim.account)
        indices = pick_adjacent(kept, min(count, kept.bit_count()))
        indices += pick_adjacent(usable & ~mask_of(indices), count - len(indices))
        for index in indices:
            self.accounts[index] = claim.account
        self.free &= ~mask_of(indices)
        self.left = self.left.plus(Resources(1, claim.shape.processors, claim.shape.memory_mb), -1)
