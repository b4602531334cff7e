"""Updates the known workers: their newest state, and the entry that holds each session."""

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event

from lycheeslip.entry.blackboard import Blackboard, WorkerView

__all__ = ["mark_entry_disconnected", "mark_worker_disconnected", "apply_worker_update"]


def apply_worker_update(board: Blackboard, state: WorkerState, home_entry: str) -> bool:
    """Apply a worker's state; return False if a newer one is known."""
    worker_id = state.info.worker_id
    known = board.workers_by_id.get(worker_id)
    if known is not None and known.state.incarnation == state.incarnation:
        if known.state.sequence > state.sequence:
            return False
    elif known is None or known.state.incarnation != state.incarnation:
        log_event("worker_announced", worker=worker_id, incarnation=state.incarnation)
    board.workers_by_id[worker_id] = WorkerView(state, home_entry)
    board.replan_requested.set()
    return True


def mark_worker_disconnected(
    board: Blackboard, worker_id: str, incarnation: str, home_entry: str
) -> None:
    """Mark a worker as disconnected from `home_entry`; one that left without grants is removed."""
    known = board.workers_by_id.get(worker_id)
    if known is None or known.disconnected_at_ms or known.home_entry != home_entry:
        return
    if known.state.incarnation != incarnation:
        return
    if known.state.leaving and not known.state.grants:
        del board.workers_by_id[worker_id]
        log_event("worker_left", worker=worker_id)
        return
    board.workers_by_id[worker_id] = known._replace(disconnected_at_ms=monotonic_ms())
    log_event("worker_session_lost", worker=worker_id, home_entry=home_entry)


def mark_entry_disconnected(board: Blackboard, entry_id: str) -> None:
    """Mark all workers of a disconnected peer as disconnected."""
    for worker_id, view in list(board.workers_by_id.items()):
        if view.home_entry == entry_id:
            mark_worker_disconnected(board, worker_id, view.state.incarnation, entry_id)
