import pytest
from lycheeslip.entry.pace import RoundPacer


@pytest.mark.parametrize(
    ("took_ms", "has_waiting_jobs", "urgent", "gap_ms"),
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
def test_the_next_round_is_due_after_a_gap(took_ms, has_waiting_jobs, urgent, gap_ms):
    pacer = RoundPacer()
    pacer.note_round(5_000, took_ms, frozenset({"seen"}))
    assert pacer.due_at_ms(has_waiting_jobs, frozenset(urgent)) == 5_000 + gap_ms


def test_the_first_round_is_due_immediately():
    assert RoundPacer().due_at_ms(True, frozenset()) <= 20
