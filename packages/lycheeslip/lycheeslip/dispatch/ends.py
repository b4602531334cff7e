"""Ends of runs: listed by workers, certain by time or by a new life, and their acknowledgement."""

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import EndCause, Lifetime, RecordedEnds, WorkerReport
from lycheeslip_common.workload.jobs import format_task_name
from lycheeslip_common.workload.progress import TaskKey, apply_end
from lycheeslip_common.workload.times import CLOCK_DRIFT

from lycheeslip.dispatch.board import Board, StoredJob, WorkerView
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.stops import Stops

__all__ = ["Ends"]

BLAME_MS = 10_000  # how long a worker is avoided for the failures of its runs


class Ends:
    """Applies ends to jobs; a worker may forget an end once it is recorded."""

    def __init__(self, board: Board, recorder: Recorder, stops: Stops) -> None:
        """Record with `recorder`."""
        self._board = board
        self._recorder = recorder
        self._stops = stops
        self._ends: dict[Lifetime, dict[int, str]] = {}
        self._acknowledged: dict[Lifetime, int] = {}

    def begin_term(self) -> None:
        """Forget ends of an earlier term."""
        self._ends.clear()
        self._acknowledged.clear()

    def acknowledge_again(self, lifetime: Lifetime | None) -> None:
        """Repeat acknowledgements to a newly linked agent, which may have missed them."""
        if lifetime is not None:
            self._acknowledged.pop(lifetime, None)

    def acknowledge_recorded(self) -> None:
        """Tell all agents which ends are recorded."""
        for view in self._board.workers.values():
            self._acknowledge(view)

    def end_lost_runs(self, now_ms: int) -> None:
        """End the runs of workers whose leases have certainly lapsed."""
        times = self._board.times
        lease_ms = times.run_lease_ms * (1 + CLOCK_DRIFT) + times.lost_margin_ms
        term = self._board.leadership
        if term is None:
            return
        unheard_ms = term.predecessor_until_ms + times.leader_grace_ms
        for job_id, job in self._board.jobs.items():
            for key, task in list(job.progress.placed()):
                view = self._board.workers.get(task.node)
                if view is not None and view.link is not None:
                    continue
                heard_ms = view.heard_at_ms if view is not None else unheard_ms
                if now_ms - heard_ms > lease_ms:
                    self.end(job_id, job, key, task.run, EndCause.LOST, "")

    def end_older_lifetimes(self, node: str, report: WorkerReport) -> None:
        """End the runs of earlier lives of a node's worker."""
        for job_id, job in self._board.jobs.items():
            for key, task in list(job.progress.placed()):
                if task.node == node and task.lifetime != report.lifetime:
                    self.end(job_id, job, key, task.run, EndCause.LOST, "")

    def take_listed(self, view: WorkerView, report: WorkerReport) -> None:
        """Apply the ends that a worker lists."""
        if report.lifetime is None or not report.ended:
            return
        waiting = self._ends.setdefault(report.lifetime, {})
        for ended in report.ended:
            if ended.number in waiting:
                continue
            found = self._board.find_task(ended.task)
            waiting[ended.number] = found.job_id if found else ""
            if found is None:
                log_warning("end_of_unknown_job", task=ended.task, node=view.node)
                continue
            if not self._is_tasks_fault(found.job, found.key, view):
                self._blame(view, ended.cause)
            self.end(*found, ended.run, ended.cause, ended.checkpoint)
        self._acknowledge(view)

    def _is_tasks_fault(self, job: StoredJob, key: TaskKey, view: WorkerView) -> bool:
        """Return whether the worker isn't to blame for the end of a run.

        Long-running tasks may end at any time, and others have failed elsewhere too.
        """
        if job.progress.spec.steps[key[1]].long_running:
            return True
        worker_id = view.lifetime.worker_id if view.lifetime else ""
        first = (key[0], key[1], 0) if job.progress.spec.steps[key[1]].gang else key
        task = job.progress.tasks.get(first)
        return task is not None and any(other != worker_id for other in task.failed_on)

    def _blame(self, view: WorkerView, cause: EndCause) -> None:
        now = steady_ms()
        if cause == EndCause.FAILED:
            view.failures += 1
            view.blamed_at_ms = now
        elif cause == EndCause.DONE or now - view.blamed_at_ms > BLAME_MS:
            view.failures = 0

    def end(
        self, job_id: str, job: StoredJob, key: TaskKey, run: int, cause: EndCause, saved: str
    ) -> None:
        """Apply the end of a run, if that is still the task's last one, and record it."""
        node = job.progress.tasks[key].node if key in job.progress.tasks else ""
        if not apply_end(job.progress, key, run, cause, saved, wall_ms()):
            return
        name = format_task_name(job_id, key)
        job.stopping.discard((name, run))
        self._stops.forget(name, run)
        log_event(
            "run_ended", task=name, run=run, node=node, cause=cause, job_state=job.progress.state
        )
        self._board.counters.count("runs_ended", cause)
        self._recorder.mark(job)
        self._board.work_to_plan.set()

    def _acknowledge(self, view: WorkerView) -> None:
        """Tell the agent up to which number all ends are recorded."""
        lifetime = view.lifetime
        if lifetime is None or lifetime not in self._ends or view.link is None:
            return
        waiting = self._ends[lifetime]
        last = self._acknowledged.get(lifetime, 0)
        for number in sorted(waiting):
            if number <= last:
                continue
            job = self._board.jobs.get(waiting[number])
            if job is not None and (job.is_dirty or job.is_being_written):
                break
            last = number
        if last > self._acknowledged.get(lifetime, 0):
            self._acknowledged[lifetime] = last
            view.link.post(RecordedEnds(lifetime, last))
