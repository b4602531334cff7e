"""Scheduling decisions as pure functions; nothing here does I/O or reads a clock."""

from lycheeslip.policy.feasibility import can_ever_fit
from lycheeslip.policy.homes import assign_homes
from lycheeslip.policy.plan import plan

__all__ = ["assign_homes", "can_ever_fit", "plan"]
