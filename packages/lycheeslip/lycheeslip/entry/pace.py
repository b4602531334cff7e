"""When the next planning round is due, so that planning takes a bounded share of the processor."""

__all__ = ["Pace"]

MIN_GAP_MS = 20
PAUSE_RATIO = 20
IDLE_PAUSE_RATIO = 100
"""Pauses after a round, as multiples of what the round took."""
MAX_GAP_MS = 1_000
IDLE_GAP_MS = 1_000
MAX_IDLE_GAP_MS = 5_000


class Pace:
    """Remembers the last round; new urgent work is planned at once, the rest takes turns."""

    def __init__(self) -> None:
        """Be due at once."""
        self._ended_at_ms = 0
        self._took_ms = 0
        self._urgent_seen: frozenset[str] = frozenset()

    def note_round(self, ended_at_ms: int, took_ms: int, urgent_waiting: frozenset[str]) -> None:
        """Note a round that has just ended and the urgent jobs that it considered."""
        self._ended_at_ms = ended_at_ms
        self._took_ms = took_ms
        self._urgent_seen = urgent_waiting

    def due_at_ms(self, some_wait: bool, urgent_waiting: frozenset[str]) -> int:
        """Return the earliest time of the next round, on the clock of `note_round`."""
        if urgent_waiting - self._urgent_seen:
            return self._ended_at_ms + MIN_GAP_MS
        if some_wait:
            pause_ms = PAUSE_RATIO * self._took_ms
            return self._ended_at_ms + max(MIN_GAP_MS, min(MAX_GAP_MS, pause_ms))
        pause_ms = IDLE_PAUSE_RATIO * self._took_ms
        return self._ended_at_ms + max(IDLE_GAP_MS, min(MAX_IDLE_GAP_MS, pause_ms))
