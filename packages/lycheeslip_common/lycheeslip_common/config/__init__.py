"""Process settings, and a YAML reader that records line numbers."""

from lycheeslip_common.config.settings import (
    AgentSettings,
    EntrySettings,
    EntryTimes,
    SettingsError,
    load_settings,
)
from lycheeslip_common.config.validation import ProblemsError
from lycheeslip_common.config.yaml_lines import Problem

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "EntryTimes",
    "Problem",
    "ProblemsError",
    "SettingsError",
    "load_settings",
]
