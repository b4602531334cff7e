"""Stops: of runs that give way, of runs whose jobs have ended, and of superseded runs."""

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import Lifetime, StopOrder, WorkerReport
from lycheeslip_common.workload.jobs import format_task_name
from lycheeslip_common.workload.progress import TaskKey, unit_members

from lycheeslip.dispatch.board import Board, StoredJob, WorkerView
from lycheeslip.dispatch.rooms import Preemption

__all__ = ["Stops"]

STOP_AGAIN_MS = 1_000  # a stop without an effect by then is sent again


class Stops:
    """Sends stops, again while they have no effect; they need no record."""

    def __init__(self, board: Board) -> None:
        """Send to the links on `board`."""
        self._board = board
        self._sent_at_ms: dict[tuple[str, int], int] = {}

    def begin_term(self) -> None:
        """Forget stops of an earlier term."""
        self._sent_at_ms.clear()

    def forget(self, task: str, run: int) -> None:
        """Forget a run that has ended."""
        self._sent_at_ms.pop((task, run), None)

    def preempt(self, preemption: Preemption) -> None:
        """Stop a run; the rest of its gang is stopped with it."""
        room, occupant, unit = preemption
        job = self._board.jobs[occupant.job_id]
        _, occurrence, step = occupant.unit
        log_event(
            "run_preempted",
            task=occupant.task,
            run=occupant.run,
            node=room.node,
            loss_core_s=round(occupant.loss),
            for_job=unit.job_id,
            work_core_s=round(unit.work),
            is_guaranteed=unit.is_guaranteed,
            patience_ms=round(unit.patience_ms),
        )
        self._board.counters.count("preemptions")
        if job.progress.spec.steps[step].gang:
            for member in unit_members(job.progress, occurrence, step):
                self._stop(occupant.job_id, job, member)
            return
        found = self._board.find_task(occupant.task)
        if found is not None:
            self._stop(occupant.job_id, job, found.key)

    def _stop(self, job_id: str, job: StoredJob, key: TaskKey) -> None:
        task = job.progress.tasks[key]
        if task.lifetime is None:
            return
        name = format_task_name(job_id, key)
        job.stopping.add((name, task.run))
        sent_at = self._sent_at_ms.get((name, task.run), 0)
        if steady_ms() - sent_at < STOP_AGAIN_MS:
            return
        self._sent_at_ms[(name, task.run)] = steady_ms()
        self._send_stop(task.node, task.lifetime, name, task.run)

    def _send_stop(self, node: str, lifetime: Lifetime, task: str, run: int) -> None:
        view = self._board.workers.get(node)
        term = self._board.leadership
        if view is None or view.link is None or term is None:
            return
        log_event("stop_ordered", task=task, run=run, node=node, epoch=term.epoch)
        view.link.post(StopOrder(term.epoch, lifetime, task, run))

    def stop_orphans(self) -> None:
        """Stop runs of ended jobs, and what is left of gangs that lost a member."""
        for job_id, job in self._board.jobs.items():
            for key, task in list(job.progress.placed()):
                step = job.progress.spec.steps[key[1]]
                if (
                    job.progress.has_ended
                    or (step.gang and self._is_broken(job, key))
                    or (format_task_name(job_id, key), task.run) in job.stopping
                ):
                    self._stop(job_id, job, key)

    def _is_broken(self, job: StoredJob, key: TaskKey) -> bool:
        members = unit_members(job.progress, key[0], key[1])
        tasks = [job.progress.tasks[member] for member in members]
        return not all(task.is_placed for task in tasks)

    def stop_strays(self, view: WorkerView, report: WorkerReport) -> None:
        """Stop runs that the worker lists but that have been superseded."""
        if report.lifetime is None:
            return
        for run in report.running:
            found = self._board.find_task(run.task)
            task = found.task if found else None
            if task is not None and task.is_placed and task.run == run.run:
                continue
            self._send_stop(view.node, report.lifetime, run.task, run.run)
