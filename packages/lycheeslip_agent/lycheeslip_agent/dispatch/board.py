"""The agent's blackboard: its worker, the runs there, and the lease that it holds."""

import asyncio
from collections.abc import Iterator

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.counters import Counters
from lycheeslip_common.workload.fleet import (
    EndedRun,
    Lifetime,
    Message,
    RunningRun,
    RunTraits,
    WorkerReport,
)
from lycheeslip_common.workload.link import Link
from lycheeslip_common.workload.times import CLOCK_DRIFT, DispatchTimes

from lycheeslip_agent.dispatch.worker_port import Announced

__all__ = ["Board"]


class Board:
    """State shared by the agent's controllers."""

    def __init__(self, node: str, times: DispatchTimes) -> None:
        """Start without a worker and without a leader."""
        self.node = node
        self.times = times
        self.counters = Counters()
        self.announced: Announced | None = None
        self.is_gone = False
        self.has_lists = False
        self.running: dict[str, RunningRun] = {}
        self.ended: tuple[EndedRun, ...] = ()
        self.recorded_number = 0
        self.epoch = 0
        self.lease_until_ms = 0
        self.clock_ms = 0
        self.clock_read_at_ms = 0
        self.link: Link | None = None
        self.pending: dict[tuple[str, int], int] = {}
        self.to_report = asyncio.Event()
        self.to_hold = asyncio.Event()
        self.lists_taken = asyncio.Event()
        self.traits: dict[str, RunTraits] = {}

    @property
    def lifetime(self) -> Lifetime | None:
        """The life of the worker that is announced now."""
        return self.announced.lifetime if self.announced else None

    def serving_runs(self) -> Iterator[tuple[RunningRun, RunTraits]]:
        """Iterate over the runs that serve under a latency target."""
        return (found for found in self._runs_with_traits() if found[1].target_ms > 0)

    def filling_runs(self) -> Iterator[RunningRun]:
        """Iterate over the runs that use what others leave."""
        return (run for run, traits in self._runs_with_traits() if traits.is_filling)

    def _runs_with_traits(self) -> Iterator[tuple[RunningRun, RunTraits]]:
        for run in self.running.values():
            traits = self.traits.get(run.task)
            if traits is not None and traits.run == run.run:
                yield run, traits

    def note_clock(self, clock_ms: int) -> None:
        """Take note of the worker's clock, as read just now."""
        self.clock_ms, self.clock_read_at_ms = clock_ms, steady_ms()

    def worker_time_of(self, at_ms: int) -> int:
        """Return a time on the worker's clock that is surely not later than `at_ms` here."""
        elapsed_ms = max(0, at_ms - self.clock_read_at_ms)
        return self.clock_ms + int(elapsed_ms * (1 - CLOCK_DRIFT))

    def lease_on_worker_clock(self) -> int:
        """Return the end of the agent's lease on the worker's clock; 0 if it has ended."""
        if self.clock_ms == 0 or self.lease_until_ms <= steady_ms():
            return 0
        return self.worker_time_of(self.lease_until_ms)

    def report(self) -> WorkerReport:
        """Return all that is known of the worker."""
        announced = self.announced
        if announced is None or self.is_gone:
            return WorkerReport(None, "", "", (), 0, 0, 0, False, (), ())
        return WorkerReport(
            announced.lifetime,
            announced.service,
            announced.zone,
            announced.labels,
            announced.cpu_milli,
            announced.memory_mb,
            announced.accelerators,
            announced.is_ready,
            tuple(self.running.values()),
            tuple(end for end in self.ended if end.number > self.recorded_number),
            announced.remaining_ms,
            tuple(self.pending),
        )

    def post(self, message: Message) -> None:
        """Send `message` to the leader if there is a link; a lost one is made good by reports."""
        if self.link is not None:
            self.link.post(message)
