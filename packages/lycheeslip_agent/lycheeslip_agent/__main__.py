"""Command line of the agent."""

import sys
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from lycheeslip_common.config import AgentSettings, SettingsError, load_settings
from lycheeslip_common.utils.logs import configure_logs

from lycheeslip_agent.app import Agent

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2


async def _run(settings: AgentSettings) -> None:
    await Agent(settings).run()


def _command(
    settings: Annotated[Path, typer.Option(help="YAML file with the agent's settings")],
) -> None:
    """Run the agent of one backend server until SIGTERM or SIGINT."""
    try:
        loaded = load_settings(settings, AgentSettings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
    configure_logs(loaded.log_level)
    uvloop.run(_run(loaded))


def main() -> None:
    """Run the command line."""
    typer.run(_command)


if __name__ == "__main__":
    main()
