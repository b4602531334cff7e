"""Which units start where, and which runs give way."""

from lycheeslip.dispatch.placement import plan_round
from lycheeslip.dispatch.rooms import Occupant, Room, Unit
from lycheeslip_common.workload.fleet import Lifetime
from lycheeslip_common.workload.jobs import Demand

FULL = Demand(64_000, 256_000, 8)


def room(node: str, rack: str = "r1", free: int = 8, **fields) -> Room:
    return Room(
        node,
        Lifetime(node, 1),
        "service",
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
    }
    return Unit(**{**values, **fields})


def occupant(task: str, accelerators: int, priority: int, loss: float = 1.0, **fields) -> Occupant:
    values = {"is_stopping": False, "unit": (task, 0, 0), **fields}
    return Occupant(
        task, task, 1, "other", priority, Demand(1_000, 1_000, accelerators), loss, **values
    )


def nodes(plan, index: int = 0) -> list[str]:
    return [chosen.node for chosen in plan.starts[index][1]]


def test_single_tasks_fill_the_fullest_worker_first():
    plan = plan_round([unit()], [room("n1", free=8), room("n2", free=2)])
    assert nodes(plan) == ["n2"]


def test_tasks_of_a_step_spread_within_one_round():
    units = [unit(indexes=(i,), max_per_worker=2) for i in range(5)]
    plan = plan_round(units, [room("n1"), room("n2")])
    placed = [nodes(plan, i)[0] for i in range(len(plan.starts))]
    assert len(plan.starts) == 4
    assert {placed.count("n1"), placed.count("n2")} == {2}


def test_a_gang_is_placed_whole_or_not_at_all():
    plan = plan_round([unit(members=3, accelerators=8)], [room("n1"), room("n2")])
    assert plan.starts == []


def test_a_gang_of_one_rack_waits_rather_than_spreads():
    rooms = [room("n1", "r1"), room("n2", "r1", free=2), room("n3", "r2"), room("n4", "r2", free=2)]
    gang = unit(members=2, accelerators=8, same_rack=True)
    assert plan_round([gang], rooms).starts == []


def test_a_gang_that_no_rack_could_hold_spreads():
    rooms = [room("n1", "r1"), room("n2", "r2")]
    gang = unit(members=2, accelerators=8, same_rack=True)
    assert sorted(nodes(plan_round([gang], rooms))) == ["n1", "n2"]


def test_an_urgent_unit_stops_what_loses_least():
    cheap, dear = occupant("cheap", 8, 2, 1.0), occupant("dear", 8, 1, 9.0)
    rooms = [room("n1", free=0, occupants=[dear]), room("n2", free=0, occupants=[cheap])]
    plan = plan_round([unit(accelerators=8, priority=0)], rooms)
    assert [stop.occupant.task for stop in plan.stops] == ["cheap"]


def test_an_urgent_unit_stops_nothing_that_loses_more_than_its_own_work():
    rooms = [room("n1", free=0, occupants=[occupant("dear", 8, 1, 11.0)])]
    assert plan_round([unit(accelerators=8, priority=0)], rooms).stops == []


def test_a_guarantee_is_reclaimed_whatever_that_loses():
    rooms = [room("n1", free=0, occupants=[occupant("dear", 8, 0, 1e6)])]
    plan = plan_round([unit(accelerators=8, priority=0, is_guaranteed=True)], rooms)
    assert [stop.occupant.task for stop in plan.stops] == ["dear"]


def test_a_guarantee_is_not_reclaimed_from_another():
    rooms = [room("n1", free=0, occupants=[occupant("peer", 8, 0, is_guaranteed=True)])]
    plan = plan_round([unit(accelerators=8, priority=0, is_guaranteed=True)], rooms)
    assert plan.stops == []


def test_the_loss_of_a_gang_counts_once():
    gang = [occupant(f"gang-{i}", 4, 1, 4.0, unit=("gang", 0, 0), is_gang=True) for i in (0, 1)]
    rooms = [room("n1", free=0, occupants=gang)]
    plan = plan_round([unit(accelerators=8, priority=0)], rooms)
    assert [stop.occupant.task for stop in plan.stops] == ["gang-0", "gang-1"]


def test_an_urgent_unit_stops_nobody_as_urgent():
    rooms = [room("n1", free=0, occupants=[occupant("peer", 8, 0)])]
    plan = plan_round([unit(accelerators=8, priority=0)], rooms)
    assert plan.stops == []


