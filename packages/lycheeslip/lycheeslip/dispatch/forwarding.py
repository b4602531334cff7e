"""Passes calls to other entries of the platform deployment, over links of one call each."""

import asyncio
from collections.abc import Callable
from dataclasses import asdict
from enum import StrEnum
from typing import Any

import msgspec
from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import (
    ConfigRelay,
    ForwardedAnswer,
    ForwardedCall,
    InvalidMessageError,
)
from lycheeslip_common.workload.jobs import JobSpec
from lycheeslip_common.workload.link import PEER_ROLE, LinkClosedError, dial
from lycheeslip_common.workload.progress import decode_spec, encode_spec

from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.calls import (
    Call,
    Cancel,
    JobSubmission,
    NotRun,
    Outcome,
    QueryPending,
    QueryState,
    Request,
    Submit,
    Undecided,
    is_write,
)
from lycheeslip.dispatch.local_intake import LocalIntake
from lycheeslip.dispatch.operator_sync import OperatorSync

__all__ = [
    "CallForwarder",
    "ForwardedCallServer",
    "decode_answer",
    "decode_call",
    "encode_answer",
    "encode_call",
]

HELPER_RATIO = 0.9  # share of the remaining time that the other entry may use
CONNECT_TIMEOUT_S = 0.3  # entries of other zones answer within a few ms


class CallKind(StrEnum):
    """What a forwarded call asks for."""

    SUBMIT = "submit"
    CANCEL = "cancel"
    STATE = "state"
    PENDING = "pending"


OUTCOMES_BY_NAME: dict[str, type[Any]] = {kind.__name__: kind for kind in Outcome.__args__}

# refusals of an entry that can't decide any other call either for the time being
UNABLE_REASONS = frozenset(
    {
        "configuration_outdated",
        "configuration_unconfirmed",
        "entry_silent",
        "entry_unreachable",
        "no_configuration",
        "store_silent",
        "store_unavailable",
    }
)


def encode_call(call: Call, request: Request, config_version: int) -> ForwardedCall:
    """Return the message that passes a call on; its time is what remains of the call's."""
    kind, job_id, spec = _encode_request(request)
    remaining_ms = int(call.remaining_s * 1_000 * HELPER_RATIO)
    return ForwardedCall(
        config_version, kind, call.host, call.path, call.key, remaining_ms, job_id, spec
    )


def _encode_request(request: Request) -> tuple[str, str, bytes]:
    match request:
        case Submit(submission):
            return CallKind.SUBMIT, submission.job_id, encode_spec(_unassigned_spec(submission))
        case Cancel(job_id):
            return CallKind.CANCEL, job_id, b""
        case QueryState(job_id):
            return CallKind.STATE, job_id, b""
        case QueryPending():
            return CallKind.PENDING, "", b""


def _unassigned_spec(submission: JobSubmission) -> JobSpec:
    """Return a job's specification without what its queue and its account determine."""
    return JobSpec(
        job_id=submission.job_id,
        queue="",
        account="",
        service="",
        priority=0,
        attempts=0,
        payload=submission.payload,
        steps=submission.steps,
        accepted_at_ms=0,
        first_due_ms=submission.first_due_ms,
        interval_ms=submission.interval_ms,
        occurrences=submission.occurrences,
    )


def decode_call(message: ForwardedCall) -> tuple[Call, Request]:
    """Return the call and its request; raises InvalidMessageError."""
    call = Call(message.host, message.path, message.key, steady_ms() + message.remaining_ms)
    match message.kind:
        case CallKind.SUBMIT:
            return call, Submit(_decode_submission(message.spec))
        case CallKind.CANCEL:
            return call, Cancel(message.job_id)
        case CallKind.STATE:
            return call, QueryState(message.job_id)
        case CallKind.PENDING:
            return call, QueryPending()
        case kind:
            raise InvalidMessageError(f"unknown kind of call {kind!r}")


def _decode_submission(content: bytes) -> JobSubmission:
    try:
        spec = decode_spec(content)
    except ValueError as error:
        raise InvalidMessageError(f"malformed job: {error}") from error
    return JobSubmission(
        spec.job_id,
        spec.payload,
        spec.steps,
        spec.first_due_ms,
        spec.interval_ms,
        spec.occurrences,
    )


