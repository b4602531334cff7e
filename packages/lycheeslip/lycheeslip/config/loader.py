"""Turns the operators' YAML file into a checked configuration, or says all that is wrong."""

from collections import defaultdict

from lycheeslip_common.config.validation import ProblemsError, validate_document
from lycheeslip_common.config.yaml_lines import Document, Path, Problem, read_yaml
from lycheeslip_common.structure.jobs import Shape

from lycheeslip.config.capacity import find_capacity_problems
from lycheeslip.config.model import Account, FleetConfig, Limits, QuietHours, Zone
from lycheeslip.config.schema import (
    WEEKDAYS,
    AccountForm,
    ConfigForm,
    LimitsForm,
    QuietForm,
    ZoneForm,
)

__all__ = ["MAX_CONFIG_BYTES", "ConfigError", "parse_config"]

MAX_CONFIG_BYTES = 512 * 1024
MILLISECONDS_PER_SECOND = 1_000


class ConfigError(ProblemsError):
    """A configuration was refused; nothing of it is in force."""


def parse_config(text: str, source: str = "config", revision: int = 0) -> FleetConfig:
    """Return the configuration in `text`; raises ConfigError with all problems at once."""
    if len(text.encode("utf-8", "replace")) > MAX_CONFIG_BYTES:
        message = f"the file is larger than {MAX_CONFIG_BYTES} bytes"
        raise ConfigError((Problem(source, 1, "", message),))
    document = read_yaml(text, source)
    form, problems = validate_document(document, ConfigForm)
    if form is None:
        raise ConfigError(tuple(problems))
    config = _build(form, revision)
    problems += _token_problems(form, document)
    problems += _zone_problems(form, document)
    if not problems:
        found = find_capacity_problems(config)
        problems = [document.problem_at(path, message) for path, message in found]
    if problems:
        raise ConfigError(tuple(sorted(problems, key=lambda problem: problem.line)))
    return config


def _build(form: ConfigForm, revision: int) -> FleetConfig:
    return FleetConfig(
        revision=revision,
        accounts_by_id={key: _account(key, item) for key, item in form.accounts.items()},
        zones_by_id={key: _zone(key, item) for key, item in form.zones.items()},
        limits=_limits(form.limits),
        operator_token_sha256=form.operator_token_sha256,
        survive_zone_loss=form.survive_zone_loss,
    )


def _account(account_id: str, form: AccountForm) -> Account:
    guarantee = Shape(*form.guarantee) if form.guarantee is not None else None
    return Account(account_id, guarantee, form.weight, form.token_sha256, form.max_waiting_jobs)


def _zone(zone_id: str, form: ZoneForm) -> Zone:
    return Zone(
        zone_id=zone_id,
        in_service=form.in_service,
        accelerators=form.accelerators,
        accelerators_per_worker=form.accelerators_per_worker,
        workers_per_rack=form.workers_per_rack,
        utc_offset_minutes=form.utc_offset,
        quiet_hours=tuple(_quiet_hours(item) for item in form.quiet_hours),
    )


def _quiet_hours(form: QuietForm) -> QuietHours:
    return QuietHours(
        from_minute=form.from_,
        to_minute=form.to,
        weekdays=tuple(sorted({WEEKDAYS.index(day) for day in form.days})),
        max_busy_per_rack=form.max_busy_per_rack,
        throttle=form.throttle,
        urgent_exempt=form.urgent_exempt,
    )


def _limits(form: LimitsForm) -> Limits:
    return Limits(
        reclaim_grace_ms=form.reclaim_grace,
        task_lease_ms=form.task_lease,
        gang_lease_ms=form.gang_lease,
        max_waiting_jobs=form.max_waiting_jobs,
        max_attempts=form.max_attempts,
        retry_budget_ratio=form.retry_budget_ratio,
        answer_retention_s=form.answer_retention // MILLISECONDS_PER_SECOND,
    )


def _token_problems(form: ConfigForm, document: Document) -> list[Problem]:
    paths_by_digest: dict[str, list[Path]] = defaultdict(list)
    paths_by_digest[form.operator_token_sha256].append(("operator_token_sha256",))
    for account_id, account in form.accounts.items():
        paths_by_digest[account.token_sha256].append(("accounts", account_id, "token_sha256"))
    paths_by_digest.pop("", None)
    if paths_by_digest and not form.operator_token_sha256:
        path = next(iter(paths_by_digest.values()))[0]
        message = "needs operator_token_sha256 too, or nobody can apply the next configuration"
        return [document.problem_at(path, message)]
    return [
        document.problem_at(path, f"is the same token as {'.'.join(paths[0])}")
        for paths in paths_by_digest.values()
        for path in paths[1:]
    ]


def _zone_problems(form: ConfigForm, document: Document) -> list[Problem]:
    problems = []
    for zone_id, zone in form.zones.items():
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
