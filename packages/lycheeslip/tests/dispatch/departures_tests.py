"""Tests of the workers that may leave next while others leave one after the other."""

import pytest
from lycheeslip.dispatch.departures import (
    JOIN_LEAD_MS,
    PAUSE_MS,
    Departures,
    is_exposed,
    record_departure,
)
from lycheeslip.dispatch.packing import choose_workers

from .builders import unit, worker

FIRST_MS = 1_000_000
SERIES = Departures(FIRST_MS, FIRST_MS + 3_000)


def test_departures_in_a_row_are_one_series():
    series = record_departure(None, FIRST_MS)
    assert record_departure(series, FIRST_MS + PAUSE_MS) == (FIRST_MS, FIRST_MS + PAUSE_MS)


def test_departure_after_a_pause_begins_a_new_series():
    late_ms = FIRST_MS + PAUSE_MS + 1
    assert record_departure(Departures(FIRST_MS, FIRST_MS), late_ms) == (late_ms, late_ms)


@pytest.mark.parametrize(
    ("born_ms", "now_ms", "expected"),
    [
        (FIRST_MS - JOIN_LEAD_MS - 1, FIRST_MS + 4_000, True),
        (FIRST_MS - JOIN_LEAD_MS, FIRST_MS + 4_000, False),
        (FIRST_MS + 2_000, FIRST_MS + 4_000, False),
        (0, FIRST_MS + 4_000, True),
        (0, SERIES.last_at_ms + PAUSE_MS + 1, False),
    ],
    ids=["old", "started before the old ones leave", "new", "unknown", "series over"],
)
def test_workers_older_than_the_series_are_exposed(born_ms: int, now_ms: int, expected: bool):
    assert is_exposed(SERIES, born_ms, now_ms) is expected


def test_no_worker_is_exposed_while_none_leaves():
    assert not is_exposed(None, 0, FIRST_MS)


@pytest.mark.parametrize(("saves_progress", "chosen"), [(False, "new"), (True, "old")])
def test_units_that_save_their_progress_leave_new_workers_to_others(saves_progress, chosen):
    workers = [worker("old", is_exposed=True), worker("new")]
    assert [w.node for w in choose_workers(unit(saves_progress=saves_progress), workers)] == [
        chosen
    ]
