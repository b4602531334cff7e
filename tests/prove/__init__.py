"""Fault-injection tests of the scheduler's guarantees; `make prove` runs all of them."""

import importlib

from tests.prove.trial import SCENARIOS, Scenario

__all__ = ["all_scenarios"]

MODULES = (
    "zones",
    "at_most_once",
    "gangs",
    "answers",
    "crash_points",
    "configuration",
    "leaving",
    "guarantees",
)


def all_scenarios() -> list[Scenario]:
    """Import all scenario modules and return their scenarios in order of registration."""
    for module in MODULES:
        importlib.import_module(f"tests.prove.{module}")
    return SCENARIOS
