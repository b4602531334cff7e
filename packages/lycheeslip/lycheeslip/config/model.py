"""The operators' configuration after it has been checked."""

from typing import NamedTuple

from lycheeslip_common.structure.jobs import Shape

__all__ = ["Account", "FleetConfig", "Limits", "QuietHours", "Zone"]


class Account(NamedTuple):
    """A client account; `guarantee` can always be reclaimed for it, `weight` shares the rest."""

    account_id: str
    guarantee: Shape | None = None
    weight: float = 1.0
    token_sha256: str = ""
    max_waiting_jobs: int = 1000


class QuietHours(NamedTuple):
    """A daily time of quiet in a zone, in minutes after local midnight; may wrap midnight.

    At most `max_busy_per_rack` accelerators of a rack may run then; with `throttle`, those
    that run are slowed. `urgent_exempt` lets urgent work start over the cap.
    """

    from_minute: int
    to_minute: int
    weekdays: tuple[int, ...] = (0, 1, 2, 3, 4, 5, 6)
    max_busy_per_rack: int = 0
    throttle: bool = False
    urgent_exempt: bool = False


class Zone(NamedTuple):
    """An availability zone; no task starts in one that is out of service.

    `accelerators` is the hardware that operators declare for it (0: not declared), used to
    check guarantees; `utc_offset_minutes` places its calendar.
    """

    zone_id: str
    in_service: bool = True
    accelerators: int = 0
    accelerators_per_worker: int = 0
    workers_per_rack: int = 0
    utc_offset_minutes: int = 0
    quiet_hours: tuple[QuietHours, ...] = ()


class Limits(NamedTuple):
    """Limits and times that hold for the whole fleet."""

    reclaim_grace_ms: int = 800
    task_lease_ms: int = 10_000
    gang_lease_ms: int = 1_500
    max_waiting_jobs: int = 5_000
    max_attempts: int = 5
    retry_budget_ratio: float = 0.1
    answer_retention_s: int = 86_400


class FleetConfig(NamedTuple):
    """One whole configuration; `revision` is the store's, 0 before the first apply."""

    revision: int = 0
    accounts_by_id: dict[str, Account] = {}
    zones_by_id: dict[str, Zone] = {}
    limits: Limits = Limits()
    operator_token_sha256: str = ""
    survive_zone_loss: bool = False