def encode_answer(outcome: Outcome, config: ConfigRelay | None) -> ForwardedAnswer:
    """Return the message that answers a forwarded call."""
    return ForwardedAnswer(type(outcome).__name__, asdict(outcome), config)


def decode_answer(message: ForwardedAnswer) -> Outcome:
    """Return the outcome in an answer; raises InvalidMessageError."""
    kind = OUTCOMES_BY_NAME.get(message.outcome)
    if kind is None:
        raise InvalidMessageError(f"unknown outcome {message.outcome!r}")
    try:
        outcome: Outcome = msgspec.convert(message.fields, kind)
    except msgspec.ValidationError as error:
        raise InvalidMessageError(f"malformed outcome: {error}") from error
    return outcome


class CallForwarder:
    """Asks one other entry to decide a call."""

    def __init__(self, board: Board, on_config: Callable[[KeyValue], None]) -> None:
        """Note entries that can't help in the board's directory.

        A newer configuration under which another entry has decided goes to `on_config`.
        """
        self._board = board
        self._on_config = on_config

    async def forward(self, address: str, call: Call, request: Request) -> Outcome:
        """Return the outcome at the entry at `address`.

        `NotRun` if it can't be reached, `Undecided` if it doesn't answer and may have decided.
        """
        started_at_ms = steady_ms()
        try:
            outcome = await self._exchange(address, call, request)
        except asyncio.CancelledError:
            if steady_ms() - started_at_ms > CONNECT_TIMEOUT_S * 1_000:
                self._board.entries.avoid(address)  # another entry was faster
            raise
        reason = getattr(outcome, "reason", "")
        if reason in UNABLE_REASONS:
            self._board.entries.avoid(address)
        self._board.counters.count("forwarded_calls", type(outcome).__name__)
        log_event(
            "call_forwarded",
            address=address,
            path=call.path,
            outcome=type(outcome).__name__,
            reason=reason,
            took_ms=steady_ms() - started_at_ms,
        )
        return outcome

    async def _exchange(self, address: str, call: Call, request: Request) -> Outcome:
        try:
            async with asyncio.timeout(max(0, min(CONNECT_TIMEOUT_S, call.remaining_s))):
                link = await dial(address, PEER_ROLE, self._board.node)
        except (LinkClosedError, TimeoutError):
            return NotRun("entry_unreachable")
        sender = asyncio.create_task(link.run_sender())
        try:
            config = self._board.config
            link.post(encode_call(call, request, config.version if config else 0))
            message = await link.receive(max(0, call.remaining_s))
            if isinstance(message, ForwardedAnswer):
                if message.config is not None:
                    self._on_config(KeyValue(*message.config))
                return decode_answer(message)
            reason = "entry_unexpected_answer"
        except LinkClosedError:
            reason = "entry_silent"
        except InvalidMessageError:
            reason = "entry_unexpected_answer"
        finally:
            sender.cancel()
            link.abort()
        return Undecided(reason) if is_write(request) else NotRun(reason)


class ForwardedCallServer:
    """Decides calls of other entries by what this entry reaches; never passes them on."""

    def __init__(self, board: Board, local: LocalIntake, operator: OperatorSync) -> None:
        """Decide by `local`, under a configuration not older than that of the other entry."""
        self._board = board
        self._local = local
        self._operator = operator

    async def answer(self, message: ForwardedCall) -> ForwardedAnswer:
        """Return the answer to a call; raises InvalidMessageError."""
        call, request = decode_call(message)
        if self._config_version < message.config_version:
            await self._operator.confirm(max(0, call.remaining_s))
        if self._config_version < message.config_version:
            outcome: Outcome = NotRun("configuration_outdated")
        else:
            outcome = await self._local.answer(call, request)
        log_event(
            "forwarded_call_answered",
            path=call.path,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        return encode_answer(outcome, self._newer_config(message.config_version))

    @property
    def _config_version(self) -> int:
        return self._board.config.version if self._board.config else 0

    def _newer_config(self, version: int) -> ConfigRelay | None:
        item = self._board.config_item
        if item is None or self._config_version <= version:
            return None
        return ConfigRelay(item.key, item.value, item.mod_revision)
