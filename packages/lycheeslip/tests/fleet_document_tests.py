from lycheeslip.config.auth import Operator
from lycheeslip.entry import lifecycle
from lycheeslip.entry.blackboard import Blackboard, WorkerView
from lycheeslip.http.fleet_document import fleet_document
from lycheeslip.policy.health import HealthByWorker
from lycheeslip_common.structure.fleet import EntryInfo, WorkerInfo, WorkerState
from lycheeslip_common.structure.jobs import JobKind, JobSpec, Shape, derive_job_id
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.utils.metrics import Metrics

OPERATOR = Operator()
FAILURES = 8


def make_board(*worker_ids):
    board = Blackboard(EntryInfo("e1", "r", "z", "", ""), Metrics())
    for worker_id in worker_ids:
        info = WorkerInfo(worker_id, "r", "z", "k", "", 4, 60, 250_000, 8)
        board.workers_by_id[worker_id] = WorkerView(WorkerState(info, "i", 1, False, ()), "e1")
    return board


def test_quarantined_workers_are_marked():
    health = HealthByWorker()
    health.succeeded("w1")
    for _ in range(FAILURES):
        health.failed("w2", wall_ms())
    document = fleet_document(make_board("w1", "w2"), OPERATOR, health.by_worker())
    assert [worker["quarantined"] for worker in document["workers"]] == [False, True]


def test_fragmentation_is_computed_for_the_largest_waiting_shape():
    board = make_board("w1", "w2")
    spec = JobSpec("a", JobKind.BULK, Shape(accelerators=3))
    board.jobs.put(lifecycle.new_record(derive_job_id("a", "k"), spec, "", "e1", 1), 1)
    assert fleet_document(board, OPERATOR, {})["fragmentation"] == 0.25
