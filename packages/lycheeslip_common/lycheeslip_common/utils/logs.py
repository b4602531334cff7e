"""Structured logs: one line of key=value pairs for each event."""

import sys

from absl import logging

__all__ = ["configure_logs", "log_event", "log_warning"]


def configure_logs(verbosity: str = "info") -> None:
    """Send logs of `verbosity` (debug, info, warning, error) to standard error."""
    logging.use_absl_handler()
    logging.get_absl_handler().python_handler.stream = sys.stderr
    logging.set_verbosity(verbosity)


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
