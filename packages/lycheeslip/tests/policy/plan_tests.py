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


def test_urgent_jobs_are_placed_first_by_deadline():
    workers = {"w0": worker("w0", accelerators=1)}
    jobs = [
        waiting("bulk", since_ms=-5000),
        waiting("late", kind="urgent", deadline_at_ms=NOW_MS + 9000),
        waiting("soon", kind="urgent", deadline_at_ms=NOW_MS + 1000),
    ]
    assert list(placed(plan(view(workers, jobs)))) == ["soon"]


def test_gang_is_placed_completely_or_explained():
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
def test_nothing_is_placed_on_unusable_workers(changes, health, zones):
    workers = {"w0": worker("w0", **changes)}
    assert not placed(plan(view(workers, [waiting("j")], config=config(zones), health=health)))


def test_worker_where_the_job_failed_is_avoided():
    workers = {"w0": worker("w0"), "w1": worker("w1")}
    actions = plan(view(workers, [waiting("j", avoided_workers=["w0"])]))
    assert placed(actions)["j"][0].worker_id == "w1"


def test_worker_is_not_avoided_if_the_job_fits_on_no_other():
    workers = {"w0": worker("w0"), "w1": worker("w1", accelerators=4)}
    jobs = [
        waiting("big", avoided_workers=["w0"], accelerators=8),
        waiting("small", avoided_workers=["w0", "w1"]),
    ]
    assert set(placed(plan(view(workers, jobs)))) == {"big", "small"}


@pytest.mark.parametrize("demand", [{"processors": 61}, {"memory_mb": 250_001}, {"members": 9}])
def test_processors_memory_and_slots_limit_placement(demand):
    workers = {"w0": worker("w0", accelerators=16)}
    assert not placed(plan(view(workers, [waiting("j", **demand)])))


def test_placement_not_yet_granted_occupies_its_accelerators():
    workers = {"w0": worker("w0", accelerators=1)}
    taken = running("r", place(workers, ("w0", [0])))
    of_previous_incarnation = taken._replace(
        placement=(taken.placement[0]._replace(incarnation="old"),)
    )
    for job, expected in ((taken, False), (of_previous_incarnation, True)):
        fleet_view = view(workers, [waiting("j")])._replace(running_by_job={"r": job})
        assert bool(placed(plan(fleet_view))) is expected


@pytest.mark.parametrize(("adjacency", "workers"), [("same_rack", {"w0", "w4"}), ("any", None)])
def test_placement_respects_adjacency(adjacency, workers):
    two_racks = fleet(zones="abcd", workers=5)
    job = waiting("j", members=2, accelerators=8, adjacency=adjacency)
    placement = placed(plan(view(two_racks, [job])))["j"]
    used = {member.worker_id for member in placement}
    assert len(used) == 2
    assert workers is None or used == workers
    assert not placed(plan(view(two_racks, [waiting("j", members=9, adjacency="same_worker")])))


def test_member_gets_the_shortest_contiguous_run_that_fits():
    workers = {"w0": worker("w0"), "w1": worker("w1"), "w2": worker("w2", rack="r2")}
    busy = [running("r", place(workers, ("w0", [0, 2, 3])))]
    placement = placed(plan(view(workers, [waiting("j", accelerators=4)], busy)))["j"]
    assert (placement[0].worker_id, placement[0].accelerators) == ("w0", (4, 5, 6, 7))


@pytest.mark.parametrize(("busy_in_second_rack", "expected"), [(4, "w2"), (0, "w0")])
def test_small_job_goes_to_the_fullest_rack_but_not_to_an_idle_worker(
    busy_in_second_rack, expected
):
    workers = {"w0": worker("w0"), "w1": worker("w1"), "w2": worker("w2", rack="r2")}
    busy = [running("r0", place(workers, ("w0", range(5))), accelerators=5)]
    if busy_in_second_rack:
        second_rack_placement = place(workers, ("w2", range(busy_in_second_rack)))
        busy.append(running("r2", second_rack_placement, accelerators=busy_in_second_rack))
    placement = placed(plan(view(workers, [waiting("j")], busy)))["j"]
    assert placement[0].worker_id == expected
