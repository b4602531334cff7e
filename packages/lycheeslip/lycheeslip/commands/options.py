"""Options that hold for every command."""

from enum import StrEnum
from typing import NamedTuple

from lycheeslip.commands.client import EntryClient

__all__ = ["Options", "OutputForm", "open_client"]


class OutputForm(StrEnum):
    """Form in which a command prints its result."""

    TEXT = "text"
    JSON = "json"


class Options(NamedTuple):
    """Which entries to ask, as whom, and how to print."""

    entries: tuple[str, ...]
    token: str = ""
    output: OutputForm = OutputForm.TEXT


def open_client(options: Options) -> EntryClient:
    """Return a client for the entries of `options`, to be used as a context manager."""
    return EntryClient(options.entries, options.token)
