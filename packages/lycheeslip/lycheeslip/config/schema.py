"""The form of the operators' YAML file; the reference page is generated from it."""

from typing import Annotated, Literal, NamedTuple

from lycheeslip_common.config.reference import Shown
from lycheeslip_common.config.validation import Section, StrictBool, StrictInt
from lycheeslip_common.structure.jobs import MAX_MEMBERS, Adjacency, Identifier
from pydantic import Field

from lycheeslip.config.units import (
    DurationMs,
    MemoryMb,
    MinuteOfDay,
    UtcOffsetMinutes,
    between_durations,
)

__all__ = ["AccountForm", "ConfigForm", "GuaranteeForm", "LimitsForm", "QuietForm", "ZoneForm"]

Weekday = Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]

WEEKDAYS: tuple[Weekday, ...] = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")

Digest = Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$"), Shown("64 hexadecimal digits")]


class GuaranteeForm(NamedTuple):
    """A shape that an account can always have back, also while others use it."""

    members: Annotated[
        StrictInt, Field(ge=1, le=MAX_MEMBERS, description="Tasks that run together.")
    ] = 1
    accelerators: Annotated[
        StrictInt, Field(ge=0, le=64, description="Accelerators of each member.")
    ] = 1
    processors: Annotated[
        StrictInt, Field(ge=0, le=4096, description="Processor cores of each member.")
    ] = 1
    memory: Annotated[MemoryMb, Field(description="Memory of each member.")] = 256
    adjacency: Annotated[
        Adjacency, Field(description="Where the members must lie in relation to each other.")
    ] = Adjacency.ANY


class AccountForm(NamedTuple):
    """A client account."""

    guarantee: Annotated[
        Section[GuaranteeForm] | None,
        Field(description="Shape that can always be reclaimed for the account."),
    ] = None
    weight: Annotated[
        float,
        Field(
            gt=0,
            le=1000,
            allow_inf_nan=False,
            strict=True,
            description="Share of what is not guaranteed, relative to other accounts.",
        ),
    ] = 1.0
    token_sha256: Annotated[
        Digest, Field(description="SHA-256 digest of the account's bearer token.")
    ] = ""
    max_waiting_jobs: Annotated[
        StrictInt,
        Field(ge=1, le=1_000_000, description="Jobs of the account that may wait at once."),
    ] = 1000


class QuietForm(NamedTuple):
    """A daily time of quiet in a zone; it may wrap midnight."""

    from_: Annotated[
        MinuteOfDay, Field(alias="from", description="Local time at which the quiet begins.")
    ]
    to: Annotated[MinuteOfDay, Field(description="Local time at which the quiet ends.")]
    days: Annotated[
        tuple[Weekday, ...], Field(min_length=1, description="Days on which the quiet begins.")
    ] = WEEKDAYS
    max_busy_per_rack: Annotated[
        StrictInt, Field(ge=0, le=10_000, description="Accelerators of one rack that may run.")
    ] = 0
    throttle: Annotated[StrictBool, Field(description="Whether running tasks are slowed.")] = False
    urgent_exempt: Annotated[
        StrictBool, Field(description="Whether urgent work may start over the cap.")
    ] = False


class ZoneForm(NamedTuple):
    """An availability zone."""

    in_service: Annotated[StrictBool, Field(description="Whether tasks may start in the zone.")] = (
        True
    )
    accelerators: Annotated[
        StrictInt,
        Field(ge=0, le=1_000_000, description="Accelerators in the zone; 0: not declared."),
    ] = 0
    accelerators_per_worker: Annotated[
        StrictInt, Field(ge=0, le=64, description="Accelerators of one worker; 0: not declared.")
    ] = 0
    workers_per_rack: Annotated[
        StrictInt, Field(ge=0, le=1_000, description="Workers of one rack; 0: not declared.")
    ] = 0
    utc_offset: Annotated[
        UtcOffsetMinutes, Field(description="Local time of the zone's calendar.")
    ] = 0
    quiet_hours: Annotated[
        tuple[Section[QuietForm], ...], Field(max_length=64, description="Times of quiet.")
    ] = ()


class LimitsForm(NamedTuple):
    """Limits and times that hold for the whole fleet."""

    reclaim_grace: Annotated[
        DurationMs,
        between_durations("0ms", "60s"),
        Field(description="Time to checkpoint before a borrower is stopped; 0ms to 60s."),
    ] = 800
    task_lease: Annotated[
        DurationMs,
        between_durations("1s", "10m"),
        Field(description="Lease of a running task; 1s to 10m."),
    ] = 10_000
    gang_lease: Annotated[
        DurationMs,
        between_durations("200ms", "60s"),
        Field(description="Lease of each member of a running gang; 200ms to 60s."),
    ] = 1_500
    max_waiting_jobs: Annotated[
        StrictInt, Field(ge=1, le=10_000_000, description="Jobs that may wait at once.")
    ] = 5_000
    max_attempts: Annotated[StrictInt, Field(ge=1, le=100, description="Attempts at one job.")] = 5
    retry_budget_ratio: Annotated[
        float,
        Field(
            ge=0,
            le=1,
            allow_inf_nan=False,
            strict=True,
            description="Retries that are allowed for each first attempt.",
        ),
    ] = 0.1
    answer_retention: Annotated[
        DurationMs,
        between_durations("1m", "30d"),
        Field(description="How long a done job and its answer are kept; 1m to 30d."),
    ] = 86_400_000


class ConfigForm(NamedTuple):
    """The whole file."""

    accounts: Annotated[
        Section[dict[Identifier, Section[AccountForm]]], Field(description="Accounts by id.")
    ] = {}
    zones: Annotated[
        Section[dict[Identifier, Section[ZoneForm]]], Field(description="Zones by id.")
    ] = {}
    limits: Annotated[Section[LimitsForm], Field(description="Limits of the whole fleet.")] = (
        LimitsForm()
    )
    operator_token_sha256: Annotated[
        Digest, Field(description="SHA-256 digest of the operators' bearer token.")
    ] = ""
    survive_zone_loss: Annotated[
        StrictBool,
        Field(description="Whether guarantees must hold after the loss of any one zone."),
    ] = False
