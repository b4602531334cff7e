"""Tests of where units start and which runs are preempted."""

import pytest
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip.dispatch.placement import plan_round
from lycheeslip.dispatch.placement_model import MAX_STARTING, PlacedRun, WorkerCapacity
from lycheeslip.dispatch.waiting import build_units
from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.workload.fleet import RunningRun
from lycheeslip_common.workload.jobs import Demand
from lycheeslip_common.workload.progress import begin_runs

from .builders import add_job, board_with, lifetime, placed_run, unit, worker


def nodes(plan, index: int = 0) -> list[str]:
    return [chosen.node for chosen in plan.starts[index][1]]


def test_single_tasks_fill_the_fullest_worker_first():
    plan = plan_round([unit()], [worker("n1", free=8), worker("n2", free=2)])
    assert nodes(plan) == ["n2"]


def test_max_per_worker_holds_within_one_round():
    units = [unit(indexes=(i,), max_per_worker=2) for i in range(5)]
    plan = plan_round(units, [worker("n1"), worker("n2")])
    placed = [nodes(plan, i)[0] for i in range(len(plan.starts))]
    assert len(plan.starts) == 4
    assert {placed.count("n1"), placed.count("n2")} == {2}


def test_gang_that_does_not_fit_whole_is_not_placed():
    plan = plan_round([unit(members=3, accelerators=8)], [worker("n1"), worker("n2")])
    assert plan.starts == []


def half_and_whole_workers() -> list[WorkerCapacity]:
    halves = [worker(f"half-{i}", free=4) for i in range(6)]
    return halves + [worker(f"free-{i}") for i in (0, 1)]


def test_gang_that_is_lost_with_any_worker_takes_few_of_them():
    workers = [worker(f"half-{i}", free=4) for i in range(6)] + [
        worker(f"free-{i}") for i in (0, 1)
    ]
    gang = unit(members=4, accelerators=4, is_costly_to_stop=True)
    assert set(nodes(plan_round([gang], workers))) == {"free-0", "free-1"}


def test_gang_that_saves_its_progress_leaves_whole_workers_free():
    workers = [worker(f"half-{i}", free=4) for i in range(6)] + [
        worker(f"free-{i}") for i in (0, 1)
    ]
    gang = unit(members=4, accelerators=4)
    assert set(nodes(plan_round([gang], workers))) == {f"half-{i}" for i in range(4)}


@pytest.mark.parametrize(
    ("fields", "chosen"),
    [
        ({}, {"suspect"}),
        ({"is_last_attempt": True}, {"n2"}),
        ({"members": 2, "accelerators": 8}, {"n2", "n3"}),
    ],
)
def test_gangs_and_last_attempts_avoid_a_worker_whose_last_run_failed(fields, chosen):
    workers = [worker("suspect", free=1, is_suspect=True), worker("n2"), worker("n3")]
    assert set(nodes(plan_round([unit(**fields)], workers))) == chosen


def test_gang_that_needs_a_suspect_uses_it():
    workers = [worker("suspect", is_suspect=True), worker("n2")]
    assert len(plan_round([unit(members=2, accelerators=8)], workers).starts) == 1


def test_gang_of_one_rack_is_not_split_for_the_sake_of_a_suspect():
    workers = [
        worker("n1", "r1"),
        worker("suspect", "r1", is_suspect=True),
        worker("n2", "r2"),
        worker("n3", "r3"),
    ]
    gang = unit(members=2, accelerators=8, same_rack=True)
    assert set(nodes(plan_round([gang], workers))) == {"n1", "suspect"}


def test_same_rack_gang_waits_for_a_rack_that_could_hold_it():
    workers = [
        worker("n1", "r1"),
        worker("n2", "r1", free=2),
        worker("n3", "r2"),
        worker("n4", "r2", free=2),
    ]
    gang = unit(members=2, accelerators=8, same_rack=True)
    assert plan_round([gang], workers).starts == []


def test_same_rack_gang_larger_than_any_rack_is_split():
    workers = [worker("n1", "r1"), worker("n2", "r2")]
    gang = unit(members=2, accelerators=8, same_rack=True)
    assert sorted(nodes(plan_round([gang], workers))) == ["n1", "n2"]


