"""Loads all job records when a term begins, then watches for new jobs and cancellations."""

import asyncio
from collections.abc import Iterable, Iterator, Sequence

from lycheeslip_common.store.outcomes import KeyValue, Unreachable
from lycheeslip_common.store.port import ChangedKeys, HistoryLost, KeyValueStore
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.utils.retry import Backoff
from lycheeslip_common.utils.usable import UnusableKeys
from lycheeslip_common.workload.jobs import JobSpec, StepSpec
from lycheeslip_common.workload.progress import (
    JobProgress,
    cancel,
    decode_progress,
    decode_spec,
    open_occurrences,
)

from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip.dispatch.keys import CANCEL_PREFIX, JOBS_PREFIX, RUNS_PREFIX, SPEC_PREFIX
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.slices import run_in_slices

__all__ = ["Loader"]

RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 0.5
MAX_AGE_MS = 24 * 3_600_000  # a job that waits for longer has missed any latency objective
MAX_LOGGED_STEPS = 20  # bounds the line of a job with thousands of steps
WATCH_WAIT_MS = 2_000  # a stalled connection is detected well within a job's latency objective


def _step_summary(step: StepSpec) -> str:
    """Return the parts of a step that affect its placement, for the log."""
    kind = "gang" if step.gang else "tasks"
    return (
        f"{step.task_count}_{kind}:cpu={step.cpu_milli},accelerators={step.accelerators},"
        f"estimate_ms={step.estimate_ms},same_rack={step.same_rack},saves={step.checkpointing}"
    )


class Loader:
    """Adds accepted jobs to the leader's job table and applies cancellations."""

    def __init__(self, board: Board, store: KeyValueStore, recorder: Recorder) -> None:
        """Read from `store` into `board.jobs`."""
        self._board = board
        self._store = store
        self._recorder = recorder
        self._revision = 0
        self._unusable = UnusableKeys(lambda: board.counters.count("unusable_values", "job_record"))

    async def load(self) -> bool:
        """Read all records; returns whether the store answered."""
        jobs = await self._store.read_prefix(JOBS_PREFIX)
        runs = await self._store.read_prefix(RUNS_PREFIX)
        if isinstance(jobs, Unreachable) or isinstance(runs, Unreachable):
            return False
        progress_by_id = {item.key.removeprefix(RUNS_PREFIX): item for item in runs.items}
        term = self._board.leadership
        work = self._add_all(jobs.items, progress_by_id)
        if not await run_in_slices(work, lambda: self._board.leadership is term):
            return False
        self._revision = jobs.revision
        log_event("records_loaded", jobs=len(self._board.jobs), revision=jobs.revision)
        return True

    def _add_all(
        self, items: Sequence[KeyValue], progress_by_id: dict[str, KeyValue]
    ) -> Iterator[None]:
        """Add all jobs, then cancel those whose cancellation is recorded; yields between them."""
        for item in items:
            if item.key.startswith(SPEC_PREFIX):
                self._add_job(item, progress_by_id, MAX_AGE_MS)
                yield
        for item in items:
            if item.key.startswith(CANCEL_PREFIX):
                self._cancel_job(item.key.removeprefix(CANCEL_PREFIX))

    def _apply_all(self, items: Iterable[KeyValue]) -> Iterator[None]:
        for item in items:
            self.apply(item)
            yield

    async def run(self) -> None:
        """Watch for new jobs and cancellations while leading."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S)
        while self._board.leadership is not None:
            outcome = await self._store.changes(JOBS_PREFIX, self._revision, WATCH_WAIT_MS)
            if self._board.leadership is None:
                return
            match outcome:
                case ChangedKeys(events, revision):
                    items = (
                        KeyValue(event.key, event.value, event.mod_revision)
                        for event in events
                        if not event.deleted
                    )
                    if not await run_in_slices(self._apply_all(items), self._is_leading):
                        return
                    self._revision = max(self._revision, revision)
                    backoff.reset()
                case HistoryLost():
                    log_warning("job_history_lost", revision=self._revision)
                    await self._reload()
                case Unreachable(_, detail):
                    log_warning("job_watch_failed", reason=detail)
                    await asyncio.sleep(backoff.next_delay_s())

    def _is_leading(self) -> bool:
        return self._board.leadership is not None

    async def _reload(self) -> None:
        """Read all jobs and cancellations again; the progress of loaded jobs is not replaced."""
        jobs = await self._store.read_prefix(JOBS_PREFIX)
        if isinstance(jobs, Unreachable):
            await asyncio.sleep(RETRY_FIRST_S)
            return
        # reverse order: specifications before cancellations
        items = sorted(jobs.items, key=lambda item: item.key, reverse=True)
        if not await run_in_slices(self._apply_all(items), self._is_leading):
            return
        self._revision = max(self._revision, jobs.revision)

    def apply(self, item: KeyValue) -> None:
        """Apply a specification or a cancellation, read from the store or sent by its writer."""
        if item.key.startswith(SPEC_PREFIX):
            self._add_job(item, {}, WATCH_WAIT_MS)
        elif item.key.startswith(CANCEL_PREFIX):
            self._cancel_job(item.key.removeprefix(CANCEL_PREFIX))
        self._board.planning_needed.set()

    def _add_job(
        self, item: KeyValue, progress_by_id: dict[str, KeyValue], max_age_ms: int
    ) -> None:
        """Add a job that was accepted at most `max_age_ms` ago.

        That bounds the error if the clocks of two entries differ.
        """
        job_id = item.key.removeprefix(SPEC_PREFIX)
        if job_id in self._board.jobs:
            return
        try:
            spec = decode_spec(item.value)
            if spec.job_id != job_id:
                raise ValueError("the record is of another job")
            job = self._build_stored_job(spec, progress_by_id.get(job_id))
            job.age_at_load_ms = min(max(0, wall_ms() - spec.accepted_at_ms), max_age_ms)
        except ValueError as error:
            if self._unusable.add(job_id, item.mod_revision):
                log_warning("record_unreadable", job=job_id, reason=error)
            return
        self._unusable.discard(job_id)
        self._board.jobs[job_id] = job
        log_event(
            "job_known",
            job=job_id,
            queue=spec.queue,
            account=spec.account,
            priority=spec.priority,
            state=job.progress.state,
            step_count=len(spec.steps),
            steps=[_step_summary(step) for step in spec.steps[:MAX_LOGGED_STEPS]],
            occurrences=spec.occurrences,
            delay_ms=wall_ms() - spec.accepted_at_ms,
        )

    def _build_stored_job(self, spec: JobSpec, item: KeyValue | None) -> StoredJob:
        progress = decode_progress(spec, item.value) if item else JobProgress(spec)
        stored = StoredJob(progress, item.mod_revision if item else 0, progress.state, steady_ms())
        if open_occurrences(progress, wall_ms()):
            self._recorder.schedule_write(stored)
        return stored

    def _cancel_job(self, job_id: str) -> None:
        job = self._board.jobs.get(job_id)
        if job is not None and cancel(job.progress, wall_ms()):
            log_event("job_cancelled", job=job_id)
            self._recorder.schedule_write(job)
