"""JSON documents that describe jobs and the fleet to callers and operators."""

import base64
from collections import Counter, defaultdict
from typing import Any

from lycheeslip_common.structure.jobs import JobRecord, JobState

from lycheeslip.config.auth import Caller, may_act_for
from lycheeslip.entry.blackboard import Blackboard, WorkerView
from lycheeslip.entry.job_table import JobEntry
from lycheeslip.entry.planner import planner_id

__all__ = ["fleet_document", "job_document"]


def job_document(
    board: Blackboard, job: JobEntry, inline_answer: bytes | None = None
) -> dict[str, Any]:
    """Return the document of one job; `inline_answer` is for a job without a record."""
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


def fleet_document(board: Blackboard, caller: Caller) -> dict[str, Any]:
    """Return the fleet as this entry sees it, with the accounts that `caller` may see."""
    live = [view for view in board.workers_by_id.values() if not view.gone_at_ms]
    return {
        "entry_id": board.info.entry_id,
        "planner": planner_id(board),
        "config_revision": board.config.revision,
        "store_reachable": board.store_reachable,
        "entries": [info._asdict() for info in board.live_entries()],
        "zones": _zones(board, live),
        "workers": [_worker(view, caller) for view in live],
        "accounts": [
            document
            for document in _accounts(board, live)
            if may_act_for(caller, document["account_id"])
        ],
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
    known = board.wait_reason_by_job.get(record["job_id"])
    if known is not None:
        return known._asdict()
    if not board.store_reachable:
        return {"reason": "store_unreachable", "detail": "no start can be recorded"}
    return {"reason": "not_planned_yet", "detail": f"{planner_id(board)} plans"}


def _zones(board: Blackboard, live: list[WorkerView]) -> list[dict[str, Any]]:
    views_by_zone: defaultdict[str, list[WorkerView]] = defaultdict(list)
    for zone_id in board.config.zones_by_id:
        views_by_zone[zone_id] = []
    for view in live:
        views_by_zone[view.state.info.zone].append(view)
    return [
        {
            "zone_id": zone_id,
            "in_service": _in_service(board, zone_id),
            "workers": len(views),
            "accelerators": sum(view.state.info.accelerators for view in views),
            "busy": sum(len(view.state.busy_accelerators()) for view in views),
        }
        for zone_id, views in sorted(views_by_zone.items())
    ]


def _in_service(board: Blackboard, zone_id: str) -> bool:
    zone = board.config.zones_by_id.get(zone_id)
    return zone.in_service if zone is not None else not board.config.zones_by_id


def _worker(view: WorkerView, caller: Caller) -> dict[str, Any]:
    state = view.state
    return {
        "worker_id": state.info.worker_id,
        "zone": state.info.zone,
        "rack": state.info.rack,
        "accelerators": state.info.accelerators,
        "busy": len(state.busy_accelerators()),
        "leaving": state.leaving,
        "quarantined": False,
        "home_entry": view.home_entry,
        "incarnation": state.incarnation,
        "grants": [grant._asdict() for grant in state.grants if may_act_for(caller, grant.account)],
    }


def _accounts(board: Blackboard, live: list[WorkerView]) -> list[dict[str, Any]]:
    using: Counter[str] = Counter()
    for view in live:
        for grant in view.state.grants:
            using[grant.account] += len(grant.accelerators)
    waiting = board.jobs.waiting_by_account
    account_ids = board.config.accounts_by_id.keys() | using.keys() | waiting.keys()
    documents = []
    for account_id in sorted(account_ids):
        account = board.config.accounts_by_id.get(account_id)
        guarantee = account.guarantee if account is not None else None
        guaranteed = guarantee.total_accelerators if guarantee is not None else 0
        documents.append(
            {
                "account_id": account_id,
                "guaranteed": guaranteed,
                "using": using[account_id],
                "borrowed": max(0, using[account_id] - guaranteed),
                "waiting": waiting[account_id],
            }
        )
    return documents
