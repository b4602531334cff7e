"""Scheduling decisions as pure functions; nothing here does I/O or reads a clock."""

from lycheeslip.policy.fits import can_ever_fit
from lycheeslip.policy.history import EndedAttempt, History
from lycheeslip.policy.homes import assign_homes
from lycheeslip.policy.plan import next_reservation, plan

__all__ = [
    "EndedAttempt",
    "History",
    "assign_homes",
    "can_ever_fit",
    "next_reservation",
    "plan",
]
