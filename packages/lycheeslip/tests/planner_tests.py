import pytest
from lycheeslip.app import EntryApp
from lycheeslip.config.model import FleetConfig, Limits
from lycheeslip.entry import lifecycle, planner
from lycheeslip.entry.blackboard import AppliedConfig
from lycheeslip.policy.model import Place
from lycheeslip.policy.retry_budget import MIN_RETRY_TOKENS
from lycheeslip_common.config.settings import EntrySettings
from lycheeslip_common.structure.jobs import AttemptSummary, JobKind, JobSpec, Shape

DEAD = "127.0.0.1:1"
TOKENS = round(MIN_RETRY_TOKENS)


@pytest.fixture
def planned():
    """Return an entry, the views that its planner makes, and the jobs that it starts."""
    app = EntryApp(EntrySettings("e1", "r", "z", DEAD, DEAD, (DEAD,), "0123456789abcdef"))
    app.board.synced = app.board.store_reachable = True
    views, started = [], []

    def place_all(view):
        views.append(view)
        return [Place(job.job_id, ()) for job in view.waiting]

    app._planner._plan = place_all
    app._attempts.start = lambda place: started.append(place.job_id)
    return app, views, started


def put(app, job_id, failed=False):
    record = lifecycle.new_record(job_id, JobSpec("a", JobKind.BULK, Shape()), "", "e1", 1)
    if failed:
        summary = AttemptSummary(1, ("w1",), 1, 2, lifecycle.FAILED_OUTCOME, "w1")
        record = {**record, "attempt": 1, "attempts": (summary,)}
    app.board.jobs.put(record, 1)


def set_ratio(app, ratio):
    config = FleetConfig(1, limits=Limits(retry_budget_ratio=ratio))
    app.board.applied = AppliedConfig(config, "", 0, 0)


async def step(planned):
    app, views, started = planned
    started.clear()
    await app._planner.step()
    for job_id in started:
        app.board.jobs.remove(job_id)
    return set(started)


async def test_work_beyond_the_retry_budget_takes_no_room_in_the_plan(planned):
    app, views, _ = planned
    set_ratio(app, 0.0)
    for number in range(TOKENS + 2):
        put(app, f"failed-{number}", failed=True)
    put(app, "fresh")
    assert len(await step(planned)) == TOKENS + 1
    put(app, "other")
    assert await step(planned) == {"other"}
    assert [job.job_id for job in views[-1].waiting] == ["other"]
    assert {known.reason for known in app.board.wait_reason_by_job.values()} == {"retry_budget"}
    assert app.board.metrics.counts["wait.retry_budget"] == 2


async def test_the_retry_budget_follows_the_configuration(planned):
    app, _, _ = planned
    for number in range(TOKENS):
        put(app, f"failed-{number}", failed=True)
    await step(planned)
    set_ratio(app, 0.5)
    for number in range(2):
        put(app, f"fresh-{number}")
    await step(planned)
    put(app, "failed", failed=True)
    assert await step(planned) == {"failed"}


async def test_retries_start_in_the_end_although_no_other_work_comes(planned, monkeypatch):
    app, _, _ = planned
    set_ratio(app, 0.0)
    for number in range(TOKENS + 1):
        put(app, f"failed-{number}", failed=True)
    await step(planned)
    assert await step(planned) == set()
    later_ms = planner.monotonic_ms() + 6_000
    monkeypatch.setattr(planner, "monotonic_ms", lambda: later_ms)
    assert len(await step(planned)) == 1


def started_record(app, job_id):
    return lifecycle.start_intent(app.board.jobs.by_id[job_id].record, "e1", (), 1)


async def test_nothing_is_kept_for_a_state_that_a_job_has_left(planned):
    app, _, _ = planned
    planner_, attempts = app._planner, app._attempts
    put(app, "job")
    planner_._explain("job", planner.BEYOND_RETRY_BUDGET)
    attempts._not_before_by_job["job"] = 5
    app.board.jobs.put(started_record(app, "job"), 2)
    assert app.board.wait_reason_by_job == {}
    assert attempts._not_before_by_job == {}
    planner_._issued_by_attempt["job.1"] = planner._Issued("stop", 9)
    ended = lifecycle.back_to_pending(app.board.jobs.by_id["job"].record, 1, "x", 2, ran=False)
    app.board.jobs.put(ended, 3)
    assert planner_._issued_by_attempt == {}
    planner_._explain("job", planner.BEYOND_RETRY_BUDGET)
    app.board.jobs.remove("job")
    assert app.board.wait_reason_by_job == {}
