"""Generates the reference pages of the configuration file and of the settings.

`python -m lycheeslip.config.reference configuration` prints a page; a test checks that the
committed page is up to date.
"""

import sys

from lycheeslip_common.config import AgentSettings, EntrySettings
from lycheeslip_common.config.reference import render_sections

from lycheeslip.config.schema import ConfigSchema

__all__ = ["configuration_page", "settings_page"]

CONFIGURATION_INTRODUCTION = """\
# Configuration file

Generated from the schema in `lycheeslip.config.schema`.

Operators write one YAML file and apply it as a whole with `lycheeslip config apply`. A file with
any error is rejected as a whole, with the line and key of every error. Besides values outside the
ranges below, errors are unknown or repeated keys, YAML aliases, the same token for two accounts or
for an account and the operators, and guarantees that the declared hardware can't satisfy (see
[Guarantees](../operations/guarantees.md)). Plain values follow YAML 1.2: `yes` and `22:00` are
text, and text is never converted to numbers. The maximum file size is 512 KB.

A file without errors may still have keys that never take effect, or limits that contradict each
other. `lycheeslip config check` finds them; see its
[findings](cli.md#findings-of-config-check).
"""

SETTINGS_INTRODUCTION = """\
# Settings of the processes

Generated from the schemas in `lycheeslip_common.config.settings`.

Each process reads one YAML file, given by `--settings`, when it starts. All errors are reported at
once, with file, line and key, and the process exits with code 2.
"""


def configuration_page() -> str:
    """Return the page docs/reference/configuration.md."""
    return f"{CONFIGURATION_INTRODUCTION}\n{render_sections(ConfigSchema, 'Top level')}\n"


def settings_page() -> str:
    """Return the page docs/reference/settings.md."""
    entry = render_sections(EntrySettings, "Entry")
    agent = render_sections(AgentSettings, "Agent")
    return f"{SETTINGS_INTRODUCTION}\n{entry}\n{agent}"


def _main(page: str) -> None:
    text = {"configuration": configuration_page, "settings": settings_page}[page]()
    sys.stdout.write(text)


if __name__ == "__main__":
    _main(sys.argv[1])
