"""Keeps, across planning rounds, the nodes on which capacity is freed for urgent units."""

from lycheeslip_common.utils.clock import steady_ms

from lycheeslip.dispatch.placement_model import UnitKey

__all__ = ["Claims"]

CLAIM_MS = 3_000  # time for a stop (up to 0.4 s), one lost order and overdue runs to end


class Claims:
    """Nodes claimed by units that wait for capacity there.

    A claim lasts while each planning round repeats it, but no longer than `CLAIM_MS`.
    """

    def __init__(self) -> None:
        """Start without claims."""
        self._nodes_by_unit: dict[UnitKey, frozenset[str]] = {}
        self._expires_at_ms: dict[UnitKey, int] = {}

    def clear(self) -> None:
        """Remove the claims of an earlier term."""
        self._nodes_by_unit.clear()
        self._expires_at_ms.clear()

    def current(self) -> dict[UnitKey, frozenset[str]]:
        """Return the claims that have not expired."""
        now = steady_ms()
        return {
            key: self._nodes_by_unit[key]
            for key, expires_at_ms in self._expires_at_ms.items()
            if now < expires_at_ms
        }

    def replace(self, claims: dict[UnitKey, frozenset[str]]) -> None:
        """Replace all claims with those of a round; a repeated claim keeps its expiry."""
        new_expires_at_ms = steady_ms() + CLAIM_MS
        valid = self.current()
        self._expires_at_ms = {
            key: self._expires_at_ms[key] if key in valid else new_expires_at_ms for key in claims
        }
        self._nodes_by_unit = claims