def test_urgent_unit_preempts_the_run_of_least_loss():
    cheap, costly = placed_run("cheap", 8, 2, 1.0), placed_run("costly", 8, 1, 9.0)
    workers = [
        worker("n1", free=0, placed_runs=[costly]),
        worker("n2", free=0, placed_runs=[cheap]),
    ]
    plan = plan_round([unit(accelerators=8, priority=0)], workers)
    assert [stop.placed_run.task for stop in plan.stops] == ["cheap"]


def test_urgent_unit_preempts_no_run_whose_loss_exceeds_its_own_work():
    workers = [worker("n1", free=0, placed_runs=[placed_run("costly", 8, 1, 11.0)])]
    assert plan_round([unit(accelerators=8, priority=0)], workers).stops == []


def test_guaranteed_unit_preempts_regardless_of_loss():
    workers = [worker("n1", free=0, placed_runs=[placed_run("costly", 8, 0, 1e6)])]
    plan = plan_round([unit(accelerators=8, priority=0, is_guaranteed=True)], workers)
    assert [stop.placed_run.task for stop in plan.stops] == ["costly"]


def test_guaranteed_unit_does_not_preempt_guaranteed_runs():
    workers = [worker("n1", free=0, placed_runs=[placed_run("peer", 8, 0, is_guaranteed=True)])]
    plan = plan_round([unit(accelerators=8, priority=0, is_guaranteed=True)], workers)
    assert plan.stops == []


def test_loss_of_a_gang_counts_once():
    gang = [
        placed_run(f"gang-{i}", 4, 1, 4.0, step_key=("gang", 0, 0), is_gang=True) for i in (0, 1)
    ]
    workers = [worker("n1", free=0, placed_runs=gang)]
    plan = plan_round([unit(accelerators=8, priority=0)], workers)
    assert [stop.placed_run.task for stop in plan.stops] == ["gang-0", "gang-1"]


def test_urgent_unit_does_not_preempt_urgent_runs():
    workers = [worker("n1", free=0, placed_runs=[placed_run("peer", 8, 0)])]
    plan = plan_round([unit(accelerators=8, priority=0)], workers)
    assert plan.stops == []


def test_capacity_being_freed_is_reserved_for_the_urgent_unit():
    workers = [worker("n1", free=4, placed_runs=[placed_run("victim", 4, 2, is_stopping=True)])]
    urgent = unit("urgent", accelerators=8, priority=0)
    plan = plan_round([urgent, unit("small", accelerators=2, priority=2)], workers)
    assert plan.starts == []
    assert plan.stops == []


def test_blocked_gang_is_not_starved_by_smaller_units():
    workers = [worker("n1", free=8), worker("n2", free=6, placed_runs=[placed_run("busy", 2, 1)])]
    gang = unit("gang", members=2, accelerators=8, priority=1)
    plan = plan_round([gang, unit("small", accelerators=1, priority=2)], workers)
    assert plan.starts == []


def held_by_lasting_run(node: str, rack: str = "r1", accelerators: int = 1) -> WorkerCapacity:
    held = worker(node, rack)
    held.add_placed_run(placed_run(f"lasting-{node}", accelerators, 1, is_lasting=True))
    return held


def test_gang_that_lasting_runs_keep_out_does_not_keep_others_from_starting():
    """It would wait for ever, and with it all jobs of its priority that came later."""
    workers = [held_by_lasting_run("n1"), held_by_lasting_run("n2")]
    gang = unit("gang", members=2, accelerators=8)
    plan = plan_round([gang, unit("small", waiting_since_ms=1)], workers)
    assert [started.job_id for started, _ in plan.starts] == ["small"]


def test_gang_reserves_the_workers_on_which_all_runs_end():
    ending = worker("n2")
    ending.add_placed_run(placed_run("ending", 1, 1))
    workers = [held_by_lasting_run("n1"), ending, worker("n3")]
    gang = unit("gang", members=2, accelerators=8)
    small = [unit(f"small-{i}", accelerators=4, waiting_since_ms=1) for i in range(3)]
    plan = plan_round([gang, *small], workers)
    assert [nodes(plan, i) for i in range(len(plan.starts))] == [["n1"]]


