"""Options shared by all commands."""

from enum import StrEnum
from typing import NamedTuple

from lycheeslip.commands.client import EntryClient

__all__ = ["Options", "OutputFormat", "open_client"]


class OutputFormat(StrEnum):
    """Format in which a command prints its result."""

    TEXT = "text"
    JSON = "json"


class Options(NamedTuple):
    """Entry addresses, bearer token and output format."""

    entries: tuple[str, ...]
    token: str = ""
    output: OutputFormat = OutputFormat.TEXT


def open_client(options: Options) -> EntryClient:
    """Return a client for the entries in `options`, an async context manager."""
    return EntryClient(options.entries, options.token)
