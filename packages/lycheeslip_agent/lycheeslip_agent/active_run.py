"""What the agent's controllers may ask of a run, whoever drives it."""

from typing import Protocol

from lycheeslip_common.wire.messages import Control

from lycheeslip_agent.gang import Member
from lycheeslip_agent.grants import MemberKey

__all__ = ["ActiveRun"]


class ActiveRun(Protocol):
    """One member's task from its reservation to its end."""

    member: Member
    key: MemberKey
    may_have_started: bool

    def abort_unstarted(self, reason: str) -> None:
        """Give the run up if it can't have started."""

    async def control(self, message: Control) -> None:
        """Checkpoint, throttle or stop the task."""

    def wake(self) -> None:
        """Look at the gang's decision now."""
