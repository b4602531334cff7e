"""Interface to a run that the agent's controllers depend on."""

from typing import Protocol

from lycheeslip_common.wire.messages import Control

from lycheeslip_agent.gang import Member
from lycheeslip_agent.grants import MemberKey

__all__ = ["ActiveRun"]


class ActiveRun(Protocol):
    """One member's task, from its load to its end."""

    member: Member
    key: MemberKey
    may_have_started: bool

    def abort_unstarted(self, reason: str) -> None:
        """Abort the run for `reason` unless its task may have started."""

    async def control(self, message: Control) -> None:
        """Checkpoint, throttle or stop the task."""

    def wake(self) -> None:
        """Ping the anchor now rather than after the current pause."""
