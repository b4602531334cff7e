"""Jobs of a small year-end closing workload, and the configurations of its fleet."""

import json
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

__all__ = ["QUIET_CAP", "ZONES", "Job", "closing_jobs", "configuration", "overnight_jobs"]

ZONES = ("east-1", "east-2", "east-3")
HOOGHLY_ACCOUNT = "hooghly-ledger-works"
AOTEAROA_ACCOUNT = "aotearoa-kite-paper"

RECONCILIATIONS = 16
OVERNIGHT_RECONCILIATIONS = 16
VALIDATIONS = 16
MATCHINGS = 16
OVERNIGHT_MATCHINGS = 16
PATTERNS = 8
OVERNIGHT_PATTERNS = 12
GANG_MEMBERS = 8
QUIET_CAP = 2
QUIET_SPAN = timedelta(hours=2)


class Job(NamedTuple):
    """One request of the demo; the summary groups requests by `name`."""

    name: str
    body: dict[str, Any]
    idempotency_key: str

    @property
    def payload(self) -> str:
        """Return the payload of each task."""
        return self.body["payload"]


def configuration(out_of_service: str = "", quiet_zone: str = "") -> str:
    """Return the fleet's configuration, optionally with a zone out of service or in quiet hours."""
    zones = "".join(
        f"  {zone}:\n"
        f"    in_service: {str(zone != out_of_service).lower()}\n"
        "    accelerators: 16\n"
        "    accelerators_per_worker: 8\n"
        "    workers_per_rack: 2\n" + (_quiet_hours() if zone == quiet_zone else "")
        for zone in ZONES
    )
    return (
        "accounts:\n"
        f"  {HOOGHLY_ACCOUNT}:\n"
        "    guarantee: {members: 8, accelerators: 2, adjacency: same_rack}\n"
        "    weight: 2\n"
        f"  {AOTEAROA_ACCOUNT}:\n"
        "    guarantee: {members: 2, accelerators: 4}\n"
        "zones:\n" + zones + "survive_zone_loss: true\n"
    )


def _quiet_hours() -> str:
    """Return quiet hours around the current time, with a limit on busy accelerators per rack."""
    now = datetime.now(tz=UTC)
    start, end = now - QUIET_SPAN, now + QUIET_SPAN
    return (
        "    quiet_hours:\n"
        f'      - {{from: "{start:%H:%M}", to: "{end:%H:%M}", '
        f"max_busy_per_rack: {QUIET_CAP}}}\n"
    )


def closing_jobs() -> list[Job]:
    """Return the requests of the closing day, with the urgent ones spread evenly."""
    jobs = _reconciliations(range(RECONCILIATIONS)) + _matchings(range(MATCHINGS))
    jobs += _cutting_patterns(range(PATTERNS))
    jobs.append(
        _job(
            "consolidation gang",
            HOOGHLY_ACCOUNT,
            "deferrable",
            0,
            members=GANG_MEMBERS,
            accelerators=2,
            adjacency="same_rack",
            run_ms=1_500,
        )
    )
    validations = [
        _job("tick-off validation", HOOGHLY_ACCOUNT, "urgent", number, run_ms=150)
        for number in range(VALIDATIONS)
    ]
    step = len(jobs) // len(validations)
    for position, job in enumerate(validations):
        jobs.insert(position * (step + 1), job)
    return jobs


def overnight_jobs() -> list[Job]:
    """Return the requests submitted while a zone is in quiet hours."""
    return [
        *_cutting_patterns(range(PATTERNS, PATTERNS + OVERNIGHT_PATTERNS)),
        *_matchings(range(MATCHINGS, MATCHINGS + OVERNIGHT_MATCHINGS)),
        *_reconciliations(range(RECONCILIATIONS, RECONCILIATIONS + OVERNIGHT_RECONCILIATIONS)),
    ]


def _reconciliations(numbers: range) -> list[Job]:
    return [
        _job("ledger reconciliation", HOOGHLY_ACCOUNT, "deferrable", number) for number in numbers
    ]


def _cutting_patterns(numbers: range) -> list[Job]:
    return [
        _job("cutting pattern", AOTEAROA_ACCOUNT, "deferrable", number, accelerators=4, run_ms=900)
        for number in numbers
    ]


def _matchings(numbers: range) -> list[Job]:
    return [
        _job("intercompany matching", HOOGHLY_ACCOUNT, "bulk", number, repeatable=False, run_ms=600)
        for number in numbers
    ]


def _job(
    name: str,
    account: str,
    kind: str,
    number: int,
    *,
    members: int = 1,
    accelerators: int = 1,
    adjacency: str = "any",
    repeatable: bool = True,
    run_ms: int = 400,
) -> Job:
    key = f"{name.replace(' ', '-')}-{number + 1}"
    payload = json.dumps({"seed": number, "run_ms": run_ms, "name": key})
    shape = {"members": members, "accelerators": accelerators, "adjacency": adjacency}
    body = {
        "account": account,
        "kind": kind,
        "shape": shape,
        "payload": payload,
        "repeatable": repeatable,
        "expected_run_ms": run_ms,
        "label": key,
    }
    return Job(name, body, key)
