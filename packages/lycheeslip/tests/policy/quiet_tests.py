import pytest
from lycheeslip.config.model import QuietHours
from lycheeslip.policy.model import Act, Explain, Place
from lycheeslip.policy.plan import plan
from lycheeslip.policy.quiet import active_rule, strictest_rule
from lycheeslip_common.wire.messages import ControlAction

from .builders import NOW_MS, Zone, config, place, running, view, waiting, worker

MONDAY_MS = 1_750_636_800_000  # 2025-06-23 00:00 UTC
HOUR_MS = 3_600_000
NIGHT = QuietHours(22 * 60, 6 * 60, weekdays=(0,), max_busy_per_rack=2)


@pytest.mark.parametrize(
    ("hour", "offset_minutes", "quiet"),
    [
        (21.9, 0, False),
        (22, 0, True),
        (29.9, 0, True),
        (30, 0, False),
        (46, 0, False),
        (5, 0, False),
        (16.5, 330, True),
        (16.4, 330, False),
        (24, -120, True),
    ],
)
def test_quiet_hours_wrap_at_local_midnight(hour, offset_minutes, quiet):
    zone = Zone("a", utc_offset_minutes=offset_minutes, quiet_hours=(NIGHT,))
    assert (active_rule(zone, MONDAY_MS + int(hour * HOUR_MS)) is not None) is quiet


def test_overlapping_quiet_hours_combine_to_the_strictest_rule():
    all_day = QuietHours(0, 0, max_busy_per_rack=5, throttle=True, urgent_exempt=True)
    zone = Zone("a", quiet_hours=(NIGHT, all_day))
    assert strictest_rule(zone, MONDAY_MS, MONDAY_MS + 23 * HOUR_MS) == (2, True, False)
    assert active_rule(zone, MONDAY_MS) == (5, True, True)


WORKERS = {"w0": worker("w0"), "w1": worker("w1")}


def quiet_config(**kwargs):
    return config([Zone("a", quiet_hours=(QuietHours(0, 0, **kwargs),))])


def busy(name, indices, **of_spec):
    return running(name, place(WORKERS, ("w0", indices)), accelerators=len(indices), **of_spec)


def test_starts_respect_the_rack_limit_unless_exempt():
    jobs = [waiting("a"), waiting("u", kind="urgent"), waiting("b"), waiting("c")]
    for exempt, expected in ((False, {"u"}), (True, {"u", "a"})):
        settings = quiet_config(max_busy_per_rack=2 + exempt, urgent_exempt=exempt)
        fleet_view = view(WORKERS, jobs, [busy("r", [0])], settings)
        actions = plan(fleet_view)
        assert {a.job_id for a in actions if isinstance(a, Place)} == expected
        assert {a.reason for a in actions if isinstance(a, Explain)} == {"quiet_hours"}


def test_jobs_over_the_rack_limit_are_checkpointed_or_else_throttled():
    jobs = [busy("firm", [0, 1], repeatable=False), busy("soft", [2]), busy("more", [3])]
    actions = plan(view(WORKERS, [], jobs, quiet_config(max_busy_per_rack=3)))
    assert [(a.ref.job_id, a.action) for a in actions] == [("more", ControlAction.CHECKPOINT)]
    actions = plan(view(WORKERS, [], jobs, quiet_config(max_busy_per_rack=1)))
    done = {a.ref.job_id: a.action for a in actions}
    assert done == {"firm": "throttle", "soft": "checkpoint", "more": "checkpoint"}


def test_throttle_action_is_not_repeated_and_is_undone_afterwards():
    rule = quiet_config(max_busy_per_rack=8, throttle=True)
    fleet_view = view(WORKERS, [], [busy("r", [0])], rule)
    assert [a.action for a in plan(fleet_view)] == ["throttle"]
    throttled_grant = fleet_view.workers_by_id["w0"].grants[0]._replace(throttled=True)
    state = fleet_view.workers_by_id["w0"]._replace(grants=(throttled_grant,))
    reported = fleet_view._replace(workers_by_id={**WORKERS, "w0": state})
    assert plan(reported) == []
    assert [a.action for a in plan(reported._replace(config=config()))] == ["unthrottle"]


def test_uninterruptible_jobs_that_reach_into_quiet_hours_count_towards_their_limit():
    minute = (NOW_MS // 60_000 + 30) % 1440
    zone = Zone("a", quiet_hours=(QuietHours(minute, minute + 60, max_busy_per_rack=1),))
    jobs = [
        waiting("short", repeatable=False, run_ms=60_000, accelerators=4),
        waiting("long", repeatable=False, run_ms=HOUR_MS, accelerators=2),
        waiting("unknown", repeatable=False, accelerators=2),
        waiting("soft", run_ms=HOUR_MS, accelerators=4),
    ]
    actions = plan(view(WORKERS, jobs, config=config([zone])))
    assert {a.job_id for a in actions if isinstance(a, Place)} == {"short", "soft"}


@pytest.mark.parametrize("change", ["zone", "leaving"])
def test_interruptible_jobs_are_evacuated_from_unusable_workers(change):
    zones = [Zone("a", in_service=change != "zone"), Zone("b")]
    workers = {"w0": worker("w0", leaving=change == "leaving"), "w1": worker("w1", zone="b")}
    jobs = [
        running("soft", place(workers, ("w0", [0]), ("w1", [0])), members=2),
        running("firm", place(workers, ("w0", [1])), repeatable=False),
        running("safe", place(workers, ("w1", [1]))),
    ]
    actions = [a for a in plan(view(workers, [], jobs, config(zones))) if isinstance(a, Act)]
    assert [(a.ref.job_id, a.action, a.grace_ms) for a in actions] == [("soft", "checkpoint", 800)]
