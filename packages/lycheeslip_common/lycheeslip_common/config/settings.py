"""Settings of each process: its identity, its listeners and the addresses it connects to."""

import ipaddress
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple, TypeVar

from pydantic import AfterValidator, Field

from lycheeslip_common.admission.limits import derive_limits
from lycheeslip_common.config.reference import Display
from lycheeslip_common.config.validation import (
    ProblemsError,
    Section,
    StrictBool,
    StrictInt,
    validate_document,
    validation_error,
)
from lycheeslip_common.config.yaml_lines import Problem, read_yaml

__all__ = [
    "AdmissionSettings",
    "AgentSettings",
    "EntrySettings",
    "EntryTimes",
    "SettingsError",
    "load_settings",
]

MAX_PORT = 65_535
DAY_MS = 86_400_000

Settings = TypeVar("Settings", "EntrySettings", "AgentSettings")


class SettingsError(ProblemsError):
    """A process's settings file is invalid."""


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise validation_error(f"must be IP:PORT such as 127.0.0.1:8080, got {text[:80]!r}")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise validation_error(f"host must be an IP address, got {host[:80]!r}") from None
    return text


def _check_optional_address(text: str) -> str:
    return _check_address(text) if text else text


def _check_peer_address(text: str) -> str:
    if _check_address(text).endswith(":0"):
        raise validation_error("must have a port other than 0")
    return text


Name = Annotated[
    str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$"), Display("name")
]
ListenAddress = Annotated[str, AfterValidator(_check_address), Display("IP:PORT")]
PeerAddress = Annotated[str, AfterValidator(_check_peer_address), Display("IP:PORT")]
Routes = dict[PeerAddress, PeerAddress]
PeerAddresses = Annotated[tuple[PeerAddress, ...], Field(min_length=1), Display("list of IP:PORT")]
StatsdAddress = Annotated[str, AfterValidator(_check_optional_address), Display("IP:PORT")]
FleetKey = Annotated[
    str, Field(min_length=16, max_length=1024), Display("text of at least 16 characters")
]
LogLevel = Literal["debug", "info", "warning", "error"]
ModuleName = Annotated[
    str, Field(pattern=r"^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*$"), Display("module name")
]


def _described_as(text: str) -> Any:
    return Field(description=text)


def _milliseconds_between(minimum: int, maximum: int, description: str) -> Any:
    return Field(ge=minimum, le=maximum, description=description)


class EntryTimes(NamedTuple):
    """Intervals and timeouts of an entry, on which its guarantees depend."""

    permit_ms: Annotated[
        StrictInt,
        _milliseconds_between(
            200, 10_000, "Validity of a zone permit after the store confirms it."
        ),
    ] = 2_500
    confirm_every_ms: Annotated[
        StrictInt, _milliseconds_between(20, 5_000, "Interval between confirmations by the store.")
    ] = 500
    entry_lease_s: Annotated[
        StrictInt,
        Field(ge=1, le=300, description="Lease on the entry's key in the store, in seconds."),
    ] = 5
    worker_lost_after_ms: Annotated[
        StrictInt,
        _milliseconds_between(
            200, 300_000, "Time without a message after which a worker is considered lost."
        ),
    ] = 4_000
    plan_every_ms: Annotated[
        StrictInt,
        _milliseconds_between(10, 10_000, "Interval between planning rounds when nothing changes."),
    ] = 200
    shutdown_wait_ms: Annotated[
        StrictInt,
        _milliseconds_between(0, DAY_MS, "Maximum time that a shutdown waits for open requests."),
    ] = 30_000


def _check_times(times: EntryTimes) -> EntryTimes:
    if times.confirm_every_ms * 2 > times.permit_ms:
        raise validation_error("permit_ms must be at least twice confirm_every_ms")
    return times


SMALLEST = derive_limits()


def _between(minimum: int, maximum: int, description: str) -> Any:
    return Field(ge=minimum, le=maximum, description=description)


