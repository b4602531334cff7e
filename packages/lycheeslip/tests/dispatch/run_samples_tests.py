"""Tests of samples of run times from reports and ends, and of their use by the planner."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip.dispatch.objective import expected_run_ms
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip.dispatch.placement import plan_round
from lycheeslip.dispatch.run_samples import MIN_ACCOUNTS, observe_end, observe_median
from lycheeslip.dispatch.run_time_history import MIN_COMPARED, KindOfStep, RunSample
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.fleet import EndCause
from lycheeslip_common.workload.jobs import Demand, StepSpec
from lycheeslip_common.workload.operator import Account
from lycheeslip_common.workload.progress import JobProgress, begin_runs, open_occurrences

from .builders import add_job, board_with, lifetime

KIND = KindOfStep("q", "a", Demand(1_000, 0, 8), False, False)
DECLARED_MS = 60_000
KEY = (0, 0, 0)


def learning_board(accounts: int = MIN_ACCOUNTS) -> Board:
    board = board_with()
    names = ["a", *(f"b{number}" for number in range(1, accounts))]
    board.config = board.config._replace(
        accounts=tuple(Account(name, frozenset(name), 0) for name in names)
    )
    return board


def finish(board: Board, job: StoredJob, run_ms: int, index: int = 0) -> None:
    """Let a task be measured and done on its worker."""
    key = (0, 0, index)
    begin_runs(job.progress, {key: (f"n{index}", lifetime(f"n{index}"))}, False, wall_ms())
    job.run_times.record(key, run_ms)
    observe_median(board, job, 0)
    observe_end(board, job, key, f"n{index}", EndCause.DONE)


def learn(board: Board, run_ms: int, jobs: int) -> None:
    for number in range(jobs):
        finish(board, add_job(board, f"{number:016x}"), run_ms)


def test_new_job_is_estimated_once_declarations_have_proved_worse():
    board = learning_board()
    learn(board, 5_000, MIN_COMPARED - 1)
    job = add_job(board)
    assert expected_run_ms(board, job, 0) == DECLARED_MS
    learn(board, 5_000, 3)
    assert expected_run_ms(board, job, 0) == pytest.approx(5_000, rel=0.3)
    job.run_times.record(KEY, 7_000)
    assert expected_run_ms(board, job, 0) == 7_000


def test_nothing_is_learned_with_few_accounts():
    board = learning_board(MIN_ACCOUNTS - 1)
    learn(board, 5_000, 4 * MIN_COMPARED)
    assert expected_run_ms(board, add_job(board), 0) == DECLARED_MS
    assert not board.history.queues


def test_estimate_is_dropped_when_accounts_become_few():
    board = learning_board()
    learn(board, 5_000, 4 * MIN_COMPARED)
    job = add_job(board)
    assert expected_run_ms(board, job, 0) < DECLARED_MS
    board.config = board.config._replace(accounts=board.config.accounts[1:])
    assert expected_run_ms(board, job, 0) == DECLARED_MS


def test_step_counts_once_however_many_tasks_it_has():
    """Hundreds of tasks of one job would outweigh all others."""
    board = learning_board()
    job = add_job(board, task_count=4, accelerators=1)
    for index, run_ms in enumerate((5_000, 6_000, 7_000, 8_000)):
        finish(board, job, run_ms, index)
    queue = board.history.queues["q"]
    assert (queue.kind.run_ms.samples, queue.compared) == (1, 1)


def test_step_counts_before_it_is_done():
    board = learning_board()
    job = add_job(board)
    job.run_times.record(KEY, 5_000)
    observe_median(board, job, 0)
    queue = board.history.queues["q"]
    assert (queue.kind.run_ms.samples, queue.compared) == (1, 0)


def test_lasting_step_tells_nothing():
    board = learning_board()
    finish(board, add_job(board, long_running=True), 5_000)
    assert not board.history.queues


def test_speed_of_a_worker_is_told_by_the_other_runs_of_a_step():
    board = learning_board()
    for number in range(6):
        job = add_job(board, f"{number:016x}", task_count=4, accelerators=1)
        for index, run_ms in enumerate((4_000, 4_000, 4_000, 5_000)):
            finish(board, job, run_ms, index)
    speeds = [board.history.worker_speed(f"i-n{number}") for number in range(4)]
    assert speeds[3] < 0.9 < speeds[0]


def first_worker(board: Board, waited_ms: int) -> str:
    board.jobs.clear()
    add_job(board, waited_ms=waited_ms, accelerators=1)
    workers = build_worker_capacities(board)
    ((_, chosen),) = plan_round(build_units(board, workers, {}), workers).starts
    return chosen[0].node


def test_unit_short_of_slack_is_placed_on_a_fast_worker():
    """A unit with time to spare leaves it to others."""
    board = learning_board()
    for _ in range(20):
        board.history.record_worker("i-n3", 800, 1_000)
        board.history.record_worker("i-n0", 1_250, 1_000)
    slack_ms = 2 * DECLARED_MS
    assert first_worker(board, 0) == "n0"
    assert first_worker(board, slack_ms - 5_000) == "n3"
    board.history.forget_worker("i-n3")
    assert first_worker(board, slack_ms - 5_000) == "n1"


JOBS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(1, 4), st.integers(1, 8), st.booleans()), max_size=6
)
MS = st.integers(1, 10**8)


@settings(max_examples=100, deadline=None)
@given(JOBS, st.lists(st.tuples(MS, MS), min_size=MIN_COMPARED, max_size=20))
def test_any_history_breaks_no_rule_of_the_planner(drawn, recorded):
    """Capacity, whole gangs and the order of steps and of priorities hold whatever is learned."""
    board = learning_board()
    for declared_ms, run_ms in recorded:
        board.history.record(RunSample(*KIND, declared_ms, run_ms, "i-n0"))
        board.history.compare(KIND, declared_ms=1, estimate_ms=run_ms, run_ms=run_ms)
    for number, (priority, tasks, accelerators, is_gang) in enumerate(drawn):
        job = add_job(board, f"{number:016x}", priority=priority)
        first = StepSpec(tasks, 1_000, 0, accelerators, DECLARED_MS, gang=is_gang)
        spec = job.progress.spec._replace(steps=(first, first._replace(after=(0,))))
        job.progress = JobProgress(spec)
        open_occurrences(job.progress, wall_ms())
    units = build_units(board, build_worker_capacities(board), {})
    assert {unit.step for unit in units} <= {0}
    plan = plan_round(units, build_worker_capacities(board))
    used: Counter[str] = Counter()
    for unit, chosen in plan.starts:
        spec = board.jobs[unit.job_id].progress.spec
        assert len(chosen) == len(unit.indexes) == (spec.steps[0].task_count if unit.is_gang else 1)
        used.update({worker.node: 0 for worker in chosen})
        for worker in chosen:
            used[worker.node] += unit.demand.accelerators
    assert max(used.values(), default=0) <= 8
    priorities = [unit.priority for unit, _ in plan.starts]
    assert priorities == sorted(priorities)
    assert not plan.stops
