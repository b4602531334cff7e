"""Which workers there are, which entry holds the session to each, and its newest state."""

from lycheeslip_common.structure.fleet import WorkerState
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event

from lycheeslip.entry.blackboard import Blackboard, WorkerView

__all__ = ["note_entry_lost", "note_gone", "note_update"]


def note_update(board: Blackboard, state: WorkerState, home_entry: str) -> bool:
    """Take in a worker's state; return False for one that is older than what is known."""
    worker_id = state.info.worker_id
    known = board.workers_by_id.get(worker_id)
    if known is not None and known.state.incarnation == state.incarnation:
        if known.state.sequence > state.sequence:
            return False
    elif known is None or known.state.incarnation != state.incarnation:
        log_event("worker_announced", worker=worker_id, incarnation=state.incarnation)
    board.workers_by_id[worker_id] = WorkerView(state, home_entry)
    board.plan_wanted.set()
    return True


def note_gone(board: Blackboard, worker_id: str, incarnation: str, home_entry: str) -> None:
    """Note that `home_entry` has lost its session to a worker."""
    known = board.workers_by_id.get(worker_id)
    if known is None or known.gone_at_ms or known.home_entry != home_entry:
        return
    if known.state.incarnation != incarnation:
        return
    if known.state.leaving and not known.state.grants:
        del board.workers_by_id[worker_id]
        log_event("worker_left", worker=worker_id)
        return
    board.workers_by_id[worker_id] = known._replace(gone_at_ms=monotonic_ms())
    log_event("worker_session_lost", worker=worker_id, home_entry=home_entry)


def note_entry_lost(board: Blackboard, entry_id: str) -> None:
    """Note that a peer, and with it the sessions to its workers, can't be heard."""
    for worker_id, view in list(board.workers_by_id.items()):
        if view.home_entry == entry_id:
            note_gone(board, worker_id, view.state.incarnation, entry_id)
