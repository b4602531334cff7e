"""Structured logging: one line of key=value pairs per event."""

import logging as standard_logging
import sys
from typing import Protocol

from absl import flags, logging

__all__ = ["configure_logs", "log_event", "log_warning"]

LINE_FORMAT = "time=%(asctime)s.%(msecs)03d level=%(levelname)s %(message)s"
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
ABSL_ARGV = ("lycheeslip",)
NOISY_LIBRARIES = ("websockets", "aiohttp", "asyncio")


class SupportsWrite(Protocol):
    """A text stream that log handlers can write to."""

    def write(self, text: str, /) -> int:
        """Write `text` and return its length."""

    def flush(self) -> None:
        """Write out buffered text."""


def configure_logs(verbosity: str = "info", stream: SupportsWrite | None = None) -> None:
    """Log at `verbosity` (debug, info, warning, error) to `stream`, by default standard error."""
    flags.FLAGS(ABSL_ARGV)
    logging.use_absl_handler()
    handler = logging.get_absl_handler().python_handler
    handler.stream = stream or sys.stderr
    handler.setFormatter(standard_logging.Formatter(LINE_FORMAT, TIME_FORMAT))
    logging.set_verbosity(verbosity)
    for library in NOISY_LIBRARIES:
        standard_logging.getLogger(library).setLevel(standard_logging.WARNING)


def _format(event: str, fields: dict[str, object]) -> str:
    pairs = [f"event={event}"]
    for key, value in fields.items():
        text = str(value).replace("\n", "\\n")
        pairs.append(f'{key}="{text}"' if " " in text or not text else f"{key}={text}")
    return " ".join(pairs)


def log_event(event: str, **fields: object) -> None:
    """Log `event` with its `fields` at level info."""
    logging.info("%s", _format(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Log `event` with its `fields` at level warning."""
    logging.warning("%s", _format(event, fields))
