"""Pages of the reference that are generated from the declarations.

`python -m lycheeslip.config.reference configuration` prints a page; a test compares it.
"""

import sys

from lycheeslip_common.config import AgentSettings, EntrySettings
from lycheeslip_common.config.reference import render_sections

from lycheeslip.config.schema import ConfigForm

__all__ = ["configuration_page", "settings_page"]

CONFIGURATION_INTRODUCTION = """\
# Configuration file

Generated from the declaration in `lycheeslip.config.schema`.

Operators write one YAML file and apply it as a whole with `lycheeslip config apply`. A file with
any fault is refused as a whole, with the line and key of every fault. Beyond the ranges below, a
file is refused for an unknown or repeated key, for a YAML alias, for the same token given to two
holders, and for guarantees that the declared hardware can't hold (see
[Guarantees](../operations/guarantees.md)). Plain values follow YAML 1.2: `yes` and `22:00` are
text, and numbers are never read from text. The largest file is 512 KB.
"""

SETTINGS_INTRODUCTION = """\
# Settings of the processes

Generated from the declarations in `lycheeslip_common.config.settings`.

Each process reads one YAML file, named by `--settings`, when it starts. Faults are all reported at
once, with file, line and key, and the process exits with code 2.
"""


def configuration_page() -> str:
    """Return the page docs/reference/configuration.md."""
    return f"{CONFIGURATION_INTRODUCTION}\n{render_sections(ConfigForm, 'Top level')}\n"


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
