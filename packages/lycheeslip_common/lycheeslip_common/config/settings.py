"""Settings of each process: who it is, where it listens and whom it talks to."""

import ipaddress
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple, TypeVar

from pydantic import AfterValidator, Field

from lycheeslip_common.config.reference import Shown
from lycheeslip_common.config.validation import (
    Count,
    ProblemsError,
    Section,
    Switch,
    refusal,
    validate_document,
)
from lycheeslip_common.config.yaml_lines import Problem, read_yaml

__all__ = ["AgentSettings", "EntrySettings", "EntryTimes", "SettingsError", "load_settings"]

MAX_PORT = 65_535
MAX_DAY_MS = 86_400_000

Settings = TypeVar("Settings", "EntrySettings", "AgentSettings")


class SettingsError(ProblemsError):
    """The settings file of a process was refused."""


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise refusal(f"must be IP:PORT such as 127.0.0.1:8080, got {text[:80]!r}")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise refusal(f"must name its host by IP number, got {host[:80]!r}") from None
    return text


def _check_optional_address(text: str) -> str:
    return _check_address(text) if text else text


def _check_peer_address(text: str) -> str:
    if _check_address(text).endswith(":0"):
        raise refusal("must name a port other than 0")
    return text


Name = Annotated[
    str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$"), Shown("name")
]
ListenAddress = Annotated[str, AfterValidator(_check_address), Shown("IP:PORT")]
PeerAddress = Annotated[str, AfterValidator(_check_peer_address), Shown("IP:PORT")]
Routes = dict[PeerAddress, PeerAddress]
PeerAddresses = Annotated[tuple[PeerAddress, ...], Field(min_length=1), Shown("list of IP:PORT")]
StatsdAddress = Annotated[str, AfterValidator(_check_optional_address), Shown("IP:PORT")]
FleetKey = Annotated[
    str, Field(min_length=16, max_length=1024), Shown("text of at least 16 characters")
]
LogLevel = Literal["debug", "info", "warning", "error"]
ModuleName = Annotated[str, Field(pattern=r"^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*$"), Shown("module name")]


def _means(text: str) -> Any:
    return Field(description=text)


def _milliseconds(least: int, most: int, meaning: str) -> Any:
    return Field(ge=least, le=most, description=meaning)


class EntryTimes(NamedTuple):
    """Times of an entry; a promise or a timeout rests on each."""

    permit_ms: Annotated[
        Count,
        _milliseconds(200, 10_000, "How long a zone permit lasts after the store confirmed it."),
    ] = 2_500
    confirm_every_ms: Annotated[
        Count, _milliseconds(20, 5_000, "Time between two confirmations by the store.")
    ] = 500
    entry_lease_s: Annotated[
        Count, Field(ge=1, le=300, description="Lease of the entry's key in the store, in seconds.")
    ] = 5
    worker_lost_after_ms: Annotated[
        Count, _milliseconds(200, 300_000, "Silence after which a worker counts as lost.")
    ] = 4_000
    plan_every_ms: Annotated[
        Count, _milliseconds(10, 10_000, "Time between two planning rounds without a change.")
    ] = 200
    shutdown_wait_ms: Annotated[
        Count, _milliseconds(0, MAX_DAY_MS, "How long a shutdown waits for open requests.")
    ] = 30_000


def _check_times(times: EntryTimes) -> EntryTimes:
    if times.confirm_every_ms * 2 > times.permit_ms:
        raise refusal("permit_ms must be at least twice confirm_every_ms")
    return times


class EntrySettings(NamedTuple):
    """Settings of an entry process (`lycheeslip entry`)."""

    node_id: Annotated[Name, _means("Name of this entry, unlike every other.")]
    region: Annotated[Name, _means("Region that the instance is in.")]
    zone: Annotated[Name, _means("Availability zone that the instance is in.")]
    http_address: Annotated[ListenAddress, _means("Listener for callers and operators.")]
    session_address: Annotated[ListenAddress, _means("Listener for agents and other entries.")]
    store_addresses: Annotated[PeerAddresses, _means("Addresses of the platform's store.")]
    fleet_key: Annotated[FleetKey, _means("Secret that entries and agents prove to each other.")]
    statsd_address: Annotated[StatsdAddress, _means("Where counters are sent by UDP.")] = ""
    log_level: Annotated[LogLevel, _means("Least level that is logged.")] = "info"
    allow_remote_without_tokens: Annotated[
        Switch, _means("Serve other machines although no tokens are declared.")
    ] = False
    policy_module: Annotated[ModuleName, _means("Module whose `plan` decides.")] = (
        "lycheeslip.policy.plan"
    )
    times: Annotated[
        Section[EntryTimes], AfterValidator(_check_times), _means("Times of the entry.")
    ] = EntryTimes()
    routes: Annotated[
        Routes,
        _means("Addresses to dial for announced ones that can't be dialled as they are."),
        Shown("mapping of IP:PORT to IP:PORT"),
    ] = {}


class AgentSettings(NamedTuple):
    """Settings of an agent process (`lycheeslip-agent`)."""

    node_id: Annotated[Name, _means("Name of this worker, unlike every other.")]
    region: Annotated[Name, _means("Region that the instance is in.")]
    zone: Annotated[Name, _means("Availability zone that the instance is in.")]
    rack: Annotated[Name, _means("Rack that the instance is in.")]
    address: Annotated[ListenAddress, _means("Listener for agents of the same gang.")]
    entry_addresses: Annotated[PeerAddresses, _means("Session listeners of entries to try first.")]
    backend_address: Annotated[PeerAddress, _means("Address of this worker's backend server.")]
    fleet_key: Annotated[FleetKey, _means("Secret that entries and agents prove to each other.")]
    statsd_address: Annotated[StatsdAddress, _means("Where counters are sent by UDP.")] = ""
    log_level: Annotated[LogLevel, _means("Least level that is logged.")] = "info"
    drain_timeout_ms: Annotated[
        Count, _milliseconds(0, 7 * MAX_DAY_MS, "How long a leaving agent waits for its tasks.")
    ] = 600_000
    routes: Annotated[
        Routes,
        _means("Addresses to dial for announced ones that can't be dialled as they are."),
        Shown("mapping of IP:PORT to IP:PORT"),
    ] = {}


def load_settings(path: str | Path, declaration: type[Settings]) -> Settings:
    """Return the settings in the file at `path`; raises SettingsError with all problems."""
    source = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((Problem(source, 1, "", f"can't be read: {error}"),)) from error
    settings, problems = validate_document(read_yaml(text, source), declaration)
    if settings is None or problems:
        raise SettingsError(tuple(problems))
    return settings
