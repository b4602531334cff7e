"""Transport of pings between gang members and their anchor, in process or over a session."""

import asyncio
from typing import Protocol

from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.wire.messages import GangLease, GangPhase, GangPing
from lycheeslip_common.wire.session import Session, SessionError, dial

from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.gang import Anchor
from lycheeslip_agent.grants import MemberKey

__all__ = ["AnchorLink", "LocalLink", "RemoteLink", "serve_members"]


class AnchorLink(Protocol):
    """A member's connection to its anchor."""

    async def exchange(self, ping: GangPing, timeout_ms: int) -> GangLease | None:
        """Send a ping and return the answer, or None if none came in time."""

    async def close(self) -> None:
        """Close the connection."""


class LocalLink:
    """Link of member 0, whose anchor is in the same process."""

    def __init__(self, board: Blackboard, anchor: Anchor) -> None:
        """Send pings to `anchor`."""
        self._board = board
        self._anchor = anchor

    async def exchange(self, ping: GangPing, timeout_ms: int) -> GangLease | None:
        """Return the anchor's answer, which needs no wait."""
        return _ping_anchor(self._board, self._anchor, ping)

    async def close(self) -> None:
        """Do nothing."""


class RemoteLink:
    """Link of the other members: one session, which is reopened whenever it fails."""

    def __init__(self, address: str, key: str, node_id: str) -> None:
        """Send pings to the anchor at `address`."""
        self._address = address
        self._key = key
        self._node_id = node_id
        self._session: Session | None = None
        self._closing: set[asyncio.Task[None]] = set()

    async def exchange(self, ping: GangPing, timeout_ms: int) -> GangLease | None:
        """Return the answer to this ping, or None if the session fails or the answer is late."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                if self._session is None:
                    self._session = await dial(self._address, self._key, "member", self._node_id)
                await self._session.send(ping)
                while True:
                    message = await self._session.receive()
                    if isinstance(message, GangLease) and message.echo_ms == ping.sent_ms:
                        return message
        except (SessionError, TimeoutError):
            await self.close()
            return None

    async def close(self) -> None:
        """Close the session without waiting for the peer."""
        if self._session is not None:
            session, self._session = self._session, None
            task = asyncio.create_task(session.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)


async def serve_members(board: Blackboard, session: Session) -> None:
    """Answer the pings of a gang member until its session ends; raises SessionError."""
    if session.role != "member":
        raise SessionError(f"role {session.role} is not accepted; only gang members may connect")
    while True:
        message = await session.receive()
        if not isinstance(message, GangPing):
            raise SessionError(f"unexpected message {type(message).__name__}; expected GangPing")
        await session.send(_answer_ping(board, message))


def _answer_ping(board: Blackboard, ping: GangPing) -> GangLease:
    """Return the answer to a ping; a prepared member may ping before its anchor exists."""
    anchor = board.anchors_by_key.get(MemberKey(ping.ref.job_id, ping.ref.attempt, 0))
    if anchor is not None and anchor.ref == ping.ref:
        return _ping_anchor(board, anchor, ping)
    is_early = anchor is None and ping.phase is GangPhase.PREPARED
    if not is_early:
        board.metrics.count("gang.unknown")
    phase = GangPhase.PREPARED if is_early else GangPhase.STOP
    return GangLease(ping.ref, ping.member, ping.sent_ms, phase, 0)


def _ping_anchor(board: Blackboard, anchor: Anchor, ping: GangPing) -> GangLease:
    started_before, phase_before = anchor.all_started, anchor.phase
    lease = anchor.on_ping(ping, monotonic_ms())
    if anchor.all_started and not started_before:
        board.mark_changed()
    if anchor.phase is not phase_before:
        _wake_own_member(board, anchor)
    return lease


def _wake_own_member(board: Blackboard, anchor: Anchor) -> None:
    """Let the anchor's own member act on a phase change without waiting for its next ping."""
    run = board.runs_by_key.get(MemberKey(anchor.ref.job_id, anchor.ref.attempt, 0))
    if run is not None:
        run.wake()
