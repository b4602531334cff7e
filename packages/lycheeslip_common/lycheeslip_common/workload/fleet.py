"""What agents report about backend servers, and the orders they receive.

Messages travel as CBOR frames `[name, field, ...]` and are checked against these types on
receipt. Times between processes are remaining or elapsed, never absolute.
"""

from enum import StrEnum
from typing import Any, NamedTuple

import cbor2
import msgspec

__all__ = [
    "ConfigRelay",
    "EndCause",
    "EndedRun",
    "Farewell",
    "Heartbeat",
    "HeartbeatReply",
    "InvalidMessageError",
    "JobQuery",
    "JobReply",
    "Lifetime",
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
    "WorkerReport",
    "decode",
    "encode",
]


class InvalidMessageError(ValueError):
    """A frame that is not one of this module's messages."""


class EndCause(StrEnum):
    """Why a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class Lifetime(NamedTuple):
    """One life of a worker: its id and the Unix millisecond at which it started."""

    worker_id: str
    born_ms: int


class RunningRun(NamedTuple):
    """A run that the backend server lists as running.

    `load` is the tail latency in milliseconds of a run that serves, else the processor time that
    it uses, in thousandths of a core; both over the last half second.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    load: int = 0


class EndedRun(NamedTuple):
    """A run that the backend server lists as ended; `number` rises within a lifetime."""

    number: int
    task: str
    run: int
    cause: EndCause
    checkpoint: str


class WorkerReport(NamedTuple):
    """All that an agent knows of its worker; `lifetime` is None while there is none."""

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


class Heartbeat(NamedTuple):
    """Asks the leader to extend the agent's lease; `sent_ms` is the sender's own clock.

    An entry also says which version of the configuration it knows.
    """

    sent_ms: int
    epoch: int
    config_version: int = 0


class HeartbeatReply(NamedTuple):
    """Extends the lease that the heartbeat of `sent_ms` asked for, if `is_leader`.

    Says how long ago the store confirmed to the leader that `config_version` is the newest. While
    the leader's own lease is in doubt (not `is_confirmed`), another may have been elected.
    """

    sent_ms: int
    epoch: int
    is_leader: bool
    config_version: int = 0
    config_age_ms: int = 0
    is_confirmed: bool = True


class ConfigRelay(NamedTuple):
    """The newest configuration as the operator wrote it, for an entry that knows an older one."""

    key: str
    value: bytes
    revision: int


class RecordStored(NamedTuple):
    """Tells the leader of a job or a cancellation that the sender has stored just now."""

    key: str
    value: bytes


class StartOrder(NamedTuple):
    """Orders one run, which is already recorded; `ticket` is empty where no advice is needed."""

    epoch: int
    lifetime: Lifetime
    task: str
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


class RunTraits(NamedTuple):
    """Tells an agent how a run shares its worker: its latency target, or that it fills."""

    lifetime: Lifetime
    task: str
    run: int
    target_ms: int
    is_filling: bool


class StopOrder(NamedTuple):
    """Orders the end of one run, also if it has not begun."""

    epoch: int
    lifetime: Lifetime
    task: str
    run: int


class OrderResult(NamedTuple):
    """What became of an order that did not end in a run; `reason` is from a closed set."""

    lifetime: Lifetime
    task: str
    run: int
    reason: str


class RecordedEnds(NamedTuple):
    """All ends of `lifetime` up to `number` are recorded and may be forgotten."""

    lifetime: Lifetime
    number: int


class Redirect(NamedTuple):
    """Names the leader: its session address and epoch; empty while none is known."""

    address: str
    epoch: int


class Farewell(NamedTuple):
    """The sender is about to end its process."""

    reason: str


class JobQuery(NamedTuple):
    """Asks the leader for the state of a job."""

    number: int
    job_id: str


class JobReply(NamedTuple):
    """The state of a job; empty if the leader doesn't know the job."""

    number: int
    state: str


class QueueQuery(NamedTuple):
    """Asks the leader how many jobs of a queue have not started."""

    number: int
    queue: str


class QueueReply(NamedTuple):
    """How many accepted jobs of the queue have not started a task."""

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
    | Redirect
    | Farewell
    | JobQuery
    | JobReply
    | QueueQuery
    | QueueReply
)

KINDS_BY_NAME: dict[str, type[Any]] = {kind.__name__: kind for kind in Message.__args__}


def encode(message: Message) -> bytes:
    """Return the frame that carries `message`."""
    fields = msgspec.to_builtins(tuple(message), builtin_types=(bytes,))
    return cbor2.dumps([type(message).__name__, fields])


def decode(frame: bytes | str) -> Message:
    """Return the message in `frame`; raises InvalidMessageError, and nothing else."""
    if isinstance(frame, str):
        raise InvalidMessageError("a text frame was received where a binary one is expected")
    try:
        name, fields = cbor2.loads(frame)
        return msgspec.convert(fields, KINDS_BY_NAME[name], builtin_types=(bytes,))
    except KeyError as error:
        raise InvalidMessageError(f"unknown message {error}") from error
    except Exception as error:
        raise InvalidMessageError(f"malformed message: {error}") from error
