"""Command that runs an entry process."""

from pathlib import Path

from lycheeslip_common.config import EntrySettings, SettingsError, load_settings

from lycheeslip.commands.outcomes import CommandError, ExitCode

__all__ = ["run_entry_process"]


def run_entry_process(path: Path) -> int:
    """Load the settings at `path` and run an entry until it is signalled to stop."""
    try:
        settings = load_settings(path, EntrySettings)
    except SettingsError as error:
        raise CommandError(str(error), ExitCode.USAGE) from None
    from lycheeslip.app import run_entry

    return run_entry(settings)
