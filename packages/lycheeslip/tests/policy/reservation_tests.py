from lycheeslip.policy.model import Act, Hold, Place, RackReservation
from lycheeslip.policy.plan import plan

from .builders import NOW_MS, Account, config, fleet, place, running, shape, view, waiting, worker

WORKERS = {"w0": worker("w0", rack="r0"), "w1": worker("w1", rack="r1")}
GANG = waiting("gang", since_ms=-5000, accelerators=8)


def busy(name, worker_id, ends_ms, indices=range(4), started_ms=-60_000, **of_spec):
    of_spec.setdefault("repeatable", False)
    placement = place(WORKERS, (worker_id, indices))
    return running(name, placement, started_ms, ends_ms, accelerators=len(indices), **of_spec)


def placed(actions):
    return {action.job_id: action.placement for action in actions if isinstance(action, Place)}


def stopped(actions):
    return {action.ref.job_id for action in actions if isinstance(action, Act)}


def next_reservation(view):
    holds = [action for action in plan(view) if isinstance(action, Hold)]
    return holds[0].reservation if holds else None


def test_rack_that_drains_first_is_reserved_for_the_oldest_gang():
    jobs = [busy("slow", "w0", 90_000), busy("fast", "w1", 20_000)]
    expected = RackReservation("gang", "a", "r1", NOW_MS + 20_000)
    assert next_reservation(view(WORKERS, [GANG], jobs)) == expected
    held = RackReservation("gang", "a", "r0", NOW_MS + 90_000)
    assert next_reservation(view(WORKERS, [GANG], jobs, reservation=held)) == expected
    close = [busy("slow", "w0", 20_500), busy("fast", "w1", 20_000)]
    assert next_reservation(view(WORKERS, [GANG], close, reservation=held)).rack == "r0"


def test_only_jobs_that_end_in_time_or_are_preemptible_backfill():
    jobs = [busy("slow", "w0", 90_000, range(8)), busy("fast", "w1", 20_000, range(1))]
    candidates = [
        waiting("unknown", repeatable=False),
        waiting("long", repeatable=False, run_ms=30_000),
        waiting("short", repeatable=False, run_ms=10_000),
        waiting("stoppable", run_ms=30_000),
        waiting("half", run_ms=30_000, accelerators=4),
        waiting("large", run_ms=30_000, accelerators=5),
    ]
    for batch in candidates[:-1], [candidates[-1]]:
        expected = {"short", "stoppable", "half"} if len(batch) > 1 else set()
        assert set(placed(plan(view(WORKERS, [GANG, *batch], jobs)))) == expected


def test_backfilled_jobs_are_stopped_once_the_other_jobs_have_drained():
    backfill = busy("backfill", "w1", 60_000, [7], started_ms=-1000, repeatable=True)
    jobs = [busy("slow", "w0", 90_000), busy("fast", "w1", 20_000), backfill]
    assert not stopped(plan(view(WORKERS, [GANG], jobs)))
    assert stopped(plan(view(WORKERS, [GANG], [jobs[0], backfill]))) == {"backfill"}


def test_interruptible_job_that_overruns_is_displaced():
    late = busy("late", "w1", -70_000, [7], started_ms=-130_000, repeatable=True)
    assert stopped(plan(view(WORKERS, [GANG], [busy("slow", "w0", 90_000), late]))) == {"late"}
    unknown = late._replace(expected_end_at_ms=late.started_at_ms)
    assert not stopped(plan(view(WORKERS, [GANG], [busy("slow", "w0", 90_000), unknown])))


def test_oldest_gang_is_placed_before_small_jobs_when_it_fits():
    small = [waiting(f"s{n}", account=f"acc{n}") for n in range(4)]
    fleet_view = view(WORKERS, [GANG, *small], [busy("slow", "w0", 90_000, range(8))],
                      used={"acc": 1e9})  # fmt: skip
    assert set(placed(plan(fleet_view))) == {"gang"}


def test_gang_that_fits_on_no_rack_reserves_nothing():
    gang = waiting("gang", since_ms=-5000, members=4, accelerators=8, adjacency="same_rack")
    small = waiting("s", repeatable=False)
    actions = plan(view(fleet(), [gang, small]))
    assert set(placed(actions)) == {"s"}


def test_guaranteed_gang_that_cannot_reclaim_reserves_a_rack():
    accounts = config([], [Account("acc", shape(2, 8))])
    jobs = [busy("slow", "w0", 90_000), busy("fast", "w1", 20_000)]
    fleet_view = view(WORKERS, [GANG], jobs, accounts, homes={})
    assert next_reservation(fleet_view).rack == "r1"
