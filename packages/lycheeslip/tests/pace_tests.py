import pytest
from lycheeslip.entry.pace import Pace


@pytest.mark.parametrize(
    ("took_ms", "some_wait", "urgent", "gap_ms"),
    [
        (0, True, (), 20),
        (1, True, (), 20),
        (10, True, (), 200),
        (400, True, (), 1_000),
        (400, True, ("seen",), 1_000),
        (400, True, ("seen", "new"), 20),
        (1, False, (), 1_000),
        (30, False, (), 3_000),
        (53, False, (), 5_000),
        (400, False, (), 5_000),
    ],
)
def test_the_gap_after_a_round(took_ms, some_wait, urgent, gap_ms):
    pace = Pace()
    pace.note_round(5_000, took_ms, frozenset({"seen"}))
    assert pace.due_at_ms(some_wait, frozenset(urgent)) == 5_000 + gap_ms


def test_the_first_round_is_due_at_once():
    assert Pace().due_at_ms(True, frozenset()) <= 20
