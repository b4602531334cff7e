"""Decides which tasks need a worker without other work, since they may crash it."""

from lycheeslip_common.workload.progress import (
    HEALTHY_RUN_MS,
    JobProgress,
    TaskKey,
    failure_counter,
)

__all__ = ["ISOLATION_MS", "MAX_ISOLATION_WAIT_MS", "must_run_isolated", "must_start_isolated"]

# Limits for a suspect under which one worker has crashed: how long it waits for a worker of its
# own, and how long it then has it for itself. Most such suspects only ran beside the culprit.
MAX_ISOLATION_WAIT_MS = 5_000
ISOLATION_MS = 2_000


def must_start_isolated(job: JobProgress, key: TaskKey, now_ms: int) -> bool:
    """Return whether a waiting task has to start on a worker without other work."""
    counter = failure_counter(job, key)
    is_overdue = now_ms - counter.started_at_ms >= MAX_ISOLATION_WAIT_MS
    return counter.is_suspect and (counter.crashes > 1 or not is_overdue)


def must_run_isolated(job: JobProgress, key: TaskKey, now_ms: int) -> bool:
    """Return whether no other work may start beside a placed task."""
    counter = failure_counter(job, key)
    limit_ms = HEALTHY_RUN_MS if counter.crashes > 1 else ISOLATION_MS
    return counter.is_suspect and now_ms - counter.started_at_ms < limit_ms
