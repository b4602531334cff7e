"""Settings of the agent, read from a YAML file and checked as a whole."""

from pathlib import Path
from typing import Annotated, NamedTuple

import yaml
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

__all__ = ["AgentSettings", "SettingsError", "load_settings"]

Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Name = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$")]


class AgentSettings(NamedTuple):
    """Settings of one agent.

    `address` is the agent's own listener for gang members; `entry_addresses` are seeds
    where it learns the live entries, such as a balancer. `routes` gives the address to
    dial for an announced one that can't be dialled as it is.
    """

    node_id: Name
    region: Name
    zone: Name
    rack: Name
    address: Address
    entry_addresses: Annotated[tuple[Address, ...], Field(min_length=1)]
    backend_address: Address
    fleet_key: Annotated[str, Field(min_length=16)]
    statsd_address: str = ""
    log_level: str = "info"
    drain_timeout_ms: Annotated[int, Field(ge=0)] = 600_000
    routes: dict[Address, Address] = {}


class SettingsError(ValueError):
    """Settings that can't be used; the message has one line for each fault."""


_adapter = TypeAdapter(AgentSettings, config=ConfigDict(extra="forbid"))


def load_settings(path: Path) -> AgentSettings:
    """Return the settings in the YAML file at `path`; raises SettingsError naming every fault."""
    try:
        document = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(document, dict):
        raise SettingsError(f"{path}: not a mapping of settings")
    try:
        return _adapter.validate_python(document)
    except ValidationError as error:
        faults = [f"{'.'.join(map(str, e['loc']))}: {e['msg']}" for e in error.errors()]
        raise SettingsError("\n".join(faults)) from error
