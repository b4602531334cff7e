"""Describes the differences between two configurations for operators."""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple, TypeVar

from lycheeslip_common.structure.jobs import Adjacency, Shape

from lycheeslip.config.model import Account, FleetConfig, Limits, QuietHours, Zone
from lycheeslip.config.schema import WEEKDAYS
from lycheeslip.config.units import (
    format_duration,
    format_memory,
    format_time_of_day,
    format_utc_offset,
)

__all__ = ["Change", "describe_changes", "describe_quiet_hours", "describe_shape"]

T = TypeVar("T")

MILLISECONDS_PER_SECOND = 1_000


class Change(NamedTuple):
    """One difference: the part of the configuration, what changes in it, and its dotted key."""

    subject: str
    text: str
    key: str

    def __str__(self) -> str:
        """Return the line that is printed for operators."""
        return f"{self.subject}: {self.text}"


class _Subject(NamedTuple):
    """A part of the configuration: its name for operators and its dotted key."""

    name: str
    key: str

    def change(self, text: str, key: str = "") -> Change:
        """Return a change of the part itself, or of `key` within it."""
        return Change(self.name, text, f"{self.key}.{key}" if key and self.key else self.key or key)


def describe_changes(before: FleetConfig, after: FleetConfig) -> list[Change]:
    """Return all differences between two configurations, zones first."""
    return [
        *_zone_changes(before.zones_by_id, after.zones_by_id),
        *_account_changes(before.accounts_by_id, after.accounts_by_id),
        *_limit_changes(before.limits, after.limits),
        *_fleet_changes(before, after),
    ]


def describe_shape(shape: Shape | None) -> str:
    """Return text such as `4 members with 2 accelerators, 1 processors, 16GB each, same rack`."""
    if shape is None:
        return "none"
    members = f"{shape.members} {'member' if shape.members == 1 else 'members'}"
    parts = [
        f"{members} with {shape.accelerators} accelerators",
        f"{shape.processors} processors",
        f"{format_memory(shape.memory_mb)} each",
    ]
    if shape.adjacency is not Adjacency.ANY:
        parts.append(shape.adjacency.value.replace("_", " "))
    return ", ".join(parts)


def describe_quiet_hours(quiet: QuietHours) -> str:
    """Return text such as `22:00 to 07:00 on mon, at most 2 accelerators per rack`."""
    all_days = len(set(quiet.weekdays)) == len(WEEKDAYS)
    days = "every day" if all_days else "on " + ", ".join(WEEKDAYS[day] for day in quiet.weekdays)
    times = f"{format_time_of_day(quiet.from_minute)} to {format_time_of_day(quiet.to_minute)}"
    parts = [f"{times} {days}", f"at most {quiet.max_busy_per_rack} accelerators per rack"]
    if quiet.throttle:
        parts.append("throttled")
    if quiet.urgent_exempt:
        parts.append("urgent work exempt")
    return ", ".join(parts)


def _zone_changes(before: Mapping[str, Zone], after: Mapping[str, Zone]) -> Iterator[Change]:
    for zone_id, old, new in _pair_by_key(before, after):
        subject = _Subject(f"zone {zone_id}", f"zones.{zone_id}")
        if new is None:
            yield subject.change("removed")
        elif old is None:
            service = "in service" if new.in_service else "out of service"
            yield subject.change(f"added, {service}, {new.accelerators} accelerators declared")
            yield from _quiet_changes(subject, (), new.quiet_hours)
        else:
            yield from _changed_zone(subject, old, new)


def _changed_zone(subject: _Subject, old: Zone, new: Zone) -> Iterator[Change]:
    if old.in_service != new.in_service:
        text = "brought back into service" if new.in_service else "taken out of service"
        yield subject.change(text, "in_service")
    yield from _value_change(subject, "accelerators", old.accelerators, new.accelerators)
    yield from _value_change(
        subject,
        "accelerators_per_worker",
        old.accelerators_per_worker,
        new.accelerators_per_worker,
    )
    yield from _value_change(
        subject, "workers_per_rack", old.workers_per_rack, new.workers_per_rack
    )
    yield from _value_change(
        subject,
        "utc_offset",
        old.utc_offset_minutes,
        new.utc_offset_minutes,
        format_utc_offset,
        name="offset from UTC",
    )
    yield from _quiet_changes(subject, old.quiet_hours, new.quiet_hours)


