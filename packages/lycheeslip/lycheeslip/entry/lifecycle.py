"""State transitions of a job record, as pure functions.

A transition returns the new record, or None if the record's state does not allow it. Records
are written by compare-and-swap, so each transition takes effect at most once.
"""

import secrets
from collections.abc import Mapping
from hashlib import sha256
from types import MappingProxyType

from lycheeslip_common.structure.jobs import (
    AttemptSummary,
    JobRecord,
    JobSpec,
    JobState,
    MemberPlacement,
)
from lycheeslip_common.structure.verdicts import (
    Answered,
    Cancelled,
    CannotRun,
    Failed,
    Refused,
    Unknown,
    Verdict,
    to_stored,
)
from lycheeslip_common.wire.messages import AttemptReport, ReportState

from lycheeslip.config.model import Limits
from lycheeslip.policy.health import is_job_at_fault
from lycheeslip.policy.model import WorkerHealth

__all__ = [
    "ANSWERED_OUTCOME",
    "FAILED_OUTCOME",
    "INTERRUPTED_OUTCOME",
    "abandon",
    "apply_loss",
    "apply_report",
    "as_unrecorded",
    "begin_attempt",
    "blamed_workers",
    "expire",
    "finish",
    "mark_running",
    "new_record",
    "request_cancel",
    "requeue",
    "take_over",
]

WRITER_ID_BYTES = 8
UNRECORDED_ATTEMPT_BITS = 48
ANSWERED_OUTCOME = "answered"
FAILED_OUTCOME = "task_failed"
INTERRUPTED_OUTCOME = "interrupted"


def _updated(record: JobRecord, **fields: object) -> JobRecord:
    changed: JobRecord = {**record, **fields, "writer": secrets.token_hex(WRITER_ID_BYTES)}  # type: ignore[typeddict-item]
    return changed


def new_record(job_id: str, spec: JobSpec, body_digest: str, owner: str, now_ms: int) -> JobRecord:
    """Return the initial record of an accepted job."""
    return JobRecord(
        job_id=job_id,
        spec=spec,
        body_digest=body_digest,
        accepted_at_ms=now_ms,
        state=JobState.PENDING,
        epoch=1,
        attempt=0,
        owner=owner,
        placement=(),
        attempts=(),
        cancel_requested=False,
        checkpoint="",
        started_at_ms=0,
        done_at_ms=0,
        verdict=None,
        answer_digest="",
        answer_length=0,
        answer_chunks=0,
        writer=secrets.token_hex(WRITER_ID_BYTES),
    )


def begin_attempt(
    record: JobRecord, owner: str, placement: tuple[MemberPlacement, ...], now_ms: int
) -> JobRecord | None:
    """Assign the next attempt to `placement`; recorded before any agent is asked to start it."""
    if record["state"] is not JobState.PENDING or record["cancel_requested"]:
        return None
    if _is_past_deadline(record, now_ms):
        return None
    return _updated(
        record,
        state=JobState.STARTED,
        attempt=record["attempt"] + 1,
        owner=owner,
        placement=placement,
        started_at_ms=0,
    )


def as_unrecorded(record: JobRecord) -> JobRecord:
    """Return the record of a job that is never stored, with a random attempt number.

    Another entry may serve the same idempotency key with another body at the same time, so
    the tasks of the two jobs must not share an id at a backend server.
    """
    return _updated(record, attempt=secrets.randbits(UNRECORDED_ATTEMPT_BITS))


def mark_running(record: JobRecord, attempt: int, now_ms: int) -> JobRecord | None:
    """Record when the current attempt began to run."""
    if not _is_current(record, attempt) or record["started_at_ms"]:
        return None
    return _updated(record, started_at_ms=now_ms)


def take_over(record: JobRecord, owner: str) -> JobRecord | None:
    """Make `owner` the owner of the job and increment the epoch."""
    if record["state"] is JobState.DONE:
        return None
    return _updated(record, owner=owner, epoch=record["epoch"] + 1)


def request_cancel(record: JobRecord, now_ms: int) -> JobRecord | None:
    """Cancel a pending job immediately, or mark a started job for cancellation."""
    if record["state"] is JobState.DONE or record["cancel_requested"]:
        return None
    if record["state"] is JobState.PENDING:
        may_have_run = any(summary.started_at_ms for summary in record["attempts"])
        return finish(record, Cancelled(may_have_run), now_ms)
    return _updated(record, cancel_requested=True)


def finish(record: JobRecord, verdict: Verdict, now_ms: int) -> JobRecord | None:
    """Complete the job with `verdict`."""
    if record["state"] is JobState.DONE:
        return None
    return _updated(record, state=JobState.DONE, verdict=to_stored(verdict), done_at_ms=now_ms)


def requeue(
    record: JobRecord,
    attempt: int,
    outcome: str,
    now_ms: int,
    ran: bool,
    checkpoint: str = "",
    blamed: str = "",
) -> JobRecord | None:
    """Return the job to the queue for another attempt, or complete it if it is to be cancelled."""
    if not _is_current(record, attempt):
        return None
    ended = _with_summary(record, outcome, now_ms, ran, blamed)
    if record["cancel_requested"]:
        return finish(ended, Cancelled(_has_run(ended)), now_ms)
    return _updated(
        ended,
        state=JobState.PENDING,
        placement=(),
        started_at_ms=0,
        checkpoint=checkpoint or record["checkpoint"],
    )


