"""Index of running jobs by worker, and the cost of preempting a job."""

from collections.abc import Collection, Iterable

from lycheeslip_common.structure.jobs import JobKind, MemberPlacement

from lycheeslip.policy.model import FleetView, RunningJob
from lycheeslip.policy.worker_capacity import WorkerCapacity

__all__ = ["RunningJobIndex", "preemption_cost"]

KIND_RANK = {JobKind.BULK: 0, JobKind.DEFERRABLE: 1, JobKind.URGENT: 2}


class RunningJobIndex:
    """Running jobs and the placements of their members by worker."""

    def __init__(self, view: FleetView) -> None:
        """Index the running jobs of `view`."""
        self._by_worker: dict[str, dict[str, RunningJob]] = {}
        self._places: dict[tuple[str, str], list[MemberPlacement]] = {}
        for job_id, job in view.running_by_job.items():
            for place in job.placement:
                self._by_worker.setdefault(place.worker_id, {})[job_id] = job
                self._places.setdefault((job_id, place.worker_id), []).append(place)

    def jobs_on(self, group: list[WorkerCapacity]) -> list[RunningJob]:
        """Return each job with a member on a worker of the group, once."""
        return self.jobs_on_workers(worker.worker_id for worker in group)

    def jobs_on_workers(self, worker_ids: Iterable[str]) -> list[RunningJob]:
        """Return each job with a member on one of the workers, once."""
        found: dict[str, RunningJob] = {}
        for worker_id in worker_ids:
            found.update(self._by_worker.get(worker_id, {}))
        return list(found.values())

    def placements_on(self, job: RunningJob, workers: Collection[str]) -> Iterable[MemberPlacement]:
        """Return the placements of the job's members on the given workers."""
        if len(job.placement) <= len(workers):
            return [place for place in job.placement if place.worker_id in workers]
        found: list[MemberPlacement] = []
        for worker_id in workers:
            found.extend(self._places.get((job.ref.job_id, worker_id), ()))
        return found


def preemption_cost(job: RunningJob, now_ms: int) -> tuple[int, int, str]:
    """Return a sort key: job kind, bulk first, then accelerator milliseconds run, then job id."""
    run_ms = max(0, now_ms - job.started_at_ms)
    size = max(1, job.spec.shape.total_accelerators)
    return KIND_RANK[job.spec.kind], run_ms * size, job.ref.job_id
