"""Exponential backoff with jitter."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Computes retry delays; each is drawn at random from the upper half of its range."""

    def __init__(self, first_s: float = 0.1, limit_s: float = 5.0, seed: int | None = None) -> None:
        """Start at `first_s` seconds and double the range up to `limit_s` seconds."""
        self._first_s = first_s
        self._limit_s = limit_s
        self._next_s = first_s
        self._random = random.Random(seed)

    def next_delay_s(self) -> float:
        """Return the next delay in seconds and double the range of the following one."""
        delay = self._next_s * self._random.uniform(0.5, 1.0)
        self._next_s = min(self._limit_s, self._next_s * 2)
        return delay

    def reset(self) -> None:
        """Return to the initial delay."""
        self._next_s = self._first_s
