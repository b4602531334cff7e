"""Tells which jobs are within a guarantee and which runs are costly to stop."""

from collections import Counter

from lycheeslip_common.workload.jobs import JobSpec, StepSpec
from lycheeslip_common.workload.progress import JobProgress

from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.placement_model import URGENT_PRIORITY

__all__ = [
    "MAX_OVERRUN_RATIO",
    "guaranteed_accounts",
    "is_costly_to_stop",
    "is_guaranteed",
]

MAX_OVERRUN_RATIO = 1.5  # run time as a multiple of the estimate past which the estimate is ignored


def is_costly_to_stop(spec: JobSpec, step: StepSpec) -> bool:
    """Return whether a stop loses the run's work.

    Urgent runs never count as costly: they are short, and only guaranteed units preempt them.
    """
    return spec.priority != URGENT_PRIORITY and not step.checkpointing


def guaranteed_accounts(board: Board) -> frozenset[str]:
    """Return the accounts whose urgent jobs need no more accelerators than guaranteed."""
    demands = _urgent_accelerators_by_account(board)
    accounts = board.config.accounts if board.config else ()
    return frozenset(
        account.name
        for account in accounts
        if account.guaranteed and demands.get(account.name, 0) <= account.guaranteed
    )


def is_guaranteed(job: JobProgress, guaranteed: frozenset[str]) -> bool:
    """Return whether a job is urgent and its account is within its guarantee."""
    return job.spec.priority == URGENT_PRIORITY and job.spec.account in guaranteed


def _urgent_accelerators_by_account(board: Board) -> dict[str, int]:
    """Return the accelerators that the unfinished urgent jobs of each account need."""
    result: Counter[str] = Counter()
    for job in board.jobs.values():
        spec = job.progress.spec
        if spec.priority == URGENT_PRIORITY and not job.progress.has_ended:
            result[spec.account] += sum(step.task_count * step.accelerators for step in spec.steps)
    return result
