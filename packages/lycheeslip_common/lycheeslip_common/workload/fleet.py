"""Messages between entries and agents: worker reports, heartbeats, orders and queries.

A message is a CBOR frame `[name, [field, ...]]`, validated against these types on receipt. The
class name and the order of the fields are the wire format. Times are sent as remaining or
elapsed durations, never as absolute times.
"""

from enum import StrEnum
from typing import Any, NamedTuple

import cbor2
import msgspec

from lycheeslip_common.utils.usable import check_numbers

__all__ = [
    "ConfigRelay",
    "CrashedRun",
    "EndCause",
    "EndedRun",
    "EntryAddress",
    "EntryAddresses",
    "EntryAddressesQuery",
    "Farewell",
    "ForwardedAnswer",
    "ForwardedCall",
    "Heartbeat",
    "HeartbeatReply",
    "InvalidMessageError",
    "JobQuery",
    "JobReply",
    "Lifetime",
    "MAX_CRASHED_RUNS",
    "Message",
    "OrderResult",
    "QueueQuery",
    "QueueReply",
    "RecordStored",
    "RecordedEnds",
    "Redirect",
    "RunTraits",
    "RunningRun",
    "StartOrder",
    "StopOrder",
    "WorkerCrash",
    "WorkerReport",
    "decode",
    "encode",
]


MAX_CRASHED_RUNS = 32  # bounds a report; more are of a worker that is full of tiny tasks


class InvalidMessageError(ValueError):
    """The frame is malformed or holds no message of this module."""


class EndCause(StrEnum):
    """Why a run ended; LAPSED: its lease expired, LOST: its worker went silent or restarted.

    LOST and CRASHED are inferred, the latter if the agent saw the worker crash; the other causes
    are reported by the backend server.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    CRASHED = "crashed"


class Lifetime(NamedTuple):
    """Identifies one lifetime of a worker by its id and its start in Unix milliseconds."""

    worker_id: str
    born_ms: int


class CrashedRun(NamedTuple):
    """A run that a worker had, or may have had, when it crashed.

    The worker had listed or confirmed a run that `has_begun`, `since_ms` before the crash. Of any
    other run the start was sent, for the last time then, and not answered.
    """

    task: str
    run: int
    since_ms: int
    has_begun: bool


class WorkerCrash(NamedTuple):
    """A lifetime of a worker that its agent saw crash `ago_ms` before the report.

    `runs` are those that began or were sent there last, at most `MAX_CRASHED_RUNS`.
    """

    lifetime: Lifetime
    ago_ms: int
    runs: tuple[CrashedRun, ...] = ()


class RunningRun(NamedTuple):
    """A run that the backend server lists as running.

    `progress` is in percent. `load` covers the last half second: the tail latency in milliseconds
    of a run that serves requests, otherwise the processor time used in thousandths of a core.
    The agent adds what it measured (-1: not known yet): `remaining_ms` until the run is done at its
    present speed, and `whole_run_ms`, the time that a whole run takes if nothing slows it down.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    load: int = 0
    remaining_ms: int = -1
    whole_run_ms: int = -1


class EndedRun(NamedTuple):
    """A run that the backend server lists as ended; `number` increases within a lifetime."""

    number: int
    task: str
    run: int
    cause: EndCause
    checkpoint: str


class WorkerReport(NamedTuple):
    """Complete state of an agent's worker; `lifetime` is None while no worker is running.

    `crashes` are those of earlier lifetimes.
    """

    lifetime: Lifetime | None
    service: str
    zone: str
    labels: tuple[str, ...]
    cpu_milli: int
    memory_mb: int
    accelerators: int
    is_ready: bool
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    remaining_ms: int = 0
    orders_pending: tuple[tuple[str, int], ...] = ()
    crashes: tuple[WorkerCrash, ...] = ()


class Heartbeat(NamedTuple):
    """Asks the leader to extend the sender's lease; `sent_ms` is the sender's own clock.

    An entry also states its version of the configuration.
    """

    sent_ms: int
    epoch: int
    config_version: int = 0


class HeartbeatReply(NamedTuple):
    """Grants the lease that the heartbeat sent at `sent_ms` asked for, if `is_leader`.

    With `sent_ms` 0 it grants none, and only confirms who leads.
    `config_age_ms` is the time since the store confirmed that `config_version` is the newest.
    `is_confirmed` is false while the renewal of the leader's own lease is overdue; another leader
    may then have been elected.
    """

    sent_ms: int
    epoch: int
    is_leader: bool
    config_version: int = 0
    config_age_ms: int = 0
    is_confirmed: bool = True


class ConfigRelay(NamedTuple):
    """The newest configuration, in the operator's encoding, for an entry with an older version."""

    key: str
    value: bytes
    revision: int


