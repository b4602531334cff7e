"""Outcomes of a request to an entry and the exit codes they map to."""

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
    "command_error",
    "job_exit_code",
    "most_severe_exit_code",
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
    """A successful response of an entry."""

    status: int
    body: bytes
    document: Any = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refusal:
    """An entry responded with problem details."""

    status: int
    reason: str
    detail: str
    may_have_run: bool = False
    retry_at_ms: int = 0
    errors: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No complete response; `may_have_run` if an entry may have received the request."""

    detail: str
    may_have_run: bool


Outcome = Reply | Refusal | Unreachable


class CommandError(Exception):
    """Ends a command with a message and an exit code."""

    def __init__(self, message: str, code: ExitCode) -> None:
        """Store the exit code with the message."""
        super().__init__(message)
        self.code = code


def command_error(outcome: Refusal | Unreachable) -> CommandError:
    """Return the error to raise for an unsuccessful outcome."""
    match outcome:
        case Unreachable(detail, may_have_run):
            code = ExitCode.UNKNOWN if may_have_run else ExitCode.UNREACHABLE
            effect = "the request may have taken effect" if may_have_run else "nothing was done"
            return CommandError(f"no entry responded, {effect}: {detail}", code)
        case Refusal(status, reason, detail, may_have_run):
            message = "\n".join((f"{reason}: {detail}" if detail else reason, *outcome.errors))
            if status in CONFLICT_STATUSES and not may_have_run:
                return CommandError(message, ExitCode.CONFLICT)
            return CommandError(message, ExitCode.UNKNOWN if may_have_run else ExitCode.REFUSED)


def job_exit_code(document: Mapping[str, Any]) -> ExitCode:
    """Return the exit code for a job document; a job that is not done is not a failure."""
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


def most_severe_exit_code(codes: list[ExitCode]) -> ExitCode:
    """Return the most severe of several exit codes, in the order of SEVERITY.

    UNKNOWN outweighs all others, since the job may have run.
    """
    return max(codes, key=SEVERITY.index, default=ExitCode.OK)
