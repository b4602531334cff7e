"""The worker as the agent sees it, whichever protocol the backend server speaks."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from lycheeslip_common.workload.fleet import EndedRun, Lifetime, RunningRun, StartOrder

__all__ = [
    "Announced",
    "Held",
    "NoAnswer",
    "NoWorker",
    "OrderOutcome",
    "OtherLifetime",
    "Rejected",
    "Taken",
    "WorkerPort",
]


class Announced(NamedTuple):
    """What a worker says of itself in a heartbeat; times are on its own clock."""

    lifetime: Lifetime
    sequence: int
    service: str
    zone: str
    labels: tuple[str, ...]
    cpu_milli: int
    memory_mb: int
    accelerators: int
    is_ready: bool
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class Held:
    """The worker's lists, and its clock when it answered."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


@dataclass(frozen=True, slots=True)
class Taken:
    """The order was carried out."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The worker did nothing, for `reason`."""

    reason: str


@dataclass(frozen=True, slots=True)
class OtherLifetime:
    """Another life of the worker answered; it did nothing."""


@dataclass(frozen=True, slots=True)
class NoWorker:
    """Nothing listens at the worker's address."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call may have been carried out, or may be later."""

    detail: str


OrderOutcome = Taken | Rejected | OtherLifetime | NoWorker | NoAnswer


class WorkerPort(Protocol):
    """Calls to the worker; no call raises for a fault of the worker."""

    async def hold(
        self, lifetime: Lifetime, until_ms: int, epoch: int, recorded: int, wait_ms: int
    ) -> Held | Rejected | OtherLifetime | NoWorker | NoAnswer:
        """Extend the lease to `until_ms` (0: leave it) and return both lists."""

    async def start(self, order: StartOrder, until_ms: int, epoch: int) -> OrderOutcome:
        """Start the run of `order` under a lease to `until_ms`; Taken also if it is there."""

    async def stop(self, lifetime: Lifetime, task: str, run: int, epoch: int) -> OrderOutcome:
        """Stop a run, also one that is not there yet."""

    async def pace(
        self, lifetime: Lifetime, task: str, run: int, percent: int, epoch: int
    ) -> OrderOutcome:
        """Let a run work at `percent` of its speed, from soon after the answer."""

    async def close(self) -> None:
        """Close all connections."""