class RecordStored(NamedTuple):
    """Notifies the leader of a job or a cancellation that the sender has written to the store."""

    key: str
    value: bytes


class StartOrder(NamedTuple):
    """Orders the start of one run, which the store already records.

    `ticket` is the approval of the advice service, empty if the queue requires none. An order that
    `is_repeated` may have reached the node before, and an earlier process of the agent the worker.
    """

    epoch: int
    lifetime: Lifetime
    task: str
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""
    is_repeated: bool = False


class RunTraits(NamedTuple):
    """How a run shares its worker, sent after the order to start it.

    `target_ms` is the latency target of a run that serves requests, otherwise 0. A run with
    `is_filling` is best effort: it is paced to use processor time that others leave idle.
    """

    lifetime: Lifetime
    task: str
    run: int
    target_ms: int
    is_filling: bool


class StopOrder(NamedTuple):
    """Orders a run to stop, even if it has not started."""

    epoch: int
    lifetime: Lifetime
    task: str
    run: int


class OrderResult(NamedTuple):
    """Reports an order that did not start a run; `reason` is one of a fixed set of values."""

    lifetime: Lifetime
    task: str
    run: int
    reason: str


class RecordedEnds(NamedTuple):
    """Acknowledges all ends of `lifetime` up to `number`; the agent may discard them."""

    lifetime: Lifetime
    number: int


class Redirect(NamedTuple):
    """The leader's link address and epoch; the address is empty while no leader is known.

    Sent to whoever connects, and by a new leader to all other entries.
    """

    address: str
    epoch: int


class EntryAddress(NamedTuple):
    """The link address (IP:PORT) of the entry that sends this to its leader."""

    address: str


class EntryAddressesQuery(NamedTuple):
    """Asks the leader for the link addresses of the entries."""


class EntryAddresses(NamedTuple):
    """The link addresses of all entries that are linked to the leader, and its own."""

    addresses: tuple[str, ...]


class ForwardedCall(NamedTuple):
    """A caller's request that the sending entry can't answer without the store.

    `kind` is one of a fixed set of values; `spec` is the encoded job of a submission without the
    fields that its queue determines, otherwise empty. `remaining_ms` is what is left to answer the
    call. An entry with a configuration older than `config_version` doesn't decide it.
    """

    config_version: int
    kind: str
    host: str
    path: str
    key: str
    remaining_ms: int
    job_id: str
    spec: bytes = b""


class ForwardedAnswer(NamedTuple):
    """Answers a forwarded call; `outcome` names an outcome class, `fields` are its fields.

    `config` is the configuration that decided, if it is newer than that of the asking entry.
    """

    outcome: str
    fields: dict[str, Any]
    config: ConfigRelay | None = None


class Farewell(NamedTuple):
    """The sender is shutting down."""

    reason: str


class JobQuery(NamedTuple):
    """Asks the leader for the state of a job; the reply repeats `number`."""

    number: int
    job_id: str


class JobReply(NamedTuple):
    """The state of a job, empty if it is unknown to the leader, and why it failed, if known."""

    number: int
    state: str
    reason: str = ""


class QueueQuery(NamedTuple):
    """Asks the leader how many jobs of a queue have not started; the reply repeats `number`."""

    number: int
    queue: str


class QueueReply(NamedTuple):
    """`pending` is the number of accepted jobs of the queue that have not started any task."""

    number: int
    pending: int


Message = (
    WorkerReport
    | Heartbeat
    | HeartbeatReply
    | StartOrder
    | RunTraits
    | StopOrder
    | OrderResult
    | RecordedEnds
    | RecordStored
    | ConfigRelay
    | EntryAddress
    | EntryAddresses
    | EntryAddressesQuery
    | ForwardedCall
    | ForwardedAnswer
    | Redirect
    | Farewell
    | JobQuery
    | JobReply
    | QueueQuery
    | QueueReply
)

MESSAGE_TYPES_BY_NAME: dict[str, type[Any]] = {kind.__name__: kind for kind in Message.__args__}


def encode(message: Message) -> bytes:
    """Return `message` as a CBOR frame."""
    fields = msgspec.to_builtins(tuple(message), builtin_types=(bytes,))
    return cbor2.dumps([type(message).__name__, fields])


def decode(frame: bytes | str) -> Message:
    """Return the message in `frame`; raises only InvalidMessageError."""
    if isinstance(frame, str):
        raise InvalidMessageError("expected a binary frame, got a text frame")
    try:
        name, fields = cbor2.loads(frame)
        check_numbers(fields)
        return msgspec.convert(fields, MESSAGE_TYPES_BY_NAME[name], builtin_types=(bytes,))
    except KeyError as error:
        raise InvalidMessageError(f"unknown message type {error}") from error
    except Exception as error:
        raise InvalidMessageError(f"malformed message: {error}") from error