def _quiet_changes(
    subject: _Subject, old: tuple[QuietHours, ...], new: tuple[QuietHours, ...]
) -> Iterator[Change]:
    for quiet in old:
        if quiet not in new:
            yield subject.change(
                f"quiet hours removed: {describe_quiet_hours(quiet)}", "quiet_hours"
            )
    for quiet in new:
        if quiet not in old:
            yield subject.change(f"quiet hours added: {describe_quiet_hours(quiet)}", "quiet_hours")


def _account_changes(
    before: Mapping[str, Account], after: Mapping[str, Account]
) -> Iterator[Change]:
    for account_id, old, new in _pair_by_key(before, after):
        subject = _Subject(f"account {account_id}", f"accounts.{account_id}")
        if new is None:
            yield subject.change("removed")
            continue
        if old is None:
            yield subject.change("added")
            old = Account(account_id)
        yield from _value_change(subject, "guarantee", old.guarantee, new.guarantee, describe_shape)
        yield from _value_change(subject, "weight", old.weight, new.weight, "{:g}".format)
        yield from _token_change(subject, "token_sha256", old.token_sha256, new.token_sha256)
        yield from _value_change(
            subject,
            "max_waiting_jobs",
            old.max_waiting_jobs,
            new.max_waiting_jobs,
            name="waiting jobs",
        )


def _limit_changes(old: Limits, new: Limits) -> Iterator[Change]:
    subject = _Subject("limits", "limits")
    duration = format_duration
    yield from _value_change(
        subject, "reclaim_grace", old.reclaim_grace_ms, new.reclaim_grace_ms, duration
    )
    yield from _value_change(subject, "task_lease", old.task_lease_ms, new.task_lease_ms, duration)
    yield from _value_change(subject, "gang_lease", old.gang_lease_ms, new.gang_lease_ms, duration)
    yield from _value_change(
        subject,
        "max_waiting_jobs",
        old.max_waiting_jobs,
        new.max_waiting_jobs,
        name="waiting jobs",
    )
    yield from _value_change(
        subject, "max_attempts", old.max_attempts, new.max_attempts, name="attempts"
    )
    yield from _value_change(
        subject, "retry_budget_ratio", old.retry_budget_ratio, new.retry_budget_ratio
    )
    yield from _value_change(
        subject,
        "answer_retention",
        old.answer_retention_s * MILLISECONDS_PER_SECOND,
        new.answer_retention_s * MILLISECONDS_PER_SECOND,
        duration,
    )


def _fleet_changes(old: FleetConfig, new: FleetConfig) -> Iterator[Change]:
    yield from _token_change(
        _Subject("operators", ""),
        "operator_token_sha256",
        old.operator_token_sha256,
        new.operator_token_sha256,
    )
    if old.survive_zone_loss != new.survive_zone_loss:
        word = "must" if new.survive_zone_loss else "need not"
        yield Change(
            "guarantees", f"{word} hold after the loss of any one zone", "survive_zone_loss"
        )


def _pair_by_key(
    before: Mapping[str, T], after: Mapping[str, T]
) -> Iterator[tuple[str, T | None, T | None]]:
    for key in sorted({*before, *after}):
        yield key, before.get(key), after.get(key)


def _value_change(
    subject: _Subject,
    key: str,
    old: T,
    new: T,
    describe: Callable[[T], str] = str,
    name: str = "",
) -> Iterator[Change]:
    """Yield the change of a value; its name is derived from the key unless it is given."""
    if old != new:
        name = name or key.replace("_", " ")
        yield subject.change(f"{name} from {describe(old)} to {describe(new)}", key)


def _token_change(subject: _Subject, key: str, old: str, new: str) -> Iterator[Change]:
    if old == new:
        return
    word = "withdrawn" if not new else "changed" if old else "declared"
    yield subject.change(f"token {word}", key)
