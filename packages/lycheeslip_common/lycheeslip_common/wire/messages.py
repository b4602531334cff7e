"""Messages between entries and agents, one NamedTuple each.

Times are sent as remaining milliseconds or as an echo of the receiver's own monotonic clock;
no guarantee depends on a wall-clock deadline in a message.
"""

from enum import StrEnum
from typing import NamedTuple

from lycheeslip_common.structure.fleet import EntryInfo, WorkerState
from lycheeslip_common.structure.jobs import AttemptRef, JobKind, MemberPlacement

__all__ = [
    "AnswerRecorded",
    "AttemptReport",
    "CallKind",
    "Challenge",
    "Control",
    "ControlAction",
    "Directive",
    "Fence",
    "FenceReply",
    "FenceStatus",
    "ForwardedAnswer",
    "ForwardedCall",
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
    """First message from the listener: a nonce for the client to sign."""

    nonce: str


class Hello(NamedTuple):
    """First message from the client; `role` is `entry`, `agent` or `member`."""

    role: str
    node_id: str
    nonce: str
    proof: str


class Welcome(NamedTuple):
    """Listener's acceptance, with its own proof and the entries that an agent may choose."""

    node_id: str
    proof: str
    entries: tuple[EntryInfo, ...] = ()


class Ping(NamedTuple):
    """Agent's liveness message; `sent_ms` is a time of the agent's monotonic clock."""

    sent_ms: int
    directive_version: int


class Pong(NamedTuple):
    """Reply to a `Ping`, carrying the zone permit.

    The permit expires `permit_remaining_ms` after `echo_ms` on the agent's own clock, so that
    network delay can only shorten it. 0 means that no start is permitted. `entries` are those that
    an agent may choose as its home, empty if they have not changed.
    """

    echo_ms: int
    config_revision: int
    permit_remaining_ms: int
    entries: tuple[EntryInfo, ...] = ()


class Directive(NamedTuple):
    """Configuration of one worker under a configuration revision.

    `version` increases with each change of the configuration or of the homes, and an agent
    never applies a lower `(config_revision, version)` than its current one. `homes` holds the
    account that each accelerator is assigned to, or "".
    """

    config_revision: int
    version: int
    zone_in_service: bool
    homes: tuple[str, ...]
    lease_ms: int
    gang_lease_ms: int


class WorkerUpdate(NamedTuple):
    """A worker's complete state, sent by its agent or forwarded between entries.

    `home_entry` is the id of the entry that has the agent's session, "" if the agent is the sender.
    """

    state: WorkerState
    home_entry: str = ""


class WorkerGone(NamedTuple):
    """Notice between entries that the session to a worker has ended."""

    worker_id: str
    incarnation: str
    home_entry: str


class Reserve(NamedTuple):
    """Requests that an agent reserve resources for one member, for `hold_ms`."""

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
    """Reply to `Reserve`; `reason` is "" if the resources are reserved."""

    request_id: int
    worker_id: str
    reason: str


class Prepare(NamedTuple):
    """Requests that an agent load a reserved member; the gang's anchor is member 0.

    Sent only after the intent to start is recorded. The members start once all of them have
    reported to the anchor that they are loaded.
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
    """Reply to `Prepare`; a non-empty `reason` proves that the member did not start."""

    request_id: int
    worker_id: str
    reason: str


class Release(NamedTuple):
    """Releases the resources of a member that has not started; ignored once it is running."""

    ref: AttemptRef
    member: int


class ControlAction(StrEnum):
    """Action on a running attempt."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    STOP = "stop"


class Control(NamedTuple):
    """Controls a running member; CHECKPOINT stops the task after at most `grace_ms`."""

    ref: AttemptRef
    member: int
    action: ControlAction
    grace_ms: int
    reason: str


class FenceStatus(StrEnum):
    """State of a job on an agent when it is fenced."""

    NEVER_STARTED = "never_started"
    RUNNING = "running"
    ENDED = "ended"


class Fence(NamedTuple):
    """Makes an agent refuse all starts of `job_id` with an epoch lower than `epoch`."""

    request_id: int
    job_id: str
    epoch: int
    attempt: int


class FenceReply(NamedTuple):
    """Reply to `Fence`; NEVER_STARTED is proof only for the same incarnation of the worker."""

    request_id: int
    worker_id: str
    incarnation: str
    status: FenceStatus


class ReportState(StrEnum):
    """State of an attempt, reported by the anchor's agent for the whole gang."""

    RUNNING = "running"
    ANSWERED = "answered"
    TASK_FAILED = "task_failed"
    NOT_STARTED = "not_started"
    INTERRUPTED = "interrupted"
    LOST = "lost"


class AttemptReport(NamedTuple):
    """Reports the state of an attempt; resent until `AnswerRecorded`, unless RUNNING.

    NOT_STARTED proves that no member ran. INTERRUPTED may carry a checkpoint. `worker_id` is
    the anchor's worker, to which the acknowledgement is sent; `blamed` is the worker whose
    member failed, or "".
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
    """Acknowledges a reported outcome, which the anchor's agent may then discard."""

    ref: AttemptRef


class GangPhase(StrEnum):
    """Phase of a gang member, and the anchor's order to it.

    ARMED: all members are prepared, and this one starts as soon as the anchor reports RUNNING.
    """

    PREPARED = "prepared"
    ARMED = "armed"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOP = "stop"


class GangPing(NamedTuple):
    """From a member to the anchor; `sent_ms` is a time of the member's monotonic clock."""

    ref: AttemptRef
    member: int
    sent_ms: int
    phase: GangPhase
    reason: str


class GangLease(NamedTuple):
    """From the anchor to a member; the run lease expires `remaining_ms` after `echo_ms`."""

    ref: AttemptRef
    member: int
    echo_ms: int
    phase: GangPhase
    remaining_ms: int


class PeerPing(NamedTuple):
    """From entry to entry; states what the sender last confirmed with the store."""

    sent_ms: int
    config_revision: int
    store_reachable: bool
    peers: tuple[str, ...]


class PeerPong(NamedTuple):
    """Reply to `PeerPing`, with the replying entry's own state."""

    echo_ms: int
    config_revision: int
    store_reachable: bool
    peers: tuple[str, ...]


class Relay(NamedTuple):
    """Relays an encoded message to or from a worker through its home entry.

    `to_worker` is "" if the message is addressed to the entry `to_entry`.
    """

    to_worker: str
    to_entry: str
    from_node: str
    frame: bytes


class CallKind(StrEnum):
    """Call of a client that an entry may forward to another one."""

    SUBMIT = "submit"
    CANCEL = "cancel"
    SHOW = "show"
    ANSWER = "answer"


class ForwardedCall(NamedTuple):
    """A client's call that the sending entry can't decide; its receiver never forwards it.

    `subject` is the idempotency key of a submission, otherwise the job id. `token_sha256` is the
    digest of the client's token. An entry whose configuration is older than `config_revision`
    does not decide the call. A `deadline_remaining_ms` of 0 means that the job has no deadline.
    """

    request_id: int
    kind: CallKind
    subject: str
    token_sha256: str
    body: bytes
    config_revision: int
    wait_remaining_ms: int
    deadline_remaining_ms: int


class ForwardedAnswer(NamedTuple):
    """Reply to `ForwardedCall`: the HTTP response for the client, if the call is `decided`.

    A `may_have_run` of False proves that the call has had and will have no effect. `headers` belong
    to the response. A retry is worthwhile in `retry_in_ms` (0: it won't help).
    """

    request_id: int
    decided: bool
    may_have_run: bool
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    retry_in_ms: int = 0


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
    ForwardedCall,
    ForwardedAnswer,
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
    | ForwardedCall
    | ForwardedAnswer
)
