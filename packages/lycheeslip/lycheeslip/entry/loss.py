"""Decides when a member of an attempt counts as lost, from this entry's state; does no I/O."""

from lycheeslip_common.structure.jobs import JobRecord, MemberPlacement
from lycheeslip_common.wire.messages import FenceReply, FenceStatus

from lycheeslip.config.model import Limits
from lycheeslip.entry.blackboard import Blackboard, WorkerView

__all__ = ["REGION_OUTAGE_WAIT_MS", "is_member_lost", "confirms_never_started"]

REGION_OUTAGE_WAIT_MS = 900_000


def confirms_never_started(record: JobRecord, replies: list[FenceReply | None]) -> bool:
    """Return whether every member's agent confirms that the placed incarnation did not start it."""
    return all(
        reply is not None
        and reply.incarnation == place.incarnation
        and reply.status is FenceStatus.NEVER_STARTED
        for place, reply in zip(record["placement"], replies, strict=True)
    )


def is_member_lost(
    board: Blackboard,
    record: JobRecord,
    place: MemberPlacement,
    reply: FenceReply | None,
    absent_since_ms: int,
    worker_lost_after_ms: int,
    now_ms: int,
) -> bool:
    """Return whether a member never started, or its lease expired after its worker disconnected.

    A job that is not repeatable ends as Unknown when a member is lost. If the member's region
    is remote and has no connected worker, the member of such a job is lost only after
    REGION_OUTAGE_WAIT_MS, so that the region can reconnect and report the answer.
    """
    if reply is not None:
        return reply.status is FenceStatus.NEVER_STARTED
    view = board.workers_by_id.get(place.worker_id)
    if view is not None and (
        not view.disconnected_at_ms or _is_partitioned(board, view.home_entry)
    ):
        return False
    disconnected_at_ms = view.disconnected_at_ms if view is not None else absent_since_ms
    wait_ms = worker_lost_after_ms + _lease_ms(record, board.config.limits)
    if view is not None and not record["spec"].repeatable and _is_region_disconnected(board, view):
        wait_ms = max(wait_ms, REGION_OUTAGE_WAIT_MS)
    return now_ms - disconnected_at_ms > wait_ms


def _lease_ms(record: JobRecord, limits: Limits) -> int:
    return limits.task_lease_ms if len(record["placement"]) == 1 else limits.gang_lease_ms


def _is_partitioned(board: Blackboard, entry_id: str) -> bool:
    """Return whether an entry holds its lease but is not reachable from this one."""
    if entry_id == board.info.entry_id:
        return False
    return entry_id in board.entries_by_id.keys() - board.reachable_entries()


def _is_region_disconnected(board: Blackboard, view: WorkerView) -> bool:
    """Return whether the worker's region is remote and has no connected worker."""
    region = view.state.info.region
    if region == board.info.region:
        return False
    return all(
        other.disconnected_at_ms
        for other in board.workers_by_id.values()
        if other.state.info.region == region
    )
