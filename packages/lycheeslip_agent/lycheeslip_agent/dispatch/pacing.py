"""Throttles filling runs while serving runs on the same worker are near their latency targets.

Serving runs have a latency target; filling runs use the capacity that the others leave idle.
"""

from dataclasses import dataclass, field

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import Lifetime, RunningRun

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.worker_port import Taken, WorkerPort

__all__ = ["Pacer", "PacingState", "next_percent"]

FULL_PERCENT = 100
SLOW_DOWN_PRESSURE = 0.8  # ratio of latency to target from which filling runs are slowed down
SPEED_UP_PRESSURE = 0.6  # ratio below which filling runs are sped up
STEP_PERCENT = 10  # from 0 to 100 % in 5 s; the load of serving runs changes within seconds
SETTLE_MS = 500  # latencies cover the last 0.5 s, so a change takes this long to show
PAUSE_AFTER_MS = 1_000  # time above a target before filling runs pause; targets allow 4 s and more


@dataclass(slots=True)
class PacingState:
    """The percentage of full speed at which the filling runs of one worker may work.

    `above_since_ms` is since when a latency has been at or above its target, or 0 while none is.
    `applied` holds the percentage that the worker has confirmed, by task and run.
    """

    percent: int = FULL_PERCENT
    changed_at_ms: int = 0
    above_since_ms: int = 0
    applied: dict[tuple[str, int], int] = field(default_factory=dict)


def next_percent(pacing: PacingState, pressure: float, now_ms: int) -> int:
    """Return the next percentage; `pressure` is the highest ratio of a latency to its target.

    The percentage is halved under high pressure, at most once in the time that a change takes
    to show, and raised in small steps under low pressure.
    """
    pacing.above_since_ms = (pacing.above_since_ms or now_ms) if pressure >= 1.0 else 0
    if pacing.above_since_ms and now_ms - pacing.above_since_ms >= PAUSE_AFTER_MS:
        return 0
    if now_ms - pacing.changed_at_ms < SETTLE_MS:
        return pacing.percent
    if pressure >= SLOW_DOWN_PRESSURE:
        return pacing.percent // 2
    if pressure < SPEED_UP_PRESSURE:
        return min(FULL_PERCENT, pacing.percent + STEP_PERCENT)
    return pacing.percent


class Pacer:
    """Keeps all filling runs of this agent's worker at a common percentage of their speed."""

    def __init__(self, board: Board, worker: WorkerPort) -> None:
        """Pace the filling runs on `worker` by the latencies on `board`."""
        self._board = board
        self._worker = worker
        self._lifetime: Lifetime | None = None
        self._pacing = PacingState()

    async def run(self) -> None:
        """Pace after each update of the run lists, until cancelled."""
        while True:
            await self._board.lists_updated.wait()
            self._board.lists_updated.clear()
            await self._step()

    async def _step(self) -> None:
        board = self._board
        filling = list(board.filling_runs())
        if self._lifetime != board.lifetime:
            self._lifetime, self._pacing = board.lifetime, PacingState()
        if not filling:
            self._pacing = PacingState()
            return
        self._update_percent(steady_ms())
        for run in filling:
            await self._apply(run)

    def _update_percent(self, now_ms: int) -> None:
        pacing = self._pacing
        serving = list(self._board.serving_runs())
        pressure = max((run.load / traits.target_ms for run, traits in serving), default=0.0)
        percent = next_percent(pacing, pressure, now_ms)
        if percent == pacing.percent:
            return
        log_event(
            "filling_paced",
            percent=percent,
            before=pacing.percent,
            pressure=round(pressure, 2),
            serving=len(serving),
        )
        self._board.counters.gauge("filling_percent", percent)
        pacing.percent, pacing.changed_at_ms = percent, now_ms

    async def _apply(self, run: RunningRun) -> None:
        pacing, lifetime = self._pacing, self._board.lifetime
        key = (run.task, run.run)
        if lifetime is None or pacing.applied.get(key, FULL_PERCENT) == pacing.percent:
            return
        outcome = await self._worker.pace(
            lifetime, run.task, run.run, pacing.percent, self._board.epoch
        )
        if isinstance(outcome, Taken):
            pacing.applied[key] = pacing.percent
            return
        pacing.applied.pop(key, None)
        self._board.counters.count("pace_retries", type(outcome).__name__)
        log_warning("pace_not_confirmed", task=run.task, run=run.run, outcome=outcome)
