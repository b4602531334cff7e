"""Interface to the worker, independent of the protocol that its backend server speaks."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from lycheeslip_common.workload.fleet import EndedRun, Lifetime, RunningRun, StartOrder

__all__ = [
    "WorkerStatus",
    "RunLists",
    "HoldOutcome",
    "NoAnswer",
    "NoWorker",
    "OrderOutcome",
    "OtherLifetime",
    "Rejected",
    "Taken",
    "WorkerPort",
]


class WorkerStatus(NamedTuple):
    """What a worker reports about itself in a heartbeat; times are on the worker's clock."""

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
class RunLists:
    """The worker's lists of running and ended runs, and its clock when it answered.

    `born_ms` is when the worker started, or 0 if it does not say.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


@dataclass(frozen=True, slots=True)
class Taken:
    """The order was executed."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The worker refused the call for `reason` and did nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class OtherLifetime:
    """Another lifetime of the worker answered and did nothing."""


@dataclass(frozen=True, slots=True)
class NoWorker:
    """Nothing listens at the worker's address."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The outcome is unknown: the call may have been executed, or may still be."""

    detail: str


OrderOutcome = Taken | Rejected | OtherLifetime | NoWorker | NoAnswer
HoldOutcome = RunLists | Rejected | OtherLifetime | NoWorker | NoAnswer


class WorkerPort(Protocol):
    """Calls to the worker; a fault of the worker is returned, never raised.

    `epoch` is the leader's fencing token, and `until_ms` is on the worker's clock.
    `max_crash_silence_ms` is the longest silence of a worker that crashes until its agent learns
    that its process has ended; after a longer silence it was cut off or frozen before.
    `max_order_delay_ms` is the longest time from the sending of an order until it is carried out,
    and until a worker that crashes meanwhile is noticed.
    """

    max_crash_silence_ms: int
    max_order_delay_ms: int

    async def hold(
        self, lifetime: Lifetime, until_ms: int, epoch: int, recorded: int, wait_ms: int
    ) -> HoldOutcome:
        """Extend the lease to `until_ms` (0: leave it unchanged) and return both lists.

        The worker may forget ends up to number `recorded`, and may delay its answer by up to
        `wait_ms` until a run ends.
        """

    async def start(self, order: StartOrder, until_ms: int, epoch: int) -> OrderOutcome:
        """Start the run of `order` under a lease to `until_ms`; Taken also if it already runs."""

    async def stop(self, lifetime: Lifetime, task: str, run: int, epoch: int) -> OrderOutcome:
        """Stop a run, or prevent its start if it has not started yet."""

    async def pace(
        self, lifetime: Lifetime, task: str, run: int, percent: int, epoch: int
    ) -> OrderOutcome:
        """Set a run's speed to `percent` of full speed, with effect shortly after the answer."""

    async def check_lifetime(self, lifetime: Lifetime, epoch: int) -> OrderOutcome:
        """Return Taken if `lifetime` of the worker answers calls now, without any effect.

        Rejected says only that the worker has the id of `lifetime`, or that it is unhealthy.
        """

    async def confirm_lifetime(self, lifetime: Lifetime, epoch: int) -> OrderOutcome:
        """Ask the worker whether it is `lifetime`, as a heartbeat says; outcomes as of a check."""

    async def is_unused(self) -> bool:
        """Return whether the worker answers in a lifetime that has never been called before.

        All runs that were ever ordered there have then ended with an earlier lifetime.
        """

    async def close(self) -> None:
        """Close all connections."""
