"""Tests that workers are chosen the same way whether or not those without room are ranked."""

from hypothesis import given, settings
from hypothesis import strategies as st
from lycheeslip.dispatch.packing import candidate_groups, choose_workers, pack

from .builders import unit, worker

workers = st.lists(
    st.builds(
        worker,
        st.integers(0, 10**6).map(lambda number: f"n{number}"),
        st.sampled_from(("r1", "r2", "r3")),
        st.integers(-2, 8),
        failures=st.integers(0, 2),
        is_slow=st.booleans(),
        is_reserved=st.booleans(),
        is_exposed=st.booleans(),
    ),
    max_size=12,
)
units = st.builds(
    unit,
    members=st.integers(1, 6),
    accelerators=st.integers(0, 8),
    same_rack=st.booleans(),
    max_per_worker=st.integers(0, 2),
    data_rack=st.sampled_from(("", "r1", "r9")),
    is_costly_to_stop=st.booleans(),
    is_isolated=st.booleans(),
    saves_progress=st.booleans(),
)


def first_packed_group(a_unit, all_workers):
    packed = (pack(a_unit, group) for group in candidate_groups(a_unit, all_workers))
    return next((chosen for chosen in packed if chosen is not None), None)


@settings(max_examples=300, deadline=None)
@given(units, workers)
def test_workers_without_room_change_nothing(a_unit, all_workers):
    chosen, expected = choose_workers(a_unit, all_workers), first_packed_group(a_unit, all_workers)
    assert (chosen and [w.node for w in chosen]) == (expected and [w.node for w in expected])
