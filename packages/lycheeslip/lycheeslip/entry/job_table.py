"""In-memory table of the jobs that an entry knows, indexed by id and state."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol

from lycheeslip_common.structure.jobs import JobRecord, JobState

__all__ = ["JobObserver", "JobTable", "TrackedJob"]


class TrackedJob(NamedTuple):
    """A job as this entry knows it; `mod_revision` is 0 if the job is not in the store."""

    record: JobRecord
    mod_revision: int

    @property
    def is_recorded(self) -> bool:
        """Return whether the job is in the platform's store."""
        return self.mod_revision > 0


class JobObserver(Protocol):
    """Receives every newer record, and the ids of removed jobs."""

    def observe(self, record: JobRecord) -> None:
        """Handle a job's newer record."""

    def forget(self, job_id: str) -> None:
        """Discard data kept for a removed job."""


class JobTable:
    """Jobs by id, with indexes by state and counts by account; does no I/O."""

    def __init__(self, changed: asyncio.Event) -> None:
        """Set `changed` whenever a job changes."""
        self.by_id: dict[str, TrackedJob] = {}
        self.waiting_by_account: Counter[str] = Counter()
        self._reserved_slots_by_account: Counter[str] = Counter()
        self._ids_by_state: dict[JobState, dict[str, None]] = {state: {} for state in JobState}
        self._changed = changed
        self.observers: list[JobObserver] = []
        self._waiters_by_id: defaultdict[str, set[asyncio.Event]] = defaultdict(set)

    @contextmanager
    def reserve_queue_slot(self, account: str) -> Iterator[None]:
        """Count a job of `account` as queued while its record is written."""
        self._reserved_slots_by_account[account] += 1
        try:
            yield
        finally:
            self._reserved_slots_by_account[account] -= 1

    def queue_length(self, account: str) -> int:
        """Return the number of pending jobs and reserved slots of `account`."""
        return self.waiting_by_account[account] + self._reserved_slots_by_account[account]

    def total_queue_length(self) -> int:
        """Return the number of pending jobs and reserved slots of all accounts."""
        return self.waiting_by_account.total() + self._reserved_slots_by_account.total()

    def in_state(self, state: JobState) -> Iterator[TrackedJob]:
        """Yield the jobs in `state` as of this call."""
        for job_id in list(self._ids_by_state[state]):
            job = self.by_id.get(job_id)
            if job is not None and job.record["state"] is state:
                yield job

    def put(self, record: JobRecord, mod_revision: int) -> None:
        """Store a job's newer record, notify observers and wake waiters.

        Records that are not newer are ignored: the watch returns each of the entry's own writes
        under the same revision.
        """
        job_id = record["job_id"]
        known = self.by_id.get(job_id)
        if known is not None and known.is_recorded and known.mod_revision >= mod_revision:
            return
        if known is not None:
            self._unindex(known.record)
        self.by_id[job_id] = TrackedJob(record, mod_revision)
        self._index(record)
        for observer in self.observers:
            observer.observe(record)
        self._wake(job_id)

    def remove(self, job_id: str) -> None:
        """Remove a job, notify observers and wake waiters."""
        known = self.by_id.pop(job_id, None)
        if known is not None:
            self._unindex(known.record)
            for observer in self.observers:
                observer.forget(job_id)
        self._wake(job_id)

    async def wait_for_change(self, job_id: str, timeout_s: float) -> None:
        """Wait until `job_id` changes or `timeout_s` has passed."""
        event = asyncio.Event()
        self._waiters_by_id[job_id].add(event)
        try:
            await asyncio.wait_for(event.wait(), timeout_s)
        except TimeoutError:
            return
        finally:
            self._waiters_by_id[job_id].discard(event)
            if not self._waiters_by_id[job_id]:
                del self._waiters_by_id[job_id]

    def wake_all(self) -> None:
        """Wake all waiters, whether or not their job has changed."""
        for job_id in list(self._waiters_by_id):
            self._wake(job_id)

    def _wake(self, job_id: str) -> None:
        for event in self._waiters_by_id.get(job_id, ()):
            event.set()
        self._changed.set()

    def _index(self, record: JobRecord) -> None:
        self._ids_by_state[record["state"]][record["job_id"]] = None
        if record["state"] is JobState.PENDING:
            self.waiting_by_account[record["spec"].account] += 1

    def _unindex(self, record: JobRecord) -> None:
        self._ids_by_state[record["state"]].pop(record["job_id"], None)
        if record["state"] is JobState.PENDING:
            self.waiting_by_account[record["spec"].account] -= 1
