import pytest
from lycheeslip.policy.model import Explain, Place
from lycheeslip.policy.plan import plan

from .builders import (
    NOW_MS,
    WorkerHealth,
    Zone,
    config,
    fleet,
    place,
    running,
    view,
    waiting,
    worker,
)


def placed(actions):
    return {action.job_id: action.placement for action in actions if isinstance(action, Place)}


def test_urgent_work_comes_first_by_deadline():
    workers = {"w0": worker("w0", accelerators=1)}
    jobs = [
        waiting("bulk", since_ms=-5000),
        waiting("late", kind="urgent", deadline_at_ms=NOW_MS + 9000),
        waiting("soon", kind="urgent", deadline_at_ms=NOW_MS + 1000),
    ]
    assert list(placed(plan(view(workers, jobs)))) == ["soon"]


def test_a_gang_is_placed_whole_or_explained():
    workers = {"w0": worker("w0"), "w1": worker("w1")}
    jobs = [waiting("fits", -1, members=2, accelerators=8), waiting("blocked", members=2)]
    actions = plan(view(workers, jobs))
    assert len(placed(actions)["fits"]) == 2
    assert [a.job_id for a in actions if isinstance(a, Explain)] == ["blocked"]


@pytest.mark.parametrize(
    ("changes", "health", "zones"),
    [
        ({"leaving": True}, {}, ()),
        ({}, {"w0": WorkerHealth(NOW_MS + 1)}, ()),
        ({}, {}, (Zone("a", in_service=False),)),
        ({}, {}, (Zone("other"),)),
        ({"slots": 0}, {}, ()),
    ],
)
def test_workers_that_may_not_start_work(changes, health, zones):
    workers = {"w0": worker("w0", **changes)}
    assert not placed(plan(view(workers, [waiting("j")], config=config(zones), health=health)))


def test_a_worker_where_the_job_failed_is_avoided():
    workers = {"w0": worker("w0"), "w1": worker("w1")}
    actions = plan(view(workers, [waiting("j", avoided_workers=["w0"])]))
    assert placed(actions)["j"][0].worker_id == "w1"


def test_a_worker_is_not_avoided_if_no_other_could_ever_hold_the_job():
    workers = {"w0": worker("w0"), "w1": worker("w1", accelerators=4)}
    jobs = [
        waiting("big", avoided_workers=["w0"], accelerators=8),
        waiting("small", avoided_workers=["w0", "w1"]),
    ]
    assert set(placed(plan(view(workers, jobs)))) == {"big", "small"}


@pytest.mark.parametrize("demand", [{"processors": 61}, {"memory_mb": 250_001}, {"members": 9}])
def test_other_resources_limit_a_worker(demand):
    workers = {"w0": worker("w0", accelerators=16)}
    assert not placed(plan(view(workers, [waiting("j", **demand)])))


def test_a_placement_not_yet_granted_counts():
    workers = {"w0": worker("w0", accelerators=1)}
    taken = running("r", place(workers, ("w0", [0])))
    of_restarted = taken._replace(placement=(taken.placement[0]._replace(incarnation="old"),))
    for job, expected in ((taken, False), (of_restarted, True)):
        seen = view(workers, [waiting("j")])._replace(running_by_job={"r": job})
        assert bool(placed(plan(seen))) is expected


@pytest.mark.parametrize(("adjacency", "workers"), [("same_rack", {"w0", "w4"}), ("any", None)])
def test_adjacency(adjacency, workers):
    fleet_of_two_racks = fleet(zones="abcd", workers=5)
    job = waiting("j", members=2, accelerators=8, adjacency=adjacency)
    placement = placed(plan(view(fleet_of_two_racks, [job])))["j"]
    used = {member.worker_id for member in placement}
    assert len(used) == 2
    assert workers is None or used == workers
    assert not placed(
        plan(view(fleet_of_two_racks, [waiting("j", members=9, adjacency="same_worker")]))
    )


def test_accelerators_of_a_member_are_adjacent_and_holes_are_kept():
    workers = {"w0": worker("w0"), "w1": worker("w1"), "w2": worker("w2", rack="r2")}
    busy = [running("r", place(workers, ("w0", [0, 2, 3])))]
    placement = placed(plan(view(workers, [waiting("j", accelerators=4)], busy)))["j"]
    assert (placement[0].worker_id, placement[0].accelerators) == ("w0", (4, 5, 6, 7))


@pytest.mark.parametrize(("busy_there", "expected"), [(4, "w2"), (0, "w0")])
def test_small_work_goes_to_the_fullest_rack_but_opens_no_whole_worker(busy_there, expected):
    workers = {"w0": worker("w0"), "w1": worker("w1"), "w2": worker("w2", rack="r2")}
    busy = [running("r0", place(workers, ("w0", range(5))), accelerators=5)]
    if busy_there:
        where = place(workers, ("w2", range(busy_there)))
        busy.append(running("r2", where, accelerators=busy_there))
    placement = placed(plan(view(workers, [waiting("j")], busy)))["j"]
    assert placement[0].worker_id == expected
