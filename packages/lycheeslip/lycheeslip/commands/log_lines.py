"""Reads the log lines that the processes of a deployment wrote."""

import re
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from lycheeslip.commands.outcomes import CommandError, ExitCode

__all__ = ["LogLine", "job_of", "read_log", "read_logs"]

LINE = re.compile(r"time=(?P<time>\S+) level=\w+ event=(?P<event>\w+)(?P<fields>.*)")
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')


class LogLine(NamedTuple):
    """A log line; `at_s` is Unix time, `origin` what stands before it, as the process's name."""

    at_s: float
    event: str
    fields: dict[str, str]
    origin: str


def read_log(path: Path) -> Iterator[LogLine]:
    """Iterate over the lines of a log, without those of other formats; raises CommandError."""
    try:
        with path.open(encoding="utf-8", errors="replace") as log:
            for text in log:
                match = LINE.search(text)
                if match is not None:
                    fields = {
                        key: value.strip('"') for key, value in FIELD.findall(match["fields"])
                    }
                    at_s = datetime.fromisoformat(match["time"]).timestamp()
                    yield LogLine(at_s, match["event"], fields, text[: match.start()].strip())
    except (OSError, ValueError) as error:
        raise CommandError(f"{path} can't be read: {error}", ExitCode.USAGE) from error


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of all logs in the order of their times; raises CommandError."""
    lines = [line for path in paths for line in read_log(path)]
    return sorted(lines, key=lambda line: line.at_s)


def job_of(line: LogLine) -> str:
    """Return the id of the job that a line is about, or an empty string."""
    fields = line.fields
    if "job" in fields:
        return fields["job"]
    if "task" in fields:
        return fields["task"].partition(".")[0]
    return fields.get("path", "").rpartition("/")[2]
