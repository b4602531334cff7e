"""Proofs of the promises under failure; run them all with `make prove`."""

import importlib

from tests.prove.trial import SCENARIOS, Scenario

__all__ = ["all_scenarios"]

MODULES = (
    "zones",
    "once",
    "gangs",
    "answers",
    "boundaries",
    "configuration",
    "leaving",
    "guarantees",
)


def all_scenarios() -> list[Scenario]:
    """Return every proof, in the order of the promises."""
    for module in MODULES:
        importlib.import_module(f"tests.prove.{module}")
    return SCENARIOS
