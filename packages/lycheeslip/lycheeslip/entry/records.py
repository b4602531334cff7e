"""Keys in the platform's store and the JSON encoding of their values."""

import json
from typing import Any

from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.structure.jobs import JobRecord
from lycheeslip_common.utils.usable import (
    check_numbers,
    is_usable_address,
    parse_json,
    shorten,
)
from pydantic import TypeAdapter
from typing_extensions import TypedDict

__all__ = [
    "ANSWER_CHUNK_BYTES",
    "CONFIG_KEY",
    "ENTRY_PREFIX",
    "HISTORY_PREFIX",
    "HOLDER_PREFIX",
    "HOMES_KEY",
    "JOB_PREFIX",
    "STATE_PREFIX",
    "StoredConfig",
    "StoredHomes",
    "answer_key",
    "decode_config",
    "decode_entry",
    "decode_homes",
    "decode_job",
    "encode_config",
    "encode_entry",
    "encode_homes",
    "encode_job",
    "history_key",
    "job_key",
]

ROOT = "lycheeslip/"
STATE_PREFIX = ROOT + "state/"
CONFIG_KEY = STATE_PREFIX + "config"
HOMES_KEY = STATE_PREFIX + "homes"
ENTRY_PREFIX = STATE_PREFIX + "entries/"
HOLDER_PREFIX = STATE_PREFIX + "holders/"
JOB_PREFIX = STATE_PREFIX + "jobs/"
HISTORY_PREFIX = ROOT + "history/"
ANSWER_PREFIX = ROOT + "answers/"
ANSWER_CHUNK_BYTES = 512 * 1024


class StoredConfig(TypedDict):
    """Value of CONFIG_KEY and of a history key.

    `writer` identifies the write after a lost response: a random id, or "republished".
    """

    revision: int
    text: str
    applied_at_ms: int
    writer: str


class StoredHomes(TypedDict):
    """Value of HOMES_KEY; `homes` maps a worker id to one account per accelerator."""

    version: int
    homes: dict[str, tuple[str, ...]]


_job_adapter = TypeAdapter(JobRecord)
_config_adapter = TypeAdapter(StoredConfig)
_homes_adapter = TypeAdapter(StoredHomes)
_entry_adapter = TypeAdapter(EntryInfo)


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOB_PREFIX + job_id


def answer_key(job_id: str, attempt: int, chunk: int) -> str:
    """Return the key of one chunk of an attempt's answer."""
    return f"{ANSWER_PREFIX}{job_id}/{attempt}/{chunk:04d}"


def history_key(revision: int) -> str:
    """Return the history key of configuration `revision`."""
    return f"{HISTORY_PREFIX}{revision:010d}"


def encode_job(record: JobRecord) -> bytes:
    """Encode a job record as JSON."""
    return _job_adapter.dump_json(record)


def decode_job(value: bytes) -> JobRecord:
    """Decode a job record; raises ValueError."""
    return _decode(_job_adapter, value)


def encode_config(stored: StoredConfig) -> bytes:
    """Encode a stored configuration as JSON."""
    return json.dumps(stored).encode()


def decode_config(value: bytes) -> StoredConfig:
    """Decode a stored configuration; raises ValueError."""
    return _decode(_config_adapter, value)


def encode_homes(stored: StoredHomes) -> bytes:
    """Encode a home map as JSON."""
    return json.dumps(stored).encode()


def decode_homes(value: bytes) -> StoredHomes:
    """Decode a home map; raises ValueError."""
    return _decode(_homes_adapter, value)


def encode_entry(info: EntryInfo) -> bytes:
    """Encode the description of an entry as JSON."""
    return json.dumps(info._asdict()).encode()


def decode_entry(value: bytes) -> EntryInfo:
    """Decode the description of an entry; raises ValueError, also if it can't be dialled."""
    info: EntryInfo = _decode(_entry_adapter, value)
    if not is_usable_address(info.session_address):
        raise ValueError(f"unusable session address {shorten(info.session_address)}")
    return info


def _decode(adapter: TypeAdapter[Any], value: bytes) -> Any:
    check_numbers(parse_json(value))
    return adapter.validate_json(value)
