"""Messages between entries and agents, one NamedTuple each.

Times that cross processes are remaining milliseconds, or an echo of the receiver's own
monotonic clock; no message carries a wall-clock deadline that a promise rests on.
"""

from enum import StrEnum
from typing import NamedTuple

from lycheeslip_common.structure.fleet import EntryInfo, WorkerState
from lycheeslip_common.structure.jobs import AttemptRef, JobKind, MemberPlacement

__all__ = [
    "AnswerRecorded",
    "AttemptReport",
    "Challenge",
    "Control",
    "ControlAction",
    "Directive",
    "Fence",
    "FenceReply",
    "FenceStatus",
    "GangLease",
    "GangPhase",
    "GangPing",
    "Hello",
    "MESSAGE_TYPES",
    "Message",
    "PeerPing",
    "PeerPong",
    "Ping",
    "Pong",
    "Prepare",
    "PrepareReply",
    "Relay",
    "Release",
    "ReportState",
    "Reserve",
    "ReserveReply",
    "Welcome",
    "WorkerGone",
    "WorkerUpdate",
]


class Challenge(NamedTuple):
    """First frame of a listener: a nonce for the dialler to sign."""

    nonce: str


class Hello(NamedTuple):
    """First frame of a dialler; `role` is `entry`, `agent` or `member`."""

    role: str
    node_id: str
    nonce: str
    proof: str


class Welcome(NamedTuple):
    """Listener's acceptance, with its own proof and the live entries it knows."""

    node_id: str
    proof: str
    entries: tuple[EntryInfo, ...] = ()


class Ping(NamedTuple):
    """Agent's liveness frame; `sent_ms` is the agent's monotonic clock."""

    sent_ms: int
    directive_version: int


class Pong(NamedTuple):
    """Answer to a `Ping`, carrying the zone permit.

    The permit ends `permit_remaining_ms` after the agent's own clock read `echo_ms`, so
    time in flight can only shorten it. 0 means that no start is permitted.
    """

    echo_ms: int
    config_revision: int
    permit_remaining_ms: int
    entries: tuple[EntryInfo, ...] = ()


class Directive(NamedTuple):
    """What a configuration revision means for one worker.

    `version` grows with each change of configuration or home map and an agent never goes
    back to a lower `(config_revision, version)`. `homes` names the account of each
    accelerator, "" for one without.
    """

    config_revision: int
    version: int
    zone_in_service: bool
    homes: tuple[str, ...]
    lease_ms: int
    gang_lease_ms: int


class WorkerUpdate(NamedTuple):
    """A worker's whole state, from its agent or forwarded between entries."""

    state: WorkerState
    home_entry: str = ""


class WorkerGone(NamedTuple):
    """Forwarded between entries: the session to a worker has ended."""

    worker_id: str
    incarnation: str
    home_entry: str


class Reserve(NamedTuple):
    """Asks an agent to hold resources for one member until `hold_ms` has passed."""

    request_id: int
    ref: AttemptRef
    member: int
    members: int
    owner: str
    incarnation: str
    account: str
    kind: JobKind
    accelerators: tuple[int, ...]
    processors: int
    memory_mb: int
    interruptible: bool
    hold_ms: int


class ReserveReply(NamedTuple):
    """Answer to `Reserve`; `reason` is "" when granted."""

    request_id: int
    worker_id: str
    reason: str


class Prepare(NamedTuple):
    """Asks an agent to load a reserved member; the gang's anchor is member 0.

    Sent only after the start intent is recorded. The members start when the anchor has
    heard that all of them are loaded.
    """

    request_id: int
    ref: AttemptRef
    member: int
    incarnation: str
    placement: tuple[MemberPlacement, ...]
    payload: str
    checkpoint: str
    start_within_ms: int


class PrepareReply(NamedTuple):
    """Answer to `Prepare`; a non-empty `reason` proves that the member did not start."""

    request_id: int
    worker_id: str
    reason: str


class Release(NamedTuple):
    """Gives up a member that has not started; ignored once it runs."""

    ref: AttemptRef
    member: int


