"""Keeps the crashes of workers that agents have lately reported, and says which came together."""

import bisect
import itertools
from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.fleet import CrashedRun, Lifetime, WorkerCrash
from lycheeslip_common.workload.progress import EARLY_CRASH_MS

__all__ = ["COINCIDENCE_MS", "CrashLog", "LoggedCrash"]

COINCIDENCE_MS = 100  # an agent's poll breaks off at once, or it polls again within this
MEMORY_MS = 60_000  # agents report a crash again to each new leader


class LoggedCrash(NamedTuple):
    """A crash of a worker at `at_ms`, first reported to this leader at `known_at_ms`.

    Times are on the leader's clock. `runs` are those that the worker had.
    """

    node: str
    at_ms: int
    known_at_ms: int
    runs: tuple[CrashedRun, ...]

    @property
    def has_start(self) -> bool:
        """Whether a run had just started there, or may have."""
        return any(run.since_ms < EARLY_CRASH_MS for run in self.runs)

    def has_start_beside(self, unit_prefix: str) -> bool:
        """Return whether a run of another unit had just started there, or may have."""
        return any(
            run.since_ms < EARLY_CRASH_MS and not f"{run.task}.".startswith(unit_prefix)
            for run in self.runs
        )

    def has_run_of(self, job_id: str) -> bool:
        """Return whether a run of the job was there."""
        return any(run.task.startswith(f"{job_id}.") for run in self.runs)


class CrashLog:
    """The latest crashes of all workers, by lifetime."""

    def __init__(self) -> None:
        """Start without a crash."""
        self._by_lifetime: dict[Lifetime, LoggedCrash] = {}
        self._from_outside: list[LoggedCrash] = []

    def clear(self) -> None:
        """Forget all crashes."""
        self._by_lifetime.clear()
        self._from_outside.clear()

    def add(self, node: str, crash: WorkerCrash) -> LoggedCrash:
        """Add a crash that the agent of `node` reports now; one that is known stays as it is."""
        now_ms = steady_ms()
        known = self._by_lifetime.get(crash.lifetime)
        if known is not None:
            return known
        self._forget_older(now_ms - MEMORY_MS)
        added = LoggedCrash(node, now_ms - crash.ago_ms, now_ms, crash.runs)
        self._by_lifetime[crash.lifetime] = added
        if not added.has_start:
            bisect.insort(self._from_outside, added, key=_at_ms)
        return added

    def _forget_older(self, known_before_ms: int) -> None:
        for lifetime, logged in list(self._by_lifetime.items()):
            if logged.known_at_ms >= known_before_ms:
                break
            del self._by_lifetime[lifetime]
            if not logged.has_start:
                self._from_outside.remove(logged)

    def find(self, lifetime: Lifetime) -> LoggedCrash | None:
        """Return the crash of `lifetime`, None if it isn't known."""
        return self._by_lifetime.get(lifetime)

    def find_unrelated(self, crash: LoggedCrash, job_id: str) -> LoggedCrash | None:
        """Return a crash of another worker at the same moment that has a cause from outside.

        Tasks that crash their workers may do so in step, so a worker counts only if nothing had
        just started there, and if it had no run of the job. None if there is no such crash.
        """
        first = bisect.bisect_left(self._from_outside, crash.at_ms - COINCIDENCE_MS, key=_at_ms)
        for other in itertools.islice(self._from_outside, first, None):
            if other.at_ms > crash.at_ms + COINCIDENCE_MS:
                return None
            if other.node != crash.node and not other.has_run_of(job_id):
                return other
        return None


def _at_ms(crash: LoggedCrash) -> int:
    return crash.at_ms
