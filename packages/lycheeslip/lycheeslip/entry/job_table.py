"""The jobs that an entry knows, by id and by state."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol

from lycheeslip_common.structure.jobs import JobRecord, JobState

__all__ = ["JobEntry", "JobObserver", "JobTable"]


class JobEntry(NamedTuple):
    """A job as this entry knows it; `mod_revision` 0 means that only this entry knows it."""

    record: JobRecord
    mod_revision: int

    @property
    def is_recorded(self) -> bool:
        """Return whether the platform's store holds the job."""
        return self.mod_revision > 0


class JobObserver(Protocol):
    """Is told of every newer record, and of jobs that are forgotten."""

    def observe(self, record: JobRecord) -> None:
        """Take notice of a job's newer record."""

    def forget(self, job_id: str) -> None:
        """Drop what is kept for a job."""


class JobTable:
    """Jobs with the indexes that hot paths need; does no I/O."""

    def __init__(self, changed: asyncio.Event) -> None:
        """Set `changed` whenever a job changes."""
        self.by_id: dict[str, JobEntry] = {}
        self.waiting_by_account: Counter[str] = Counter()
        self._admitting_by_account: Counter[str] = Counter()
        self._ids_by_state: dict[JobState, dict[str, None]] = {state: {} for state in JobState}
        self._changed = changed
        self.observers: list[JobObserver] = []
        self._waiters_by_id: defaultdict[str, set[asyncio.Event]] = defaultdict(set)

    @contextmanager
    def admitting(self, account: str) -> Iterator[None]:
        """Keep room in the queue for a job of `account` while its record is written."""
        self._admitting_by_account[account] += 1
        try:
            yield
        finally:
            self._admitting_by_account[account] -= 1

    def queued(self, account: str) -> int:
        """Return how many jobs of `account` wait or are being admitted."""
        return self.waiting_by_account[account] + self._admitting_by_account[account]

    def all_queued(self) -> int:
        """Return how many jobs wait or are being admitted."""
        return self.waiting_by_account.total() + self._admitting_by_account.total()

    def in_state(self, state: JobState) -> Iterator[JobEntry]:
        """Yield the jobs in `state` as of this call."""
        for job_id in list(self._ids_by_state[state]):
            job = self.by_id.get(job_id)
            if job is not None and job.record["state"] is state:
                yield job

    def put(self, record: JobRecord, mod_revision: int) -> None:
        """Take in a job's newer record and wake those who wait for it.

        An entry's own write comes back by its watch under the same revision, with nothing new.
        """
        job_id = record["job_id"]
        known = self.by_id.get(job_id)
        if known is not None and known.is_recorded and known.mod_revision >= mod_revision:
            return
        if known is not None:
            self._unindex(known.record)
        self.by_id[job_id] = JobEntry(record, mod_revision)
        self._index(record)
        for observer in self.observers:
            observer.observe(record)
        self._wake(job_id)

    def remove(self, job_id: str) -> None:
        """Forget a job."""
        known = self.by_id.pop(job_id, None)
        if known is not None:
            self._unindex(known.record)
            for observer in self.observers:
                observer.forget(job_id)
        self._wake(job_id)

    async def wait_for_change(self, job_id: str, timeout_s: float) -> None:
        """Return when `job_id` has changed or `timeout_s` has passed."""
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
        """Wake everyone who waits, whether or not a job has changed."""
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
