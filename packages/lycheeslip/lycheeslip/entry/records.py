"""Keys in the platform's store and the JSON form of what they hold."""

import json

from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.structure.jobs import JobRecord
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
    """Value of CONFIG_KEY and of a history key."""

    revision: int
    text: str
    applied_at_ms: int
    writer: str


class StoredHomes(TypedDict):
    """Value of HOMES_KEY."""

    version: int
    homes: dict[str, tuple[str, ...]]


_jobs = TypeAdapter(JobRecord)
_configs = TypeAdapter(StoredConfig)
_homes = TypeAdapter(StoredHomes)
_entries = TypeAdapter(EntryInfo)


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOB_PREFIX + job_id


def answer_key(job_id: str, attempt: int, chunk: int) -> str:
    """Return the key of one chunk of an attempt's answer."""
    return f"{ANSWER_PREFIX}{job_id}/{attempt}/{chunk:04d}"


def history_key(revision: int) -> str:
    """Return the key that keeps configuration `revision`."""
    return f"{HISTORY_PREFIX}{revision:010d}"


def encode_job(record: JobRecord) -> bytes:
    """Return the stored form of a job record."""
    return _jobs.dump_json(record)


def decode_job(value: bytes) -> JobRecord:
    """Return the job record in `value`; raises pydantic.ValidationError."""
    return _jobs.validate_json(value)


def encode_config(stored: StoredConfig) -> bytes:
    """Return the stored form of a configuration."""
    return json.dumps(stored).encode()


def decode_config(value: bytes) -> StoredConfig:
    """Return the configuration in `value`; raises pydantic.ValidationError."""
    return _configs.validate_json(value)


def encode_homes(stored: StoredHomes) -> bytes:
    """Return the stored form of a home map."""
    return json.dumps(stored).encode()


def decode_homes(value: bytes) -> StoredHomes:
    """Return the home map in `value`; raises pydantic.ValidationError."""
    return _homes.validate_json(value)


def encode_entry(info: EntryInfo) -> bytes:
    """Return the stored form of an entry."""
    return json.dumps(info._asdict()).encode()


def decode_entry(value: bytes) -> EntryInfo:
    """Return the entry in `value`; raises pydantic.ValidationError."""
    return _entries.validate_json(value)
