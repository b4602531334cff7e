"""Which crashes of workers are evidence against a job, and when it is given up for them."""

import pytest
from lycheeslip.dispatch import ends
from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.fleet import (
    CrashedRun,
    EndCause,
    EndedRun,
    Lifetime,
    WorkerCrash,
    WorkerReport,
)
from lycheeslip_common.workload.jobs import parse_task_name
from lycheeslip_common.workload.progress import JobState, begin_runs

from .builders import JOB, add_job, dispatcher_of, leaders_board

KEY = (0, 0, 0)
REPORTED_MS = 2_000  # how long before its report a crash was
AT_START_MS, SOON_MS, LATE_MS = 10, 900, 8_000  # from the begin of a run to the crash of its worker


@pytest.fixture(autouse=True)
def _settle_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ends, "CRASH_SETTLE_MS", 0)


class CrashingFleet:
    """Four workers of a leader; jobs are placed by hand, since the planner chooses by itself."""

    def __init__(self) -> None:
        self.board: Board = leaders_board()
        self._dispatcher = dispatcher_of(self.board)
        self._ends = 0

    def start(self, job: StoredJob, **nodes: int) -> None:
        """Begin a run of the tasks with these positions, each on the node that names it."""
        placement = {}
        for node, index in nodes.items():
            lifetime = self.board.workers[node].lifetime
            assert lifetime is not None
            placement[(0, 0, index)] = (node, lifetime)
        is_gang = job.progress.spec.steps[0].gang
        assert not job.progress.has_ended
        begin_runs(job.progress, placement, is_gang, wall_ms())

    def crash(self, *nodes: str, since_ms: int = AT_START_MS, ran: bool = True) -> None:
        """Crash workers at the same moment, `since_ms` after their runs began.

        The runs are such that a start was sent, but nothing is known of, unless they `ran`.
        """
        for node, report in self.reports_of_crash(*nodes, since_ms=since_ms, ran=ran).items():
            self.report(node, report)

    def reports_of_crash(
        self, *nodes: str, since_ms: int, ran: bool = True, ago_ms: int = REPORTED_MS
    ) -> dict[str, WorkerReport]:
        """Return what the agents report of such crashes."""
        reports = {}
        for node in nodes:
            report = self.board.workers[node].report
            assert report.lifetime is not None
            runs = [
                CrashedRun(job.task_name(key), task.run, since_ms, True)
                for job in self.board.jobs.values()
                for key, task in job.progress.placed()
                if task.lifetime == report.lifetime
            ]
            crash = WorkerCrash(report.lifetime, ago_ms, tuple(runs) if ran else ())
            reports[node] = self._reborn(report)._replace(crashes=(*report.crashes, crash))
        return reports

    def report(self, node: str, report: WorkerReport) -> None:
        self._dispatcher.handle_report(node, self.board.workers[node].link, report)

    def _reborn(self, report: WorkerReport) -> WorkerReport:
        assert report.lifetime is not None
        lifetime = Lifetime(report.lifetime.worker_id, report.lifetime.born_ms + 1)
        return report._replace(lifetime=lifetime, ended=())

    def break_gangs(self) -> None:
        """Report the end of all runs that are still placed, as members of broken gangs."""
        for job in list(self.board.jobs.values()):
            for key, task in list(job.progress.placed()):
                self._ends += 1
                report = self.board.workers[task.node].report
                end = EndedRun(self._ends, job.task_name(key), task.run, EndCause.BROKEN, "")
                self.report(task.node, report._replace(ended=(end,)))

    def decide(self) -> None:
        """Run what a planning round does before it places units."""
        self.board.confirmed_at_ms = -3_600_000  # nothing is placed under an old configuration
        self._dispatcher.plan()


def state_after_crashes(fleet: CrashingFleet, job: StoredJob) -> JobState:
    fleet.decide()
    return job.progress.state


def test_gang_that_lost_another_member_in_each_of_three_crashes_is_not_given_up():
    fleet = CrashingFleet()
    job = add_job(fleet.board, task_count=3, gang=True)
    for node in ("n0", "n1", "n2"):
        fleet.start(job, n0=0, n1=1, n2=2)
        fleet.crash(node)
        fleet.break_gangs()
        assert state_after_crashes(fleet, job) == JobState.ACTIVE


@pytest.mark.parametrize("crashes", [3, 5, 9])
def test_task_whose_workers_crashed_late_in_its_runs_is_not_given_up(crashes: int):
    fleet = CrashingFleet()
    job = add_job(fleet.board)
    for number in range(crashes):
        fleet.start(job, **{f"n{number % 4}": 0})
        fleet.crash(f"n{number % 4}", since_ms=LATE_MS)
        assert state_after_crashes(fleet, job) == JobState.ACTIVE


@pytest.mark.parametrize("since_ms", [SOON_MS, LATE_MS])
def test_task_whose_workers_crashed_together_with_others_is_not_given_up(since_ms: int):
    fleet = CrashingFleet()
    job = add_job(fleet.board)
    for number in range(12):
        fleet.start(job, **{f"n{number % 4}": 0})
        fleet.crash(f"n{number % 4}", f"n{(number + 1) % 4}", since_ms=since_ms)
        assert state_after_crashes(fleet, job) == JobState.ACTIVE


def test_crash_is_not_counted_under_a_run_that_never_began():
    fleet = CrashingFleet()
    job = add_job(fleet.board)
    for number in range(12):
        fleet.start(job, **{f"n{number % 4}": 0})
        fleet.crash(f"n{number % 4}", ran=False)
        assert state_after_crashes(fleet, job) == JobState.ACTIVE


