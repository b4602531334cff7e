"""Takes samples of run times from reports and ends of runs, and estimates for steps.

Nothing is learned or estimated in a deployment with few accounts: too few runs of a kind finish
there in time to be informative.
"""

import math

from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import EndCause
from lycheeslip_common.workload.jobs import StepSpec, demand_of
from lycheeslip_common.workload.progress import TaskKey

from lycheeslip.dispatch.board import Board, StoredJob
from lycheeslip.dispatch.run_time_history import KindOfStep, RunSample, StepSample

__all__ = ["estimated_run_ms", "is_learning", "observe_end", "observe_median"]

MIN_ACCOUNTS = 8
MIN_COMPARED_TASKS = 3  # measured tasks of a step of which a worker's speed is told
MAX_LOGGED_STEPS = 20  # bounds the lines of a job with thousands of steps
HUNDREDTHS = 100


def is_learning(board: Board) -> bool:
    """Return whether run times are learned under the present configuration."""
    return board.config is not None and len(board.config.accounts) >= MIN_ACCOUNTS


def estimated_run_ms(board: Board, job: StoredJob, step: int) -> float:
    """Return the run time of a step that is not measured yet.

    It is estimated where the estimates of the queue have proved better, else as declared.
    """
    spec = job.progress.spec
    declared_ms = spec.steps[step].estimate_ms
    history = board.history
    if not is_learning(board) or not _is_sampled(spec.steps[step]):
        return declared_ms
    known = job.estimates.get(step)
    if known is not None and known[0] == history.version:
        return known[1]
    if not history.is_proven(spec.queue):
        return declared_ms
    estimate = history.estimate(_kind_of(job, step), declared_ms)
    if known is None and len(job.estimates) < MAX_LOGGED_STEPS:
        log_event(
            "run_time_estimated",
            job=spec.job_id,
            step=step,
            declared_ms=declared_ms,
            estimate_ms=round(estimate.median_ms),
            low_ms=round(estimate.low_ms),
            high_ms=round(estimate.high_ms),
            samples=round(estimate.samples),
            source=estimate.source,
        )
    job.estimates[step] = (history.version, estimate.median_ms)
    return estimate.median_ms


def observe_median(board: Board, job: StoredJob, step: int) -> None:
    """Count the measured median of a step as a sample once it is known.

    Runs of a deployment's day last 3 to 20 s in 40 s, so that samples of finished steps alone
    would come too late for most jobs.
    """
    if step in job.step_samples or not is_learning(board):
        return
    run_ms = job.run_times.median(step)
    if run_ms is not None and _is_sampled(job.progress.spec.steps[step]):
        _take_sample(board, job, step, run_ms)


def observe_end(board: Board, job: StoredJob, key: TaskKey, node: str, cause: EndCause) -> None:
    """Learn from a run that was done or has failed on `node`."""
    step = job.progress.spec.steps[key[1]]
    if cause not in (EndCause.DONE, EndCause.FAILED) or not is_learning(board):
        return
    if not _is_sampled(step):
        return
    kind, task = _kind_of(job, key[1]), job.progress.tasks[key]
    elapsed_ms = max(0, wall_ms() - task.started_at_ms)
    if cause == EndCause.FAILED:
        failed = RunSample(*kind, step.estimate_ms, 0, has_failed=True, failed_at_ms=elapsed_ms)
        board.history.record(failed)
        return
    board.history.record_end(kind, False)
    run_ms = job.run_times.median(key[1])
    if run_ms is None and not task.checkpoint:  # shorter than the first report of its speed
        run_ms = elapsed_ms
    if run_ms:
        _finish_sample(board, job, key[1], run_ms)
    if not step.gang:
        _observe_worker(board, job, key, node)


def _finish_sample(board: Board, job: StoredJob, step: int, run_ms: float) -> None:
    """Compare the declaration and the estimate of a step with the run time, once."""
    if step not in job.step_samples:
        _take_sample(board, job, step, run_ms)
    taken = job.step_samples[step]
    if taken.is_finished:
        return
    job.step_samples[step] = taken._replace(is_finished=True)
    declared_ms = taken.sample.declared_ms
    board.history.replace(taken.sample, run_ms)
    board.history.compare(taken.sample.kind, declared_ms, taken.estimate_ms, run_ms)
    if min(declared_ms, taken.estimate_ms) > 0:
        board.counters.count("run_time_samples")
        for predictor, ms in (("declared", declared_ms), ("estimate", taken.estimate_ms)):
            error = HUNDREDTHS * abs(math.log(ms / run_ms))
            board.counters.count("run_time_error", predictor, error)


def _take_sample(board: Board, job: StoredJob, step: int, run_ms: float) -> None:
    kind, declared_ms = _kind_of(job, step), job.progress.spec.steps[step].estimate_ms
    estimate_ms = board.history.estimate(kind, declared_ms).median_ms
    sample = RunSample(*kind, declared_ms, run_ms)
    job.step_samples[step] = StepSample(sample, estimate_ms)
    board.history.record(sample)


def _observe_worker(board: Board, job: StoredJob, key: TaskKey, node: str) -> None:
    """Compare a run with the others of its step: those of other steps may differ by their kind.

    The members of a gang take as long as the slowest of them, so that gangs tell nothing.
    """
    view, own_ms = board.workers.get(node), job.run_times.of_task(key)
    usual_ms = job.run_times.median(key[1])
    if view is None or view.lifetime is None or own_ms is None or usual_ms is None:
        return
    if job.run_times.count(key[1]) >= MIN_COMPARED_TASKS:
        board.history.record_worker(view.lifetime.worker_id, own_ms, usual_ms)


def _is_sampled(step: StepSpec) -> bool:
    """Return whether a step's tasks end by themselves, at full speed."""
    return not (step.long_running or step.fills_idle)


def _kind_of(job: StoredJob, step: int) -> KindOfStep:
    spec = job.progress.spec
    found = spec.steps[step]
    return KindOfStep(spec.queue, spec.account, demand_of(found), found.gang, found.checkpointing)
