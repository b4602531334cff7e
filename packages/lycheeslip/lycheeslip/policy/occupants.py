"""Which running jobs hold which workers, and what stopping one would cost."""

from collections.abc import Collection, Iterable

from lycheeslip_common.structure.jobs import JobKind, MemberPlacement

from lycheeslip.policy.free_worker import FreeWorker
from lycheeslip.policy.model import FleetView, RunningJob

__all__ = ["Occupants", "lost_work"]

KIND_RANK = {JobKind.BULK: 0, JobKind.DEFERRABLE: 1, JobKind.URGENT: 2}


class Occupants:
    """Running jobs by worker."""

    def __init__(self, view: FleetView) -> None:
        """Index the running jobs of `view`."""
        self._by_worker: dict[str, dict[str, RunningJob]] = {}
        self._places: dict[tuple[str, str], list[MemberPlacement]] = {}
        for job_id, job in view.running_by_job.items():
            for place in job.placement:
                self._by_worker.setdefault(place.worker_id, {})[job_id] = job
                self._places.setdefault((job_id, place.worker_id), []).append(place)

    def of(self, group: list[FreeWorker]) -> list[RunningJob]:
        """Return each job that holds something on a worker of the group, once."""
        return self.of_workers(worker.worker_id for worker in group)

    def of_workers(self, worker_ids: Iterable[str]) -> list[RunningJob]:
        """Return each job that holds something on one of the workers, once."""
        found: dict[str, RunningJob] = {}
        for worker_id in worker_ids:
            found.update(self._by_worker.get(worker_id, {}))
        return list(found.values())

    def places(self, job: RunningJob, workers: Collection[str]) -> Iterable[MemberPlacement]:
        """Return where members of the job lie on the given workers."""
        if len(job.placement) <= len(workers):
            return [place for place in job.placement if place.worker_id in workers]
        found: list[MemberPlacement] = []
        for worker_id in workers:
            found.extend(self._places.get((job.ref.job_id, worker_id), ()))
        return found


def lost_work(job: RunningJob, now_ms: int) -> tuple[int, int, str]:
    """Return a sort key: bulk first, then what has run the least, in accelerator time."""
    run_ms = max(0, now_ms - job.started_at_ms)
    size = max(1, job.spec.shape.total_accelerators)
    return KIND_RANK[job.spec.kind], run_ms * size, job.ref.job_id
