import pytest
from lycheeslip_standins import checker
from lycheeslip_standins.checker_facts import (
    BackendEvent,
    CallerRecord,
    ConfigView,
    GuaranteeDemand,
    Leaving,
    RecordedAnswer,
    RecordedVerdict,
    ZoneChange,
    parse_events,
)

ANSWERED = RecordedVerdict("answered", True)
NOT_RUN = RecordedVerdict("refused", False)
REMOVED = ZoneChange("z1", False, 900, 1000)


def event(kind, at_ms, *, job="j", attempt=1, member=0, members=1, zone="z1", backend="b1"):
    return BackendEvent(kind, job, attempt, member, members, zone, at_ms, backend)


def started(at_ms, **fields):
    return event("started", at_ms, **fields)


def non_repeatable_record(**observed):
    return CallerRecord("j", False, True, **observed)


@pytest.mark.parametrize(
    ("events", "violations"),
    [
        ([started(1)], 0),
        ([started(1), event("refused", 2), event("prepared", 3)], 0),
        ([started(1, member=0), started(1, member=1)], 0),
        ([started(1), started(1)], 1),
        ([started(1), started(9, attempt=2)], 1),
        ([started(1, backend="b1"), started(2, backend="b2")], 1),
        ([started(1, job="other"), started(2, job="other")], 0),
    ],
)
def test_repeated_starts_of_non_repeatable_requests_are_violations(events, violations):
    finding = checker.check_at_most_once(events, [non_repeatable_record()])
    assert len(finding.violations) == violations


def test_repeated_starts_of_repeatable_requests_are_allowed():
    record = CallerRecord("j", True, True)
    assert not checker.check_at_most_once([started(1), started(2)], [record]).violations


@pytest.mark.parametrize(
    ("events", "verdicts", "violations"),
    [
        ([], (NOT_RUN,), 0),
        ([started(1)], (ANSWERED,), 0),
        ([event("prepared", 1), event("refused", 2)], (NOT_RUN,), 0),
        ([started(1)], (NOT_RUN,), 1),
        ([started(1)], (ANSWERED, NOT_RUN), 1),
        ([started(10**9)], (RecordedVerdict("cancelled", False),), 1),
    ],
)
def test_starts_of_requests_refused_as_not_run_are_violations(events, verdicts, violations):
    finding = checker.check_not_run(events, [non_repeatable_record(verdicts=verdicts)])
    assert len(finding.violations) == violations


@pytest.mark.parametrize(
    ("changes", "started_ms", "violations", "worst"),
    [
        ([REMOVED], 999, 0, 0),
        ([REMOVED], 4000, 0, 3000),
        ([REMOVED], 4001, 1, 3001),
        ([REMOVED._replace(zone="z2")], 9000, 0, 0),
        ([REMOVED._replace(accepted_ms=0)], 9000, 0, 0),
        ([REMOVED, ZoneChange("z1", True, 3500, 0)], 4001, 0, 0),
        ([REMOVED, ZoneChange("z1", True, 5000, 5100)], 4500, 1, 3500),
        ([ZoneChange("z1", True, 800, 850), REMOVED], 4500, 1, 3500),
        ([ZoneChange("z1", True, 950, 990, 6), REMOVED._replace(revision=7)], 4500, 1, 3500),
        ([ZoneChange("z1", True, 890, 1900, 8), REMOVED._replace(revision=7)], 4500, 0, 0),
        ([ZoneChange("z1", True, 2000, 0, refused=True), REMOVED], 4500, 1, 3500),
        ([REMOVED, ZoneChange("z1", True, 2000, 2100), ZoneChange("z1", False, 3000, 3100)],
         6101, 1, 3001),
    ],
)  # fmt: skip
def test_late_starts_in_a_zone_out_of_service_are_violations(
    changes, started_ms, violations, worst
):
    finding = checker.check_zones([started(started_ms)], changes, 3000)
    assert (len(finding.violations), finding.worst) == (violations, worst)


def test_late_starts_on_a_leaving_backend_server_are_violations():
    events = [started(2000), started(4001, job="late"), started(8000, backend="b2")]
    events.append(started(9001))
    finding = checker.check_leaving(events, [Leaving("b1", 1000, 9000)], 3000)
    assert [violation.subject for violation in finding.violations] == ["late"]


def gang(*timeline):
    return [event(kind, at_ms, member=member, members=2) for at_ms, member, kind in timeline]


