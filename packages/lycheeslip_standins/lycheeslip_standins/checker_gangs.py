"""Measures how long a gang ran with only some of its members."""

from collections.abc import Sequence
from enum import StrEnum

from lycheeslip_standins.checker_facts import BackendEvent

__all__ = ["longest_partial_run_ms"]


class _Phase(StrEnum):
    ABSENT = "absent"
    RUNNING = "running"
    FINISHED = "finished"


PHASE_BY_EVENT = {
    "started": _Phase.RUNNING,
    "finished": _Phase.FINISHED,
    "failed": _Phase.ABSENT,
    "stopped": _Phase.ABSENT,
    "lapsed": _Phase.ABSENT,
    "killed": _Phase.ABSENT,
}


def longest_partial_run_ms(events: Sequence[BackendEvent], until_ms: int) -> int:
    """Return the longest time that some members of one attempt ran while others were absent.

    A member that has finished does not count as absent. Members that still run at the last event
    are assumed to run until `until_ms`.
    """
    members = events[0].members
    phase_by_member = dict.fromkeys(range(members), _Phase.ABSENT)
    longest_ms = 0
    partial_since_ms: int | None = None
    for event in sorted(events, key=lambda event: event.monotonic_ms):
        phase_by_member[event.member] = PHASE_BY_EVENT.get(
            event.event, phase_by_member[event.member]
        )
        if not _is_partial(phase_by_member):
            longest_ms = max(longest_ms, _elapsed_ms(partial_since_ms, event.monotonic_ms))
            partial_since_ms = None
        elif partial_since_ms is None:
            partial_since_ms = event.monotonic_ms
    return max(longest_ms, _elapsed_ms(partial_since_ms, until_ms))


def _is_partial(phase_by_member: dict[int, _Phase]) -> bool:
    phases = set(phase_by_member.values())
    return _Phase.RUNNING in phases and _Phase.ABSENT in phases


def _elapsed_ms(start_ms: int | None, end_ms: int) -> int:
    return 0 if start_ms is None else end_ms - start_ms
