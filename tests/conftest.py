"""Marks the tests that KNOWN-RED.txt lists as expected to fail, and prints them after a run."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_FIELD = "test:"
COMMAND_FIELD = "command:"


def _listed(field: str) -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix(field).strip() for line in lines if line.startswith(field)]


def _known_red() -> list[str]:
    return _listed(TEST_FIELD)


def pytest_collection_modifyitems(items):
    for item in items:
        if item.nodeid in _known_red():
            # Strict, so that a listed test that passes again makes the run fail.
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter):
    for name in (*_known_red(), *_listed(COMMAND_FIELD)):
        terminalreporter.write_line(f"KNOWN RED {name}")
