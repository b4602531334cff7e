"""Commands for the configuration of the fleet."""

from collections.abc import Iterator, Mapping
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
from lycheeslip.config.loader import ConfigError, parse_config
from lycheeslip.config.model import FleetConfig

__all__ = ["apply_config", "check_config", "diff_config", "show_config", "show_history"]

CONFIG_PATH = "/v1/config"
PRECONDITION_FAILED_STATUS = 412


class _CurrentConfig(NamedTuple):
    revision: int
    text: str
    applied_at_ms: int


def check_config(options: Options, path: Path) -> ExitCode:
    """Check a file without contacting an entry; print all problems with line and key."""
    try:
        text = _read_file(path)
        config = parse_config(text, source=str(path))
    except ConfigError as error:
        if options.output is OutputFormat.JSON:
            problems = [problem._asdict() for problem in error.problems]
            print_json({"accepted": False, "problems": problems})
        raise CommandError(str(error), ExitCode.REFUSED) from None
    document = {"accepted": True, "problems": []}
    summary = f"{path}: {len(config.accounts_by_id)} accounts, {len(config.zones_by_id)} zones, ok"
    print_result(options.output, document, [summary])
    return ExitCode.OK


async def diff_config(options: Options, path: Path, against: Path | None) -> ExitCode:
    """Print how `path` differs from the file `against`, or else the active configuration."""
    after = _parse_file(path)
    if against is not None:
        before = _parse_file(against)
    else:
        async with open_client(options) as client:
            current = await _fetch_current(client)
        before = parse_config(current.text, source=f"revision {current.revision}")
    changes = describe_changes(before, after)
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
    try:
        return parse_config(_read_file(path), source=str(path))
    except ConfigError as error:
        raise CommandError(str(error), ExitCode.REFUSED) from None


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


def _apply_summary(document: Mapping[str, Any]) -> Iterator[str]:
    yield from document["changes"] or ["no changes"]
    confirmed = ", ".join(document["confirmed_by"]) or "not yet known"
    yield f"revision {document['revision']} in force; confirmed by entries: {confirmed}"