def apply_report(
    record: JobRecord,
    report: AttemptReport,
    limits: Limits,
    now_ms: int,
    chunks: int,
    health_by_worker: Mapping[str, WorkerHealth] = MappingProxyType({}),
) -> JobRecord | None:
    """Apply an attempt's report; return None if it does not apply to the current attempt.

    Failures on workers listed in `health_by_worker` are not attributed to the job, but count
    towards its maximum of attempts.
    """
    attempt = report.ref.attempt
    if not _is_current(record, attempt):
        return None
    match report.state:
        case ReportState.RUNNING:
            return mark_running(record, attempt, now_ms)
        case ReportState.ANSWERED:
            return _answered(record, report, now_ms, chunks)
        case ReportState.NOT_STARTED:
            return requeue(record, attempt, "not_started", now_ms, ran=False)
        case ReportState.INTERRUPTED:
            return _interrupted(record, report, now_ms)
        case ReportState.TASK_FAILED:
            return _task_failed(record, report, limits, now_ms, health_by_worker)
        case ReportState.LOST:
            return apply_loss(record, attempt, limits, now_ms, report.reason)


def apply_loss(
    record: JobRecord, attempt: int, limits: Limits, now_ms: int, reason: str
) -> JobRecord | None:
    """End an attempt whose outcome cannot be determined; requeue a repeatable job."""
    if not _is_current(record, attempt):
        return None
    if not record["spec"].repeatable:
        ended = _with_summary(record, "lost", now_ms, ran=True)
        return finish(ended, Unknown(reason or "worker_lost"), now_ms)
    return _retry(record, "lost", Unknown(reason or "worker_lost"), limits, now_ms)


def _answered(
    record: JobRecord, report: AttemptReport, now_ms: int, chunks: int
) -> JobRecord | None:
    if sha256(report.answer).hexdigest() != report.digest:
        return None
    ended = _with_summary(record, ANSWERED_OUTCOME, now_ms, ran=True)
    ended["answer_digest"] = report.digest
    ended["answer_length"] = len(report.answer)
    ended["answer_chunks"] = chunks
    return finish(ended, Answered(), now_ms)


def _interrupted(record: JobRecord, report: AttemptReport, now_ms: int) -> JobRecord | None:
    if not record["spec"].repeatable and not record["cancel_requested"]:
        ended = _with_summary(record, INTERRUPTED_OUTCOME, now_ms, ran=True)
        return finish(ended, Failed("interrupted", report.reason), now_ms)
    outcome = f"{INTERRUPTED_OUTCOME}:{report.reason}"
    return requeue(
        record, report.ref.attempt, outcome, now_ms, ran=True, checkpoint=report.checkpoint
    )


def _task_failed(
    record: JobRecord,
    report: AttemptReport,
    limits: Limits,
    now_ms: int,
    health_by_worker: Mapping[str, WorkerHealth],
) -> JobRecord | None:
    failed = Failed("task_failed", report.reason)
    if not record["spec"].repeatable:
        return finish(_with_summary(record, FAILED_OUTCOME, now_ms, ran=True), failed, now_ms)
    blamed = report.blamed or report.worker_id
    ended = _with_summary(record, FAILED_OUTCOME, now_ms, ran=True, blamed=blamed)
    if is_job_at_fault(blamed_workers(ended), health_by_worker):
        cannot_run = CannotRun("failed_on_several_workers", True, report.reason)
        return finish(ended, cannot_run, now_ms)
    return _retry(record, FAILED_OUTCOME, failed, limits, now_ms, blamed)


def _retry(
    record: JobRecord,
    outcome: str,
    verdict: Verdict,
    limits: Limits,
    now_ms: int,
    blamed: str = "",
) -> JobRecord | None:
    too_late = _is_past_deadline(record, now_ms)
    attempts_made = len(record["attempts"]) + 1
    if attempts_made >= limits.max_attempts or too_late:
        ended = _with_summary(record, outcome, now_ms, ran=True, blamed=blamed)
        return finish(ended, verdict, now_ms)
    return requeue(record, record["attempt"], outcome, now_ms, ran=True, blamed=blamed)


def expire(record: JobRecord, now_ms: int) -> JobRecord | None:
    """Complete a pending job whose deadline has passed."""
    if record["state"] is not JobState.PENDING or not _is_past_deadline(record, now_ms):
        return None
    if _has_run(record):
        return finish(record, Failed("deadline_passed"), now_ms)
    return finish(record, Refused("deadline_passed"), now_ms)


def blamed_workers(record: JobRecord) -> frozenset[str]:
    """Return the workers to which failed attempts of the job are attributed."""
    return frozenset(
        summary.blamed
        for summary in record["attempts"]
        if summary.outcome == FAILED_OUTCOME and summary.blamed
    )


def abandon(record: JobRecord, reason: str, now_ms: int) -> JobRecord | None:
    """Complete a job whose caller no longer waits; refused only if no attempt can have run."""
    if record["state"] is JobState.PENDING and not _has_run(record):
        return finish(record, Refused(reason), now_ms)
    return finish(record, Unknown(reason), now_ms)


def _is_past_deadline(record: JobRecord, now_ms: int) -> bool:
    return 0 < record["spec"].deadline_at_ms <= now_ms


def _has_run(record: JobRecord) -> bool:
    return any(summary.started_at_ms for summary in record["attempts"])


def _is_current(record: JobRecord, attempt: int) -> bool:
    return record["state"] is JobState.STARTED and record["attempt"] == attempt


def _with_summary(
    record: JobRecord, outcome: str, now_ms: int, ran: bool, blamed: str = ""
) -> JobRecord:
    started_at_ms = (record["started_at_ms"] or now_ms) if ran else 0
    workers = tuple(member.worker_id for member in record["placement"])
    summary = AttemptSummary(record["attempt"], workers, started_at_ms, now_ms, outcome, blamed)
    return _updated(record, attempts=(*record["attempts"], summary))
