"""Rendezvous hashing: all processes choose the same member of a set for a given key."""

from collections.abc import Iterable
from hashlib import sha256

__all__ = ["choose", "ranked"]


def _weight(key: str, member: str) -> bytes:
    return sha256(f"{key}\0{member}".encode()).digest()


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` in order of preference for `key`, most preferred first."""
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def choose(key: str, members: Iterable[str]) -> str:
    """Return the preferred member for `key`, or "" if there is none."""
    return max(members, key=lambda member: _weight(key, member), default="")
