"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints the list after a run."""

from pathlib import Path

import pytest

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_FIELD = "test:"
COMMAND_FIELD = "command:"


def _read_entries(field: str) -> list[str]:
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [line.removeprefix(field).strip() for line in lines if line.startswith(field)]


def _known_failures() -> list[str]:
    return _read_entries(TEST_FIELD)


def pytest_collection_modifyitems(items):
    for item in items:
        if item.nodeid in _known_failures():
            # Strict: a listed test that passes makes the run fail, so that its entry is removed.
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter):
    for name in (*_known_failures(), *_read_entries(COMMAND_FIELD)):
        terminalreporter.write_line(f"KNOWN RED {name}")