def test_suspect_that_lasting_runs_keep_from_being_isolated_reserves_nothing():
    workers = [held_by_lasting_run("n1"), held_by_lasting_run("n2")]
    suspect = unit("suspect", is_isolated=True)
    plan = plan_round([suspect, unit("small", waiting_since_ms=1)], workers)
    assert [started.job_id for started, _ in plan.starts] == ["small"]


def test_unit_that_was_held_up_may_use_what_is_reserved_for_a_gang():
    """The runs that a gang waits for may take longer than they were expected to."""
    busy = worker("n2")
    busy.add_placed_run(placed_run("busy", 1, 1))
    gang = unit("gang", members=2, accelerators=8)
    late = unit("late", indexes=(0,), waiting_since_ms=1, may_use_reserved=True)
    other = unit("other", waiting_since_ms=2)
    plan = plan_round([gang, late, other], [worker("n1"), busy])
    assert [started.job_id for started, _ in plan.starts] == ["late"]


def test_unit_that_was_held_up_leaves_reserved_capacity_to_the_gang_if_there_is_other():
    busy = worker("n2")
    busy.add_placed_run(placed_run("busy", 1, 1))
    gang = unit("gang", members=2, accelerators=8, label="r1")
    late = unit("late", waiting_since_ms=1, may_use_reserved=True)
    plan = plan_round([gang, late], [worker("n1"), busy, worker("n3", "r2")])
    assert nodes(plan) == ["n3"]


@pytest.mark.parametrize(
    ("waited_ms", "busy_nodes", "expected"),
    [(2_100, 1, True), (1_500, 1, False), (2_100, 2, False)],
    ids=["held up", "waits for a short while", "while half of the capacity is in use"],
)
def test_unit_counts_as_held_up_only_while_most_capacity_is_idle(waited_ms, busy_nodes, expected):
    board = board_with(4)
    add_job(board, waited_ms=waited_ms)
    workers = [worker(f"n{i}", free=0 if i < busy_nodes else 8, service="s") for i in range(4)]
    assert [unit.may_use_reserved for unit in build_units(board, workers, {})] == [expected]


def test_gang_of_one_rack_is_split_if_lasting_runs_keep_it_out_of_every_rack():
    """It would wait for ever, with capacity free for it."""
    workers = [held_by_lasting_run("n1", "r1"), held_by_lasting_run("n2", "r2")]
    workers += [worker("n3", "r1"), worker("n4", "r2")]
    gang = unit(members=2, accelerators=8, same_rack=True)
    assert sorted(nodes(plan_round([gang], workers))) == ["n3", "n4"]


def test_worker_that_failed_the_task_is_used_if_lasting_runs_hold_all_others():
    """Otherwise the task would wait for ever beside a free worker."""
    failed = unit(accelerators=8, avoided_workers=frozenset({"n1"}))
    assert nodes(plan_round([failed], [worker("n1"), held_by_lasting_run("n2")])) == ["n1"]


def test_worker_that_failed_the_task_is_avoided_while_others_remain():
    failed = unit(accelerators=4, avoided_workers=frozenset({"n1"}))
    assert plan_round([failed], [worker("n1"), worker("n2", free=2)]).starts == []
    assert nodes(plan_round([failed], [worker("n1")])) == ["n1"]


def test_units_start_only_on_workers_of_their_service_and_label():
    other = worker("n1")
    other.service = "another"
    plan = plan_round([unit(), unit("labelled", label="b")], [other, worker("n2")])
    assert [started.job_id for started, _ in plan.starts] == ["job"]


def test_capacity_of_a_stopping_run_is_not_allocated_before_it_ends():
    workers = [worker("n1", free=0, placed_runs=[placed_run("victim", 8, 2)])]
    urgent = unit("urgent", accelerators=2, priority=0)
    plan = plan_round([urgent, unit("small", accelerators=1, priority=2)], workers)
    assert [stop.placed_run.task for stop in plan.stops] == ["victim"]
    assert plan.starts == []


