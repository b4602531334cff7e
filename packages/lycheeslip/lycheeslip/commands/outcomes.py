"""Outcomes of a call to an entry, and the exit codes that they turn into."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

__all__ = [
    "CommandError",
    "ExitCode",
    "Outcome",
    "Refusal",
    "Reply",
    "Unreachable",
    "error_of",
    "exit_code_of_job",
    "worst_exit_code",
]

CONFLICT_STATUSES = (409, 412)


class ExitCode(IntEnum):
    """Exit codes of the command line, as docs/reference/cli.md documents them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    CONFLICT = 5
    UNREACHABLE = 6


SEVERITY = (
    ExitCode.OK,
    ExitCode.REFUSED,
    ExitCode.UNREACHABLE,
    ExitCode.CONFLICT,
    ExitCode.FAILED,
    ExitCode.USAGE,
    ExitCode.UNKNOWN,
)


@dataclass(frozen=True, slots=True)
class Reply:
    """An entry did what was asked."""

    status: int
    body: bytes
    document: Any = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refusal:
    """An entry answered with problem details."""

    status: int
    reason: str
    detail: str
    may_have_run: bool = False
    retry_at_ms: int = 0
    errors: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry gave a whole answer; `may_have_run` if one may have received the request."""

    detail: str
    may_have_run: bool


Outcome = Reply | Refusal | Unreachable


class CommandError(Exception):
    """Ends a command with a message and an exit code."""

    def __init__(self, message: str, code: ExitCode) -> None:
        """Keep the exit code beside the message."""
        super().__init__(message)
        self.code = code


def error_of(outcome: Refusal | Unreachable) -> CommandError:
    """Return the error that ends a command after `outcome`."""
    match outcome:
        case Unreachable(detail, may_have_run):
            code = ExitCode.UNKNOWN if may_have_run else ExitCode.UNREACHABLE
            ran = "the request may have taken effect" if may_have_run else "nothing was done"
            return CommandError(f"no entry answered, {ran}: {detail}", code)
        case Refusal(status, reason, detail, may_have_run):
            message = "\n".join((f"{reason}: {detail}" if detail else reason, *outcome.errors))
            if status in CONFLICT_STATUSES and not may_have_run:
                return CommandError(message, ExitCode.CONFLICT)
            return CommandError(message, ExitCode.UNKNOWN if may_have_run else ExitCode.REFUSED)


def exit_code_of_job(document: Mapping[str, Any]) -> ExitCode:
    """Return the exit code for a job document; a job that isn't done yet is no failure."""
    verdict = document.get("verdict")
    if verdict is None:
        return ExitCode.OK
    match verdict["tag"], verdict["may_have_run"]:
        case "answered", _:
            return ExitCode.OK
        case "unknown", _:
            return ExitCode.UNKNOWN
        case _, True:
            return ExitCode.FAILED
        case _:
            return ExitCode.REFUSED


def worst_exit_code(codes: list[ExitCode]) -> ExitCode:
    """Return the gravest of several exit codes: that a job may have run outweighs all."""
    return max(codes, key=SEVERITY.index, default=ExitCode.OK)
