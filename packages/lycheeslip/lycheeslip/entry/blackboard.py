"""What one entry knows; controllers read it and write it, and it does no I/O."""

import asyncio
from typing import NamedTuple

from lycheeslip_common.structure.fleet import EntryInfo, WorkerState
from lycheeslip_common.utils.metrics import Metrics

from lycheeslip.config.model import FleetConfig
from lycheeslip.entry.job_table import JobTable
from lycheeslip.policy.model import HomeMap, RackReservation

__all__ = [
    "AppliedConfig",
    "Blackboard",
    "Holder",
    "HomesRecord",
    "PeerStatus",
    "WaitReason",
    "WorkerView",
]


class WorkerView(NamedTuple):
    """A worker and the entry that holds its session; `gone_at_ms` is monotonic, 0 if live."""

    state: WorkerState
    home_entry: str
    gone_at_ms: int = 0


class Holder(NamedTuple):
    """An entry that may still extend its permits, leased or not."""

    info: EntryInfo
    mod_revision: int


class PeerStatus(NamedTuple):
    """What a peer last said of itself; `asked_at_ms` is this entry's monotonic clock."""

    asked_at_ms: int
    config_revision: int
    store_reachable: bool
    peers: frozenset[str]


class AppliedConfig(NamedTuple):
    """The configuration in force and its source text."""

    config: FleetConfig
    text: str
    applied_at_ms: int
    mod_revision: int


class HomesRecord(NamedTuple):
    """The agreed home map; `version` grows with each change."""

    version: int
    homes: HomeMap
    mod_revision: int


class WaitReason(NamedTuple):
    """Why a job waits, for `explain`."""

    reason: str
    detail: str


class Blackboard:
    """State of one entry."""

    def __init__(self, info: EntryInfo, metrics: Metrics) -> None:
        """Start with an empty fleet and no configuration."""
        self.info = info
        self.metrics = metrics
        self.applied = AppliedConfig(FleetConfig(), "", 0, 0)
        self.homes = HomesRecord(0, {}, 0)
        self.entries_by_id: dict[str, EntryInfo] = {info.entry_id: info}
        self.holders_by_id: dict[str, Holder] = {}
        self.acquainted: set[str] = set()
        self.known_by: set[str] = set()
        self.peers_by_id: dict[str, PeerStatus] = {}
        self.workers_by_id: dict[str, WorkerView] = {}
        self.plan_wanted = asyncio.Event()
        self.jobs = JobTable(self.plan_wanted)
        self.wait_reason_by_job: dict[str, WaitReason] = {}
        self.reservation: RackReservation | None = None
        self.synced = False
        self.store_reachable = False
        self.confirmed_at_ms = 0
        self.permit_until_ms = 0
        self.leaving = False

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force."""
        return self.applied.config

    def expected_peers(self) -> frozenset[str]:
        """Return the entries that must agree before this one extends its permits."""
        return frozenset(self.entries_by_id.keys() | self.acquainted) - {self.info.entry_id}

    def live_entries(self) -> tuple[EntryInfo, ...]:
        """Return the entries that hold a lease in the store, this one included."""
        return tuple(sorted(self.entries_by_id.values()))

    def reachable_entries(self) -> set[str]:
        """Return this entry and the leased entries that it holds a session with."""
        own = self.info.entry_id
        return {own} | (self.peers_by_id.keys() & self.entries_by_id.keys())
