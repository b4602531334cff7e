"""Link addresses of the other entries, known without the store."""

from collections.abc import Sequence

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.usable import is_usable_address

__all__ = ["EntryDirectory"]

KEEP_MS = 30_000  # outlasts outages of the store and elections, during which nobody lists entries
AVOID_MS = 1_000  # limits what a caller's retries cost while an entry can't help


class EntryDirectory:
    """Addresses learned from leaders, then the seeds of the settings."""

    def __init__(self, seeds: Sequence[str] = ()) -> None:
        """Start with `seeds`, which may name entries that no longer exist."""
        self._seeds = tuple(seeds)
        self._forget_at_ms: dict[str, int] = {}
        self._avoid_until_ms: dict[str, int] = {}
        self._turn = 0

    def add(self, address: str) -> None:
        """Add the address of a live entry, or keep it for longer; an unusable one is left out."""
        if is_usable_address(address):
            self._forget_at_ms[address] = steady_ms() + KEEP_MS

    def avoid(self, address: str) -> None:
        """Leave an entry out of `helpers` for a while, since it could not help."""
        self._avoid_until_ms[address] = steady_ms() + AVOID_MS

    def others(self, own_address: str) -> list[str]:
        """Return all known addresses but `own_address`, also those to avoid."""
        now = steady_ms()
        self._forget_at_ms = {a: at for a, at in self._forget_at_ms.items() if at > now}
        known = dict.fromkeys((*self._forget_at_ms, *self._seeds))
        return [address for address in known if address != own_address]

    def helpers(self, own_address: str, leader_address: str) -> list[str]:
        """Return the entries that may be asked to decide a call, the leader first, then in turn."""
        self._forget_avoided()
        able = [a for a in self.others(own_address) if a not in self._avoid_until_ms]
        turn = self._turn % len(able) if able else 0
        self._turn += 1
        return sorted(able[turn:] + able[:turn], key=lambda address: address != leader_address)

    @property
    def unable(self) -> int:
        """Number of entries that could not help a moment ago."""
        self._forget_avoided()
        return len(self._avoid_until_ms)

    def _forget_avoided(self) -> None:
        now = steady_ms()
        self._avoid_until_ms = {a: at for a, at in self._avoid_until_ms.items() if at > now}
