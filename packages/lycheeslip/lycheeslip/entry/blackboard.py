"""In-memory state of one entry, shared by its controllers; does no I/O."""

import asyncio
from typing import NamedTuple

from lycheeslip_common.structure.fleet import EntryInfo, WorkerState
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.utils.usable import UnusableKeys

from lycheeslip.config.model import FleetConfig
from lycheeslip.entry.job_table import JobTable
from lycheeslip.policy.model import HomeMap, RackReservation

__all__ = [
    "AppliedConfig",
    "Blackboard",
    "HomesRecord",
    "PeerStatus",
    "PermitHolder",
    "WaitReason",
    "WorkerView",
]


class WorkerView(NamedTuple):
    """A worker and the entry that holds its session.

    `disconnected_at_ms` is monotonic time, or 0 while the worker is connected.
    """

    state: WorkerState
    home_entry: str
    disconnected_at_ms: int = 0


class PermitHolder(NamedTuple):
    """An entry that may still extend its start permits, with or without a lease."""

    info: EntryInfo
    mod_revision: int


class PeerStatus(NamedTuple):
    """The last status that a peer sent; `ping_sent_at_ms` is monotonic time of this entry."""

    ping_sent_at_ms: int
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
    """The home map in force; `version` increases with each change."""

    version: int
    homes: HomeMap
    mod_revision: int


class WaitReason(NamedTuple):
    """Why a job waits, as the `explain` command shows it."""

    reason: str
    detail: str


class Blackboard:
    """State of the fleet and its jobs, as known to one entry.

    `contacted_peers` are the entries that have sent their status over a session, until their
    holder keys are deleted. `expected_by` are those of them that count this entry among their
    expected peers. `synced` is set once the store has been read. `confirmed_at_ms` is the start
    of the last read that confirmed the configuration; it and `permit_until_ms` are monotonic time.
    """

    def __init__(self, info: EntryInfo, metrics: Metrics) -> None:
        """Start with no workers, no jobs and the default configuration."""
        self.info = info
        self.metrics = metrics
        self.applied = AppliedConfig(FleetConfig(), "", 0, 0)
        self.homes = HomesRecord(0, {}, 0)
        self.entries_by_id: dict[str, EntryInfo] = {info.entry_id: info}
        self.permit_holders_by_id: dict[str, PermitHolder] = {}
        self.contacted_peers: set[str] = set()
        self.expected_by: set[str] = set()
        self.peers_by_id: dict[str, PeerStatus] = {}
        self.workers_by_id: dict[str, WorkerView] = {}
        self.replan_requested = asyncio.Event()
        self.jobs = JobTable(self.replan_requested)
        self.wait_reason_by_job: dict[str, WaitReason] = {}
        self.reservation: RackReservation | None = None
        self.synced = False
        self.store_reachable = False
        self.unusable_keys = UnusableKeys(lambda: metrics.count("store.malformed_value"))
        self.confirmed_at_ms = 0
        self.permit_until_ms = 0
        self.leaving = False

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force."""
        return self.applied.config

    def expected_peers(self) -> frozenset[str]:
        """Return the entries that must agree for this one to extend permits without the store."""
        return frozenset(self.entries_by_id.keys() | self.contacted_peers) - {self.info.entry_id}

    def live_entries(self) -> tuple[EntryInfo, ...]:
        """Return the entries that hold a lease in the store, this one included."""
        return tuple(sorted(self.entries_by_id.values()))

    def home_entries(self) -> tuple[EntryInfo, ...]:
        """Return the live entries that agents may choose as their home.

        These are the ones that reach the store, because only those permit starts while any does.
        If none is known to reach it, all live entries are returned.
        """
        entries = self.live_entries()
        with_store = self.entries_with_store()
        return tuple(info for info in entries if info.entry_id in with_store) or entries

    def reachable_entries(self) -> set[str]:
        """Return this entry and the leased entries whose status it has received over a session."""
        own = self.info.entry_id
        return {own} | (self.peers_by_id.keys() & self.entries_by_id.keys())

    def entries_with_store(self) -> set[str]:
        """Return the entries that reached the store when this one last heard of them."""
        peers = {peer for peer, status in self.peers_by_id.items() if status.store_reachable}
        return peers | ({self.info.entry_id} if self.store_reachable else set())
