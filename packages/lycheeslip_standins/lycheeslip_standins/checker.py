"""Checks guarantees against what backend servers, callers and operators recorded.

Every function is pure and returns a `Finding`. None of them queries lycheeslip, so that the
checks do not depend on the code under test.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lycheeslip_standins.checker_facts import (
    UNBOUNDED_MS,
    BackendEvent,
    CallerRecord,
    ConfigView,
    GuaranteeDemand,
    Leaving,
    ZoneChange,
)
from lycheeslip_standins.checker_gangs import longest_partial_run_ms

__all__ = [
    "Finding",
    "Violation",
    "check_answers",
    "check_at_most_once",
    "check_configuration",
    "check_cut_off",
    "check_gangs",
    "check_guarantees",
    "check_leaving",
    "check_not_run",
    "check_one_verdict",
    "check_zones",
]

STARTED = "started"
FINISHED = "finished"
INTERRUPTED_TAGS = ("unknown", "failed")
ANSWERED = "answered"


class Violation(NamedTuple):
    """A violated guarantee: the request, process or gang concerned and what was observed."""

    subject: str
    detail: str


class Finding(NamedTuple):
    """Result of one check over `cases` observations.

    `promise` is the name of the guarantee that was checked. `worst` is the largest value observed
    and `bound` the largest one allowed, both in `unit`.
    """

    promise: str
    cases: int
    violations: tuple[Violation, ...]
    worst: int
    bound: int
    unit: str


class _Window(NamedTuple):
    location: str
    from_ms: int
    until_ms: int


def check_at_most_once(events: Iterable[BackendEvent], records: Iterable[CallerRecord]) -> Finding:
    """Check that no member of a non-repeatable request started more than once."""
    starts_by_member: dict[tuple[str, int], int] = defaultdict(int)
    for event in events:
        if event.event == STARTED:
            starts_by_member[event.job_id, event.member] += 1
    non_repeatable = {record.job_id for record in records if not record.repeatable}
    starts = {key: n for key, n in starts_by_member.items() if key[0] in non_repeatable}
    violations = [
        Violation(job_id, f"member {member} started {count} times")
        for (job_id, member), count in starts.items()
        if count > 1
    ]
    worst = max(starts.values(), default=0)
    return Finding(
        "not repeatable: at most once", len(non_repeatable), tuple(violations), worst, 1, "starts"
    )


def check_not_run(events: Iterable[BackendEvent], records: Iterable[CallerRecord]) -> Finding:
    """Check that no request refused as not run started, before or after the refusal."""
    started = {event.job_id for event in events if event.event == STARTED}
    refused = {
        record.job_id
        for record in records
        if any(not verdict.may_have_run for verdict in record.verdicts)
    }
    violations = [
        Violation(job_id, "refused as not run, but it started") for job_id in refused & started
    ]
    return Finding("not run is true", len(refused), tuple(violations), len(violations), 0, "starts")


def check_zones(
    events: Iterable[BackendEvent], changes: Sequence[ZoneChange], bound_ms: int
) -> Finding:
    """Check that no task started in a zone more than `bound_ms` after its accepted removal.

    A request to return the zone to service ends the window when it is sent, since it may take
    effect before its response arrives.
    """
    windows = []
    for change in changes:
        if change.in_service or not change.accepted_ms:
            continue
        returns = [
            other.requested_ms
            for other in changes
            if other.zone == change.zone and other.in_service and _may_follow(other, change)
        ]
        windows.append(_Window(change.zone, change.accepted_ms, min(returns, default=UNBOUNDED_MS)))
    starts = [(e.zone, e.job_id, e.monotonic_ms) for e in events if e.event == STARTED]
    return _check_windows("no start in a zone taken out", starts, windows, bound_ms)


def _may_follow(other: ZoneChange, change: ZoneChange) -> bool:
    """Return whether `other` may have taken effect after `change`."""
    if other.refused:
        return False
    if other.revision and change.revision:
        return other.revision > change.revision
    return other.requested_ms > change.requested_ms


def check_leaving(
    events: Iterable[BackendEvent], leavings: Iterable[Leaving], bound_ms: int
) -> Finding:
    """Check that no task started on a backend server more than `bound_ms` after it began to leave.

    Starts after the server has returned are allowed.
    """
    windows = [_Window(*leaving) for leaving in leavings]
    starts = [(e.backend, e.job_id, e.monotonic_ms) for e in events if e.event == STARTED]
    return _check_windows("no new work when leaving", starts, windows, bound_ms)


def check_gangs(events: Iterable[BackendEvent], until_ms: int, bound_ms: int) -> Finding:
    """Check that no gang ran with only some of its members for longer than `bound_ms`."""
    events_by_attempt: dict[tuple[str, int], list[BackendEvent]] = defaultdict(list)
    for event in events:
        if event.members > 1:
            events_by_attempt[event.job_id, event.attempt].append(event)
    partial_ms = {
        attempt: longest_partial_run_ms(gang, until_ms)
        for attempt, gang in events_by_attempt.items()
    }
    violations = [
        Violation(f"{job_id}.{attempt}", f"ran {length_ms} ms with only some of its members")
        for (job_id, attempt), length_ms in partial_ms.items()
        if length_ms > bound_ms
    ]
    worst = max(partial_ms.values(), default=0)
    return Finding("no partial gang", len(partial_ms), tuple(violations), worst, bound_ms, "ms")


def check_answers(events: Iterable[BackendEvent], records: Iterable[CallerRecord]) -> Finding:
    """Check that each answer is complete, computed, and of the caller's own request."""
    finished = {event.job_id for event in events if event.event == FINISHED}
    violations = []
    answers = 0
    for record in records:
        for answer in record.answers:
            answers += 1
            if answer.job_id != record.job_id:
                violations.append(Violation(record.job_id, f"got the answer of {answer.job_id}"))
            if answer.digest != record.expected_digest:
                violations.append(Violation(record.job_id, "answer has an unexpected digest"))
        is_answered = record.answers or any(verdict.tag == ANSWERED for verdict in record.verdicts)
        if is_answered and record.job_id not in finished:
            violations.append(Violation(record.job_id, "answered, but no task finished"))
    return Finding(
        "whole answer, right caller", answers, tuple(violations), len(violations), 0, "answers"
    )


