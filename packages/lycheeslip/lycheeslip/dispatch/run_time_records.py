"""Encodes what a history holds of a queue as a record of bounded size, and decodes it."""

import math
from typing import Annotated, NamedTuple

import msgspec
from lycheeslip_common.utils.quantile_sketch import MAX_RUN_MS
from lycheeslip_common.utils.usable import MAX_NUMBER, Amount, UnusableValueError, parse_document
from lycheeslip_common.workload.jobs import Demand

from lycheeslip.dispatch.run_time_history import (
    DecayedMean,
    History,
    KindKey,
    KindRecord,
    QueueRecord,
)

__all__ = ["MAX_RECORD_BYTES", "decode_queue", "encode_queue"]

MAX_RECORD_BYTES = 64 * 1024
FORMAT = 1
# between the shortest and the longest run time; a sketch may round up the latter
MAX_SQUARED_ERROR = (math.log(MAX_RUN_MS) + 0.1) ** 2

Size = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Mean = tuple[Size, Size]  # weight and total
Counts = list[tuple[Amount, Amount]]  # values and how often they were counted


class StoredKind(NamedTuple):
    """The fields of a `KindRecord`."""

    run_ms: Counts
    ratio: Counts
    failed: Mean
    failed_at: Mean


class StoredKindKey(NamedTuple):
    """The fields of a `KindKey`."""

    demand: tuple[Amount, Amount, Amount]
    is_gang: bool
    saves_progress: bool
    account: str


class StoredQueue(msgspec.Struct):
    """The fields of a `QueueRecord`, and the queue's kinds, least recently used last."""

    format: int
    queue: str
    kind: StoredKind
    ratio_error: Mean
    run_error: Mean
    declared_error: Mean
    estimate_error: Mean
    compared: Amount
    kinds: list[tuple[StoredKindKey, StoredKind]]


def encode_queue(history: History, name: str) -> bytes:
    """Return the record of a queue; the least recently used kinds are left out if it is too long.

    Raises KeyError if the history has no such queue.
    """
    queue = history.queues[name]
    stored = StoredQueue(
        FORMAT,
        name,
        _store_kind(queue.kind),
        _store_mean(queue.ratio_error),
        _store_mean(queue.run_error),
        _store_mean(queue.declared_error),
        _store_mean(queue.estimate_error),
        queue.compared,
        [],
    )
    size = len(msgspec.json.encode(stored))
    for (queue_name, key), record in reversed(history.kinds.items()):
        if queue_name != name:
            continue
        item = (StoredKindKey(*key), _store_kind(record))
        size += len(msgspec.json.encode(item)) + 1
        if size > MAX_RECORD_BYTES:
            break
        stored.kinds.append(item)
    return msgspec.json.encode(stored)


def decode_queue(value: bytes) -> History:
    """Return a history of the one queue that `value` records; raises UnusableValueError."""
    if len(value) > MAX_RECORD_BYTES:
        raise UnusableValueError("the record is too long")
    stored: StoredQueue = parse_document(value, StoredQueue)
    if stored.format != FORMAT:
        raise UnusableValueError(f"format {stored.format} is not known")
    history = History()
    history.queues[stored.queue] = QueueRecord(
        _load_kind(stored.kind),
        _load_mean(stored.ratio_error, MAX_SQUARED_ERROR),
        _load_mean(stored.run_error, MAX_SQUARED_ERROR),
        _load_mean(stored.declared_error, MAX_SQUARED_ERROR),
        _load_mean(stored.estimate_error, MAX_SQUARED_ERROR),
        stored.compared,
    )
    for key, kind in reversed(stored.kinds):
        found = KindKey(Demand(*key.demand), *key[1:])
        history.kinds[(stored.queue, found)] = _load_kind(kind)
    return history


def _store_kind(record: KindRecord) -> StoredKind:
    return StoredKind(
        record.run_ms.counts(),
        record.ratio.counts(),
        _store_mean(record.failed),
        _store_mean(record.failed_at),
    )


def _load_kind(stored: StoredKind) -> KindRecord:
    record = KindRecord(
        failed=_load_mean(stored.failed, 1.0), failed_at=_load_mean(stored.failed_at, 1.0)
    )
    record.run_ms.add_counts(stored.run_ms)
    record.ratio.add_counts(stored.ratio)
    return record


def _store_mean(mean: DecayedMean) -> Mean:
    return mean.weight, mean.total


def _load_mean(stored: Mean, highest: float) -> DecayedMean:
    """Return a mean of values up to `highest`, whatever was stored."""
    weight, total = stored
    return DecayedMean(weight, min(total, weight * highest))