def test_late_crash_beside_work_that_had_just_started_is_not_counted():
    fleet = CrashingFleet()
    job = add_job(fleet.board, accelerators=1)
    for number in range(12):
        other = add_job(fleet.board, f"{number:016x}", accelerators=1)
        fleet.start(job, n0=0)
        fleet.start(other, n0=0)
        report = fleet.board.workers["n0"].report
        old = CrashedRun(job.task_name(KEY), job.progress.tasks[KEY].run, LATE_MS, True)
        young = CrashedRun(other.task_name(KEY), 1, AT_START_MS, True)
        crash = WorkerCrash(report.lifetime, REPORTED_MS, (young, old))
        fleet.report("n0", fleet._reborn(report)._replace(crashes=(*report.crashes, crash)))
        assert state_after_crashes(fleet, job) == JobState.ACTIVE


def test_job_that_lasts_is_not_given_up_for_crashes():
    fleet = CrashingFleet()
    job = add_job(fleet.board, long_running=True)
    for number in range(12):
        fleet.start(job, **{f"n{number % 4}": 0})
        fleet.crash(f"n{number % 4}")
        assert state_after_crashes(fleet, job) == JobState.ACTIVE


def test_task_that_crashes_its_worker_at_each_start_is_given_up_after_three():
    fleet = CrashingFleet()
    job = add_job(fleet.board)
    states = []
    for node in ("n0", "n1", "n2"):
        fleet.start(job, **{node: 0})
        fleet.crash(node)
        states.append(state_after_crashes(fleet, job))
    assert states == [JobState.ACTIVE, JobState.ACTIVE, JobState.FAILED]


def test_gang_that_crashes_its_workers_at_each_start_is_given_up_after_three():
    fleet = CrashingFleet()
    job = add_job(fleet.board, task_count=3, gang=True)
    states = []
    for _ in range(3):
        fleet.start(job, n0=0, n1=1, n2=2)
        fleet.crash("n0", "n1", "n2")
        states.append(state_after_crashes(fleet, job))
    assert states == [JobState.ACTIVE, JobState.ACTIVE, JobState.FAILED]


def test_tasks_that_crash_their_workers_in_step_do_not_excuse_each_other():
    """Both start again after the same delay, so that their workers crash at the same moment."""
    fleet = CrashingFleet()
    jobs = [add_job(fleet.board, name * 16) for name in "bc"]
    for _ in range(3):
        fleet.start(jobs[0], n0=0)
        fleet.start(jobs[1], n1=0)
        fleet.crash("n0", "n1")
    fleet.decide()
    assert [job.progress.state for job in jobs] == [JobState.FAILED] * 2


def test_task_that_crashes_its_workers_while_others_crash_is_given_up_within_the_limit():
    """Where workers crash all the time, chance may explain each of its crashes."""
    fleet = CrashingFleet()
    job = add_job(fleet.board)
    starts = 0
    while job.progress.state != JobState.FAILED:
        starts += 1
        assert starts <= 5
        fleet.start(job, n0=0)
        fleet.crash("n0", "n1")
        fleet.decide()


def test_workers_that_crash_together_soon_after_their_starts_excuse_each_other():
    """All of them get new work at once after a wave of crashes."""
    fleet = CrashingFleet()
    jobs = [add_job(fleet.board, name * 16) for name in "bcde"]
    for _ in range(12):
        for number, job in enumerate(jobs):
            fleet.start(job, **{f"n{number}": 0})
        fleet.crash("n0", "n1", "n2", "n3", since_ms=SOON_MS)
        fleet.decide()
    assert {job.progress.state for job in jobs} == {JobState.ACTIVE}


def test_crash_is_not_counted_before_all_agents_can_have_reported_theirs(monkeypatch):
    """However long ago it was: reports reach a new leader, or one that was paused, late."""
    monkeypatch.setattr(ends, "CRASH_SETTLE_MS", 1_500)
    fleet = CrashingFleet()
    job = add_job(fleet.board)
    for number in range(12):
        fleet.start(job, n0=0)
        ago_ms = 30_000 - 2_000 * number
        reports = fleet.reports_of_crash("n0", "n1", since_ms=LATE_MS, ago_ms=ago_ms)
        fleet.report("n0", reports["n0"])
        fleet.decide()
        assert job.progress.unsettled_keys
        fleet.report("n1", reports["n1"])
        fleet.decide()
        assert not job.progress.unsettled_keys
    assert job.progress.state == JobState.ACTIVE
    assert job.progress.tasks[KEY].crash_weight == 0


def test_crash_that_no_agent_reports_to_a_new_leader_is_dropped_if_it_came_late():
    fleet = CrashingFleet()
    job = add_job(fleet.board)
    fleet.start(job, n0=0)
    fleet.crash("n0", since_ms=LATE_MS)
    fleet.board.crash_log.clear()
    assert state_after_crashes(fleet, job) == JobState.ACTIVE
    assert not job.progress.unsettled_keys
    assert job.progress.tasks[KEY].crash_weight == 0


@pytest.mark.parametrize(("since_ms", "most"), [(SOON_MS, 5), (LATE_MS, 10)])
def test_task_that_crashes_its_workers_later_is_given_up_in_the_end(since_ms: int, most: int):
    """The third start after the third crash is one too many for one that crashes at its start."""
    fleet = CrashingFleet()
    job = add_job(fleet.board)
    starts = 0
    while job.progress.state != JobState.FAILED:
        starts += 1
        assert starts <= most
        fleet.start(job, **{f"n{starts % 4}": 0})
        fleet.crash(f"n{starts % 4}", since_ms=since_ms)
        fleet.decide()
    assert job.progress.reason == "crashes_workers"


def test_names_of_tasks_are_those_of_the_builders():
    assert parse_task_name(f"{JOB}.0.0.0").key == KEY
