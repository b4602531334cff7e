import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lycheeslip.policy.homes import accounts_lacking_homes, assign_homes, homes_satisfy_guarantee

from .builders import Account, Zone, config, fleet, place, running, shape, with_grants

shapes = st.builds(
    shape,
    members=st.integers(1, 4),
    accelerators=st.integers(1, 8),
    adjacency=st.sampled_from(["any", "same_worker", "same_rack"]),
)


def satisfies_guarantee(guarantee, account, homes, workers):
    return homes_satisfy_guarantee(guarantee, account, homes, workers)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(shapes, shapes, st.booleans(), st.integers(0, 9))
def test_homes_are_deterministic_and_stable(first, second, survive, lost):
    workers = fleet()
    accounts = [Account("a", first), Account("b", second)]
    fleet_config = config([Zone(z) for z in "abcd"], accounts, survive_zone_loss=survive)
    homes = assign_homes(fleet_config, workers, {})
    assert homes == assign_homes(fleet_config, dict(reversed(workers.items())), {})
    assert homes == assign_homes(fleet_config, workers, homes)
    fits = first.members <= (3 if first.adjacency == "same_rack" else 8 // first.accelerators)
    if first.adjacency == "any" or fits:
        assert "a" not in accounts_lacking_homes(fleet_config, homes) or not satisfies_guarantee(
            first, "a", homes, workers
        )
    rest = {key: state for key, state in workers.items() if key != f"w{lost}"}
    moved = assign_homes(fleet_config, rest, homes)
    if "a" not in homes[f"w{lost}"] and "b" not in homes[f"w{lost}"]:
        assert {key: homes[key] for key in rest} == moved


@pytest.mark.parametrize(
    "guarantee",
    [shape(2, 8, "same_rack"), shape(1, 8), shape(4, 4), shape(8, 1, "same_worker")],
)
@pytest.mark.parametrize("zones", ["abc", "abcd"])
def test_homes_satisfy_guarantees_after_the_loss_of_any_zone(guarantee, zones):
    workers = fleet(zones)
    accounts = [Account("x", guarantee), Account("y", shape(1, 4))]
    fleet_config = config([Zone(z) for z in zones], accounts, survive_zone_loss=True)
    homes = assign_homes(fleet_config, workers, {})
    for lost in zones:
        rest = {key: state for key, state in workers.items() if state.info.zone != lost}
        assert satisfies_guarantee(guarantee, "x", homes, rest)
        assert satisfies_guarantee(shape(1, 4), "y", homes, rest)


def test_homes_move_off_zones_out_of_service_and_leaving_workers():
    workers = fleet()
    workers["w0"] = workers["w0"]._replace(leaving=True)
    accounts = [Account("x", shape(3, 8))]
    fleet_config = config([Zone("a"), Zone("b", in_service=False), Zone("c"), Zone("d")], accounts)
    homes = assign_homes(fleet_config, workers, {"w1": ("x",) * 8, "w0": ("x",) * 8})
    used = {key for key, accounts in homes.items() if "x" in accounts}
    assert len(used) == 3
    assert all(key != "w0" and workers[key].info.zone != "b" for key in used)


def test_homes_avoid_accelerators_with_uninterruptible_jobs_of_other_accounts():
    workers = fleet(workers=2)
    uninterruptible = running("r", place(workers, ("w0", range(8))), account="y", repeatable=False)
    fleet_config = config([], [Account("x", shape(1, 8))])
    homes = assign_homes(fleet_config, with_grants(workers, [uninterruptible]), {})
    assert homes["w1"] == ("x",) * 8
