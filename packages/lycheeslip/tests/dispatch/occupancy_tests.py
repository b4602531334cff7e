"""What the placement gets to see of jobs and workers."""

from types import SimpleNamespace

import pytest
from lycheeslip.dispatch.board import Board, StepAdvice, StoredJob, Ticket, WorkerView
from lycheeslip.dispatch.occupancy import QUARANTINE_FAILURES, UNSTEADY_MS, build_rooms
from lycheeslip.dispatch.waiting import MAX_IDLE_WAIT_MS, MAX_WAIT_MS, build_units
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import Lifetime, RunningRun, WorkerReport
from lycheeslip_common.workload.jobs import JobSpec, StepSpec
from lycheeslip_common.workload.operator import Account, AdviceTiming, OperatorConfig, Queue
from lycheeslip_common.workload.progress import JobProgress, JobState, begin_runs, open_occurrences
from lycheeslip_common.workload.times import DispatchTimes

JOB = "a" * 16


def lifetime(node: str) -> Lifetime:
    return Lifetime(f"i-{node}", 1)


def board_with(nodes: int = 4, advice: AdviceTiming | None = None) -> Board:
    board = Board("entry", "zone", "10.0.0.1:1", DispatchTimes())
    queue = Queue("q", "h", "/p/", "s", 1, 4, 3.0, 1_000, False, advice)
    board.config = OperatorConfig(1, 1, (queue,), (Account("a", frozenset("k"), 8),), 1)
    for number in range(nodes):
        node = f"n{number}"
        report = WorkerReport(
            lifetime(node), "s", "zone", ("a", f"r{number}"), 64_000, 256_000, 8, True, (), ()
        )
        board.workers[node] = WorkerView(node, report, steady_ms(), SimpleNamespace())
    return board


def add_job(board: Board, job_id: str = JOB, waited_ms: int = 0, **step) -> StoredJob:
    fields = {"task_count": 1, "cpu_milli": 1_000, "accelerators": 8, "estimate_ms": 60_000}
    steps = (StepSpec(**{**fields, **step}),)
    accepted_ms = wall_ms() - waited_ms
    spec = JobSpec(job_id, "q", "a", "s", 1, 4, "", steps, accepted_ms)
    job = StoredJob(JobProgress(spec), 0, JobState.QUEUED, steady_ms())
    open_occurrences(job.progress, wall_ms())
    board.jobs[job_id] = job
    return job


def occupy(board: Board, nodes: list[str]) -> None:
    job = add_job(board, "b" * 16, task_count=len(nodes))
    placement = {(0, 0, i): (node, lifetime(node)) for i, node in enumerate(nodes)}
    begin_runs(job.progress, placement, False, wall_ms())


def only_unit(board: Board):
    (unit,) = build_units(board, build_rooms(board), {})
    return unit


@pytest.mark.parametrize(
    ("busy", "limit_ms"), [([], MAX_IDLE_WAIT_MS), (["n0", "n1"], MAX_WAIT_MS)]
)
def test_units_wait_less_for_a_better_place_the_more_is_idle(busy: list[str], limit_ms: int):
    for waited_ms, may_wait in ((limit_ms - 500, True), (limit_ms + 500, False)):
        board = board_with()
        if busy:
            occupy(board, busy)
        add_job(board, waited_ms=waited_ms)
        assert only_unit(board).may_wait is may_wait


def test_long_running_units_never_wait_for_a_better_place():
    board = board_with()
    add_job(board, long_running=True)
    assert only_unit(board).may_wait is False


def test_a_worker_that_fails_what_it_starts_is_left_out():
    board = board_with()
    board.workers["n0"].failures = QUARANTINE_FAILURES
    board.workers["n0"].blamed_at_ms = steady_ms()
    assert {room.node for room in build_rooms(board)} == {"n1", "n2", "n3"}


def test_no_worker_is_left_out_where_most_fail():
    board = board_with()
    for node in ("n0", "n1", "n2"):
        board.workers[node].failures = QUARANTINE_FAILURES
        board.workers[node].blamed_at_ms = steady_ms()
    assert len(build_rooms(board)) == 4


def test_a_run_that_no_job_explains_fills_its_worker():
    board = board_with(1)
    view = board.workers["n0"]
    view.report = view.report._replace(running=(RunningRun("c" * 16 + ".0.0.0", 1, "", 0),))
    (room,) = build_rooms(board)
    assert room.free_accelerators == 0


def test_tickets_that_ran_out_leave_the_worker_approved():
    board = board_with(2, AdviceTiming(10, 1))
    add_job(board)
    now = steady_ms()
    tickets = {lifetime("n0"): Ticket("t0", now - 1), lifetime("n1"): Ticket("t1", now + 5_000)}
    board.advice[(JOB, 0, 0)] = StepAdvice(tickets, {lifetime("n9")})
    advice = only_unit(board).advice
    assert advice is not None
    assert advice.ticketed == {lifetime("n1")}
    assert advice.approved == {lifetime("n0"), lifetime("n1")}
    assert advice.denied == {lifetime("n9")}


def test_a_worker_that_lost_a_life_lately_is_the_last_choice():
    board = board_with(2)
    board.workers["n0"].lost_life_at_ms = steady_ms()
    assert [room.failures for room in build_rooms(board)] == [1, 0]
    board.workers["n0"].lost_life_at_ms -= UNSTEADY_MS
    assert [room.failures for room in build_rooms(board)] == [0, 0]
