"""Handles the messages of entries, direct or relayed."""

from collections.abc import Awaitable, Callable

from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.wire.codec import MalformedFrameError, decode, encode
from lycheeslip_common.wire.messages import (
    AnswerRecorded,
    Control,
    ControlAction,
    Directive,
    Fence,
    FenceReply,
    Message,
    Pong,
    Prepare,
    PrepareReply,
    Relay,
    Release,
    Reserve,
    ReserveReply,
)

from lycheeslip_agent.background import BackgroundTasks
from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.grants import MemberKey
from lycheeslip_agent.runs import Runs

__all__ = ["EntryMessages"]

Reply = Callable[[Message], Awaitable[None]]


class EntryMessages:
    """Dispatches messages to handlers; long-running work continues in the background."""

    def __init__(self, board: Blackboard, runs: Runs) -> None:
        """Apply the messages to `board` and `runs`."""
        self._board = board
        self._runs = runs
        self._background = BackgroundTasks(board.metrics)

    async def handle(self, message: Message, reply: Reply) -> None:
        """Handle one message; answers are passed to `reply`."""
        match message:
            case Pong():
                self._on_pong(message)
            case Directive():
                self._on_directive(message)
            case Reserve():
                await reply(self._reserve(message))
            case Prepare():
                self._background.spawn(self._prepare(message, reply))
            case Release():
                self._release(message)
            case Control():
                self._control(message)
            case Fence():
                await reply(self._fence(message))
            case AnswerRecorded():
                self._confirm_recorded(message)
            case Relay():
                await self._handle_relay(message, reply)
            case _:
                self._board.count_refusal("unexpected_message")

    def _on_pong(self, pong: Pong) -> None:
        if not self._board.permit.on_pong(pong, monotonic_ms()):
            self._board.count_refusal("late_pong")
        if pong.entries:
            self._board.entries_by_id = {entry.entry_id: entry for entry in pong.entries}

    def _on_directive(self, directive: Directive) -> None:
        if not self._board.permit.on_directive(directive):
            self._board.count_refusal("old_directive")
            return
        log_event(
            "directive",
            revision=directive.config_revision,
            version=directive.version,
            in_service=directive.zone_in_service,
        )
        self._board.mark_changed()

    def _reserve(self, message: Reserve) -> ReserveReply:
        now_ms = monotonic_ms()
        self._board.grants.expire(now_ms)
        reason = self._board.permit.refusal_reason(now_ms)
        if not reason:
            directive = self._board.permit.directive
            reason = self._board.grants.reserve(message, directive, now_ms)
        if reason:
            self._board.count_refusal(reason)
        else:
            self._board.mark_changed()
        return ReserveReply(message.request_id, self._board.settings.node_id, reason)

    async def _prepare(self, message: Prepare, reply: Reply) -> None:
        reason = await self._runs.prepare(message)
        if reason:
            self._board.count_refusal(reason)
        await reply(PrepareReply(message.request_id, self._board.settings.node_id, reason))

    def _release(self, message: Release) -> None:
        if self._board.grants.release(message.ref, message.member):
            self._board.mark_changed()
            return
        run = self._board.runs_by_key.get(_key(message))
        if run is not None and message.ref.epoch >= run.member.ref.epoch:
            run.abort_unstarted("released")

    def _control(self, message: Control) -> None:
        """Pass a message on to its run; one without a job begins or ends a drain of the worker."""
        if not message.ref.job_id:
            self._set_draining(message)
            return
        run = self._board.runs_by_key.get(_key(message))
        if run is not None and message.ref.epoch >= run.member.ref.epoch:
            self._background.spawn(run.control(message))

    def _set_draining(self, message: Control) -> None:
        """Begin or end a drain; ending it does not make a terminating process accept work."""
        match message.action:
            case ControlAction.STOP:
                self._board.draining = True
            case ControlAction.UNTHROTTLE:
                self._board.draining = False
            case _:
                self._board.count_refusal("unexpected_message")
                return
        log_event("draining", draining=self._board.draining, reason=message.reason)
        self._board.set_leaving()

    def _fence(self, message: Fence) -> FenceReply:
        status = self._board.grants.fence(message.job_id, message.epoch)
        for key, run in list(self._board.runs_by_key.items()):
            if key.job_id == message.job_id and run.member.ref.epoch < message.epoch:
                run.abort_unstarted("fenced_epoch")
        self._board.outbox.resend(message.job_id)
        self._board.mark_changed()
        board = self._board
        return FenceReply(message.request_id, board.settings.node_id, board.incarnation, status)

    def _confirm_recorded(self, message: AnswerRecorded) -> None:
        key = self._board.outbox.confirm(message.ref)
        if key is not None:
            self._background.spawn(self._runs.forget_task(key))

    async def _handle_relay(self, message: Relay, reply: Reply) -> None:
        """Handle a relayed message, and relay its answers back to the sender."""
        if message.to_worker != self._board.settings.node_id:
            self._board.count_refusal("misrouted")
            return
        try:
            inner = decode(message.frame)
        except MalformedFrameError:
            self._board.count_refusal("malformed")
            return
        if isinstance(inner, Relay):
            self._board.count_refusal("malformed")
            return

        async def reply_relayed(answer: Message) -> None:
            node_id = self._board.settings.node_id
            await reply(Relay("", message.from_node, node_id, encode(answer)))

        await self.handle(inner, reply_relayed)


def _key(message: Release | Control) -> MemberKey:
    return MemberKey(message.ref.job_id, message.ref.attempt, message.member)