def check_one_verdict(records: Iterable[CallerRecord]) -> Finding:
    """Check that each accepted request received exactly one verdict."""
    accepted = [record for record in records if record.accepted]
    violations = []
    for record in accepted:
        verdicts = set(record.verdicts)
        if not verdicts:
            violations.append(Violation(record.job_id, "accepted, but no verdict received"))
        if len(verdicts) > 1:
            tags = sorted(verdict.tag for verdict in verdicts)
            violations.append(Violation(record.job_id, f"several verdicts: {', '.join(tags)}"))
    return Finding(
        "exactly one true answer",
        len(accepted),
        tuple(violations),
        len(violations),
        0,
        "requests",
    )


def check_cut_off(records: Iterable[CallerRecord]) -> Finding:
    """Check that graceful shutdowns interrupted no request in progress.

    A broken connection counts as an interruption, and so does a verdict of lost or failed work.
    """
    records = list(records)
    violations = [
        Violation(record.job_id, f"{record.cut_off} connections broken")
        for record in records
        if record.cut_off
    ]
    violations += [
        Violation(record.job_id, f"ended as {verdict.tag}")
        for record in records
        for verdict in record.verdicts
        if verdict.tag in INTERRUPTED_TAGS
    ]
    return Finding(
        "graceful shutdown cuts off nothing",
        len(records),
        tuple(violations),
        len(violations),
        0,
        "requests",
    )


def check_configuration(
    accepted_ms_by_revision: dict[int, int], views: Sequence[ConfigView], bound_ms: int
) -> Finding:
    """Check that processes never revert and apply each revision within `bound_ms`.

    The time counts from the acceptance, or from the start of a process that started later.
    """
    violations = []
    worst_ms = 0
    newest_by_process: dict[str, int] = {}
    for view in sorted(views, key=lambda view: view.seen_ms):
        newest = newest_by_process.get(view.process, 0)
        if view.revision < newest:
            detail = f"revision {view.revision} applied after revision {newest}"
            violations.append(Violation(view.process, detail))
        newest_by_process[view.process] = max(newest, view.revision)
        for revision, accepted_ms in accepted_ms_by_revision.items():
            lag_ms = view.seen_ms - max(accepted_ms, view.process_started_ms)
            if view.revision >= revision or lag_ms <= 0:
                continue
            worst_ms = max(worst_ms, lag_ms)
            if lag_ms > bound_ms:
                detail = f"revision {revision} not applied {lag_ms} ms after it was accepted"
                violations.append(Violation(view.process, detail))
    return Finding(
        "configuration in force, never reverts",
        len(accepted_ms_by_revision),
        tuple(violations),
        worst_ms,
        bound_ms,
        "ms",
    )


def check_guarantees(
    events: Iterable[BackendEvent], demands: Iterable[GuaranteeDemand], bound_ms: int
) -> Finding:
    """Check that each guaranteed gang started completely within `bound_ms`."""
    started_ms_by_member: dict[tuple[str, int], int] = {}
    for event in events:
        if event.event == STARTED:
            started_ms_by_member.setdefault((event.job_id, event.member), event.monotonic_ms)
    demands = list(demands)
    violations = []
    worst_ms = 0
    for demand in demands:
        members = [(demand.job_id, member) for member in range(demand.members)]
        if not all(member in started_ms_by_member for member in members):
            violations.append(Violation(demand.job_id, "not all members started"))
            continue
        waited_ms = max(started_ms_by_member[member] for member in members) - demand.requested_ms
        worst_ms = max(worst_ms, waited_ms)
        if waited_ms > bound_ms:
            violations.append(Violation(demand.job_id, f"started after {waited_ms} ms"))
    return Finding(
        "guaranteed shape reclaimable",
        len(demands),
        tuple(violations),
        worst_ms,
        bound_ms,
        "ms",
    )


def _check_windows(
    promise: str,
    starts: Sequence[tuple[str, str, int]],
    windows: Sequence[_Window],
    bound_ms: int,
) -> Finding:
    violations = []
    worst_ms = 0
    for window in windows:
        for location, job_id, started_ms in starts:
            if location != window.location or not window.from_ms < started_ms < window.until_ms:
                continue
            elapsed_ms = started_ms - window.from_ms
            worst_ms = max(worst_ms, elapsed_ms)
            if elapsed_ms > bound_ms:
                violations.append(Violation(job_id, f"started in {location} {elapsed_ms} ms later"))
    return Finding(promise, len(windows), tuple(violations), worst_ms, bound_ms, "ms")
