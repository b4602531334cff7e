import pytest
from lycheeslip_standins.backend_server import expected_answer
from lycheeslip_standins.demo_fleet import Start
from lycheeslip_standins.demo_report import Result, describe_answer_fault, describe_start_faults
from lycheeslip_standins.demo_workload import Job, closing_jobs, configuration, overnight_jobs

SHAPE = {"members": 2}
JOB = Job("work", {"payload": "{}", "repeatable": False, "shape": SHAPE}, "key")
RESULT = Result(JOB, "j1", "answered", expected_answer("{}"), 10)


def start(member, attempt=1):
    return Start("j1", attempt, member, "z", 0)


def test_the_expected_answer_has_no_fault():
    assert describe_answer_fault(RESULT) == ""
    assert describe_start_faults([RESULT], [start(0), start(1)]) == []


@pytest.mark.parametrize(
    "changes", [{"answer": b"another"}, {"answer": b""}, {"verdict": "unknown"}]
)
def test_other_answers_and_verdicts_are_faults(changes):
    assert describe_answer_fault(RESULT._replace(**changes)).startswith("key: ")


@pytest.mark.parametrize(
    ("starts", "fault"),
    [
        ([start(0)], "key: attempt 1 ran with 1 members"),
        ([start(0), start(1), start(0, 2), start(1, 2)], "key: started 2 times"),
    ],
)
def test_repeated_starts_and_missing_members_are_faults(starts, fault):
    assert describe_start_faults([RESULT], starts) == [fault]


def test_idempotency_keys_are_unique_and_configurations_differ():
    jobs = closing_jobs() + overnight_jobs()
    assert len({job.idempotency_key for job in jobs}) == len(jobs)
    assert configuration() != configuration(out_of_service="east-2")
