"""Decides what tasks that were preempted before are spared: pure functions.

Answers a load of many urgent gangs on a fleet full of bulk work: tasks that save their progress
lose little each time, so that the same ones are always the cheapest to stop and hardly advance.
"""

__all__ = ["MAX_PREEMPTIONS", "choice_cost", "is_spared_in_placement", "may_be_preempted"]

MAX_PREEMPTIONS = 2  # of one task for urgent units without a guarantee
EXCESS_S = 15.0  # of a victim's own work, about a whole bulk run, that each preemption counts for


def may_be_preempted(times_preempted: int, is_unit_guaranteed: bool) -> bool:
    """Return whether a run that was preempted `times_preempted` times may give way to a unit.

    A guaranteed unit reclaims borrowed capacity at once, whatever was preempted before.
    """
    return is_unit_guaranteed or times_preempted < MAX_PREEMPTIONS


def choice_cost(cost: float, cores: float, times_preempted: int, limits_repeats: bool) -> float:
    """Return what a victim's stop counts for, in core-seconds, when victims are compared.

    It counts more each time, so that a burst doesn't stop the same work again and again. With
    `limits_repeats` a task that was preempted `MAX_PREEMPTIONS` times is chosen for a guaranteed
    unit only if all others would lose far more.
    """
    if cost and limits_repeats and times_preempted >= MAX_PREEMPTIONS:
        cost += cores * EXCESS_S * times_preempted
    return cost * (1 + times_preempted)


def is_spared_in_placement(times_preempted: int) -> bool:
    """Return whether a unit is placed like one that is costly to stop.

    It then stays out of the reserve, where it would be preempted again soon, while it may wait.
    """
    return times_preempted > 0
