"""JSON document of the fleet in the HTTP API."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Any

from lycheeslip_common.structure.jobs import JobState
from lycheeslip_common.utils.clock import wall_ms

from lycheeslip.config.auth import Caller, may_act_for
from lycheeslip.entry.blackboard import Blackboard, WorkerView
from lycheeslip.entry.planner import planner_id
from lycheeslip.policy.fragmentation import fragmentation
from lycheeslip.policy.model import FleetView, WaitingJob, WorkerHealth

__all__ = ["fleet_document"]


def fleet_document(
    board: Blackboard, caller: Caller, health_by_worker: Mapping[str, WorkerHealth]
) -> dict[str, Any]:
    """Return the fleet as known to this entry.

    Accounts and grants are included only if `caller` may act for the account.
    """
    live_workers = [view for view in board.workers_by_id.values() if not view.disconnected_at_ms]
    return {
        "entry_id": board.info.entry_id,
        "planner": planner_id(board),
        "config_revision": board.config.revision,
        "store_reachable": board.store_reachable,
        "entries": [info._asdict() for info in board.live_entries()],
        "zones": _zone_documents(board, live_workers),
        "workers": [_worker_document(view, caller, health_by_worker) for view in live_workers],
        "accounts": [
            document
            for document in _account_documents(board, live_workers)
            if may_act_for(caller, document["account_id"])
        ],
        "fragmentation": _fragmentation(board, live_workers, health_by_worker),
    }


def _zone_documents(board: Blackboard, live_workers: list[WorkerView]) -> list[dict[str, Any]]:
    views_by_zone: defaultdict[str, list[WorkerView]] = defaultdict(list)
    for zone_id in board.config.zones_by_id:
        views_by_zone[zone_id] = []
    for view in live_workers:
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


def _worker_document(
    view: WorkerView, caller: Caller, health_by_worker: Mapping[str, WorkerHealth]
) -> dict[str, Any]:
    state = view.state
    health = health_by_worker.get(state.info.worker_id)
    return {
        "worker_id": state.info.worker_id,
        "zone": state.info.zone,
        "rack": state.info.rack,
        "accelerators": state.info.accelerators,
        "busy": len(state.busy_accelerators()),
        "leaving": state.leaving,
        "quarantined": health is not None and health.quarantined_until_ms > wall_ms(),
        "home_entry": view.home_entry,
        "incarnation": state.incarnation,
        "grants": [grant._asdict() for grant in state.grants if may_act_for(caller, grant.account)],
    }


def _account_documents(board: Blackboard, live_workers: list[WorkerView]) -> list[dict[str, Any]]:
    using: Counter[str] = Counter()
    for view in live_workers:
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


def _fragmentation(
    board: Blackboard, live_workers: list[WorkerView], health_by_worker: Mapping[str, WorkerHealth]
) -> float:
    """Return the share of free accelerators that the largest shape can't use.

    The largest shape is taken from the waiting jobs and the accounts' guarantees.
    """
    waiting = tuple(
        WaitingJob(job.record["job_id"], job.record["spec"], job.record["accepted_at_ms"], 0)
        for job in board.jobs.in_state(JobState.PENDING)
    )
    return fragmentation(
        FleetView(
            now_ms=wall_ms(),
            config=board.config,
            workers_by_id={view.state.info.worker_id: view.state for view in live_workers},
            waiting=waiting,
            running_by_job={},
            homes=board.homes.homes,
            used_accelerator_ms_by_account={},
            health_by_worker=health_by_worker,
        )
    )
