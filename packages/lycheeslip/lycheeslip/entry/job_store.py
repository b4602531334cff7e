"""Stores job records by compare-and-swap, and resolves writes whose response was lost."""

from collections.abc import Callable
from dataclasses import dataclass

from lycheeslip_common.store import Store
from lycheeslip_common.store.outcomes import (
    Conflict,
    KeyValue,
    ReadResult,
    Unreachable,
    Written,
)
from lycheeslip_common.structure.jobs import JobRecord
from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.utils.usable import shorten

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.records import (
    ANSWER_CHUNK_BYTES,
    answer_key,
    decode_job,
    encode_job,
    job_key,
)

__all__ = ["Created", "Declined", "Existing", "JobStore", "Transition", "Updated"]

MAX_CONFLICTS = 8
UNREADABLE_RECORD = "the stored record of the job can't be read"

Transition = Callable[[JobRecord], JobRecord | None]


@dataclass(frozen=True, slots=True)
class Created:
    """The record is in the store."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class Existing:
    """The store already held a record with this job id."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class Updated:
    """The transition took effect."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class Declined:
    """The record's state does not allow the transition, or the job is unknown."""


class JobStore:
    """Creates, updates and deletes job records and their answers."""

    def __init__(self, board: Blackboard, store: Store) -> None:
        """Write to `store` and update the jobs of `board` with each write."""
        self._board = board
        self._store = store

    def add_unrecorded(self, record: JobRecord) -> None:
        """Add a job that is kept in memory only, for a caller that waits on its connection."""
        self._board.jobs.put(record, 0)

    async def create(self, record: JobRecord) -> Created | Existing | Unreachable:
        """Record a new job; `Unreachable.may_have_run` says whether the record may exist."""
        key = job_key(record["job_id"])
        outcome = await self._store.write_if(key, encode_job(record), 0)
        match outcome:
            case Written(revision):
                self._board.jobs.put(record, revision)
                return Created(record)
            case Conflict(KeyValue() as current):
                return self._existing(current, record)
            case Conflict():
                return Unreachable(False, "the job record was deleted during the write")
            case Unreachable(may_have_run=True):
                return await self._create_after_lost_response(record, outcome)
        return outcome

    async def update(self, job_id: str, transition: Transition) -> Updated | Declined | Unreachable:
        """Apply `transition` to the newest record, up to MAX_CONFLICTS times on conflicts."""
        for _ in range(MAX_CONFLICTS):
            job = self._board.jobs.by_id.get(job_id)
            changed = transition(job.record) if job is not None else None
            if job is None or changed is None:
                return Declined()
            if not job.is_recorded:
                self._board.jobs.put(changed, 0)
                return Updated(changed)
            outcome = await self._write(job_id, changed, job.mod_revision)
            if outcome is not None:
                return outcome
        return Unreachable(False, "each write of the job record conflicted with another change")

    async def write_answer(self, job_id: str, attempt: int, answer: bytes) -> int | Unreachable:
        """Store an answer in chunks and return the number of chunks."""
        chunks = range(0, len(answer), ANSWER_CHUNK_BYTES)
        for index, start in enumerate(chunks):
            chunk = answer[start : start + ANSWER_CHUNK_BYTES]
            outcome = await self._store.write_if(answer_key(job_id, attempt, index), chunk, 0)
            if isinstance(outcome, Unreachable):
                return outcome
        return len(chunks)

    async def read_answer_chunk(
        self, job_id: str, attempt: int, index: int
    ) -> bytes | Unreachable | None:
        """Return one chunk of an answer, None if it does not exist."""
        outcome = await self._store.read(answer_key(job_id, attempt, index))
        match outcome:
            case ReadResult(items, _):
                return items[0].value if items else None
            case Unreachable():
                return outcome

    async def forget(self, job_id: str) -> None:
        """Delete a finished job and its answer."""
        job = self._board.jobs.by_id.get(job_id)
        if job is None:
            return
        if job.is_recorded:
            await self._delete(job.record, job.mod_revision)
        self._board.jobs.remove(job_id)

    async def _delete(self, record: JobRecord, mod_revision: int) -> None:
        job_id = record["job_id"]
        for index in range(record["answer_chunks"]):
            key = answer_key(job_id, record["attempt"], index)
            chunk = await self._store.read(key)
            if isinstance(chunk, ReadResult) and chunk.items:
                await self._store.delete_if(key, chunk.items[0].mod_revision)
        await self._store.delete_if(job_key(job_id), mod_revision)

    async def _write(
        self, job_id: str, changed: JobRecord, mod_revision: int
    ) -> Updated | Declined | Unreachable | None:
        """Return the outcome of one compare-and-swap, None on a conflict with a newer record."""
        outcome = await self._store.write_if(job_key(job_id), encode_job(changed), mod_revision)
        if isinstance(outcome, Unreachable) and outcome.may_have_run:
            outcome = await self._resolve_lost_response(job_id, changed, outcome)
        match outcome:
            case Written(revision):
                self._board.jobs.put(changed, revision)
                return Updated(changed)
            case Conflict(KeyValue() as current):
                record = self._decode(current)
                if record is None:
                    return Unreachable(True, UNREADABLE_RECORD)
                self._board.jobs.put(record, current.mod_revision)
                return None
            case Conflict():
                self._board.jobs.remove(job_id)
                return Declined()
            case Unreachable():
                return outcome

    async def _resolve_lost_response(
        self, job_id: str, changed: JobRecord, lost: Unreachable
    ) -> Written | Conflict | Unreachable:
        """Read the record back to determine whether a write without a response took effect."""
        self._board.metrics.count("retry.store.lost_answer")
        outcome = await self._store.read(job_key(job_id))
        if isinstance(outcome, Unreachable):
            return lost
        if not outcome.items:
            return Conflict(None)
        current = outcome.items[0]
        stored = self._decode(current)
        if stored is not None and stored["writer"] == changed["writer"]:
            return Written(current.mod_revision)
        return Conflict(current)

    def _decode(self, item: KeyValue) -> JobRecord | None:
        """Return the stored record, None if another writer replaced it by an unusable value."""
        try:
            return decode_job(item.value)
        except ValueError as error:
            if self._board.unusable_keys.add(item.key, item.mod_revision):
                log_warning("store_value_malformed", key=item.key, detail=shorten(str(error)))
            return None

    async def _create_after_lost_response(
        self, record: JobRecord, lost: Unreachable
    ) -> Created | Existing | Unreachable:
        outcome = await self._resolve_lost_response(record["job_id"], record, lost)
        match outcome:
            case Written(revision):
                self._board.jobs.put(record, revision)
                return Created(record)
            case Conflict(KeyValue() as current):
                return self._existing(current, record)
        return lost

    def _existing(self, current: KeyValue, record: JobRecord) -> Created | Existing | Unreachable:
        stored = self._decode(current)
        if stored is None:
            return Unreachable(True, UNREADABLE_RECORD)
        self._board.jobs.put(stored, current.mod_revision)
        if stored["writer"] == record["writer"]:
            return Created(stored)
        return Existing(stored)
