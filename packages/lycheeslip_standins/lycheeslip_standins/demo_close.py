"""The work of a year-end close in miniature, and the configurations that it runs under."""

import json
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

__all__ = ["QUIET_CAP", "ZONES", "Job", "close_work", "configuration", "overnight_work"]

ZONES = ("east-1", "east-2", "east-3")
HOOGHLY = "hooghly-ledger-works"
AOTEAROA = "aotearoa-kite-paper"

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
    """One request of the demo; `name` groups equal work in the summary."""

    name: str
    body: dict[str, Any]
    idempotency_key: str

    @property
    def payload(self) -> str:
        """Return the text that each task is given."""
        return self.body["payload"]


def configuration(out_of_service: str = "", quiet_zone: str = "") -> str:
    """Return the fleet's configuration, with a zone taken out or quiet from now on."""
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
        f"  {HOOGHLY}:\n"
        "    guarantee: {members: 8, accelerators: 2, adjacency: same_rack}\n"
        "    weight: 2\n"
        f"  {AOTEAROA}:\n"
        "    guarantee: {members: 2, accelerators: 4}\n"
        "zones:\n" + zones + "survive_zone_loss: true\n"
    )


def _quiet_hours() -> str:
    """Return quiet hours around the present, with a cap on the busy accelerators of a rack."""
    now = datetime.now(tz=UTC)
    start, end = now - QUIET_SPAN, now + QUIET_SPAN
    return (
        "    quiet_hours:\n"
        f'      - {{from: "{start:%H:%M}", to: "{end:%H:%M}", '
        f"max_busy_per_rack: {QUIET_CAP}}}\n"
    )


def close_work() -> list[Job]:
    """Return the requests of the day, the urgent ones spread among the rest."""
    jobs = _reconciliations(range(RECONCILIATIONS)) + _matchings(range(MATCHINGS))
    jobs += _patterns(range(PATTERNS))
    jobs.append(
        _job(
            "consolidation gang",
            HOOGHLY,
            "deferrable",
            0,
            members=GANG_MEMBERS,
            accelerators=2,
            adjacency="same_rack",
            run_ms=1_500,
        )
    )
    validations = [
        _job("tick-off validation", HOOGHLY, "urgent", number, run_ms=150)
        for number in range(VALIDATIONS)
    ]
    step = len(jobs) // len(validations)
    for position, job in enumerate(validations):
        jobs.insert(position * (step + 1), job)
    return jobs


def overnight_work() -> list[Job]:
    """Return the requests that run while a zone is quiet."""
    return [
        *_patterns(range(PATTERNS, PATTERNS + OVERNIGHT_PATTERNS)),
        *_matchings(range(MATCHINGS, MATCHINGS + OVERNIGHT_MATCHINGS)),
        *_reconciliations(range(RECONCILIATIONS, RECONCILIATIONS + OVERNIGHT_RECONCILIATIONS)),
    ]


def _reconciliations(numbers: range) -> list[Job]:
    return [_job("ledger reconciliation", HOOGHLY, "deferrable", number) for number in numbers]


def _patterns(numbers: range) -> list[Job]:
    return [
        _job("cutting pattern", AOTEAROA, "deferrable", number, accelerators=4, run_ms=900)
        for number in numbers
    ]


def _matchings(numbers: range) -> list[Job]:
    return [
        _job("intercompany matching", HOOGHLY, "bulk", number, repeatable=False, run_ms=600)
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
