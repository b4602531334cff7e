"""Samples the progress of runs, so that the leader knows when they will be done."""

import asyncio

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import Lifetime, RunningRun

from lycheeslip_agent.dispatch.board import Board, RunForecast
from lycheeslip_agent.dispatch.forecast import Forecast, RunSpeed
from lycheeslip_agent.dispatch.worker_port import RunLists, WorkerPort

__all__ = ["ProgressSampler"]

MIN_INTERVAL_MS = 300  # the shortest urgent runs take about a second
MAX_INTERVAL_MS = 1_500
SAMPLES_PER_RUN = 20
# A forecast is sent again once it has changed by both of these, so that steady runs cost nothing.
MIN_CHANGE_MS = 300
MIN_CHANGE_RATIO = 0.15


class ProgressSampler:
    """Reads the worker's lists at intervals while it runs tasks, and writes forecasts to the board.

    The polls that extend the lease can't serve for this: they wait for runs to end.
    """

    def __init__(self, board: Board, worker: WorkerPort) -> None:
        """Sample the runs of `worker`."""
        self._board = board
        self._worker = worker
        self._lifetime: Lifetime | None = None
        self._speeds: dict[tuple[str, int], RunSpeed] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await asyncio.sleep(self._interval_ms() / 1_000)
            if self._board.running and self._board.lifetime is not None:
                await self._sample(self._board.lifetime)

    def _interval_ms(self) -> int:
        """Return the interval for the shortest run; runs of unknown length may be short."""
        forecasts = self._board.forecasts
        whole_runs = [
            forecasts[key].whole_run_ms if (key := (run.task, run.run)) in forecasts else 0
            for run in self._board.running.values()
        ]
        interval_ms = min(whole_runs, default=0) // SAMPLES_PER_RUN
        return min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, interval_ms))

    async def _sample(self, lifetime: Lifetime) -> None:
        board = self._board
        lists = await self._worker.hold(lifetime, 0, board.epoch, board.last_recorded_end, 0)
        if not isinstance(lists, RunLists) or board.lifetime != lifetime:
            return
        if self._lifetime != lifetime:
            self._lifetime, self._speeds = lifetime, {}
        speeds = {(run.task, run.run): RunSpeed() for run in lists.running}
        self._speeds = {key: self._speeds.get(key, new) for key, new in speeds.items()}
        board.forecasts = {key: known for key, known in board.forecasts.items() if key in speeds}
        for run in lists.running:
            speed = self._speeds[(run.task, run.run)]
            speed.add(lists.clock_ms, run.progress)
            self._update_forecast(run, speed.forecast())

    def _update_forecast(self, run: RunningRun, speed: Forecast | None) -> None:
        if speed is None:
            return
        key = (run.task, run.run)
        done_at_ms = steady_ms() + speed.remaining_ms
        known = self._board.forecasts.get(key)
        if known is not None and not _has_changed(known, done_at_ms, speed):
            return
        self._board.forecasts[key] = RunForecast(done_at_ms, speed.whole_run_ms)
        self._board.report_due.set()
        log_event(
            "run_forecast",
            task=run.task,
            run=run.run,
            progress=run.progress,
            remaining_ms=speed.remaining_ms,
            whole_run_ms=speed.whole_run_ms,
        )


def _has_changed(known: RunForecast, done_at_ms: int, speed: Forecast) -> bool:
    """Return whether a forecast is worth a report; a bound is only if it is above what is known."""
    change_ms = max(MIN_CHANGE_MS, MIN_CHANGE_RATIO * speed.remaining_ms)
    if speed.is_bound:
        return done_at_ms > known.done_at_ms + change_ms
    return (
        abs(done_at_ms - known.done_at_ms) > change_ms
        or abs(speed.whole_run_ms - known.whole_run_ms) > change_ms
    )
