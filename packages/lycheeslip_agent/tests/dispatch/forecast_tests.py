"""How long runs still take, by the progress that workers report."""

import pytest
from lycheeslip_agent.dispatch.forecast import RunSpeed


def speed_of(*samples: tuple[int, int]) -> RunSpeed:
    speed = RunSpeed()
    for clock_ms, percent in samples:
        speed.add(clock_ms, percent)
    return speed


def test_first_forecast_comes_with_the_second_sample():
    assert speed_of((1_000, 5)).forecast() is None
    forecast = speed_of((1_000, 5), (1_300, 25)).forecast()
    assert forecast is not None
    assert (forecast.remaining_ms, forecast.whole_run_ms) == (1_125, 1_500)


def test_run_that_slows_down_keeps_its_best_duration():
    samples = [(0, 0), (300, 15), (600, 30), *((600 + 300 * n, 30 + n) for n in range(1, 6))]
    forecast = speed_of(*samples).forecast()
    assert forecast is not None
    assert forecast.whole_run_ms == 2_000
    assert forecast.remaining_ms > 10_000


def test_run_that_stands_still_takes_at_least_what_its_last_progress_allows():
    forecast = speed_of(*((300 * n, 40) for n in range(6))).forecast()
    assert forecast is not None
    assert forecast.remaining_ms == 60 * 1_000
    assert forecast.whole_run_ms == -1


def test_steady_long_run_is_not_taken_for_one_that_stands_still():
    forecast = speed_of(*((300 * n, n // 12) for n in range(60))).forecast()
    assert forecast is not None
    assert forecast.is_bound
    assert forecast.remaining_ms <= 360_000
    forecast = speed_of(*((1_500 * n, 1_500 * n // 3_600) for n in range(60))).forecast()
    assert forecast is not None
    assert not forecast.is_bound
    assert abs(forecast.remaining_ms - 360_000 + 59 * 1_500) < 45_000


@pytest.mark.parametrize("clock_ms", [300, 200])
def test_late_answer_of_an_earlier_sample_is_ignored(clock_ms):
    speed = speed_of((0, 0), (300, 30))
    speed.add(clock_ms, 0)
    assert speed.forecast() == speed_of((0, 0), (300, 30)).forecast()


def test_member_that_waits_for_its_gang_does_not_count_as_slowed_down():
    speed = speed_of((0, 0), (500, 50), (1_000, 100))
    forecast = speed.forecast()
    for clock_ms in range(1_200, 4_000, 200):
        speed.add(clock_ms, 100)
    assert speed.forecast() == forecast


def test_run_that_is_slowed_down_half_way_does_not_seem_longer_and_longer():
    fast = [(500 * n, 5 * n) for n in range(11)]
    slow = [(5_000 + 500 * n, 50 + n) for n in range(1, 41)]
    forecast = speed_of(*fast, *slow).forecast()
    assert forecast is not None
    assert forecast.whole_run_ms <= 13_000
