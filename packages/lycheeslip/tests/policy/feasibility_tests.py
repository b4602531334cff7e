import pytest
from lycheeslip.policy.feasibility import misfit_reason

from .builders import Zone, config, fleet, spec

DECLARED = Zone("a", accelerators=32, accelerators_per_worker=8, workers_per_rack=2)


@pytest.mark.parametrize(
    ("demand", "fits"),
    [
        ({"accelerators": 8}, True),
        ({"accelerators": 9}, False),
        ({"processors": 61}, False),
        ({"members": 9, "adjacency": "same_worker"}, False),
        ({"members": 3, "accelerators": 8, "adjacency": "same_rack"}, True),
        ({"members": 4, "accelerators": 8, "adjacency": "same_rack"}, False),
        ({"members": 10, "accelerators": 8}, True),
        ({"members": 11, "accelerators": 8}, False),
    ],
)
def test_live_hardware_limits_feasibility(demand, fits):
    assert (misfit_reason(spec(**demand), fleet(), config()) == "") is fits


def test_declared_hardware_counts_while_not_live_or_out_of_service():
    job = spec(members=2, accelerators=8, adjacency="same_rack")
    away = config([DECLARED._replace(in_service=False)])
    assert misfit_reason(job, {}, away) == ""
    assert misfit_reason(spec(members=3, accelerators=8, adjacency="same_rack"), {}, away)


def test_every_job_is_feasible_without_known_hardware():
    assert misfit_reason(spec(accelerators=64), {}, config()) == ""
