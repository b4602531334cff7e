"""What one entry knows; controllers read it and write it, and it does no I/O."""

import asyncio
from collections import defaultdict
from typing import NamedTuple

from lycheeslip_common.structure.fleet import EntryInfo, WorkerState
from lycheeslip_common.structure.jobs import JobRecord
from lycheeslip_common.utils.metrics import Metrics

from lycheeslip.config.model import FleetConfig
from lycheeslip.policy.model import HomeMap, RackReservation

__all__ = [
    "AppliedConfig",
    "Blackboard",
    "HomesRecord",
    "JobEntry",
    "PeerStatus",
    "WaitReason",
    "WorkerView",
]


class JobEntry(NamedTuple):
    """A job as this entry knows it; `mod_revision` 0 means that only this entry knows it."""

    record: JobRecord
    mod_revision: int

    @property
    def is_recorded(self) -> bool:
        """Return whether the platform's store holds the job."""
        return self.mod_revision > 0


class WorkerView(NamedTuple):
    """A worker and the entry that holds its session; `gone_at_ms` is monotonic, 0 if live."""

    state: WorkerState
    home_entry: str
    gone_at_ms: int = 0


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
        self.peers_by_id: dict[str, PeerStatus] = {}
        self.workers_by_id: dict[str, WorkerView] = {}
        self.jobs_by_id: dict[str, JobEntry] = {}
        self.wait_reason_by_job: dict[str, WaitReason] = {}
        self.reservation: RackReservation | None = None
        self.synced = False
        self.store_reachable = False
        self.confirmed_at_ms = 0
        self.permit_until_ms = 0
        self.leaving = False
        self.plan_wanted = asyncio.Event()
        self._waiters_by_job: defaultdict[str, set[asyncio.Event]] = defaultdict(set)

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force."""
        return self.applied.config

    def live_entries(self) -> tuple[EntryInfo, ...]:
        """Return the entries that hold a lease in the store, this one included."""
        return tuple(self.entries_by_id.values())

    def reachable_entries(self) -> set[str]:
        """Return this entry and the leased entries that it holds a session with."""
        own = self.info.entry_id
        return {own} | (self.peers_by_id.keys() & self.entries_by_id.keys())

    def put_job(self, record: JobRecord, mod_revision: int) -> None:
        """Take in a job's newer record and wake those who wait for it."""
        job_id = record["job_id"]
        known = self.jobs_by_id.get(job_id)
        if known is not None and known.mod_revision > mod_revision:
            return
        self.jobs_by_id[job_id] = JobEntry(record, mod_revision)
        self.wake(job_id)

    def remove_job(self, job_id: str) -> None:
        """Forget a job."""
        self.jobs_by_id.pop(job_id, None)
        self.wait_reason_by_job.pop(job_id, None)
        self.wake(job_id)

    def wake(self, job_id: str) -> None:
        """Wake those who wait for `job_id` and ask for a planning round."""
        for event in self._waiters_by_job.get(job_id, ()):
            event.set()
        self.plan_wanted.set()

    async def wait_for_change(self, job_id: str, timeout_s: float) -> None:
        """Return when `job_id` has changed or `timeout_s` has passed."""
        event = asyncio.Event()
        self._waiters_by_job[job_id].add(event)
        try:
            await asyncio.wait_for(event.wait(), timeout_s)
        except TimeoutError:
            return
        finally:
            self._waiters_by_job[job_id].discard(event)
            if not self._waiters_by_job[job_id]:
                del self._waiters_by_job[job_id]
