"""When a member of an attempt counts as lost, from what this entry can see; pure."""

from lycheeslip_common.structure.jobs import JobRecord, MemberPlacement
from lycheeslip_common.wire.messages import FenceReply, FenceStatus

from lycheeslip.config.model import Limits
from lycheeslip.entry.blackboard import Blackboard, WorkerView

__all__ = ["REGION_CUT_WAIT_MS", "is_member_lost", "proves_no_start"]

REGION_CUT_WAIT_MS = 900_000


def proves_no_start(record: JobRecord, replies: list[FenceReply | None]) -> bool:
    """Return whether every member's own incarnation says that it never started."""
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
    """Return whether a member has gone for good, its lease included.

    A job that must not run twice gets the verdict Unknown by this, so a region that can't be
    heard is given time to come back with the answer.
    """
    if reply is not None:
        return reply.status is FenceStatus.NEVER_STARTED
    view = board.workers_by_id.get(place.worker_id)
    if view is not None and (not view.gone_at_ms or _is_cut_off(board, view.home_entry)):
        return False
    gone_at_ms = view.gone_at_ms if view is not None else absent_since_ms
    wait_ms = worker_lost_after_ms + _lease_ms(record, board.config.limits)
    if view is not None and not record["spec"].repeatable and _is_region_silent(board, view):
        wait_ms = max(wait_ms, REGION_CUT_WAIT_MS)
    return now_ms - gone_at_ms > wait_ms


def _lease_ms(record: JobRecord, limits: Limits) -> int:
    return limits.task_lease_ms if len(record["placement"]) == 1 else limits.gang_lease_ms


def _is_cut_off(board: Blackboard, entry_id: str) -> bool:
    """Return whether an entry lives by its lease, though this one has no session to it."""
    if entry_id == board.info.entry_id:
        return False
    return entry_id in board.entries_by_id.keys() - board.reachable_entries()


def _is_region_silent(board: Blackboard, view: WorkerView) -> bool:
    """Return whether no worker of another region can be heard."""
    region = view.state.info.region
    if region == board.info.region:
        return False
    return all(
        other.gone_at_ms
        for other in board.workers_by_id.values()
        if other.state.info.region == region
    )