def test_costly_units_that_may_wait_stay_out_of_the_reserve():
    workers = [worker("n1", "r1"), worker("n2", "r2")]
    costly = [unit(str(i), accelerators=8, is_costly_to_stop=True, may_wait=True) for i in range(2)]
    assert len(plan_round(costly, workers, reserve=8).starts) == 1


def test_costly_units_that_may_not_wait_use_the_reserve():
    workers = [worker("n1", "r1"), worker("n2", "r2")]
    costly = [unit(str(i), accelerators=8, is_costly_to_stop=True) for i in range(2)]
    assert len(plan_round(costly, workers, reserve=8).starts) == 2


def test_units_that_are_cheap_to_stop_prefer_the_reserve():
    workers = [worker("n1", "r1", free=2), worker("n2", "r2", free=8)]
    workers[0].placed_runs.append(placed_run("busy", 6, 1, is_costly_to_stop=True))
    assert nodes(plan_round([unit()], workers, reserve=8)) == ["n2"]


def test_urgent_unit_waits_for_a_run_that_ends_within_its_wait_budget():
    ending = placed_run("ending", 8, 1, 9.0, remaining_ms=500)
    long_budget = unit("urgent", accelerators=8, priority=0, is_guaranteed=True, wait_budget_ms=600)
    waiting = plan_round([long_budget, unit("small")], [worker("n1", free=0, placed_runs=[ending])])
    assert (waiting.stops, waiting.starts) == ([], [])
    short_budget = long_budget._replace(wait_budget_ms=400)
    assert len(plan_round([short_budget], [worker("n1", free=0, placed_runs=[ending])]).stops) == 1


def test_runs_that_are_costly_to_stop_share_a_worker():
    workers = [worker("n1", free=3), worker("n2", free=7)]
    workers[1].placed_runs.append(placed_run("busy", 1, 1, is_costly_to_stop=True))
    assert nodes(plan_round([unit(is_costly_to_stop=True)], workers)) == ["n2"]
    assert nodes(plan_round([unit()], workers)) == ["n1"]


def test_overdue_run_is_stopped_once_the_wait_budget_is_spent():
    overdue = placed_run("overdue", 8, 1, 1.0, remaining_ms=0)
    urgent = unit("urgent", accelerators=8, priority=0, wait_budget_ms=0)
    assert len(plan_round([urgent], [worker("n1", free=0, placed_runs=[overdue])]).stops) == 1


def test_run_under_a_disruption_budget_is_not_preempted():
    workers = [worker("n1", free=0, placed_runs=[placed_run("serving", 8, 2, is_protected=True)])]
    assert plan_round([unit(accelerators=8, priority=0)], workers).stops == []


def test_nothing_is_preempted_while_workers_are_still_connecting():
    """A new leader with an incomplete view can't tell whether another worker has free capacity."""
    workers = [worker("n1", free=0, placed_runs=[placed_run("costly", 8, 1, 1e4)])]
    urgent = unit(accelerators=8, priority=0, is_guaranteed=True, wait_budget_ms=900)
    assert plan_round([urgent], workers, is_view_complete=False).stops == []
    assert len(plan_round([urgent], workers).stops) == 1


def test_guaranteed_unit_without_wait_budget_preempts_on_an_incomplete_view():
    workers = [worker("n1", free=0, placed_runs=[placed_run("costly", 8, 1, 1e4)])]
    urgent = unit(accelerators=8, priority=0, is_guaranteed=True, wait_budget_ms=0)
    assert len(plan_round([urgent], workers, is_view_complete=False).stops) == 1


def test_only_urgent_units_start_while_workers_are_still_connecting():
    units = [unit("urgent", priority=0), unit("normal", priority=1)]
    plan = plan_round(units, [worker("n1")], is_view_complete=False)
    assert [started.job_id for started, _ in plan.starts] == ["urgent"]


