import pytest
from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import Blackboard, PeerStatus, WorkerView
from lycheeslip.entry.loss import REGION_CUT_WAIT_MS, is_member_lost
from lycheeslip_common.structure.fleet import EntryInfo, WorkerInfo, WorkerState
from lycheeslip_common.structure.jobs import JobKind, JobSpec, MemberPlacement, Shape
from lycheeslip_common.utils.metrics import Metrics
from lycheeslip_common.wire.messages import FenceReply, FenceStatus

GONE_AT_MS = 1_000
LOST_AFTER_MS = 4_000
TASK_WAIT_MS = LOST_AFTER_MS + 10_000
GANG_WAIT_MS = LOST_AFTER_MS + 1_500
PLACE = MemberPlacement("w1", "i1", (0,))


def make_board(region="r1", gone=True, home="e1"):
    board = Blackboard(EntryInfo("e1", "r1", "z", "", ""), Metrics())
    info = WorkerInfo("w1", region, "z", "k", "", 8, 60, 1000, 8)
    state = WorkerState(info, "i1", 1, False, ())
    board.workers_by_id["w1"] = WorkerView(state, home, GONE_AT_MS if gone else 0)
    return board


def is_lost(board, waited_ms, repeatable=True, members=1, reply=None):
    spec = JobSpec("a", JobKind.BULK, Shape(members), "", repeatable)
    record = lifecycle.new_record("job", spec, "", "e1", 1)
    record["placement"] = (PLACE,) * members
    now_ms = GONE_AT_MS + waited_ms
    return is_member_lost(board, record, PLACE, reply, GONE_AT_MS, LOST_AFTER_MS, now_ms)


@pytest.mark.parametrize(
    ("wait_ms", "case"),
    [
        (TASK_WAIT_MS, {}),
        (TASK_WAIT_MS, {"repeatable": False}),
        (GANG_WAIT_MS, {"members": 2}),
    ],
)
def test_a_worker_is_lost_once_its_lease_has_surely_ended(wait_ms, case):
    assert not is_lost(make_board(), wait_ms, **case)
    assert is_lost(make_board(), wait_ms + 1, **case)


def test_a_silent_region_gets_time_before_an_answer_is_given_up():
    board = make_board(region="r2")
    assert not is_lost(board, TASK_WAIT_MS + 1, repeatable=False)
    assert is_lost(board, REGION_CUT_WAIT_MS + 1, repeatable=False)
    assert is_lost(board, TASK_WAIT_MS + 1, repeatable=True)


def test_a_worker_behind_a_peer_that_lives_is_not_lost():
    board = make_board(home="e2")
    board.entries_by_id["e2"] = EntryInfo("e2", "r1", "z", "", "")
    assert not is_lost(board, REGION_CUT_WAIT_MS)
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
def test_a_worker_that_answers_is_believed(status, lost):
    reply = FenceReply(1, "w1", "i2", status)
    assert is_lost(make_board(gone=False), 1, reply=reply) is lost
