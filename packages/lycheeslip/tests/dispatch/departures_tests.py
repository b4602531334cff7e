"""Tests of the workers that may leave next while others leave one after the other."""

import pytest
from lycheeslip.dispatch import departures
from lycheeslip.dispatch.departures import JOIN_LEAD_MS, PAUSE_MS, is_exposed, record_departure
from lycheeslip.dispatch.packing import choose_workers

from .builders import unit, worker

FIRST_MS = 1_000_000
FIRST_STEADY_MS = 50_000


class Clocks:
    """The two clocks, which differ."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.passed_ms = 0
        self.step_ms = 0  # of the wall clock
        monkeypatch.setattr(departures, "steady_ms", lambda: FIRST_STEADY_MS + self.passed_ms)
        monkeypatch.setattr(departures, "wall_ms", lambda: FIRST_MS + self.passed_ms + self.step_ms)


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> Clocks:
    return Clocks(monkeypatch)


def test_departures_in_a_row_are_one_series(clocks: Clocks):
    series = record_departure(None)
    clocks.passed_ms = PAUSE_MS
    assert record_departure(series) == (FIRST_MS, FIRST_STEADY_MS + PAUSE_MS)


def test_departure_after_a_pause_begins_a_new_series(clocks: Clocks):
    series = record_departure(None)
    clocks.passed_ms = PAUSE_MS + 1
    assert record_departure(series).first_at_ms == FIRST_MS + PAUSE_MS + 1


@pytest.mark.parametrize(
    ("born_ms", "passed_ms", "expected"),
    [
        (FIRST_MS - JOIN_LEAD_MS - 1, PAUSE_MS, True),
        (FIRST_MS - JOIN_LEAD_MS, PAUSE_MS, False),
        (FIRST_MS + 2_000, PAUSE_MS, False),
        (0, PAUSE_MS, True),
        (0, PAUSE_MS + 1, False),
    ],
    ids=["old", "started before the old ones leave", "new", "unknown", "series over"],
)
def test_workers_older_than_the_series_are_exposed(
    clocks: Clocks, born_ms: int, passed_ms: int, expected: bool
):
    series = record_departure(None)
    clocks.passed_ms = passed_ms
    assert is_exposed(series, born_ms) is expected


@pytest.mark.parametrize("step_ms", [-3_600_000, 3_600_000])
def test_step_of_the_wall_clock_neither_ends_nor_prolongs_a_series(clocks: Clocks, step_ms: int):
    series = record_departure(None)
    clocks.step_ms = step_ms
    assert is_exposed(series, 0)
    clocks.passed_ms = PAUSE_MS + 1
    assert not is_exposed(series, 0)


def test_no_worker_is_exposed_while_none_leaves():
    assert not is_exposed(None, 0)


@pytest.mark.parametrize(("saves_progress", "chosen"), [(False, "new"), (True, "old")])
def test_units_that_save_their_progress_leave_new_workers_to_others(saves_progress, chosen):
    workers = [worker("old", is_exposed=True), worker("new")]
    assert [w.node for w in choose_workers(unit(saves_progress=saves_progress), workers)] == [
        chosen
    ]