class AdmissionSettings(NamedTuple):
    """Limits on what clients may make the process hold; by default for 200 MB, 4,096 descriptors.

    The timeouts are longer than those of `AdmissionLimits`, since this interface publishes none.
    """

    max_held_bytes: Annotated[
        StrictInt,
        _between(
            2_097_152,
            2**40,
            "Bytes of heads, unfinished bodies and queued requests that are held at once.",
        ),
    ] = SMALLEST.max_held_bytes
    max_connections: Annotated[
        StrictInt, _between(16, 1_000_000, "Connections of clients at once.")
    ] = SMALLEST.max_connections
    max_connections_per_address: Annotated[
        StrictInt,
        _between(1, 1_000_000, "Connections of one address while seven eighths of all are in use."),
    ] = SMALLEST.max_connections_per_address
    backlog: Annotated[StrictInt, _between(16, 65_535, "Connections that wait to be accepted.")] = (
        SMALLEST.backlog
    )
    head_timeout_ms: Annotated[
        StrictInt, _milliseconds_between(100, DAY_MS, "Maximum time for receiving a head.")
    ] = 10_000
    body_timeout_ms: Annotated[
        StrictInt, _milliseconds_between(100, DAY_MS, "Maximum time for receiving a body.")
    ] = 60_000
    response_timeout_ms: Annotated[
        StrictInt,
        _milliseconds_between(100, DAY_MS, "Maximum time that a client reads nothing more."),
    ] = 30_000
    idle_timeout_ms: Annotated[
        StrictInt,
        _milliseconds_between(100, DAY_MS, "Time after which an unused connection is closed."),
    ] = 3_600_000
    max_pipelined_requests: Annotated[
        StrictInt, _between(1, 1_000, "Requests that wait behind one of the same connection.")
    ] = SMALLEST.max_pipelined_requests
    max_head_bytes: Annotated[StrictInt, _between(1_024, 1_048_576, "Bytes of a head.")] = (
        SMALLEST.max_head_bytes
    )
    max_head_fields: Annotated[StrictInt, _between(8, 128, "Fields of a head.")] = (
        SMALLEST.max_head_fields
    )
    receive_buffer_bytes: Annotated[
        StrictInt, _between(4_096, 16_777_216, "Size of a connection's receive buffer.")
    ] = SMALLEST.receive_buffer_bytes
    max_unidentified_links: Annotated[
        StrictInt,
        _between(16, 65_535, "Peers at once that have opened a session without authenticating."),
    ] = SMALLEST.max_unidentified_links


class EntrySettings(NamedTuple):
    """Settings of an entry process (`lycheeslip entry`)."""

    node_id: Annotated[Name, _described_as("Unique name of this entry.")]
    region: Annotated[Name, _described_as("Region of the instance.")]
    zone: Annotated[Name, _described_as("Availability zone of the instance.")]
    http_address: Annotated[
        ListenAddress, _described_as("Listen address for callers and operators.")
    ]
    session_address: Annotated[
        ListenAddress, _described_as("Listen address for agents and other entries.")
    ]
    store_addresses: Annotated[PeerAddresses, _described_as("Addresses of the platform's store.")]
    fleet_key: Annotated[
        FleetKey, _described_as("Secret with which entries and agents prove their identity.")
    ]
    statsd_address: Annotated[
        StatsdAddress, _described_as("StatsD address that counters are sent to by UDP.")
    ] = ""
    log_level: Annotated[LogLevel, _described_as("Minimum level that is logged.")] = "info"
    allow_remote_without_tokens: Annotated[
        StrictBool, _described_as("Accept remote requests when no tokens are declared.")
    ] = False
    policy_module: Annotated[
        ModuleName, _described_as("Module whose `plan` function schedules jobs.")
    ] = "lycheeslip.policy.plan"
    times: Annotated[
        Section[EntryTimes],
        AfterValidator(_check_times),
        _described_as("Intervals and timeouts of the entry."),
    ] = EntryTimes()
    admission: Annotated[
        Section[AdmissionSettings], _described_as("Limits on what clients may make it hold.")
    ] = AdmissionSettings()
    routes: Annotated[
        Routes,
        _described_as(
            "Addresses to dial in place of announced ones that can't be dialled directly."
        ),
        Display("mapping of IP:PORT to IP:PORT"),
    ] = {}


class AgentSettings(NamedTuple):
    """Settings of an agent process (`lycheeslip-agent`)."""

    node_id: Annotated[Name, _described_as("Unique name of this worker.")]
    region: Annotated[Name, _described_as("Region of the instance.")]
    zone: Annotated[Name, _described_as("Availability zone of the instance.")]
    rack: Annotated[Name, _described_as("Rack of the instance.")]
    address: Annotated[ListenAddress, _described_as("Listen address for agents of the same gang.")]
    entry_addresses: Annotated[
        PeerAddresses, _described_as("Session addresses of the entries to try first.")
    ]
    backend_address: Annotated[
        PeerAddress, _described_as("Address of this worker's backend server.")
    ]
    fleet_key: Annotated[
        FleetKey, _described_as("Secret with which entries and agents prove their identity.")
    ]
    statsd_address: Annotated[
        StatsdAddress, _described_as("StatsD address that counters are sent to by UDP.")
    ] = ""
    log_level: Annotated[LogLevel, _described_as("Minimum level that is logged.")] = "info"
    drain_timeout_ms: Annotated[
        StrictInt,
        _milliseconds_between(
            0, 7 * DAY_MS, "Maximum time that a stopping agent waits for its tasks."
        ),
    ] = 600_000
    admission: Annotated[
        Section[AdmissionSettings], _described_as("Limits on what clients may make it hold.")
    ] = AdmissionSettings()
    routes: Annotated[
        Routes,
        _described_as(
            "Addresses to dial in place of announced ones that can't be dialled directly."
        ),
        Display("mapping of IP:PORT to IP:PORT"),
    ] = {}


def load_settings(path: str | Path, declaration: type[Settings]) -> Settings:
    """Return the settings in the file at `path`; raises SettingsError that lists all problems."""
    source = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((Problem(source, 1, "", f"can't be read: {error}"),)) from error
    settings, problems = validate_document(read_yaml(text, source), declaration)
    if settings is None or problems:
        raise SettingsError(tuple(problems))
    return settings
