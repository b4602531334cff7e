"""Settings of each process: who it is, where it listens and whom it talks to."""

import ipaddress
from pathlib import Path
from typing import Annotated, Literal, NamedTuple, TypeVar

from pydantic import AfterValidator, Field

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


Name = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$")]
ListenAddress = Annotated[str, AfterValidator(_check_address)]
PeerAddress = Annotated[str, AfterValidator(_check_peer_address)]
Routes = dict[PeerAddress, PeerAddress]
PeerAddresses = Annotated[tuple[PeerAddress, ...], Field(min_length=1)]
StatsdAddress = Annotated[str, AfterValidator(_check_optional_address)]
FleetKey = Annotated[str, Field(min_length=16, max_length=1024)]
LogLevel = Literal["debug", "info", "warning", "error"]
ModuleName = Annotated[str, Field(pattern=r"^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*$")]


class EntryTimes(NamedTuple):
    """Times of an entry; each is a limit that a promise or a timeout rests on."""

    permit_ms: Annotated[Count, Field(ge=200, le=10_000)] = 2_500
    confirm_every_ms: Annotated[Count, Field(ge=20, le=5_000)] = 500
    entry_lease_s: Annotated[Count, Field(ge=1, le=300)] = 5
    worker_lost_after_ms: Annotated[Count, Field(ge=200, le=300_000)] = 4_000
    plan_every_ms: Annotated[Count, Field(ge=10, le=10_000)] = 200
    shutdown_wait_ms: Annotated[Count, Field(ge=0, le=MAX_DAY_MS)] = 30_000


def _check_times(times: EntryTimes) -> EntryTimes:
    if times.confirm_every_ms * 2 > times.permit_ms:
        raise refusal("permit_ms must be at least twice confirm_every_ms")
    return times


class EntrySettings(NamedTuple):
    """Settings of an entry process (`lycheeslip entry`).

    `routes` gives the address to dial for a peer's announced one that can't be dialled as it is.
    """

    node_id: Name
    region: Name
    zone: Name
    http_address: ListenAddress
    session_address: ListenAddress
    store_addresses: PeerAddresses
    fleet_key: FleetKey
    statsd_address: StatsdAddress = ""
    log_level: LogLevel = "info"
    allow_remote_without_tokens: Switch = False
    policy_module: ModuleName = "lycheeslip.policy.plan"
    times: Annotated[Section[EntryTimes], AfterValidator(_check_times)] = EntryTimes()
    routes: Routes = {}


class AgentSettings(NamedTuple):
    """Settings of an agent process (`lycheeslip-agent`)."""

    node_id: Name
    region: Name
    zone: Name
    rack: Name
    address: ListenAddress
    entry_addresses: PeerAddresses
    backend_address: PeerAddress
    fleet_key: FleetKey
    statsd_address: StatsdAddress = ""
    log_level: LogLevel = "info"
    leave_wait_ms: Annotated[Count, Field(ge=0, le=7 * MAX_DAY_MS)] = 3_600_000
    routes: Routes = {}


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