class ControlAction(StrEnum):
    """What to do with a running attempt."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    STOP = "stop"


class Control(NamedTuple):
    """Acts on a running member; CHECKPOINT stops the task after at most `grace_ms`."""

    ref: AttemptRef
    member: int
    action: ControlAction
    grace_ms: int
    reason: str


class FenceStatus(StrEnum):
    """What an agent holds of a job when it is fenced."""

    NEVER_STARTED = "never_started"
    RUNNING = "running"
    ENDED = "ended"


class Fence(NamedTuple):
    """Makes an agent refuse every start of `job_id` below `epoch`."""

    request_id: int
    job_id: str
    epoch: int
    attempt: int


class FenceReply(NamedTuple):
    """Answer to `Fence`; NEVER_STARTED is a proof only for the same incarnation."""

    request_id: int
    worker_id: str
    incarnation: str
    status: FenceStatus


class ReportState(StrEnum):
    """Outcome of an attempt, reported by the anchor's agent for the whole gang."""

    RUNNING = "running"
    ANSWERED = "answered"
    TASK_FAILED = "task_failed"
    NOT_STARTED = "not_started"
    INTERRUPTED = "interrupted"
    LOST = "lost"


class AttemptReport(NamedTuple):
    """State of an attempt; repeated until `AnswerRecorded` for all but RUNNING.

    NOT_STARTED proves that no member ran. INTERRUPTED may carry a checkpoint. `worker_id` is
    the reporting anchor's own worker, which the acknowledgement goes to; `blamed` names the
    worker whose member failed, where one is.
    """

    ref: AttemptRef
    owner: str
    worker_id: str
    state: ReportState
    answer: bytes
    digest: str
    checkpoint: str
    reason: str
    run_ms: int
    blamed: str = ""


class AnswerRecorded(NamedTuple):
    """Lets the anchor's agent forget a reported outcome."""

    ref: AttemptRef


class GangPhase(StrEnum):
    """Progress of a gang member, and the anchor's order to it."""

    PREPARED = "prepared"
    ARMED = "armed"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOP = "stop"


class GangPing(NamedTuple):
    """Member to anchor; `sent_ms` is the member's monotonic clock."""

    ref: AttemptRef
    member: int
    sent_ms: int
    phase: GangPhase
    reason: str


class GangLease(NamedTuple):
    """Anchor to member: the run lease ends `remaining_ms` after `echo_ms`."""

    ref: AttemptRef
    member: int
    echo_ms: int
    phase: GangPhase
    remaining_ms: int


class PeerPing(NamedTuple):
    """Entry to entry; says what the sender last confirmed with the store."""

    sent_ms: int
    config_revision: int
    store_reachable: bool
    peers: tuple[str, ...]


class PeerPong(NamedTuple):
    """Answer to `PeerPing`, with the answerer's own view."""

    echo_ms: int
    config_revision: int
    store_reachable: bool
    peers: tuple[str, ...]


class Relay(NamedTuple):
    """Carries an encoded message for a worker, or from one, through its home entry.

    `to_worker` is "" for a message on its way to entry `to_entry`.
    """

    to_worker: str
    to_entry: str
    from_node: str
    frame: bytes


MESSAGE_TYPES: tuple[type, ...] = (
    Challenge,
    Hello,
    Welcome,
    Ping,
    Pong,
    Directive,
    WorkerUpdate,
    WorkerGone,
    Reserve,
    ReserveReply,
    Prepare,
    PrepareReply,
    Release,
    Control,
    Fence,
    FenceReply,
    AttemptReport,
    AnswerRecorded,
    GangPing,
    GangLease,
    PeerPing,
    PeerPong,
    Relay,
)

Message = (
    Challenge
    | Hello
    | Welcome
    | Ping
    | Pong
    | Directive
    | WorkerUpdate
    | WorkerGone
    | Reserve
    | ReserveReply
    | Prepare
    | PrepareReply
    | Release
    | Control
    | Fence
    | FenceReply
    | AttemptReport
    | AnswerRecorded
    | GangPing
    | GangLease
    | PeerPing
    | PeerPong
    | Relay
)