def test_room_that_is_being_freed_is_held_back_for_the_urgent_unit():
    rooms = [room("n1", free=4, occupants=[occupant("victim", 4, 2, is_stopping=True)])]
    urgent = unit("urgent", accelerators=8, priority=0)
    plan = plan_round([urgent, unit("small", accelerators=2, priority=2)], rooms)
    assert plan.starts == []
    assert plan.stops == []


def test_a_blocked_gang_is_not_starved_by_smaller_units():
    rooms = [room("n1", free=8), room("n2", free=6, occupants=[occupant("busy", 2, 1)])]
    gang = unit("gang", members=2, accelerators=8, priority=1)
    plan = plan_round([gang, unit("small", accelerators=1, priority=2)], rooms)
    assert plan.starts == []


def test_a_worker_that_failed_the_task_is_not_tried_while_others_are_left():
    failed = unit(accelerators=4, avoided_workers=frozenset({"n1"}))
    assert plan_round([failed], [room("n1"), room("n2", free=2)]).starts == []
    assert nodes(plan_round([failed], [room("n1")])) == ["n1"]


def test_labels_and_services_are_kept():
    other = room("n1")
    other.service = "another"
    plan = plan_round([unit(), unit("labelled", label="b")], [other, room("n2")])
    assert [started.job_id for started, _ in plan.starts] == ["job"]


def test_room_of_a_run_that_has_not_ended_yet_is_given_to_nobody():
    rooms = [room("n1", free=0, occupants=[occupant("victim", 8, 2)])]
    urgent = unit("urgent", accelerators=2, priority=0)
    plan = plan_round([urgent, unit("small", accelerators=1, priority=2)], rooms)
    assert [stop.occupant.task for stop in plan.stops] == ["victim"]
    assert plan.starts == []


def test_the_reserve_is_kept_from_what_is_costly_to_stop_while_that_can_wait():
    rooms = [room("n1", "r1"), room("n2", "r2")]
    costly = [unit(str(i), accelerators=8, is_costly_to_stop=True, may_wait=True) for i in range(2)]
    assert len(plan_round(costly, rooms, reserve=8).starts) == 1


def test_the_reserve_is_given_to_what_can_wait_no_longer():
    rooms = [room("n1", "r1"), room("n2", "r2")]
    costly = [unit(str(i), accelerators=8, is_costly_to_stop=True) for i in range(2)]
    assert len(plan_round(costly, rooms, reserve=8).starts) == 2


def test_what_is_cheap_to_stop_goes_into_the_reserve_first():
    rooms = [room("n1", "r1", free=2), room("n2", "r2", free=8)]
    rooms[0].occupants.append(occupant("busy", 6, 1, is_costly_to_stop=True))
    assert nodes(plan_round([unit()], rooms, reserve=8)) == ["n2"]


def test_an_urgent_unit_waits_for_a_run_that_is_about_to_end():
    ending = occupant("ending", 8, 1, 9.0, remaining_ms=500)
    patient = unit("urgent", accelerators=8, priority=0, is_guaranteed=True, patience_ms=600)
    waiting = plan_round([patient, unit("small")], [room("n1", free=0, occupants=[ending])])
    assert (waiting.stops, waiting.starts) == ([], [])
    hurried = patient._replace(patience_ms=400)
    assert len(plan_round([hurried], [room("n1", free=0, occupants=[ending])]).stops) == 1


def test_runs_that_are_costly_to_stop_share_a_worker():
    rooms = [room("n1", free=3), room("n2", free=7)]
    rooms[1].occupants.append(occupant("busy", 1, 1, is_costly_to_stop=True))
    assert nodes(plan_round([unit(is_costly_to_stop=True)], rooms)) == ["n2"]
    assert nodes(plan_round([unit()], rooms)) == ["n1"]


def test_a_run_that_is_overdue_is_stopped_once_patience_ends():
    overdue = occupant("overdue", 8, 1, 1.0, remaining_ms=0)
    urgent = unit("urgent", accelerators=8, priority=0, patience_ms=0)
    assert len(plan_round([urgent], [room("n1", free=0, occupants=[overdue])]).stops) == 1


def test_a_run_under_a_disruption_budget_is_not_stopped_for_another():
    rooms = [room("n1", free=0, occupants=[occupant("serving", 8, 2, is_protected=True)])]
    assert plan_round([unit(accelerators=8, priority=0)], rooms).stops == []


def test_nothing_is_stopped_while_workers_are_still_linking_up():
    """A new leader that knows few workers can't tell whether another has room."""
    rooms = [room("n1", free=0, occupants=[occupant("dear", 8, 1, 1e4)])]
    urgent = unit(accelerators=8, priority=0, is_guaranteed=True, patience_ms=900)
    assert plan_round([urgent], rooms, is_view_whole=False).stops == []
    assert len(plan_round([urgent], rooms).stops) == 1


