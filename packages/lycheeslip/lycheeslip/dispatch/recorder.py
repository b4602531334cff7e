"""Writes changed job records in batches, and resolves writes whose response was lost.

Orders and acknowledgements that depend on a record are sent only after its write.
"""

import asyncio
from collections.abc import Callable, Iterator

from lycheeslip_common.store import Compare, Put
from lycheeslip_common.store.outcomes import Unreachable, Written
from lycheeslip_common.store.port import ConditionFailed, KeyValueStore, LeaseEnded
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.workload.progress import JobState, encode_progress

from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip.dispatch.keys import LEADER_KEY, cancel_key, runs_key, spec_key
from lycheeslip.dispatch.slices import run_in_slices

__all__ = ["Recorder"]

MAX_ENTRIES = 32  # conditions, writes and deletions that the store takes in one call
MAX_JOBS_PER_WRITE = (MAX_ENTRIES - 1) // 2  # a condition and a write each, and the leader key
MAX_DELETED_JOBS = 9  # three keys each
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 0.5


class Recorder:
    """The only writer of progress records; at most one write is in progress."""

    def __init__(
        self,
        board: Board,
        store: KeyValueStore,
        on_recorded: Callable[[list[str]], None],
        on_term_lost: Callable[[], None],
    ) -> None:
        """Call `on_recorded` with the ids of jobs whose latest state is in the store."""
        self._board = board
        self._store = store
        self._on_recorded = on_recorded
        self._on_term_lost = on_term_lost
        self._changed = asyncio.Event()

    def schedule_write(self, job: StoredJob) -> None:
        """Schedule a write of a job's progress."""
        job.is_dirty = True
        self._changed.set()

    async def run(self) -> None:
        """Write changed records while this entry leads."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._board.leadership is not None and await self._write_batch():
                pass

    async def _write_batch(self) -> bool:
        """Write a batch of dirty jobs; returns whether there may be more."""
        term = self._board.leadership
        dirty = [(key, job) for key, job in self._board.jobs.items() if job.is_dirty]
        batch = dirty[:MAX_JOBS_PER_WRITE]
        if not batch or term is None:
            return False
        values: dict[str, bytes] = {}
        states: dict[str, JobState] = {}
        work = self._encode_records(batch, values, states)
        if not await run_in_slices(work, lambda: self._board.leadership is term):
            return False
        compares = [Compare(LEADER_KEY, term.epoch)]
        compares += [Compare(runs_key(job_id), job.revision) for job_id, job in batch]
        puts = [Put(key, value) for key, value in values.items()]
        began_at = steady_ms()
        revisions = await self._write_until_resolved(compares, puts, values)
        if self._board.leadership is not term:
            return False
        if revisions is None:
            log_warning("record_write_lost_term", epoch=term.epoch, jobs=len(batch))
            self._on_term_lost()
            return False
        for job_id, job in batch:
            job.revision = revisions[runs_key(job_id)]
            job.is_being_written = False
            job.recorded_state = states[job_id]
        self._board.counters.observe_ms("record_write", steady_ms() - began_at)
        self._on_recorded([job_id for job_id, job in batch if not job.is_dirty])
        return True

    def _encode_records(
        self,
        batch: list[tuple[str, StoredJob]],
        values: dict[str, bytes],
        states: dict[str, JobState],
    ) -> Iterator[None]:
        """Encode the jobs' progress, each as it is when it is no longer marked as changed."""
        for job_id, job in batch:
            values[runs_key(job_id)] = encode_progress(job.progress)
            states[job_id] = job.progress.state
            job.is_dirty, job.is_being_written = False, True
            job.has_newer_checkpoint = False
            yield

    async def _write_until_resolved(
        self, compares: list[Compare], puts: list[Put], values: dict[str, bytes]
    ) -> dict[str, int] | None:
        """Write, with retries; returns each key's new revision, or None if the term was lost."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S)
        term = self._board.leadership
        while self._board.leadership is term:
            outcome = await self._store.transact(compares, puts)
            match outcome:
                case Written(revision):
                    return dict.fromkeys(values, revision)
                case ConditionFailed(items):
                    # an earlier attempt whose response was lost may have taken effect
                    found = {item.key: item for item in items}
                    is_own_write = all(
                        key in found and found[key].value == value for key, value in values.items()
                    )
                    if not is_own_write:
                        return None
                    return {key: found[key].mod_revision for key in values}
                case LeaseEnded():
                    return None
                case Unreachable(_, detail):
                    self._board.counters.count("record_retries", "store_unreachable")
                    log_warning("record_write_retried", reason=detail, jobs=len(puts))
                    await asyncio.sleep(backoff.next_delay_s())
        return None

    async def forget_ended(self) -> None:
        """Delete the records of jobs whose retention period has passed."""
        while True:
            await asyncio.sleep(self._board.times.retention_ms / 10_000)
            term = self._board.leadership
            expired = [key for key, job in self._board.jobs.items() if self._is_expired(job)]
            for start in range(0, len(expired), MAX_DELETED_JOBS):
                if term is None or self._board.leadership is not term:
                    break
                await self._delete(term.epoch, expired[start : start + MAX_DELETED_JOBS])

    def _is_expired(self, job: StoredJob) -> bool:
        ended_at = job.progress.ended_at_ms
        is_settled = not job.is_dirty and not any(job.progress.placed())
        return bool(
            ended_at and is_settled and wall_ms() - ended_at > self._board.times.retention_ms
        )

    async def _delete(self, epoch: int, job_ids: list[str]) -> None:
        keys = [
            key
            for job_id in job_ids
            for key in (spec_key(job_id), cancel_key(job_id), runs_key(job_id))
        ]
        outcome = await self._store.transact([Compare(LEADER_KEY, epoch)], [], keys)
        if isinstance(outcome, Written):
            for job_id in job_ids:
                self._board.jobs.pop(job_id, None)
            log_event("jobs_forgotten", count=len(job_ids))
