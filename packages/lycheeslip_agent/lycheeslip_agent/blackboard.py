"""Blackboard of the agent: the only state that its controllers share."""

import asyncio
import secrets

from lycheeslip_common.config import AgentSettings
from lycheeslip_common.structure.fleet import EntryInfo, WorkerInfo, WorkerState
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.messages import GangPhase

from lycheeslip_agent.active_run import ActiveRun
from lycheeslip_agent.gang import Anchor
from lycheeslip_agent.grants import GrantTable, MemberKey
from lycheeslip_agent.outbox import Outbox
from lycheeslip_agent.permit import ZonePermit

__all__ = ["Blackboard"]

INCARNATION_BYTES = 8


class Blackboard:
    """State of one agent process; `changed` is set when it must be announced."""

    def __init__(self, settings: AgentSettings, metrics: Metrics) -> None:
        """Create the state of a new incarnation without grants."""
        self.settings = settings
        self.metrics = metrics
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.grants = GrantTable(self.incarnation)
        self.permit = ZonePermit()
        self.outbox = Outbox()
        self.runs_by_key: dict[MemberKey, ActiveRun] = {}
        self.anchors_by_key: dict[MemberKey, Anchor] = {}
        self.entries_by_id: dict[str, EntryInfo] = {}
        self.address = settings.address
        self.draining = False
        self.terminating = False
        self.backend_leaving = False
        self.changed = asyncio.Event()
        self._sequence = 0

    @property
    def info(self) -> WorkerInfo | None:
        """Return the worker's capacity, or None until the backend server has reported it."""
        return self.grants.info

    def start_refusal_reason(self, key: MemberKey, now_ms: int) -> str:
        """Return why a prepared member may not start now, or "" if it may.

        A leaving worker refuses here even the members in `armed_before_leaving`, which withdraws
        their armed state; `start` still accepts them if the anchor has already ordered it.
        """
        directive = self.permit.directive
        if directive is None:
            return "no_directive"
        if self.grants.leaving:
            return "leaving"
        return self.permit.refusal_reason(now_ms) or self.grants.start_refusal_reason(
            key, now_ms, directive
        )

    def start(self, key: MemberKey, now_ms: int) -> str:
        """Record that a member is about to start, or return why it may not."""
        directive = self.permit.directive
        if directive is None:
            return "no_directive"
        return self.permit.refusal_reason(now_ms) or self.grants.start(
            key, now_ms, wall_ms(), directive
        )

    def count_refusal(self, reason: str) -> None:
        """Count a refusal."""
        self.metrics.count(f"refuse.{reason.split(':')[0]}")

    def set_leaving(self) -> None:
        """Refuse all new work while the agent drains or terminates or its backend server leaves.

        Members that have not started are aborted, except armed ones: the anchor may already
        have relied on their pings, so they start if it has ordered the start.
        """
        leaving = self.draining or self.terminating or self.backend_leaving
        if leaving != self.grants.leaving:
            self.grants.leaving = leaving
            self.mark_changed()
        if leaving:
            for run in list(self.runs_by_key.values()):
                if run.member.phase is GangPhase.ARMED:
                    self.grants.armed_before_leaving.add(run.key)
                else:
                    run.abort_unstarted("leaving")

    def mark_changed(self) -> None:
        """Have the worker's changed state announced."""
        self.changed.set()

    def next_state(self) -> WorkerState | None:
        """Return the worker's state under the next sequence number."""
        if self.info is None:
            return None
        self._sequence += 1
        directive = self.permit.directive
        return WorkerState(
            info=self.info._replace(address=self.address),
            incarnation=self.incarnation,
            sequence=self._sequence,
            leaving=self.grants.leaving,
            grants=self.grants.grants(),
            directive_version=directive.version if directive is not None else 0,
        )
