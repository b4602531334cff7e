"""Decides which connections and requests are admitted and which connections are shed.

All functions are pure. `Ledger` holds the values they decide on.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from lycheeslip_common.admission.limits import AdmissionLimits

__all__ = [
    "Admitted",
    "Advanced",
    "Connection",
    "Decision",
    "Event",
    "Ledger",
    "Opened",
    "Phase",
    "Reason",
    "Received",
    "Refused",
    "advance",
    "decide",
    "expired",
]

SHORT_RATIO = 0.75  # share of the budget above which only small requests are admitted
CROWDED_RATIO = 0.875  # share of the connections above which the limit for one address applies
SMALL_BYTES = 16_384  # an ordinary call is smaller than this
STALLED_MS = 1_000  # without progress for so long a connection may be shed
PROGRESS_BYTES = 1_024  # received within STALLED_MS count as progress
# A search passes over all connections, so that it frees more than the request at hand needs.
SHED_RATIO = 1 / 32
LINGER_MS = 2_000


class Reason(StrEnum):
    """Why a connection was closed or a request refused; label of the counters."""

    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    IDLE = "idle"
    RESPONSE_UNREAD = "response_unread"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    MALFORMED = "malformed_request"
    DECISION_FAILED = "decision_failed"


class Phase(StrEnum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVING = "serving"
    RESPONSE = "response"
    LINGERING = "lingering"


class Connection(NamedTuple):
    """One client connection; `group` is its client account, or its address where none is known.

    `deadline_ms` ends the phase (0: none). `progress_at_ms` is the time of the last progress and
    `progress_bytes` counts the bytes received since.
    """

    number: int
    address: str
    group: str
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    deadline_ms: int = 0
    progress_at_ms: int = 0
    progress_bytes: int = 0


class Ledger:
    """All connections of a process with their sums; changes only by `put` and `remove`."""

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.by_number: dict[int, Connection] = {}
        self.held_bytes = 0
        self.held_by_group: dict[str, int] = {}
        self.count_by_address: dict[str, int] = {}

    def put(self, connection: Connection) -> None:
        """Add a connection, or replace its former value."""
        former = self.by_number.get(connection.number)
        self.by_number[connection.number] = connection
        if former is None:
            _add(self.count_by_address, connection.address, 1)
        else:
            self._add_held(former.group, -former.held_bytes)
        self._add_held(connection.group, connection.held_bytes)

    def remove(self, number: int) -> None:
        """Remove a connection with what it holds; has no effect if there is none."""
        former = self.by_number.pop(number, None)
        if former is not None:
            _add(self.count_by_address, former.address, -1)
            self._add_held(former.group, -former.held_bytes)

    def _add_held(self, group: str, amount: int) -> None:
        if amount:
            self.held_bytes += amount
            _add(self.held_by_group, group, amount)


def _add(sums: dict[str, int], key: str, amount: int) -> None:
    total = sums.get(key, 0) + amount
    if total:
        sums[key] = total
    else:
        sums.pop(key, None)


@dataclass(frozen=True, slots=True)
class Opened:
    """A client at `address` has connected."""

    address: str
    now_ms: int


@dataclass(frozen=True, slots=True)
class Received:
    """`size` bytes have arrived on a connection and would be held."""

    connection: Connection
    size: int
    now_ms: int


@dataclass(frozen=True, slots=True)
class Advanced:
    """A connection has reached `phase` and holds `held_bytes`."""

    connection: Connection
    phase: Phase
    held_bytes: int
    now_ms: int


Event = Opened | Received


@dataclass(frozen=True, slots=True)
class Admitted:
    """The connection or its bytes are admitted once the connections in `shed` are closed."""

    shed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """The connection or its request is refused; those in `shed` are closed as well."""

    shed: tuple[int, ...] = ()


Decision = Admitted | Refused


def decide(
    limits: AdmissionLimits, budget: int, ledger: Ledger, event: Event, may_shed: bool = True
) -> Decision:
    """Return whether the connection or the bytes of `event` are admitted.

    Without `may_shed` no connection is searched that could be shed.
    """
    match event:
        case Opened(address, now_ms):
            return _decide_connection(limits, ledger, address, now_ms, may_shed)
        case Received(connection, size, now_ms):
            return _decide_bytes(budget, ledger, connection, size, now_ms, may_shed)


def _decide_connection(
    limits: AdmissionLimits, ledger: Ledger, address: str, now_ms: int, may_shed: bool
) -> Decision:
    count = len(ledger.by_number)
    is_over_share = (
        count >= limits.max_connections * CROWDED_RATIO
        and len(ledger.count_by_address) > 1
        and ledger.count_by_address.get(address, 0) >= limits.max_connections_per_address
    )
    if count < limits.max_connections and not is_over_share:
        return Admitted()
    if not may_shed:
        return Refused()
    wanted = max(1, int(limits.max_connections * SHED_RATIO))
    stalled = [
        connection
        for connection in _stalled(ledger, now_ms)
        if not is_over_share or connection.address == address
    ]
    stalled.sort(
        key=lambda connection: (
            ledger.count_by_address[connection.address],
            now_ms - connection.progress_at_ms,
        ),
        reverse=True,
    )
    shed = tuple(connection.number for connection in stalled[:wanted])
    return Admitted(shed) if shed else Refused()


def _decide_bytes(
    budget: int,
    ledger: Ledger,
    connection: Connection,
    size: int,
    now_ms: int,
    may_shed: bool,
) -> Decision:
    """Admit bytes within the budget; above `SHORT_RATIO` of it only those of small requests.

    Where it is short, a group that holds more than its share is refused, and for the others
    connections without progress are shed.
    """
    is_small = connection.held_bytes + size <= SMALL_BYTES
    limit = budget if is_small else int(budget * SHORT_RATIO)
    excess = ledger.held_bytes + size - limit
    if excess <= 0:
        return Admitted()
    if not may_shed:
        return Refused()
    groups = ledger.held_by_group.keys() | {connection.group}
    if ledger.held_by_group.get(connection.group, 0) + size > budget / len(groups):
        # A group alone may hold all of the budget, so that this applies to one of several.
        candidates: Iterable[Connection] = (
            other for other in _stalled(ledger, now_ms) if other.group == connection.group
        )
    else:
        candidates = _stalled(ledger, now_ms)
    wanted = excess + int(budget * SHED_RATIO)
    shed: list[int] = []
    freed = 0
    for other in _most_costly(candidates, ledger.held_by_group, now_ms):
        if freed >= wanted:
            break
        if other.number != connection.number and other.held_bytes:
            shed.append(other.number)
            freed += other.held_bytes
    return Admitted(tuple(shed)) if freed >= excess else Refused(tuple(shed))


def _stalled(ledger: Ledger, now_ms: int) -> list[Connection]:
    """Return the connections without a request in progress that make no progress themselves."""
    latest = now_ms - STALLED_MS
    return [
        connection
        for connection in ledger.by_number.values()
        if connection.progress_at_ms <= latest
        and connection.phase in (Phase.IDLE, Phase.HEAD, Phase.BODY, Phase.LINGERING)
    ]


def _most_costly(
    connections: Iterable[Connection], held_by_group: Mapping[str, int], now_ms: int
) -> list[Connection]:
    """Return connections of the largest group first, in it the most bytes held for longest."""
    return sorted(
        connections,
        key=lambda connection: (
            held_by_group.get(connection.group, 0),
            connection.held_bytes * (now_ms - connection.progress_at_ms),
        ),
        reverse=True,
    )


def advance(limits: AdmissionLimits, event: Advanced) -> Connection:
    """Return the connection after `event`, with the deadline of its phase.

    Bytes count as progress once there are `PROGRESS_BYTES` of them, so that a client which sends
    a byte at a time is not taken for one that makes progress.
    """
    connection, now_ms = event.connection, event.now_ms
    progress_bytes = connection.progress_bytes + max(0, event.held_bytes - connection.held_bytes)
    is_new_phase = event.phase is not connection.phase
    if not is_new_phase and progress_bytes < PROGRESS_BYTES:
        return connection._replace(held_bytes=event.held_bytes, progress_bytes=progress_bytes)
    return connection._replace(
        phase=event.phase,
        held_bytes=event.held_bytes,
        deadline_ms=(
            _deadline_ms(limits, event.phase, now_ms) if is_new_phase else connection.deadline_ms
        ),
        progress_at_ms=now_ms,
        progress_bytes=0,
    )


def _deadline_ms(limits: AdmissionLimits, phase: Phase, now_ms: int) -> int:
    match phase:
        case Phase.IDLE:
            return now_ms + limits.idle_timeout_ms
        case Phase.HEAD:
            return now_ms + limits.head_timeout_ms
        case Phase.BODY:
            return now_ms + limits.body_timeout_ms
        case Phase.RESPONSE:
            return now_ms + limits.response_timeout_ms
        case Phase.LINGERING:
            return now_ms + LINGER_MS
        case Phase.SERVING:
            return 0


def expired(ledger: Ledger, now_ms: int) -> list[Connection]:
    """Return the connections whose deadline has passed."""
    return [
        connection
        for connection in ledger.by_number.values()
        if 0 < connection.deadline_ms <= now_ms
    ]
