"""Accounts for work that is lost when runs end before they are done: pure functions."""

from enum import StrEnum

from lycheeslip_common.workload.fleet import EndCause
from lycheeslip_common.workload.jobs import StepSpec, demand_of
from lycheeslip_common.workload.progress import JobProgress, TaskKey

from lycheeslip.dispatch.placement_model import cores_of

__all__ = ["LossCause", "loss_cause", "lost_core_s", "unsaved_s"]


class LossCause(StrEnum):
    """Why the work of a run was lost: the leader's reason for a stop, else the cause of its end."""

    PREEMPTED = "preempted"
    RELOCATED = "relocated"
    CANCELLED = "cancelled"
    GANG_INCOMPLETE = "gang_incomplete"
    CAPACITY_SHRUNK = "capacity_shrunk"
    STOPPED = "stopped"
    FAILED = "failed"
    BROKEN = "broken"
    LAPSED = "lapsed"
    ALONE = "alone"
    CRASHED = "crashed"
    WORKER_LOST = "worker_lost"
    WORKER_LEFT = "worker_left"


CAUSES_BY_END = {
    EndCause.STOPPED: LossCause.STOPPED,
    EndCause.FAILED: LossCause.FAILED,
    EndCause.BROKEN: LossCause.BROKEN,
    EndCause.LAPSED: LossCause.LAPSED,
    EndCause.ALONE: LossCause.ALONE,
    EndCause.CRASHED: LossCause.CRASHED,
    EndCause.LOST: LossCause.WORKER_LOST,
}


def loss_cause(
    end_cause: EndCause, stop_cause: LossCause | None, had_notice: bool
) -> LossCause | None:
    """Return why a run's work is lost, None if the run is done.

    `stop_cause` is the reason of a stop that was ordered for the run; a run may yet end otherwise
    before the stop takes effect. `had_notice` says that its worker had announced that it leaves.
    """
    if end_cause == EndCause.DONE:
        return None
    if end_cause in (EndCause.STOPPED, EndCause.BROKEN) and stop_cause is not None:
        return stop_cause  # the stop of one member of a gang breaks the others
    if end_cause == EndCause.LOST and had_notice:
        return LossCause.WORKER_LEFT
    return CAUSES_BY_END[end_cause]


def unsaved_s(step: StepSpec, elapsed_s: float, checkpoint_ms: int) -> float:
    """Return how many seconds of work a run loses if it ends `elapsed_s` after its start.

    Tasks with checkpoints save them every `checkpoint_ms`.
    """
    return min(elapsed_s, checkpoint_ms / 1_000) if step.checkpointing else elapsed_s


def lost_core_s(
    job: JobProgress, key: TaskKey, end_cause: EndCause, ended_at_ms: int, checkpoint_ms: int
) -> float:
    """Return the work in core-seconds that is lost with a task's last run.

    A stopped run with checkpoints saves all of its work, another what it saved last, at most
    `checkpoint_ms` before; a task that is done has lost none, and
    neither has one that lasts. Accelerators count as in `cores_of`.
    """
    step, task = job.spec.steps[key[1]], job.tasks[key]
    is_saved = step.checkpointing and end_cause == EndCause.STOPPED
    if end_cause == EndCause.DONE or task.is_done or step.long_running or is_saved:
        return 0.0
    return cores_of(demand_of(step)) * unsaved_s(
        step, max(0, ended_at_ms - task.started_at_ms) / 1_000, checkpoint_ms
    )
