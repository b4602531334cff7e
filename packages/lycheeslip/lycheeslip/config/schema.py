"""Schema of the configuration file; the reference page is generated from it."""

from typing import Annotated, Literal, NamedTuple

from lycheeslip_common.config.reference import Display
from lycheeslip_common.config.validation import Section, StrictBool, StrictInt
from lycheeslip_common.structure.jobs import MAX_MEMBERS, Adjacency, Identifier
from pydantic import Field

from lycheeslip.config.units import (
    DurationMs,
    MemoryMb,
    MinuteOfDay,
    UtcOffsetMinutes,
    duration_range,
)

__all__ = [
    "AccountSchema",
    "ConfigSchema",
    "GuaranteeSchema",
    "LimitsSchema",
    "QuietHoursSchema",
    "ZoneSchema",
]

Weekday = Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]

WEEKDAYS: tuple[Weekday, ...] = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")

Digest = Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$"), Display("64 hexadecimal digits")]


class GuaranteeSchema(NamedTuple):
    """Capacity that an account can always reclaim, even while other accounts borrow it."""

    members: Annotated[
        StrictInt, Field(ge=1, le=MAX_MEMBERS, description="Number of tasks that run together.")
    ] = 1
    accelerators: Annotated[
        StrictInt, Field(ge=0, le=64, description="Accelerators per member.")
    ] = 1
    processors: Annotated[
        StrictInt, Field(ge=0, le=4096, description="Processor cores per member.")
    ] = 1
    memory: Annotated[MemoryMb, Field(description="Memory per member.")] = 256
    adjacency: Annotated[
        Adjacency, Field(description="Placement constraint between the members.")
    ] = Adjacency.ANY


class AccountSchema(NamedTuple):
    """A client account."""

    guarantee: Annotated[
        Section[GuaranteeSchema] | None,
        Field(description="Capacity that can always be reclaimed for the account."),
    ] = None
    weight: Annotated[
        float,
        Field(
            gt=0,
            le=1000,
            allow_inf_nan=False,
            strict=True,
            description="Share of capacity that is not guaranteed, relative to other accounts.",
        ),
    ] = 1.0
    token_sha256: Annotated[
        Digest, Field(description="SHA-256 digest of the account's bearer token.")
    ] = ""
    max_waiting_jobs: Annotated[
        StrictInt,
        Field(ge=1, le=1_000_000, description="Maximum number of waiting jobs of the account."),
    ] = 1000


class QuietHoursSchema(NamedTuple):
    """Daily quiet hours of a zone; they may span midnight."""

    from_: Annotated[
        MinuteOfDay, Field(alias="from", description="Local time at which the quiet hours begin.")
    ]
    to: Annotated[MinuteOfDay, Field(description="Local time at which the quiet hours end.")]
    days: Annotated[
        tuple[Weekday, ...], Field(min_length=1, description="Days on which the quiet hours begin.")
    ] = WEEKDAYS
    max_busy_per_rack: Annotated[
        StrictInt,
        Field(ge=0, le=10_000, description="Maximum number of busy accelerators per rack."),
    ] = 0
    throttle: Annotated[StrictBool, Field(description="Whether running tasks are throttled.")] = (
        False
    )
    urgent_exempt: Annotated[
        StrictBool, Field(description="Whether urgent jobs may exceed the cap.")
    ] = False


class ZoneSchema(NamedTuple):
    """An availability zone."""

    in_service: Annotated[StrictBool, Field(description="Whether tasks may start in the zone.")] = (
        True
    )
    accelerators: Annotated[
        StrictInt,
        Field(ge=0, le=1_000_000, description="Accelerators in the zone; 0: not declared."),
    ] = 0
    accelerators_per_worker: Annotated[
        StrictInt, Field(ge=0, le=64, description="Accelerators per worker; 0: not declared.")
    ] = 0
    workers_per_rack: Annotated[
        StrictInt, Field(ge=0, le=1_000, description="Workers per rack; 0: not declared.")
    ] = 0
    utc_offset: Annotated[
        UtcOffsetMinutes, Field(description="Offset of the zone's local time from UTC.")
    ] = 0
    quiet_hours: Annotated[
        tuple[Section[QuietHoursSchema], ...],
        Field(max_length=64, description="Daily quiet hours."),
    ] = ()


class LimitsSchema(NamedTuple):
    """Limits and timeouts of the whole fleet."""

    reclaim_grace: Annotated[
        DurationMs,
        duration_range("0ms", "60s"),
        Field(description="Time that a preempted borrower has to checkpoint; 0ms to 60s."),
    ] = 800
    task_lease: Annotated[
        DurationMs,
        duration_range("1s", "10m"),
        Field(description="Lease duration of a running task; 1s to 10m."),
    ] = 10_000
    gang_lease: Annotated[
        DurationMs,
        duration_range("200ms", "60s"),
        Field(description="Lease duration of each member of a running gang; 200ms to 60s."),
    ] = 1_500
    max_waiting_jobs: Annotated[
        StrictInt, Field(ge=1, le=10_000_000, description="Maximum number of waiting jobs.")
    ] = 5_000
    max_attempts: Annotated[
        StrictInt, Field(ge=1, le=100, description="Maximum number of attempts per job.")
    ] = 5
    retry_budget_ratio: Annotated[
        float,
        Field(
            ge=0,
            le=1,
            allow_inf_nan=False,
            strict=True,
            description="Retries allowed per first attempt.",
        ),
    ] = 0.1
    answer_retention: Annotated[
        DurationMs,
        duration_range("1m", "30d"),
        Field(description="Retention period of finished jobs and their answers; 1m to 30d."),
    ] = 86_400_000


class ConfigSchema(NamedTuple):
    """Top-level keys of the file."""

    accounts: Annotated[
        Section[dict[Identifier, Section[AccountSchema]]], Field(description="Accounts by id.")
    ] = {}
    zones: Annotated[
        Section[dict[Identifier, Section[ZoneSchema]]], Field(description="Zones by id.")
    ] = {}
    limits: Annotated[Section[LimitsSchema], Field(description="Limits of the fleet.")] = (
        LimitsSchema()
    )
    operator_token_sha256: Annotated[
        Digest, Field(description="SHA-256 digest of the operators' bearer token.")
    ] = ""
    survive_zone_loss: Annotated[
        StrictBool,
        Field(
            description="Whether guarantees must still be satisfied after the loss of any one zone."
        ),
    ] = False
