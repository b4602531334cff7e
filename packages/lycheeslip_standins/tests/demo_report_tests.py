import pytest
from lycheeslip_standins.backend_server import expected_answer
from lycheeslip_standins.demo_cell import Start
from lycheeslip_standins.demo_close import Job, close_work, configuration, overnight_work
from lycheeslip_standins.demo_report import Result, faults_of, start_faults

SHAPE = {"members": 2}
JOB = Job("work", {"payload": "{}", "repeatable": False, "shape": SHAPE}, "key")
RESULT = Result(JOB, "j1", "answered", expected_answer("{}"), 10)


def start(member, attempt=1):
    return Start("j1", attempt, member, "z", 0)


def test_the_true_answer_has_no_fault():
    assert faults_of(RESULT) == ""
    assert start_faults([RESULT], [start(0), start(1)]) == []


@pytest.mark.parametrize(
    "changes", [{"answer": b"another"}, {"answer": b""}, {"verdict": "unknown"}]
)
def test_any_other_end_is_a_fault(changes):
    assert faults_of(RESULT._replace(**changes)).startswith("key: ")


@pytest.mark.parametrize(
    ("starts", "fault"),
    [
        ([start(0)], "key: attempt 1 ran with 1 members"),
        ([start(0), start(1), start(0, 2), start(1, 2)], "key: started 2 times"),
    ],
)
def test_starts_that_break_a_promise_are_faults(starts, fault):
    assert start_faults([RESULT], starts) == [fault]


def test_keys_are_unique_and_configurations_differ():
    jobs = close_work() + overnight_work()
    assert len({job.idempotency_key for job in jobs}) == len(jobs)
    assert configuration() != configuration(out_of_service="east-2")
