"""Has calls that this entry can't decide without the store decided by a peer that reaches it."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.wire.messages import CallKind, ForwardedAnswer, ForwardedCall

from lycheeslip.entry.blackboard import Blackboard, PeerStatus
from lycheeslip.entry.router import Router

__all__ = ["Call", "Decide", "Forwarding"]

REQUEST_ID_BITS = 53
DECISION_MS = 1_500
MAX_PEERS_ASKED = 3

Decide = Callable[[ForwardedCall], Awaitable[ForwardedAnswer]]


class Call(NamedTuple):
    """A call to forward.

    `wait_until_ms` is monotonic time; `deadline_at_ms` is the job's wall-clock deadline, 0 for
    none. The other fields are those of `ForwardedCall`.
    """

    kind: CallKind
    subject: str
    token_sha256: str
    wait_until_ms: int = 0
    body: bytes = b""
    deadline_at_ms: int = 0

    def message(self, request_id: int, config_revision: int) -> ForwardedCall:
        """Return the message to a peer, with the times that remain now."""
        # 0 stands for no deadline, so a deadline that has passed is sent as the shortest one.
        deadline_ms = max(1, self.deadline_at_ms - wall_ms()) if self.deadline_at_ms else 0
        return ForwardedCall(
            request_id=request_id,
            kind=self.kind,
            subject=self.subject,
            token_sha256=self.token_sha256,
            body=self.body,
            config_revision=config_revision,
            wait_remaining_ms=max(0, self.wait_until_ms - monotonic_ms()),
            deadline_remaining_ms=deadline_ms,
        )


class _PendingAnswer(NamedTuple):
    peer: str
    future: asyncio.Future[ForwardedAnswer | None]


class Forwarding:
    """Asks peers to decide calls, and answers those of peers with `decide`.

    A call may be asked of several peers, because each decision about a job is a compare-and-swap
    of the same record.
    """

    def __init__(self, board: Blackboard, router: Router) -> None:
        """Choose peers by their status in `board`; decline all calls until `decide` is set."""
        self._board = board
        self._router = router
        self.decide: Decide = _decline
        self._pending_by_request: dict[int, _PendingAnswer] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def ask(self, call: Call, outcome_here: Unreachable) -> ForwardedAnswer | Unreachable:
        """Return the decision of a peer, or Unreachable if none has decided.

        `outcome_here` says whether the call may have taken effect before it is forwarded.
        """
        may_have_run = outcome_here.may_have_run
        for peer in self._peers_to_ask():
            answer = await self._ask_peer(peer, call)
            log_event("call_forwarded", kind=call.kind, peer=peer, outcome=_outcome(answer))
            self._board.metrics.count(f"forward.{_outcome(answer)}")
            if answer is None:
                may_have_run = True
            elif not answer.decided:
                may_have_run = may_have_run or answer.may_have_run
            elif may_have_run and not answer.may_have_run:
                # The refusal holds for this peer's decision, not for what came before it.
                return Unreachable(True)
            else:
                return answer
        return Unreachable(may_have_run)

    def accept(self, peer: str, call: ForwardedCall) -> None:
        """Decide a peer's call in the background and send it the answer."""
        task = asyncio.create_task(self._answer(peer, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def deliver(self, peer: str, answer: ForwardedAnswer) -> None:
        """Complete the call that `peer` answers; an answer that comes too late is ignored."""
        pending = self._pending_by_request.get(answer.request_id)
        if pending is not None and pending.peer == peer and not pending.future.done():
            pending.future.set_result(answer)

    def end_peer(self, peer: str) -> None:
        """Give up the answers of a peer whose session has ended."""
        for pending in self._pending_by_request.values():
            if pending.peer == peer and not pending.future.done():
                pending.future.set_result(None)

    def _peers_to_ask(self) -> list[str]:
        """Return the peers that reach the store, those with the newest status first."""

        def by_status(item: tuple[str, PeerStatus]) -> tuple[int, int]:
            return -item[1].config_revision, -item[1].ping_sent_at_ms

        statuses = sorted(self._board.peers_by_id.items(), key=by_status)
        sessions = self._router.sessions_by_peer
        return [peer for peer, status in statuses if status.store_reachable and peer in sessions][
            :MAX_PEERS_ASKED
        ]

    async def _ask_peer(self, peer: str, call: Call) -> ForwardedAnswer | None:
        """Return the answer of `peer`, None if it is not known whether it got the call."""
        request_id = secrets.randbits(REQUEST_ID_BITS)
        future: asyncio.Future[ForwardedAnswer | None] = asyncio.get_running_loop().create_future()
        self._pending_by_request[request_id] = _PendingAnswer(peer, future)
        message = call.message(request_id, self._board.config.revision)
        try:
            async with asyncio.timeout((message.wait_remaining_ms + DECISION_MS) / 1000):
                sent = await self._router.to_entry(peer, message)
                return await future if sent else None
        except TimeoutError:
            return None
        finally:
            del self._pending_by_request[request_id]

    async def _answer(self, peer: str, call: ForwardedCall) -> None:
        self._board.metrics.count("forward.received")
        try:
            answer = await self.decide(call)
        except Exception as error:
            log_warning("forwarded_call_failed", kind=call.kind, error=repr(error))
            answer = ForwardedAnswer(call.request_id, decided=False, may_have_run=True)
        await self._router.to_entry(peer, answer)


def _outcome(answer: ForwardedAnswer | None) -> str:
    if answer is None:
        return "lost"
    return "decided" if answer.decided else "declined"


async def _decline(call: ForwardedCall) -> ForwardedAnswer:
    return ForwardedAnswer(call.request_id, decided=False, may_have_run=False)
