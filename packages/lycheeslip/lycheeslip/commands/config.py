"""Commands for the configuration of the fleet."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import quote

from lycheeslip.commands.client import EntryClient
from lycheeslip.commands.options import Options, OutputFormat, open_client
from lycheeslip.commands.outcomes import (
    CommandError,
    ExitCode,
    Outcome,
    Refusal,
    Reply,
    Unreachable,
    command_error,
)
from lycheeslip.commands.render import format_time, print_json, print_result, print_table
from lycheeslip.config.diff import Change, describe_changes
from lycheeslip.config.loader import (
    ConfigError,
    LocatedConfig,
    parse_config,
    parse_located_config,
)
from lycheeslip.config.model import FleetConfig
from lycheeslip.config_checks import Finding, Severity, find_change_findings, find_findings

__all__ = [
    "Baseline",
    "FileBaseline",
    "InForceBaseline",
    "apply_config",
    "check_config",
    "diff_config",
    "show_config",
    "show_history",
]

CONFIG_PATH = "/v1/config"
PRECONDITION_FAILED_STATUS = 412


@dataclass(frozen=True, slots=True)
class InForceBaseline:
    """Compare with the active configuration, which an entry returns."""


@dataclass(frozen=True, slots=True)
class FileBaseline:
    """Compare with a file."""

    path: Path


Baseline = InForceBaseline | FileBaseline


class _CurrentConfig(NamedTuple):
    revision: int
    text: str
    applied_at_ms: int


async def check_config(options: Options, path: Path, baseline: Baseline | None) -> ExitCode:
    """Check a file, and its differences from `baseline`; print problems with line and key.

    An entry is contacted only for the active configuration.
    """
    try:
        after = parse_located_config(_read_file(path), source=str(path))
    except ConfigError as error:
        if options.output is OutputFormat.JSON:
            problems = [problem._asdict() for problem in error.problems]
            print_json({"accepted": False, "problems": problems, "findings": []})
        raise CommandError(str(error), ExitCode.REFUSED) from None
    findings = find_findings(after)
    if baseline is None:
        _print_check(options, after, findings, None)
    else:
        before = await _read_baseline(options, baseline)
        findings += find_change_findings(before, after)
        _print_check(options, after, findings, describe_changes(before.config, after.config))
    failed = any(finding.severity is Severity.ERROR for finding in findings)
    return ExitCode.REFUSED if failed else ExitCode.OK


async def diff_config(options: Options, path: Path, against: Path | None) -> ExitCode:
    """Print how `path` differs from the file `against`, or else the active configuration."""
    after = _parse_file(path)
    baseline = InForceBaseline() if against is None else FileBaseline(against)
    before = await _read_baseline(options, baseline)
    changes = describe_changes(before.config, after)
    _print_changes(options, changes)
    return ExitCode.OK


async def apply_config(
    options: Options, path: Path, expected: int | None, without: str = ""
) -> ExitCode:
    """Replace the configuration if its revision is the expected one (default: the current one).

    `without` is a comma-separated list of entries whose instances are known to have stopped.
    """
    text = _read_file(path)
    after = _parse_file(path)
    async with open_client(options) as client:
        current = await _fetch_current(client)
        expected_revision = current.revision if expected is None else expected
        outcome = await _put_config(client, text, expected_revision, without)
        result = await _resolve_apply_outcome(client, outcome, text, expected_revision)
    changes = describe_changes(_parse_current(current), after)
    document = {
        "revision": result["revision"],
        "confirmed_by": result["confirmed_by"],
        "changes": [str(change) for change in changes],
    }
    print_result(options.output, document, _apply_summary(document))
    return ExitCode.OK


async def show_config(options: Options) -> ExitCode:
    """Print the active configuration."""
    async with open_client(options) as client:
        current = await _fetch_current(client)
    heading = f"# revision {current.revision}, applied {format_time(current.applied_at_ms)}"
    print_result(options.output, current._asdict(), [heading, current.text.rstrip("\n")])
    return ExitCode.OK


async def show_history(options: Options) -> ExitCode:
    """Print the applied revisions."""
    async with open_client(options) as client:
        outcome = await client.call("GET", "/v1/config/history")
    if not isinstance(outcome, Reply):
        raise command_error(outcome)
    if options.output is OutputFormat.JSON:
        print_json(outcome.document)
        return ExitCode.OK
    print_table(
        "Configurations",
        ("revision", "applied", "digest"),
        (
            (item["revision"], format_time(item["applied_at_ms"]), item.get("digest", "-"))
            for item in outcome.document["items"]
        ),
    )
    return ExitCode.OK


def _read_file(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: can't be read: {error}", ExitCode.USAGE) from error


def _parse_file(path: Path) -> FleetConfig:
    return _parse_text(_read_file(path), source=str(path)).config


def _parse_text(text: str, source: str) -> LocatedConfig:
    try:
        return parse_located_config(text, source)
    except ConfigError as error:
        raise CommandError(str(error), ExitCode.REFUSED) from None


async def _read_baseline(options: Options, baseline: Baseline) -> LocatedConfig:
    match baseline:
        case FileBaseline(path):
            return _parse_text(_read_file(path), source=str(path))
        case InForceBaseline():
            async with open_client(options) as client:
                current = await _fetch_current(client)
            return _parse_text(current.text, source=f"revision {current.revision}")


def _parse_current(current: _CurrentConfig) -> FleetConfig:
    try:
        return parse_config(current.text, revision=current.revision)
    except ConfigError:
        return FleetConfig(revision=current.revision)


async def _fetch_current(client: EntryClient) -> _CurrentConfig:
    outcome = await client.call("GET", CONFIG_PATH)
    if not isinstance(outcome, Reply):
        raise command_error(outcome)
    document = outcome.document
    return _CurrentConfig(document["revision"], document["text"], document["applied_at_ms"])


async def _put_config(
    client: EntryClient, text: str, expected_revision: int, without: str
) -> Outcome:
    headers = {"If-Match": f'"{expected_revision}"', "Content-Type": "application/yaml"}
    path = f"{CONFIG_PATH}?without={quote(without)}" if without else CONFIG_PATH
    return await client.call("PUT", path, body=text.encode(), headers=headers)


async def _resolve_apply_outcome(
    client: EntryClient, outcome: Outcome, text: str, expected_revision: int
) -> Mapping[str, Any]:
    """Return the result of an apply; if the response was lost, check whether it took effect."""
    if isinstance(outcome, Reply):
        return outcome.document
    lost_response = isinstance(outcome, Unreachable) and outcome.may_have_run
    conflict = isinstance(outcome, Refusal) and outcome.status == PRECONDITION_FAILED_STATUS
    if lost_response or (conflict and isinstance(outcome, Refusal) and outcome.may_have_run):
        current = await _fetch_current(client)
        if current.revision > expected_revision and current.text == text:
            return {"revision": current.revision, "confirmed_by": []}
    raise command_error(outcome)


def _print_changes(options: Options, changes: list[Change]) -> None:
    document = {"changes": [change._asdict() for change in changes]}
    lines = [str(change) for change in changes] or ["no changes"]
    print_result(options.output, document, lines)


def _print_check(
    options: Options,
    located: LocatedConfig,
    findings: list[Finding],
    changes: list[Change] | None,
) -> None:
    """Print findings, and the changes if the file was compared, with the codes about each."""
    document: dict[str, object] = {"accepted": True, "problems": []}
    document["findings"] = [finding._asdict() for finding in findings]
    lines = []
    if changes is not None:
        codes = [_codes_about(change, findings) for change in changes]
        document["changes"] = [
            change._asdict() | {"attention": about}
            for change, about in zip(changes, codes, strict=True)
        ]
        lines += [
            f"{change} [{', '.join(about)}]" if about else str(change)
            for change, about in zip(changes, codes, strict=True)
        ] or ["no changes"]
    lines += [str(finding) for finding in findings]
    lines.append(_check_summary(located, findings))
    print_result(options.output, document, lines)


def _codes_about(change: Change, findings: list[Finding]) -> list[str]:
    """Return the codes of the findings about a changed key, or about its top-level section."""
    section = change.key.partition(".")[0]
    return [finding.code for finding in findings if finding.key in (change.key, section)]


def _check_summary(located: LocatedConfig, findings: list[Finding]) -> str:
    accounts, zones = len(located.config.accounts_by_id), len(located.config.zones_by_id)
    errors = sum(finding.severity is Severity.ERROR for finding in findings)
    warnings = len(findings) - errors
    counts = f"{_counted(errors, 'error')}, {_counted(warnings, 'warning')}"
    result = counts if findings else "ok"
    return f"{located.document.source}: {accounts} accounts, {zones} zones, {result}"


def _counted(number: int, noun: str) -> str:
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


def _apply_summary(document: Mapping[str, Any]) -> Iterator[str]:
    yield from document["changes"] or ["no changes"]
    confirmed = ", ".join(document["confirmed_by"]) or "not yet known"
    yield f"revision {document['revision']} in force; confirmed by entries: {confirmed}"
