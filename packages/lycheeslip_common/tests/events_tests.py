"""Checks that the event catalogue matches the code that logs and the generated page."""

import ast
from collections import defaultdict
from pathlib import Path

import pytest
from lycheeslip_common.utils.events import EVENTS, events_page

ROOT = Path(__file__).parents[3]
LOGGING_FOLDERS = (
    "packages/lycheeslip/lycheeslip/dispatch",
    "packages/lycheeslip_agent/lycheeslip_agent/dispatch",
    "packages/lycheeslip_common/lycheeslip_common/admission",
    "packages/lycheeslip_common/lycheeslip_common/utils",
    "packages/lycheeslip_common/lycheeslip_common/workload",
    "platform",
)


def find_logged_fields() -> dict[str, set[str]]:
    """Return the fields of each event that the code logs; event names must be literals."""
    fields_by_event: dict[str, set[str]] = defaultdict(set)
    for folder in LOGGING_FOLDERS:
        for path in (ROOT / folder).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
                    continue
                if node.func.id in ("log_event", "log_warning"):
                    assert isinstance(node.args[0], ast.Constant), path
                    fields_by_event[node.args[0].value].update(
                        str(keyword.arg) for keyword in node.keywords
                    )
    return fields_by_event


def test_catalogue_lists_exactly_the_logged_events():
    assert set(find_logged_fields()) == {event.name for event in EVENTS}


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.name)
def test_catalogued_fields_match_the_logged_fields(event):
    assert event.fields.split() == sorted(find_logged_fields()[event.name])


def test_catalogue_is_sorted_and_page_is_up_to_date():
    names = [event.name for event in EVENTS]
    assert names == sorted(set(names))
    assert (ROOT / "docs/reference/events.md").read_text() == events_page()
