"""Scheduling decisions as pure functions, which perform no I/O and read no clock."""

from lycheeslip.policy.feasibility import misfit_reason
from lycheeslip.policy.homes import assign_homes
from lycheeslip.policy.plan import plan

__all__ = ["assign_homes", "misfit_reason", "plan"]
