"""Decides what tasks that were preempted before are spared: pure functions.

Answers a load of many urgent gangs on a fleet full of bulk work: tasks that save their progress
lose little each time, so that the same ones are always the cheapest to stop and hardly advance.
"""

__all__ = ["MAX_PREEMPTIONS", "is_spared_in_placement", "may_be_preempted"]

MAX_PREEMPTIONS = 2  # of one task for urgent units without a guarantee


def may_be_preempted(times_preempted: int, is_unit_guaranteed: bool) -> bool:
    """Return whether a run that was preempted `times_preempted` times may give way to a unit.

    A guaranteed unit reclaims borrowed capacity at once, whatever was preempted before.
    """
    return is_unit_guaranteed or times_preempted < MAX_PREEMPTIONS


def is_spared_in_placement(times_preempted: int) -> bool:
    """Return whether a unit is placed like one that is costly to stop.

    It then stays out of the reserve, where it would be preempted again soon, while it may wait.
    """
    return times_preempted > 0
