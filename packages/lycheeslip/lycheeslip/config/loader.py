"""Parses and validates the configuration file and reports all its problems at once."""

from collections import defaultdict
from typing import NamedTuple

from lycheeslip_common.config.validation import ProblemsError, validate_document
from lycheeslip_common.config.yaml_lines import Document, Path, Problem, read_yaml
from lycheeslip_common.structure.jobs import Shape

from lycheeslip.config.capacity import find_capacity_problems
from lycheeslip.config.model import Account, FleetConfig, Limits, QuietHours, Zone
from lycheeslip.config.schema import (
    WEEKDAYS,
    AccountSchema,
    ConfigSchema,
    LimitsSchema,
    QuietHoursSchema,
    ZoneSchema,
)

__all__ = [
    "MAX_CONFIG_BYTES",
    "ConfigError",
    "LocatedConfig",
    "parse_config",
    "parse_located_config",
]

MAX_CONFIG_BYTES = 512 * 1024
MILLISECONDS_PER_SECOND = 1_000


class ConfigError(ProblemsError):
    """The configuration is invalid; no part of it has been applied."""


class LocatedConfig(NamedTuple):
    """A valid configuration with the document that gives the lines of its keys."""

    config: FleetConfig
    document: Document

    def has_key(self, *path: str) -> bool:
        """Return whether the file gives the key, rather than leaving it at its default."""
        return path in self.document.line_by_path


def parse_config(text: str, source: str = "config", revision: int = 0) -> FleetConfig:
    """Return the configuration in `text`; raises ConfigError with all problems."""
    return parse_located_config(text, source, revision).config


def parse_located_config(text: str, source: str = "config", revision: int = 0) -> LocatedConfig:
    """Return the configuration in `text` with its lines; raises ConfigError with all problems."""
    if len(text.encode("utf-8", "replace")) > MAX_CONFIG_BYTES:
        message = f"the file is larger than {MAX_CONFIG_BYTES} bytes"
        raise ConfigError((Problem(source, 1, "", message),))
    document = read_yaml(text, source)
    parsed, problems = validate_document(document, ConfigSchema)
    if parsed is None:
        raise ConfigError(tuple(problems))
    config = _build_config(parsed, revision)
    problems += _token_problems(parsed, document)
    problems += _zone_problems(parsed, document)
    if not problems:
        capacity_problems = find_capacity_problems(config)
        problems = [document.problem_at(path, message) for path, message in capacity_problems]
    if problems:
        raise ConfigError(tuple(sorted(problems, key=lambda problem: problem.line)))
    return LocatedConfig(config, document)


def _build_config(parsed: ConfigSchema, revision: int) -> FleetConfig:
    return FleetConfig(
        revision=revision,
        accounts_by_id={key: _build_account(key, item) for key, item in parsed.accounts.items()},
        zones_by_id={key: _build_zone(key, item) for key, item in parsed.zones.items()},
        limits=_build_limits(parsed.limits),
        operator_token_sha256=parsed.operator_token_sha256,
        survive_zone_loss=parsed.survive_zone_loss,
    )


def _build_account(account_id: str, parsed: AccountSchema) -> Account:
    guarantee = Shape(*parsed.guarantee) if parsed.guarantee is not None else None
    return Account(
        account_id, guarantee, parsed.weight, parsed.token_sha256, parsed.max_waiting_jobs
    )


def _build_zone(zone_id: str, parsed: ZoneSchema) -> Zone:
    return Zone(
        zone_id=zone_id,
        in_service=parsed.in_service,
        accelerators=parsed.accelerators,
        accelerators_per_worker=parsed.accelerators_per_worker,
        workers_per_rack=parsed.workers_per_rack,
        utc_offset_minutes=parsed.utc_offset,
        quiet_hours=tuple(_build_quiet_hours(item) for item in parsed.quiet_hours),
    )


def _build_quiet_hours(parsed: QuietHoursSchema) -> QuietHours:
    return QuietHours(
        from_minute=parsed.from_,
        to_minute=parsed.to,
        weekdays=tuple(sorted({WEEKDAYS.index(day) for day in parsed.days})),
        max_busy_per_rack=parsed.max_busy_per_rack,
        throttle=parsed.throttle,
        urgent_exempt=parsed.urgent_exempt,
    )


def _build_limits(parsed: LimitsSchema) -> Limits:
    return Limits(
        reclaim_grace_ms=parsed.reclaim_grace,
        task_lease_ms=parsed.task_lease,
        gang_lease_ms=parsed.gang_lease,
        max_waiting_jobs=parsed.max_waiting_jobs,
        max_attempts=parsed.max_attempts,
        retry_budget_ratio=parsed.retry_budget_ratio,
        answer_retention_s=parsed.answer_retention // MILLISECONDS_PER_SECOND,
    )


def _token_problems(parsed: ConfigSchema, document: Document) -> list[Problem]:
    paths_by_digest: dict[str, list[Path]] = defaultdict(list)
    paths_by_digest[parsed.operator_token_sha256].append(("operator_token_sha256",))
    for account_id, account in parsed.accounts.items():
        paths_by_digest[account.token_sha256].append(("accounts", account_id, "token_sha256"))
    paths_by_digest.pop("", None)
    if paths_by_digest and not parsed.operator_token_sha256:
        path = next(iter(paths_by_digest.values()))[0]
        message = "needs operator_token_sha256 too, or nobody can apply the next configuration"
        return [document.problem_at(path, message)]
    return [
        document.problem_at(path, f"is the same token as {'.'.join(paths[0])}")
        for paths in paths_by_digest.values()
        for path in paths[1:]
    ]


def _zone_problems(parsed: ConfigSchema, document: Document) -> list[Problem]:
    problems = []
    for zone_id, zone in parsed.zones.items():
        path = ("zones", zone_id)
        if zone.accelerators_per_worker > zone.accelerators:
            message = f"is more than the zone's {zone.accelerators} accelerators"
            problems.append(document.problem_at((*path, "accelerators_per_worker"), message))
        for index, quiet in enumerate(zone.quiet_hours):
            if quiet.from_ == quiet.to:
                message = 'is the same as from; a whole day is from "00:00" to "24:00"'
                quiet_path = (*path, "quiet_hours", str(index), "to")
                problems.append(document.problem_at(quiet_path, message))
    return problems
