"""Limits on what clients may make a process hold, derived from the machine."""

from typing import NamedTuple

__all__ = [
    "AdmissionLimits",
    "SMALLEST_MAX_FDS",
    "SMALLEST_MEMORY_MB",
    "budget_for",
    "derive_limits",
]

SMALLEST_MEMORY_MB = 200
SMALLEST_MAX_FDS = 4_096
FILE_DESCRIPTORS = 200  # of the descriptors allowed, those for files
BYTES_PER_MB = 1_048_576
# A held byte costs up to three while its request is parsed (the bytes received, the library's copy
# and the handler's), so the budget stays at a quarter of the memory at most.
HELD_RATIO = 0.08
MIN_HELD_BYTES = 2 * BYTES_PER_MB
# A connection takes about 13 KB in the process and up to 64 KB of socket buffers.
CONNECTIONS_PER_MB = 4.5
MIN_CONNECTIONS = 16
MIN_UNIDENTIFIED_LINKS = 16
MAX_BACKLOG = 1_024
MIN_BACKLOG = 16


class AdmissionLimits(NamedTuple):
    """Limits of one process, shared by its listeners; `max_held_bytes` is the budget.

    The defaults are the published limits, where there are some.
    """

    max_held_bytes: int
    max_connections: int
    max_connections_per_address: int
    backlog: int = MAX_BACKLOG
    head_timeout_ms: int = 3_000
    body_timeout_ms: int = 30_000
    response_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000
    max_pipelined_requests: int = 8
    max_head_bytes: int = 16_384
    max_head_fields: int = 128
    receive_buffer_bytes: int = 16_384
    max_unidentified_links: int = 487


def derive_limits(
    memory_mb: float = SMALLEST_MEMORY_MB, max_fds: int = SMALLEST_MAX_FDS
) -> AdmissionLimits:
    """Return the limits for a machine; the defaults are those of the smallest one.

    An eighth of the descriptors that aren't for files is left to connections between processes, so
    that clients can't take those.
    """
    descriptors = max_fds - FILE_DESCRIPTORS
    backlog = min(MAX_BACKLOG, max(MIN_BACKLOG, descriptors))
    by_descriptors = descriptors - descriptors // 8
    by_memory = int(memory_mb * CONNECTIONS_PER_MB)
    connections = max(MIN_CONNECTIONS, min(by_descriptors, by_memory))
    return AdmissionLimits(
        max_held_bytes=max(MIN_HELD_BYTES, int(memory_mb * HELD_RATIO * BYTES_PER_MB)),
        max_connections=connections,
        max_connections_per_address=connections // 2,
        backlog=backlog,
        max_unidentified_links=max(MIN_UNIDENTIFIED_LINKS, descriptors // 8),
    )


def budget_for(limits: AdmissionLimits, max_body_bytes: int) -> int:
    """Return the budget with which one request of `max_body_bytes` is always served."""
    return max(limits.max_held_bytes, 2 * (max_body_bytes + limits.max_head_bytes))
