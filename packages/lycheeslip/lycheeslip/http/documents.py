"""JSON documents of the jobs in the HTTP API."""

import base64
from typing import Any

from lycheeslip_common.structure.jobs import JobRecord, JobState

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.job_table import TrackedJob
from lycheeslip.entry.planner import planner_id

__all__ = ["job_document"]


def job_document(
    board: Blackboard, job: TrackedJob, inline_answer: bytes | None = None
) -> dict[str, Any]:
    """Return the document of one job; `inline_answer` is set only for an unrecorded job."""
    record = job.record
    spec = record["spec"]
    return {
        "job_id": record["job_id"],
        "account": spec.account,
        "kind": spec.kind,
        "label": spec.label,
        "state": record["state"],
        "repeatable": spec.repeatable,
        "recorded": job.is_recorded,
        "shape": spec.shape._asdict(),
        "accepted_at_ms": record["accepted_at_ms"],
        "started_at_ms": record["started_at_ms"],
        "done_at_ms": record["done_at_ms"],
        "deadline_at_ms": spec.deadline_at_ms,
        "verdict": record["verdict"],
        "answer": _answer(record, inline_answer),
        "waiting": _waiting(board, record),
        "cancel_requested": record["cancel_requested"],
        "owner": record["owner"],
        "epoch": record["epoch"],
        "placement": [place._asdict() for place in record["placement"]],
        "attempts": [summary._asdict() for summary in record["attempts"]],
    }


def _answer(record: JobRecord, inline_answer: bytes | None) -> dict[str, Any] | None:
    if not record["answer_digest"]:
        return None
    answer: dict[str, Any] = {
        "digest": record["answer_digest"],
        "length": record["answer_length"],
    }
    if inline_answer is not None:
        answer["base64"] = base64.b64encode(inline_answer).decode()
    return answer


def _waiting(board: Blackboard, record: JobRecord) -> dict[str, str] | None:
    if record["state"] is not JobState.PENDING:
        return None
    wait_reason = board.wait_reason_by_job.get(record["job_id"])
    if wait_reason is not None:
        return wait_reason._asdict()
    if not board.store_reachable:
        return {"reason": "store_unreachable", "detail": "no start can be recorded"}
    return {"reason": "not_planned_yet", "detail": f"the planner is {planner_id(board)}"}
