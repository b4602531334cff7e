import pytest
from lycheeslip.app import EntryApp
from lycheeslip.config.model import FleetConfig, Limits
from lycheeslip.entry import lifecycle, planner
from lycheeslip.entry.blackboard import AppliedConfig
from lycheeslip.policy.model import Place
from lycheeslip.policy.retry_budget import MIN_RETRY_TOKENS
from lycheeslip_common.config.settings import EntrySettings
from lycheeslip_common.structure.jobs import AttemptSummary, JobKind, JobSpec, Shape

UNUSED_ADDRESS = "127.0.0.1:1"
TOKENS = round(MIN_RETRY_TOKENS)


@pytest.fixture
def planning():
    """Return an entry, the views that its planner builds, and the ids of the jobs it starts."""
    app = EntryApp(
        EntrySettings(
            "e1", "r", "z", UNUSED_ADDRESS, UNUSED_ADDRESS, (UNUSED_ADDRESS,), "0123456789abcdef"
        )
    )
    app.board.synced = app.board.store_reachable = True
    views, started = [], []

    def place_all(view):
        views.append(view)
        return [Place(job.job_id, ()) for job in view.waiting]

    app._planner._plan = place_all
    app._attempts.start = lambda place: started.append(place.job_id)
    return app, views, started


def add_job(app, job_id, failed=False):
    record = lifecycle.new_record(job_id, JobSpec("a", JobKind.BULK, Shape()), "", "e1", 1)
    if failed:
        summary = AttemptSummary(1, ("w1",), 1, 2, lifecycle.FAILED_OUTCOME, "w1")
        record = {**record, "attempt": 1, "attempts": (summary,)}
    app.board.jobs.put(record, 1)


def set_retry_budget_ratio(app, ratio):
    config = FleetConfig(1, limits=Limits(retry_budget_ratio=ratio))
    app.board.applied = AppliedConfig(config, "", 0, 0)


async def run_round(planning):
    app, views, started = planning
    started.clear()
    await app._planner.step()
    for job_id in started:
        app.board.jobs.remove(job_id)
    return set(started)


async def test_retries_beyond_the_retry_budget_are_left_out_of_the_plan(planning):
    app, views, _ = planning
    set_retry_budget_ratio(app, 0.0)
    for number in range(TOKENS + 2):
        add_job(app, f"failed-{number}", failed=True)
    add_job(app, "fresh")
    assert len(await run_round(planning)) == TOKENS + 1
    add_job(app, "other")
    assert await run_round(planning) == {"other"}
    assert [job.job_id for job in views[-1].waiting] == ["other"]
    assert {known.reason for known in app.board.wait_reason_by_job.values()} == {"retry_budget"}
    assert app.board.metrics.counts["wait.retry_budget"] == 2


async def test_a_changed_retry_budget_ratio_takes_effect(planning):
    app, _, _ = planning
    for number in range(TOKENS):
        add_job(app, f"failed-{number}", failed=True)
    await run_round(planning)
    set_retry_budget_ratio(app, 0.5)
    for number in range(2):
        add_job(app, f"fresh-{number}")
    await run_round(planning)
    add_job(app, "failed", failed=True)
    assert await run_round(planning) == {"failed"}


async def test_retries_start_eventually_without_first_attempts(planning, monkeypatch):
    app, _, _ = planning
    set_retry_budget_ratio(app, 0.0)
    for number in range(TOKENS + 1):
        add_job(app, f"failed-{number}", failed=True)
    await run_round(planning)
    assert await run_round(planning) == set()
    later_ms = planner.monotonic_ms() + 6_000
    monkeypatch.setattr(planner, "monotonic_ms", lambda: later_ms)
    assert len(await run_round(planning)) == 1


def started_record(app, job_id):
    return lifecycle.begin_attempt(app.board.jobs.by_id[job_id].record, "e1", (), 1)


async def test_data_of_a_state_that_a_job_has_left_is_discarded(planning):
    app, _, _ = planning
    planner_, attempts = app._planner, app._attempts
    add_job(app, "job")
    planner_._explain("job", planner.RETRY_BUDGET_EXHAUSTED)
    attempts._not_before_by_job["job"] = 5
    app.board.jobs.put(started_record(app, "job"), 2)
    assert app.board.wait_reason_by_job == {}
    assert attempts._not_before_by_job == {}
    planner_._control_by_attempt["job.1"] = planner._IssuedControl("stop", 9)
    ended = lifecycle.requeue(app.board.jobs.by_id["job"].record, 1, "x", 2, ran=False)
    app.board.jobs.put(ended, 3)
    assert planner_._control_by_attempt == {}
    planner_._explain("job", planner.RETRY_BUDGET_EXHAUSTED)
    app.board.jobs.remove("job")
    assert app.board.wait_reason_by_job == {}
