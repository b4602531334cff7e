"""Keeps the crashes of workers that agents have lately reported, and says which came together."""

from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.workload.fleet import CrashedRun, Lifetime, WorkerCrash
from lycheeslip_common.workload.progress import EARLY_CRASH_MS

__all__ = ["COINCIDENCE_MS", "CrashLog", "LoggedCrash"]

COINCIDENCE_MS = 100  # an agent's poll breaks off at once, or it polls again within this
MEMORY_MS = 60_000  # agents report a crash again to each new leader


class LoggedCrash(NamedTuple):
    """A crash of a worker at `at_ms` on the leader's clock, and the runs that it had."""

    node: str
    at_ms: int
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

    def clear(self) -> None:
        """Forget all crashes."""
        self._by_lifetime.clear()

    def add(self, node: str, crash: WorkerCrash) -> LoggedCrash:
        """Add a crash that the agent of `node` reports now; one that is known stays as it is."""
        now_ms = steady_ms()
        known = self._by_lifetime.get(crash.lifetime)
        if known is not None:
            return known
        for lifetime, logged in list(self._by_lifetime.items()):
            if now_ms - logged.at_ms > MEMORY_MS:
                del self._by_lifetime[lifetime]
        added = LoggedCrash(node, now_ms - crash.ago_ms, crash.runs)
        self._by_lifetime[crash.lifetime] = added
        return added

    def find(self, lifetime: Lifetime) -> LoggedCrash | None:
        """Return the crash of `lifetime`, None if it isn't known."""
        return self._by_lifetime.get(lifetime)

    def unrelated(self, crash: LoggedCrash, job_id: str) -> list[LoggedCrash]:
        """Return the crashes of other workers at the same moment that have a cause from outside.

        Tasks that crash their workers may do so in step, so a worker counts only if nothing had
        just started there, and if it had no run of the job.
        """
        return [
            other
            for other in self._by_lifetime.values()
            if other.node != crash.node
            and abs(other.at_ms - crash.at_ms) <= COINCIDENCE_MS
            and not other.has_start
            and not other.has_run_of(job_id)
        ]
