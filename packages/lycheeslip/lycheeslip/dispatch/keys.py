"""Keys of the entries' records in the platform's store."""

from urllib.parse import quote

__all__ = [
    "CANCEL_PREFIX",
    "JOBS_PREFIX",
    "LEADER_KEY",
    "RUNS_PREFIX",
    "RUN_TIMES_PREFIX",
    "SPEC_PREFIX",
    "cancel_key",
    "run_times_key",
    "runs_key",
    "spec_key",
]

LEADER_KEY = "lycheeslip/leader"
JOBS_PREFIX = "lycheeslip/jobs/"
SPEC_PREFIX = JOBS_PREFIX + "spec/"
CANCEL_PREFIX = JOBS_PREFIX + "cancel/"
RUNS_PREFIX = "lycheeslip/runs/"
RUN_TIMES_PREFIX = "lycheeslip/run-times/"


def spec_key(job_id: str) -> str:
    """Return the key of a job's specification, written once by the accepting entry."""
    return SPEC_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key whose existence requests the job's cancellation."""
    return CANCEL_PREFIX + job_id


def runs_key(job_id: str) -> str:
    """Return the key of a job's progress, written by the leader only."""
    return RUNS_PREFIX + job_id


def run_times_key(queue: str) -> str:
    """Return the key of a queue's learned run times, written by the leader only."""
    return RUN_TIMES_PREFIX + quote(queue, safe="")