def test_claimed_capacity_stays_reserved_when_the_rest_is_too_costly():
    """A run expected to end by itself is late; the stop of the other run must not be wasted."""
    late = placed_run("late", 4, 1, 900.0, remaining_ms=300)
    workers = [worker("n1", free=0, placed_runs=[late, placed_run("cheap", 4, 2, 1.0)])]
    urgent = unit("urgent", accelerators=8, priority=0, wait_budget_ms=500, max_loss_ratio=0.3)
    first = plan_round([urgent], workers)
    assert [stop.placed_run.task for stop in first.stops] == ["cheap"]
    claimed = urgent._replace(claimed_nodes=first.claims[urgent.key], wait_budget_ms=200)
    second = plan_round([claimed, unit("small", accelerators=4, priority=2)], [half_free(late)])
    assert (second.starts, second.stops) == ([], [])
    assert second.claims == first.claims


def test_capacity_that_is_too_costly_and_unclaimed_goes_to_other_units():
    late = placed_run("late", 4, 1, 900.0)
    urgent = unit("urgent", accelerators=8, priority=0, max_loss_ratio=0.3)
    plan = plan_round([urgent, unit("small", accelerators=4, priority=2)], [half_free(late)])
    assert [started.job_id for started, _ in plan.starts] == ["small"]


def half_free(held: PlacedRun) -> WorkerCapacity:
    return worker("n1", free=4, placed_runs=[held])


def test_claim_on_a_lost_worker_moves_to_another():
    workers = [worker("n2", free=0, placed_runs=[placed_run("cheap", 8, 2, 1.0)])]
    urgent = unit("urgent", accelerators=8, priority=0, claimed_nodes=frozenset({"n1"}))
    plan = plan_round([urgent], workers)
    assert plan.claims == {urgent.key: frozenset({"n2"})}


def test_claim_is_replaced_by_a_cheaper_eviction():
    """The run on the claimed worker is late, and another run has become cheaper to stop."""
    late = placed_run("late", 8, 1, 900.0, remaining_ms=300)
    workers = [
        worker("n1", free=0, placed_runs=[late]),
        worker("n2", free=0, placed_runs=[placed_run("cheap", 8, 2, 5.0)]),
    ]
    urgent = unit(accelerators=8, priority=0, is_guaranteed=True, claimed_nodes=frozenset({"n1"}))
    plan = plan_round([urgent], workers)
    assert [stop.placed_run.task for stop in plan.stops] == ["cheap"]
    assert plan.claims[urgent.key] == {"n2"}


def test_same_rack_gang_is_not_split_while_workers_are_still_connecting():
    gang = unit(members=2, accelerators=8, priority=0, same_rack=True, wait_budget_ms=900)

    def placed(gang_unit, *more: WorkerCapacity) -> list[str]:
        workers = [worker("n1", "r1"), worker("n2", "r2"), *more]
        plan = plan_round([gang_unit], workers, is_view_complete=False)
        return nodes(plan) if plan.starts else []

    assert placed(gang) == []
    assert placed(gang, worker("n3", "r1")) == ["n1", "n3"]
    assert placed(gang._replace(wait_budget_ms=0)) == ["n1", "n2"]


def test_urgent_unit_waits_for_its_data_rack_while_workers_are_still_connecting():
    far = unit(priority=0, data_rack="r2", wait_budget_ms=900)
    assert plan_round([far], [worker("n1", "r1")], is_view_complete=False).starts == []
    assert len(plan_round([far], [worker("n1", "r1")]).starts) == 1


def test_urgent_gang_without_victims_is_not_starved_by_later_urgent_tasks():
    """Later tasks would take each worker as it becomes free, but the gang needs two at once."""
    workers = [worker("n1", free=8), worker("n2", free=0, placed_runs=[placed_run("peer", 8, 0)])]
    gang = unit("gang", members=2, accelerators=8, priority=0, waiting_since_ms=1)
    later = unit("later", accelerators=8, priority=0, waiting_since_ms=2)
    assert plan_round([gang, later], workers).starts == []


def test_unit_that_may_crash_its_worker_is_not_placed_beside_other_work():
    suspect = unit("suspect", is_isolated=True)
    busy = worker("n1", free=7, placed_runs=[placed_run("busy", 1, 1)])
    assert plan_round([suspect], [busy]).starts == []
    other = unit("other", priority=2)
    plan = plan_round([suspect, other], [busy, worker("n2")])
    assert [(started.job_id, nodes(plan, i)) for i, (started, _) in enumerate(plan.starts)] == [
        ("suspect", ["n2"])
    ]


