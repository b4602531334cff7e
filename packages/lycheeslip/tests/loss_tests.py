import pytest
from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import Blackboard, PeerStatus, WorkerView
from lycheeslip.entry.loss import REGION_OUTAGE_WAIT_MS, is_member_lost
from lycheeslip_common.structure.fleet import EntryInfo, WorkerInfo, WorkerState
from lycheeslip_common.structure.jobs import JobKind, JobSpec, MemberPlacement, Shape
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.messages import FenceReply, FenceStatus

DISCONNECTED_AT_MS = 1_000
LOST_AFTER_MS = 4_000
TASK_WAIT_MS = LOST_AFTER_MS + 10_000
GANG_WAIT_MS = LOST_AFTER_MS + 1_500
PLACEMENT = MemberPlacement("w1", "i1", (0,))


def make_board(region="r1", disconnected=True, home="e1"):
    board = Blackboard(EntryInfo("e1", "r1", "z", "", ""), Metrics())
    info = WorkerInfo("w1", region, "z", "k", "", 8, 60, 1000, 8)
    state = WorkerState(info, "i1", 1, False, ())
    board.workers_by_id["w1"] = WorkerView(state, home, DISCONNECTED_AT_MS if disconnected else 0)
    return board


def is_lost(board, waited_ms, repeatable=True, members=1, reply=None):
    spec = JobSpec("a", JobKind.BULK, Shape(members), "", repeatable)
    record = lifecycle.new_record("job", spec, "", "e1", 1)
    record["placement"] = (PLACEMENT,) * members
    now_ms = DISCONNECTED_AT_MS + waited_ms
    return is_member_lost(
        board, record, PLACEMENT, reply, DISCONNECTED_AT_MS, LOST_AFTER_MS, now_ms
    )


@pytest.mark.parametrize(
    ("wait_ms", "case"),
    [
        (TASK_WAIT_MS, {}),
        (TASK_WAIT_MS, {"repeatable": False}),
        (GANG_WAIT_MS, {"members": 2}),
    ],
)
def test_a_worker_is_lost_only_after_its_lease_has_expired(wait_ms, case):
    assert not is_lost(make_board(), wait_ms, **case)
    assert is_lost(make_board(), wait_ms + 1, **case)


def test_a_disconnected_region_delays_the_loss_of_a_non_repeatable_job():
    board = make_board(region="r2")
    assert not is_lost(board, TASK_WAIT_MS + 1, repeatable=False)
    assert is_lost(board, REGION_OUTAGE_WAIT_MS + 1, repeatable=False)
    assert is_lost(board, TASK_WAIT_MS + 1, repeatable=True)


def test_a_worker_of_a_leased_but_unreachable_peer_is_not_lost():
    board = make_board(home="e2")
    board.entries_by_id["e2"] = EntryInfo("e2", "r1", "z", "", "")
    assert not is_lost(board, REGION_OUTAGE_WAIT_MS)
    board.peers_by_id["e2"] = PeerStatus(0, 0, True, frozenset())
    assert is_lost(board, TASK_WAIT_MS + 1)


@pytest.mark.parametrize(
    ("status", "lost"),
    [
        (FenceStatus.NEVER_STARTED, True),
        (FenceStatus.RUNNING, False),
        (FenceStatus.ENDED, False),
    ],
)
def test_a_fence_reply_decides_whether_the_member_is_lost(status, lost):
    reply = FenceReply(1, "w1", "i2", status)
    assert is_lost(make_board(disconnected=False), 1, reply=reply) is lost
