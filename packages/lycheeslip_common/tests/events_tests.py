"""The catalogue of events, the code that logs them, and the page made from it."""

import ast
from collections import defaultdict
from pathlib import Path

import pytest
from lycheeslip_common.utils.events import EVENTS, events_page

ROOT = Path(__file__).parents[3]
LOGGING = (
    "packages/lycheeslip/lycheeslip/dispatch",
    "packages/lycheeslip_agent/lycheeslip_agent/dispatch",
    "packages/lycheeslip_common/lycheeslip_common/utils",
    "packages/lycheeslip_common/lycheeslip_common/workload",
    "platform",
)


def logged() -> dict[str, set[str]]:
    """Return the fields of each event that the code logs; names must be literal."""
    found: dict[str, set[str]] = defaultdict(set)
    for folder in LOGGING:
        for path in (ROOT / folder).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
                    continue
                if node.func.id in ("log_event", "log_warning"):
                    assert isinstance(node.args[0], ast.Constant), path
                    found[node.args[0].value].update(str(word.arg) for word in node.keywords)
    return found


def test_every_event_is_in_the_catalogue_and_every_entry_is_logged():
    assert set(logged()) == {event.name for event in EVENTS}


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.name)
def test_fields_are_those_that_the_code_logs(event):
    assert event.fields.split() == sorted(logged()[event.name])


def test_the_catalogue_is_in_order_and_the_page_is_up_to_date():
    names = [event.name for event in EVENTS]
    assert names == sorted(set(names))
    assert (ROOT / "docs/reference/events.md").read_text() == events_page()
