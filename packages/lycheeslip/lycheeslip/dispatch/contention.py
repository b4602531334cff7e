"""Decides where the rules for contention between accounts apply, and which units they spare."""

from lycheeslip_common.workload.operator import OperatorConfig

__all__ = ["MIN_ACCOUNTS", "has_contention_rules", "is_spared_in_placement"]

MIN_ACCOUNTS = 8  # with fewer, urgent bursts of several accounts seldom coincide


def has_contention_rules(config: OperatorConfig | None) -> bool:
    """Return whether the decisions for many accounts apply under `config`."""
    return config is not None and len(config.accounts) >= MIN_ACCOUNTS


def is_spared_in_placement(times_preempted: int) -> bool:
    """Return whether a unit is placed like one that is costly to stop.

    Answers a load of urgent bursts on a fleet full of work that saves its progress: once stopped,
    it would start again in the reserve, where the next burst stops it. It stays out of the reserve
    while it may wait.
    """
    return times_preempted > 0
