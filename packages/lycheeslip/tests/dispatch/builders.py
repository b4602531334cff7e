"""Boards, workers, units and placed runs for tests of planning rounds."""

from types import SimpleNamespace

from lycheeslip.dispatch.board import Board, Leadership, StoredJob, WorkerView
from lycheeslip.dispatch.dispatcher import Dispatcher
from lycheeslip.dispatch.placement_model import PlacedRun, Unit, WorkerCapacity
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.fleet import Lifetime, WorkerReport
from lycheeslip_common.workload.jobs import Demand, JobSpec, StepSpec
from lycheeslip_common.workload.operator import Account, AdviceTiming, OperatorConfig, Queue
from lycheeslip_common.workload.progress import JobProgress, JobState, open_occurrences
from lycheeslip_common.workload.times import DispatchTimes

FULL = Demand(64_000, 256_000, 8)
JOB = "a" * 16


def worker(
    node: str, rack: str = "r1", free: int = 8, service: str = "service", **fields
) -> WorkerCapacity:
    """Return a worker of 8 accelerators, `free` of which are free."""
    return WorkerCapacity(
        node,
        Lifetime(node, 1),
        service,
        "zone",
        rack,
        frozenset({"a", rack}),
        FULL,
        64_000,
        256_000,
        free,
        **fields,
    )


def unit(job_id: str = "job", members: int = 1, accelerators: int = 1, **fields) -> Unit:
    """Return a unit of `members` tasks that need `accelerators` each."""
    values = {
        "job_id": job_id,
        "occurrence": 0,
        "step": 0,
        "indexes": tuple(range(members)),
        "account": "account",
        "service": "service",
        "priority": 1,
        "waiting_since_ms": 0,
        "demand": Demand(1_000, 1_000, accelerators),
        "label": "",
        "data_rack": "",
        "same_rack": False,
        "max_per_worker": 0,
        "avoided_workers": frozenset(),
        "is_guaranteed": False,
        "is_gang": members > 1,
        "work": 10.0,
        "slack_ms": 2 * fields.get("wait_budget_ms", 0.0),
    }
    return Unit(**{**values, **fields})


def placed_run(
    task: str, accelerators: int, priority: int, loss: float = 1.0, **fields
) -> PlacedRun:
    """Return a run that holds `accelerators` and is a step of its own."""
    values = {"is_stopping": False, "step_key": (task, 0, 0), **fields}
    return PlacedRun(
        task, task, 1, "other", priority, Demand(1_000, 1_000, accelerators), loss, **values
    )


def lifetime(node: str) -> Lifetime:
    """Return the lifetime of the worker on `node`."""
    return Lifetime(f"i-{node}", 1)


def board_with(nodes: int = 4, advice: AdviceTiming | None = None) -> Board:
    """Return a board with one queue and `nodes` workers of 8 accelerators, one a rack."""
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


def add_job(
    board: Board, job_id: str = JOB, waited_ms: int = 0, priority: int = 1, **step
) -> StoredJob:
    """Add a job of one step that was accepted `waited_ms` ago."""
    fields = {"task_count": 1, "cpu_milli": 1_000, "accelerators": 8, "estimate_ms": 60_000}
    steps = (StepSpec(**{**fields, **step}),)
    accepted_ms = wall_ms() - waited_ms
    spec = JobSpec(job_id, "q", "a", "s", priority, 4, "", steps, accepted_ms)
    job = StoredJob(JobProgress(spec), 0, JobState.QUEUED, steady_ms(), waited_ms)
    open_occurrences(job.progress, wall_ms())
    board.jobs[job_id] = job
    return job


def job_of(steps: tuple[StepSpec, ...], occurrences: int = 0) -> StoredJob:
    """Return an accepted job of these steps, all of its occurrences due."""
    spec = JobSpec(JOB, "q", "a", "s", 1, 4, "", steps, wall_ms(), 0, 0, occurrences)
    job = StoredJob(JobProgress(spec), 0, JobState.QUEUED, steady_ms())
    open_occurrences(job.progress, wall_ms())
    return job


def leaders_board() -> Board:
    """Return the board of a leader that has loaded all records, with four workers."""
    board = board_with()
    for view in board.workers.values():
        view.link = SimpleNamespace(post=lambda message: None)
    board.leadership = Leadership(1, 1, steady_ms() + 60_000, 0)
    board.confirmed_at_ms = steady_ms()
    board.is_loaded = True
    return board


def dispatcher_of(board: Board) -> Dispatcher:
    """Return a dispatcher that records nothing and takes its view of the fleet for complete."""
    recorder = SimpleNamespace(schedule_write=lambda job: None)
    advisor = SimpleNamespace(begin_term=lambda: None, replace_requests=lambda requests: None)
    dispatcher = Dispatcher(board, recorder, advisor)
    dispatcher._term_started_ms -= 60_000
    return dispatcher
