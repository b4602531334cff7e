"""Configuration file of the fleet: schema, validation and comparison."""

from lycheeslip.config.loader import MAX_CONFIG_BYTES, ConfigError, parse_config
from lycheeslip.config.model import Account, FleetConfig, Limits, QuietHours, Zone

__all__ = [
    "MAX_CONFIG_BYTES",
    "Account",
    "ConfigError",
    "FleetConfig",
    "Limits",
    "QuietHours",
    "Zone",
    "parse_config",
]