@pytest.mark.parametrize(
    ("timeline", "partial_ms"),
    [
        ([(10, 0, "started"), (12, 1, "started"), (50, 0, "finished"), (90, 1, "finished")], 2),
        ([(10, 0, "prepared"), (12, 1, "prepared"), (20, 0, "stopped")], 0),
        ([(10, 0, "started"), (40, 0, "lapsed")], 30),
        ([(10, 0, "started")], 990),
        ([(10, 0, "started"), (10, 1, "started"), (20, 1, "killed"), (70, 0, "stopped")], 50),
        ([(10, 0, "started"), (10, 1, "started"), (20, 1, "failed"), (70, 0, "lapsed")], 50),
        ([(10, 0, "started"), (10, 1, "started"), (20, 1, "stopped")], 980),
        ([(10, 0, "started"), (10, 1, "started"), (20, 1, "lapsed"), (20, 0, "lapsed")], 0),
        ([(10, 0, "started"), (10, 1, "started"), (30, 1, "stopped"), (20, 0, "stopped")], 10),
    ],
)
def test_long_partial_runs_of_gangs_are_violations(timeline, partial_ms):
    finding = checker.check_gangs(gang(*timeline), 1000, 49)
    assert finding.worst == partial_ms
    assert len(finding.violations) == (partial_ms > 49)


@pytest.mark.parametrize(
    ("events", "observed", "violations"),
    [
        ([event("finished", 9)], {"answers": (RecordedAnswer("j", "d"),)}, 0),
        ([event("finished", 9)], {"answers": (RecordedAnswer("other", "d"),)}, 1),
        ([event("finished", 9)], {"answers": (RecordedAnswer("j", "cut"),)}, 1),
        ([event("stopped", 9)], {"answers": (RecordedAnswer("j", "d"),)}, 1),
        ([], {"verdicts": (ANSWERED,)}, 1),
        ([], {"verdicts": (NOT_RUN,)}, 0),
    ],
)
def test_wrong_and_uncomputed_answers_are_violations(events, observed, violations):
    finding = checker.check_answers(
        events, [non_repeatable_record(expected_digest="d", **observed)]
    )
    assert len(finding.violations) == violations


@pytest.mark.parametrize(
    ("accepted", "verdicts", "violations"),
    [
        (True, (ANSWERED, ANSWERED), 0),
        (True, (), 1),
        (False, (), 0),
        (True, (ANSWERED, RecordedVerdict("failed", True)), 1),
    ],
)
def test_missing_and_contradictory_verdicts_are_violations(accepted, verdicts, violations):
    record = CallerRecord("j", True, accepted, verdicts)
    assert len(checker.check_one_verdict([record]).violations) == violations


def test_interrupted_requests_are_violations():
    records = [
        non_repeatable_record(verdicts=(ANSWERED,)),
        non_repeatable_record(verdicts=(NOT_RUN,)),
        non_repeatable_record(cut_off=1),
    ]
    records += [
        non_repeatable_record(verdicts=(RecordedVerdict(tag, True),))
        for tag in ("unknown", "failed")
    ]
    assert len(checker.check_cut_off(records).violations) == 3


@pytest.mark.parametrize(
    ("views", "violations", "worst"),
    [
        ([("e1", 4, 900), ("e1", 5, 1100)], 0, 0),
        ([("e1", 4, 1500), ("e1", 5, 2500)], 0, 500),
        ([("e1", 4, 4500)], 1, 3500),
        ([("e1", 5, 1100), ("e2", 4, 4001)], 1, 3001),
        ([("e1", 6, 900), ("e1", 5, 950)], 1, 0),
        ([("e1", 6, 900), ("e2", 5, 950)], 0, 0),
        ([("e1", 0, 4500, 3000)], 0, 1500),
        ([("e1", 0, 6500, 3000)], 1, 3500),
    ],
)
def test_late_and_reverted_configurations_are_violations(views, violations, worst):
    observed = [ConfigView(*view) for view in views]
    finding = checker.check_configuration({5: 1000}, observed, 3000)
    assert (len(finding.violations), finding.worst) == (violations, worst)


@pytest.mark.parametrize(
    ("events", "violations"),
    [
        ([started(500), started(1800, member=1)], 0),
        ([started(500), started(1801, member=1)], 1),
        ([started(500)], 1),
    ],
)
def test_late_and_incomplete_starts_of_guaranteed_gangs_are_violations(events, violations):
    finding = checker.check_guarantees(events, [GuaranteeDemand("j", 2, 1000)], 800)
    assert len(finding.violations) == violations


def test_the_log_format_of_the_backend_server_is_parsed():
    line = {"event": "started", "task_id": "j.1.0", "job_id": "j", "attempt": 1, "member": 0}
    line |= {"members": 2, "zone": "z", "wall_ms": 5, "monotonic_ms": 7}
    assert parse_events([line], "b") == [BackendEvent("started", "j", 1, 0, 2, "z", 7, "b")]
