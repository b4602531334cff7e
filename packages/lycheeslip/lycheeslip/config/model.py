"""The validated configuration of the fleet."""

from typing import NamedTuple

from lycheeslip_common.structure.jobs import Shape

__all__ = ["Account", "FleetConfig", "Limits", "QuietHours", "Zone"]


class Account(NamedTuple):
    """A client account.

    `guarantee` can always be reclaimed for the account; `weight` is its share of the capacity
    that is not guaranteed, relative to other accounts.
    """

    account_id: str
    guarantee: Shape | None = None
    weight: float = 1.0
    token_sha256: str = ""
    max_waiting_jobs: int = 1000


class QuietHours(NamedTuple):
    """Daily quiet hours of a zone, in minutes after local midnight; they may span midnight.

    `weekdays` are the days on which they begin, 0 for Monday.
    During quiet hours at most `max_busy_per_rack` accelerators of a rack may be busy; with
    `throttle`, running tasks are throttled. `urgent_exempt` lets urgent jobs exceed the cap.
    """

    from_minute: int
    to_minute: int
    weekdays: tuple[int, ...] = (0, 1, 2, 3, 4, 5, 6)
    max_busy_per_rack: int = 0
    throttle: bool = False
    urgent_exempt: bool = False


class Zone(NamedTuple):
    """An availability zone; no task starts in a zone that is out of service.

    `accelerators` is the declared hardware of the zone (0: not declared), used to check
    guarantees; `utc_offset_minutes` defines the local time of its quiet hours.
    """

    zone_id: str
    in_service: bool = True
    accelerators: int = 0
    accelerators_per_worker: int = 0
    workers_per_rack: int = 0
    utc_offset_minutes: int = 0
    quiet_hours: tuple[QuietHours, ...] = ()


class Limits(NamedTuple):
    """Limits and timeouts of the whole fleet."""

    reclaim_grace_ms: int = 800
    task_lease_ms: int = 10_000
    gang_lease_ms: int = 1_500
    max_waiting_jobs: int = 5_000
    max_attempts: int = 5
    retry_budget_ratio: float = 0.1
    answer_retention_s: int = 86_400


class FleetConfig(NamedTuple):
    """A complete configuration; `revision` is its revision in the store, 0 before the first."""

    revision: int = 0
    accounts_by_id: dict[str, Account] = {}
    zones_by_id: dict[str, Zone] = {}
    limits: Limits = Limits()
    operator_token_sha256: str = ""
    survive_zone_loss: bool = False
