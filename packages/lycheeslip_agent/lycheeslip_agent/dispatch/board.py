"""Shared state of an agent's dispatch: the worker, its runs and the run lease."""

import asyncio
from collections.abc import Iterator
from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.counters import Counters
from lycheeslip_common.workload.fleet import (
    MAX_CRASHED_RUNS,
    CrashedRun,
    EndedRun,
    Lifetime,
    Message,
    RunningRun,
    RunTraits,
    WorkerCrash,
    WorkerReport,
)
from lycheeslip_common.workload.link import Link
from lycheeslip_common.workload.times import CLOCK_DRIFT, DispatchTimes

from lycheeslip_agent.dispatch.worker_port import WorkerStatus

__all__ = ["LONG_AGO_MS", "Board", "RunForecast", "SeenCrash"]

LONG_AGO_MS = -3_600_000  # begin of a run that was there before this agent first looked
MAX_REPORTED_CRASHES = 8  # a worker takes seconds to return, and a leader that long to be elected


class SeenCrash(NamedTuple):
    """When a lifetime of the worker crashed, on the agent's clock, and the runs that it had."""

    at_ms: int
    runs: tuple[CrashedRun, ...]


class RunForecast(NamedTuple):
    """When a run will be done, on the agent's clock, and the duration of the whole run."""

    done_at_ms: int
    whole_run_ms: int


class Board:
    """Blackboard on which the dispatch controllers of one agent share their state.

    All times are on the agent's own clock except `worker_clock_ms`, a reading of the worker's.
    `is_worker_unused` is set if the worker had never been called when this agent started, so that
    all of its earlier lifetimes are over. `has_seen_whole_lifetime` is set if no earlier process of
    this agent can have called the present lifetime. `begun_at_ms` is when each listed run was
    confirmed or first listed, and `start_sent_at_ms` when each unanswered start was sent last.
    """

    def __init__(self, node: str, times: DispatchTimes) -> None:
        """Create the state of an agent that knows neither a worker nor a leader."""
        self.node = node
        self.times = times
        self.counters = Counters()
        self.worker_status: WorkerStatus | None = None
        self.is_worker_gone = False
        self.is_worker_unused = False
        self.has_seen_whole_lifetime = False
        self.crash_by_lifetime: dict[Lifetime, SeenCrash] = {}
        self.has_run_lists = False
        self.running: dict[str, RunningRun] = {}
        self.begun_at_ms: dict[tuple[str, int], int] = {}
        self.forecasts: dict[tuple[str, int], RunForecast] = {}
        self.ended: tuple[EndedRun, ...] = ()
        self.last_recorded_end = 0
        self.epoch = 0
        self.lease_until_ms = 0
        self.worker_clock_ms = 0
        self.worker_clock_read_at_ms = 0
        self.link: Link | None = None
        self.pending_starts: dict[tuple[str, int], int] = {}
        self.start_sent_at_ms: dict[tuple[str, int], int] = {}
        self.report_due = asyncio.Event()
        self.poll_requested = asyncio.Event()
        self.lists_updated = asyncio.Event()
        self.traits: dict[str, RunTraits] = {}

    @property
    def lifetime(self) -> Lifetime | None:
        """The lifetime of the worker that last sent a heartbeat, or None."""
        return self.worker_status.lifetime if self.worker_status else None

    def serving_runs(self) -> Iterator[tuple[RunningRun, RunTraits]]:
        """Iterate over the serving runs, which have a latency target, with their traits."""
        return (pair for pair in self._runs_with_traits() if pair[1].target_ms > 0)

    def filling_runs(self) -> Iterator[RunningRun]:
        """Iterate over the filling runs, which use capacity that other runs leave idle."""
        return (run for run, traits in self._runs_with_traits() if traits.is_filling)

    def _runs_with_traits(self) -> Iterator[tuple[RunningRun, RunTraits]]:
        for run in self.running.values():
            traits = self.traits.get(run.task)
            if traits is not None and traits.run == run.run:
                yield run, traits

    def record_worker_clock(self, clock_ms: int) -> None:
        """Record a reading of the worker's clock that was taken just now."""
        self.worker_clock_ms, self.worker_clock_read_at_ms = clock_ms, steady_ms()

    def to_worker_clock_ms(self, at_ms: int) -> int:
        """Convert `at_ms` to the worker's clock; with clock drift, the result is never too late."""
        elapsed_ms = max(0, at_ms - self.worker_clock_read_at_ms)
        return self.worker_clock_ms + int(elapsed_ms * (1 - CLOCK_DRIFT))

    def lease_end_on_worker_ms(self) -> int:
        """Return the end of the agent's lease on the worker's clock, or 0 if it has expired."""
        if self.worker_clock_ms == 0 or self.lease_until_ms <= steady_ms():
            return 0
        return self.to_worker_clock_ms(self.lease_until_ms)

    def report(self) -> WorkerReport:
        """Return the report that describes the worker to the leader."""
        worker_status = self.worker_status
        if worker_status is None or self.is_worker_gone:
            return WorkerReport(None, "", "", (), 0, 0, 0, False, (), (), crashes=self._crashes())
        return WorkerReport(
            worker_status.lifetime,
            worker_status.service,
            worker_status.zone,
            worker_status.labels,
            worker_status.cpu_milli,
            worker_status.memory_mb,
            worker_status.accelerators,
            worker_status.is_ready,
            tuple(self._with_forecast(run) for run in self.running.values()),
            tuple(end for end in self.ended if end.number > self.last_recorded_end),
            worker_status.remaining_ms,
            tuple(self.pending_starts),
            self._crashes(),
        )

    def _with_forecast(self, run: RunningRun) -> RunningRun:
        forecast = self.forecasts.get((run.task, run.run))
        if forecast is None:
            return run
        remaining_ms = max(0, forecast.done_at_ms - steady_ms())
        return run._replace(remaining_ms=remaining_ms, whole_run_ms=forecast.whole_run_ms)

    def record_crash(self, lifetime: Lifetime, at_ms: int, max_order_delay_ms: int) -> SeenCrash:
        """Record that a lifetime crashed at `at_ms`; the last `MAX_REPORTED_CRASHES` are kept.

        A start without an answer may have been carried out `max_order_delay_ms` after it was sent.
        """
        runs = [
            CrashedRun(run.task, run.run, at_ms - self._begun_at_ms(run), True)
            for run in self.running.values()
        ]
        runs += [
            CrashedRun(task, run, max(0, at_ms - sent_at_ms - max_order_delay_ms), False)
            for (task, run), sent_at_ms in self.start_sent_at_ms.items()
        ]
        runs.sort(key=lambda run: run.since_ms)
        crash = SeenCrash(at_ms, tuple(runs[:MAX_CRASHED_RUNS]))
        self.crash_by_lifetime[lifetime] = crash
        for oldest in list(self.crash_by_lifetime)[:-MAX_REPORTED_CRASHES]:
            del self.crash_by_lifetime[oldest]
        return crash

    def _begun_at_ms(self, run: RunningRun) -> int:
        return self.begun_at_ms.get((run.task, run.run), LONG_AGO_MS)

    def _crashes(self) -> tuple[WorkerCrash, ...]:
        now = steady_ms()
        return tuple(
            WorkerCrash(lifetime, now - crash.at_ms, crash.runs)
            for lifetime, crash in self.crash_by_lifetime.items()
        )

    def post(self, message: Message) -> None:
        """Send `message` to the leader if linked; the next report makes up for a lost message."""
        if self.link is not None:
            self.link.post(message)