def test_a_guarantee_out_of_patience_is_reclaimed_on_a_partial_view():
    rooms = [room("n1", free=0, occupants=[occupant("dear", 8, 1, 1e4)])]
    urgent = unit(accelerators=8, priority=0, is_guaranteed=True, patience_ms=0)
    assert len(plan_round([urgent], rooms, is_view_whole=False).stops) == 1


def test_only_urgent_units_start_while_workers_are_still_linking_up():
    units = [unit("urgent", priority=0), unit("normal", priority=1)]
    plan = plan_round(units, [room("n1")], is_view_whole=False)
    assert [started.job_id for started, _ in plan.starts] == ["urgent"]


def test_room_that_was_begun_to_be_made_is_held_when_the_rest_gets_too_dear():
    """A run that was to end by itself is late; what was stopped beside it must not be wasted."""
    late = occupant("late", 4, 1, 900.0, remaining_ms=300)
    rooms = [room("n1", free=0, occupants=[late, occupant("cheap", 4, 2, 1.0)])]
    urgent = unit("urgent", accelerators=8, priority=0, patience_ms=500, loss_share=0.3)
    first = plan_round([urgent], rooms)
    assert [stop.occupant.task for stop in first.stops] == ["cheap"]
    claimed = urgent._replace(claimed=first.claims[urgent.key], patience_ms=200)
    second = plan_round([claimed, unit("small", accelerators=4, priority=2)], [free_half(late)])
    assert (second.starts, second.stops) == ([], [])
    assert second.claims == first.claims


def test_without_a_claim_room_that_is_too_dear_is_given_to_others():
    late = occupant("late", 4, 1, 900.0)
    urgent = unit("urgent", accelerators=8, priority=0, loss_share=0.3)
    plan = plan_round([urgent, unit("small", accelerators=4, priority=2)], [free_half(late)])
    assert [started.job_id for started, _ in plan.starts] == ["small"]


def free_half(held: Occupant) -> Room:
    return room("n1", free=4, occupants=[held])


def test_a_claim_on_a_lost_worker_moves_on():
    rooms = [room("n2", free=0, occupants=[occupant("cheap", 8, 2, 1.0)])]
    urgent = unit("urgent", accelerators=8, priority=0, claimed=frozenset({"n1"}))
    plan = plan_round([urgent], rooms)
    assert plan.claims == {urgent.key: frozenset({"n2"})}


def test_a_claim_gives_way_to_a_cheaper_way():
    """A run on the claimed worker that was to end by itself is late; another is cheaper now."""
    late = occupant("late", 8, 1, 900.0, remaining_ms=300)
    rooms = [
        room("n1", free=0, occupants=[late]),
        room("n2", free=0, occupants=[occupant("cheap", 8, 2, 5.0)]),
    ]
    urgent = unit(accelerators=8, priority=0, is_guaranteed=True, claimed=frozenset({"n1"}))
    plan = plan_round([urgent], rooms)
    assert [stop.occupant.task for stop in plan.stops] == ["cheap"]
    assert plan.claims[urgent.key] == {"n2"}


def test_a_gang_of_one_rack_is_not_spread_while_other_racks_may_yet_come_up():
    gang = unit(members=2, accelerators=8, priority=0, same_rack=True, patience_ms=900)

    def placed(asking, *more: Room) -> list[str]:
        rooms = [room("n1", "r1"), room("n2", "r2"), *more]
        plan = plan_round([asking], rooms, is_view_whole=False)
        return nodes(plan) if plan.starts else []

    assert placed(gang) == []
    assert placed(gang, room("n3", "r1")) == ["n1", "n3"]
    assert placed(gang._replace(patience_ms=0)) == ["n1", "n2"]


def test_an_urgent_unit_waits_for_the_rack_of_its_data_to_come_up():
    far = unit(priority=0, data_rack="r2", patience_ms=900)
    assert plan_round([far], [room("n1", "r1")], is_view_whole=False).starts == []
    assert len(plan_round([far], [room("n1", "r1")]).starts) == 1


def test_an_urgent_gang_that_can_stop_nobody_is_not_starved_by_later_urgent_tasks():
    """Tasks of the same priority take each worker as it becomes free, a gang needs two at once."""
    rooms = [room("n1", free=8), room("n2", free=0, occupants=[occupant("peer", 8, 0)])]
    gang = unit("gang", members=2, accelerators=8, priority=0, waiting_since_ms=1)
    later = unit("later", accelerators=8, priority=0, waiting_since_ms=2)
    assert plan_round([gang, later], rooms).starts == []
