"""Remembers on which nodes room is being made for urgent units, from round to round."""

from lycheeslip_common.utils.clock import steady_ms

from lycheeslip.dispatch.rooms import UnitKey

__all__ = ["Claims"]

CLAIM_MS = 3_000  # a stop takes up to 0.4 s and its order may be lost once; late runs end meanwhile


class Claims:
    """Claims end when their unit starts or is gone, and after a while in any case."""

    def __init__(self) -> None:
        """Start without any."""
        self._nodes_by_unit: dict[UnitKey, frozenset[str]] = {}
        self._until_ms: dict[UnitKey, int] = {}

    def clear(self) -> None:
        """Forget those of an earlier term."""
        self._nodes_by_unit.clear()
        self._until_ms.clear()

    def current(self) -> dict[UnitKey, frozenset[str]]:
        """Return the claims that still hold."""
        now = steady_ms()
        return {
            key: self._nodes_by_unit[key] for key, until in self._until_ms.items() if now < until
        }

    def replace(self, claims: dict[UnitKey, frozenset[str]]) -> None:
        """Take over what a round has claimed; a claim that is renewed keeps its end."""
        limit = steady_ms() + CLAIM_MS
        still = self.current()
        self._until_ms = {key: self._until_ms[key] if key in still else limit for key in claims}
        self._nodes_by_unit = claims
