"""Slows tasks that fill while tasks that serve beside them are near their latency targets."""

from dataclasses import dataclass, field

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import Lifetime, RunningRun

from lycheeslip_agent.dispatch.board import Board
from lycheeslip_agent.dispatch.worker_port import Taken, WorkerPort

__all__ = ["Pacer", "Pacing", "next_percent"]

FULL_PERCENT = 100
NEAR_TARGET = 0.8  # share of the target from which tasks that fill give way
EASY_TARGET = 0.6  # share of the target up to which they may work harder
STEP_PERCENT = 10  # from none to all in 5 s; disturbances change within seconds
SETTLE_MS = 500  # a figure covers the last half second, so that a change shows after this
ABOVE_LIMIT_MS = 1_000  # above target for so long, they pause; targets allow 4 s and more


@dataclass(slots=True)
class Pacing:
    """The share at which the tasks that fill one worker may work.

    `above_since_ms` is when a latency was first seen above its target, 0 while none is.
    """

    percent: int = FULL_PERCENT
    changed_at_ms: int = 0
    above_since_ms: int = 0
    applied: dict[tuple[str, int], int] = field(default_factory=dict)


def next_percent(pacing: Pacing, pressure: float, now_ms: int) -> int:
    """Return the share to work at; `pressure` is the highest latency by its target.

    Halves the share under pressure, at most once in the time that a change takes to show, and
    raises it slowly while there is none.
    """
    pacing.above_since_ms = (pacing.above_since_ms or now_ms) if pressure >= 1.0 else 0
    if pacing.above_since_ms and now_ms - pacing.above_since_ms >= ABOVE_LIMIT_MS:
        return 0
    if now_ms - pacing.changed_at_ms < SETTLE_MS:
        return pacing.percent
    if pressure >= NEAR_TARGET:
        return pacing.percent // 2
    if pressure < EASY_TARGET:
        return min(FULL_PERCENT, pacing.percent + STEP_PERCENT)
    return pacing.percent


class Pacer:
    """Keeps the tasks that fill this agent's worker at a common share."""

    def __init__(self, board: Board, worker: WorkerPort) -> None:
        """Pace runs on `worker` by what `board` lists."""
        self._board = board
        self._worker = worker
        self._lifetime: Lifetime | None = None
        self._pacing = Pacing()

    async def run(self) -> None:
        """Pace after each list of runs, for ever."""
        while True:
            await self._board.lists_taken.wait()
            self._board.lists_taken.clear()
            await self._step()

    async def _step(self) -> None:
        board = self._board
        filling = list(board.filling_runs())
        if self._lifetime != board.lifetime:
            self._lifetime, self._pacing = board.lifetime, Pacing()
        if not filling:
            self._pacing = Pacing()
            return
        self._decide(steady_ms())
        for run in filling:
            await self._apply(run)

    def _decide(self, now_ms: int) -> None:
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