def test_nothing_is_placed_beside_a_run_that_may_crash_its_worker():
    held = worker("n1")
    held.add_placed_run(placed_run("suspect", 1, 1, is_isolated=True))
    assert plan_round([unit("other")], [held]).starts == []
    assert plan_round([unit("suspect-2", is_isolated=True)], [held]).starts == []


def test_only_one_worker_at_a_time_is_emptied_for_units_that_may_crash_it():
    workers = [worker(f"n{n}", free=7, placed_runs=[placed_run(f"r{n}", 1, 1)]) for n in range(4)]
    suspects = [unit("suspect", indexes=(n,), is_isolated=True) for n in range(3)]
    others = [unit("other", indexes=(n,), accelerators=7, priority=2) for n in range(4)]
    plan = plan_round([*suspects, *others], workers)
    assert [started.job_id for started, _ in plan.starts] == ["other"] * 3


def test_waiting_suspect_does_not_block_the_other_tasks_of_its_step():
    suspect = unit("job", indexes=(0,), is_isolated=True)
    workers = [
        worker("n1", free=7, placed_runs=[placed_run("r1", 1, 1)]),
        worker("n2", free=6, placed_runs=[placed_run("r2", 2, 1)]),
    ]
    plan = plan_round([suspect, unit("job", indexes=(1,))], workers)
    assert [started.indexes for started, _ in plan.starts] == [(1,)]


def test_urgent_suspect_preempts_all_that_runs_on_one_worker():
    cheap, costly = worker("n1"), worker("n2")
    for run in (placed_run("cheap", 1, 2, 1.0), placed_run("other", 1, 2, 2.0)):
        cheap.add_placed_run(run)
    costly.add_placed_run(placed_run("costly", 1, 2, 1e6))
    suspect = unit("suspect", priority=0, is_isolated=True)
    plan = plan_round([suspect], [cheap, costly])
    assert sorted(stop.placed_run.task for stop in plan.stops) == ["cheap", "other"]


@pytest.mark.parametrize(
    ("fields", "chosen"),
    [
        ({"priority": 0}, []),
        ({"priority": 0, "is_late": True}, ["slow"]),
        ({"priority": 1}, ["slow"]),
        ({"priority": 0, "label": "r2"}, ["slow"]),
    ],
    ids=["may be in time", "late", "not urgent", "fits on no other"],
)
def test_urgent_unit_that_may_be_in_time_does_not_start_on_a_slow_worker(fields, chosen):
    workers = [worker("slow", "r2", is_slow=True), worker("full", free=0)]
    plan = plan_round([unit(accelerators=8, **fields)], workers)
    assert [w.node for _, chosen_workers in plan.starts for w in chosen_workers] == chosen


def test_burst_is_placed_in_parts_that_more_urgent_work_need_not_wait_for():
    # Guards against urgent starts that wait behind thousands of others at an agent.
    tiny = Demand(1, 1, 0)
    burst = [unit("burst", indexes=(index,), demand=tiny) for index in range(2 * MAX_STARTING)]
    urgent = unit("urgent", demand=tiny, priority=0)
    (full,) = workers = [worker("n1")]
    first = plan_round([*burst, urgent], workers)
    assert [started.job_id for started, _ in first.starts] == [
        "urgent",
        *["burst"] * (MAX_STARTING - 1),
    ]
    assert len(first.blocked) == MAX_STARTING + 1
    assert full.starting == MAX_STARTING
    assert plan_round(burst, workers).starts == []
    assert len(plan_round([urgent], workers).starts) == 1


def test_tasks_that_the_worker_lists_do_not_count_as_starting():
    # Guards against bursts of which only the first part is ever placed.
    board = board_with(1)
    job = add_job(board, task_count=3, accelerators=1)
    node = {key: ("n0", lifetime("n0")) for key in job.progress.tasks}
    begin_runs(job.progress, node, False, wall_ms())
    view = board.workers["n0"]
    running = (RunningRun(job.task_name((0, 0, 1)), 1, "", 0),)
    view.report = view.report._replace(running=running)
    (capacity,) = build_worker_capacities(board)
    assert capacity.starting == 2
