"""Pacing of filling runs beside serving runs."""

from hypothesis import given
from hypothesis import strategies as st
from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.pacing import (
    PAUSE_AFTER_MS,
    SETTLE_MS,
    SLOW_DOWN_PRESSURE,
    Pacer,
    PacingState,
    next_percent,
)
from lycheeslip_agent.dispatch.worker_port import NoAnswer, Taken, WorkerStatus
from lycheeslip_common.workload.fleet import Lifetime, RunningRun, RunTraits
from lycheeslip_common.workload.times import DispatchTimes

LIFETIME = Lifetime("i-1", 5)
SERVING, FILLING = "a" * 16 + ".0.0.0", "b" * 16 + ".0.0.0"


def percent_after(pressures: list[float], every_ms: int = SETTLE_MS) -> int:
    """Return the percentage after these pressures, one every `every_ms`."""
    pacing = PacingState()
    for number, pressure in enumerate(pressures, 1):
        percent = next_percent(pacing, pressure, number * every_ms)
        if percent != pacing.percent:
            pacing.percent, pacing.changed_at_ms = percent, number * every_ms
    return pacing.percent


def test_filling_runs_work_at_full_speed_while_latencies_are_low():
    assert percent_after([0.1] * 20) == 100


def test_the_percentage_is_halved_near_the_target():
    assert percent_after([SLOW_DOWN_PRESSURE, SLOW_DOWN_PRESSURE]) == 25


def test_the_percentage_is_halved_only_once_before_the_change_shows():
    assert percent_after([SLOW_DOWN_PRESSURE] * 4, every_ms=SETTLE_MS // 4) == 50


def test_a_latency_above_its_target_pauses_filling_runs():
    assert percent_after([1.2] * (1 + PAUSE_AFTER_MS // 100), every_ms=100) == 0


def test_the_percentage_recovers_in_steps():
    assert percent_after([SLOW_DOWN_PRESSURE, 0.3, 0.3]) == 70


@given(st.lists(st.floats(0.0, 3.0), min_size=1, max_size=40))
def test_the_percentage_stays_in_range_and_never_rises_under_pressure(pressures: list[float]):
    before = percent_after(pressures)
    assert 0 <= before <= 100
    assert percent_after([*pressures, 1.0]) <= before


class RecordingWorker:
    """Records the paces it is given; answers from a list, whose last answer repeats."""

    def __init__(self, *answers):
        self._answers = list(answers) or [Taken(1)]
        self.calls: list[tuple[str, int]] = []

    async def pace(self, lifetime, task, run, percent, epoch):
        self.calls.append((task, percent))
        return self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]


def board_with(latency_ms: int, traits: bool = True) -> Board:
    board = Board("agent-1", DispatchTimes())
    board.worker_status = WorkerStatus(LIFETIME, 1, "s", "z", ("a", "r"), 1, 1, 1, True, 0)
    board.running = {
        SERVING: RunningRun(SERVING, 1, "", 100, latency_ms),
        FILLING: RunningRun(FILLING, 2, "", 10, 8_000),
    }
    if traits:
        board.traits[SERVING] = RunTraits(LIFETIME, SERVING, 1, 200, False)
        board.traits[FILLING] = RunTraits(LIFETIME, FILLING, 2, 0, True)
    return board


async def test_only_filling_runs_are_paced():
    worker = RecordingWorker()
    await Pacer(board_with(latency_ms=190), worker)._step()
    assert worker.calls == [(FILLING, 50)]


async def test_an_unconfirmed_pace_is_sent_again():
    worker = RecordingWorker(NoAnswer("late"), Taken(1))
    pacer = Pacer(board_with(latency_ms=190), worker)
    await pacer._step()
    await pacer._step()
    await pacer._step()
    assert worker.calls == [(FILLING, 50), (FILLING, 50)]


async def test_runs_with_unknown_traits_are_not_paced():
    worker = RecordingWorker()
    await Pacer(board_with(latency_ms=900, traits=False), worker)._step()
    assert worker.calls == []
