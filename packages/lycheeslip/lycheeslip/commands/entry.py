"""Runs an entry process."""

from pathlib import Path

from lycheeslip_common.config import EntrySettings, SettingsError, load_settings

from lycheeslip.commands.outcomes import CommandError, ExitCode

__all__ = ["run_entry_process"]


def run_entry_process(path: Path) -> int:
    """Check the settings at `path`, then run an entry until it is told to leave."""
    try:
        settings = load_settings(path, EntrySettings)
    except SettingsError as error:
        raise CommandError(str(error), ExitCode.USAGE) from None
    from lycheeslip.app import run_entry

    return run_entry(settings)
