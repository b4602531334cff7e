"""Decides which tasks need a worker without other work, since they may crash it."""

from lycheeslip_common.workload.progress import JobProgress, TaskKey, failure_counter

__all__ = [
    "ISOLATION_MS",
    "MAX_IDLE_ISOLATION_WAIT_MS",
    "MAX_ISOLATION_WAIT_MS",
    "must_run_isolated",
    "must_start_apart",
    "must_start_isolated",
]

# Limits for a suspect: how long after its last start it still waits for a worker of its own, as
# long again for one where nothing else has just started, and how long nothing else starts beside
# it then. A task that does crash its worker does so at once.
MAX_ISOLATION_WAIT_MS = 5_000
MAX_IDLE_ISOLATION_WAIT_MS = 2_000  # while most capacity is idle; deployments allow 3 s then
ISOLATION_MS = 2_000


def must_start_isolated(job: JobProgress, key: TaskKey, now_ms: int, is_mostly_idle: bool) -> bool:
    """Return whether a waiting task has to start on a worker without other work."""
    unit = failure_counter(job, key)
    return unit.is_suspect and now_ms - unit.started_at_ms < _limit_ms(is_mostly_idle)


def must_start_apart(job: JobProgress, key: TaskKey, now_ms: int, is_mostly_idle: bool) -> bool:
    """Return whether a waiting task has to start where nothing else has just started.

    A crash there tells whether it was the task's.
    """
    unit = failure_counter(job, key)
    return unit.is_suspect and now_ms - unit.started_at_ms < 2 * _limit_ms(is_mostly_idle)


def _limit_ms(is_mostly_idle: bool) -> int:
    return MAX_IDLE_ISOLATION_WAIT_MS if is_mostly_idle else MAX_ISOLATION_WAIT_MS


def must_run_isolated(job: JobProgress, key: TaskKey, now_ms: int) -> bool:
    """Return whether no other work may start beside a placed task."""
    unit = failure_counter(job, key)
    return unit.is_suspect and now_ms - unit.started_at_ms < ISOLATION_MS
