"""Stops preempted runs, runs of ended jobs, incomplete gangs and runs that no record places."""

from collections.abc import Container, Iterator
from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import Lifetime, StopOrder, WorkerReport
from lycheeslip_common.workload.jobs import demand_of, format_task_name
from lycheeslip_common.workload.link import Link
from lycheeslip_common.workload.progress import TaskKey, TaskProgress, unit_members

from lycheeslip.dispatch.board import Board, FoundTask, StoredJob, WorkerView
from lycheeslip.dispatch.losses import LossCause
from lycheeslip.dispatch.placement_model import Preemption
from lycheeslip.dispatch.relocation import RunningUnit
from lycheeslip.dispatch.validity import find_whole_gangs

__all__ = ["RunStopper"]

NO_NOTICE_MS = 999_999  # logged as the notice of a worker that stays
SUPERSEDED = "superseded"  # logged as the cause of a stop of a run that no record places
END_LISTING_MS = 3_000  # a worker's list takes some 10 ms, or a second after a lost answer
STOP_RETRY_MS = 1_000  # a stop order without effect is resent after this


class SentStop(NamedTuple):
    """A stop order that was sent over `link`; it is lost if the link ends."""

    link: Link
    repeat_at_ms: int


class RunStopper:
    """Sends stop orders, without waiting for a record, and resends them until they take effect."""

    def __init__(self, board: Board) -> None:
        """Send orders over the links in `board`."""
        self._board = board
        self._sent_stop_by_run: dict[tuple[str, int], SentStop] = {}
        self._done_since_ms_by_run: dict[tuple[str, int], int] = {}

    def begin_term(self) -> None:
        """Discard the times of an earlier term."""
        self._sent_stop_by_run.clear()
        self._done_since_ms_by_run.clear()

    def forget(self, task: str, run: int) -> None:
        """Discard the times of a run that has ended."""
        self._sent_stop_by_run.pop((task, run), None)
        self._done_since_ms_by_run.pop((task, run), None)

    def preempt(self, preemption: Preemption) -> None:
        """Stop a run, together with the rest of its gang."""
        worker, placed_run, unit = preemption
        job = self._board.jobs[placed_run.job_id]
        _, occurrence, step = placed_run.step_key
        log_event(
            "run_preempted",
            task=placed_run.task,
            run=placed_run.run,
            node=worker.node,
            priority=placed_run.priority,
            loss_core_s=round(placed_run.loss),
            for_job=unit.job_id,
            work_core_s=round(unit.work),
            is_guaranteed=unit.is_guaranteed,
            patience_ms=round(unit.wait_budget_ms),
            times_preempted=placed_run.times_preempted,
        )
        self._board.counters.count("preemptions")
        found = self._board.find_task(placed_run.task)
        if found is not None and (placed_run.task, placed_run.run) not in job.stopping:
            job.preemptions[found.counter_key] += 1
            if placed_run.times_preempted:
                self._board.counters.count("repeated_preemptions")
        if job.progress.spec.steps[step].gang:
            for member in unit_members(job.progress, occurrence, step):
                self._stop(placed_run.job_id, job, member, LossCause.PREEMPTED)
            return
        if found is not None:
            self._stop(placed_run.job_id, job, found.key, LossCause.PREEMPTED)

    def relocate(self, running: RunningUnit) -> None:
        """Stop a gang or a task so that it starts again elsewhere."""
        unit = running.unit
        job = self._board.jobs[unit.job_id]
        keys = [(unit.occurrence, unit.step, index) for index in unit.indexes]
        log_event(
            "run_relocated",
            task=format_task_name(unit.job_id, keys[0]),
            run=job.progress.tasks[keys[0]].run,
            nodes=",".join(sorted(running.nodes)),
            remaining_ms=round(running.remaining_ms),
            leaves_in_ms=round(min(running.leaves_in_ms, NO_NOTICE_MS)),
            run_ms=round(running.run_ms),
            due_in_ms=round(running.due_in_ms),
        )
        self._board.counters.count("relocations")
        job.relocations[keys[0]] += 1
        for key in keys:
            self._stop(unit.job_id, job, key, LossCause.RELOCATED)

    def _stop(self, job_id: str, job: StoredJob, key: TaskKey, cause: LossCause) -> None:
        """Order the stop of a task's run; the cause of the first order counts."""
        task = job.progress.tasks[key]
        if task.lifetime is None:
            return
        name = format_task_name(job_id, key)
        cause = job.stopping.setdefault((name, task.run), cause)
        view = self._board.workers.get(task.node)
        sent = self._sent_stop_by_run.get((name, task.run))
        if view is None or view.link is None:
            return
        if sent is not None and sent.link is view.link and steady_ms() < sent.repeat_at_ms:
            return
        if self._send_stop(view, task.lifetime, name, task.run, cause):
            repeat_at_ms = steady_ms() + STOP_RETRY_MS
            self._sent_stop_by_run[(name, task.run)] = SentStop(view.link, repeat_at_ms)

    def _send_stop(
        self, view: WorkerView, lifetime: Lifetime, task: str, run: int, cause: str
    ) -> bool:
        """Send a stop order if its agent is connected and this leader's lease holds."""
        term = self._board.leadership
        if view.link is None or term is None or not self._board.holds_lease:
            return False
        log_event("stop_ordered", task=task, run=run, node=view.node, epoch=term.epoch, cause=cause)
        view.link.post(StopOrder(term.epoch, lifetime, task, run))
        return True

    def stop_obsolete(self) -> Iterator[None]:
        """Stop runs of ended jobs and of incomplete gangs, and repeat pending stops.

        Yields between jobs.
        """
        for job_id, job in list(self._board.jobs.items()):
            yield
            whole_gangs = find_whole_gangs(job)
            for key, task in job.progress.placed():
                cause = self._obsolete_cause(job, key, task, whole_gangs)
                if cause is not None:
                    self._stop(job_id, job, key, cause)

    def _obsolete_cause(
        self,
        job: StoredJob,
        key: TaskKey,
        task: TaskProgress,
        whole_gangs: Container[tuple[int, int]],
    ) -> LossCause | None:
        """Return why a placed run has to stop, None if it may go on.

        The members of a gang end together, so a member of one that is done has ended as well: its
        worker only hasn't listed that yet. A stop makes up for a lost end.
        """
        if task.is_done:
            return LossCause.STOPPED if self._is_end_overdue(job.task_name(key), task.run) else None
        if job.progress.has_ended:
            return LossCause.CANCELLED
        if job.progress.spec.steps[key[1]].gang and key[:2] not in whole_gangs:
            return LossCause.GANG_INCOMPLETE
        return job.stopping.get((job.task_name(key), task.run))

    def _is_end_overdue(self, task: str, run: int) -> bool:
        """Return whether a run has been done for `END_LISTING_MS` and its worker doesn't say so."""
        done_since_ms = self._done_since_ms_by_run.setdefault((task, run), steady_ms())
        return steady_ms() - done_since_ms >= END_LISTING_MS

    def withdraw_starts_over_capacity(self, report: WorkerReport) -> None:
        """Withdraw the latest starts that the worker doesn't list yet, until the others fit.

        A start may be on its way for long, with its record or its worker, while a worker's capacity
        shrinks. Runs that the worker lists stay.
        """
        listed = {(run.task, run.run) for run in report.running}
        free = [report.cpu_milli, report.memory_mb, report.accelerators]
        unlisted: list[tuple[int, str, FoundTask]] = []
        for job_id, job in self._board.jobs.items():
            for key, task in job.progress.placed():
                if task.lifetime != report.lifetime:
                    continue
                demand = demand_of(job.progress.spec.steps[key[1]])
                free = [a - b for a, b in zip(free, demand, strict=True)]
                name = format_task_name(job_id, key)
                if (name, task.run) not in listed:
                    found = FoundTask(job_id, job, key)
                    unlisted.append((task.started_at_ms, name, found))
        for _, name, (job_id, job, key) in sorted(unlisted, reverse=True):
            if min(free) >= 0:
                return
            log_event("start_withdrawn", task=name, run=job.progress.tasks[key].run)
            self._stop(job_id, job, key, LossCause.CAPACITY_SHRUNK)
            demand = demand_of(job.progress.spec.steps[key[1]])
            free = [a + b for a, b in zip(free, demand, strict=True)]

    def stop_superseded(self, view: WorkerView, report: WorkerReport) -> None:
        """Stop the runs that the worker lists but that are not the current runs of their tasks."""
        if report.lifetime is None:
            return
        for run in report.running:
            found = self._board.find_task(run.task)
            task = found.task if found else None
            if task is not None and task.is_placed and task.run == run.run:
                continue
            self._send_stop(view, report.lifetime, run.task, run.run, SUPERSEDED)
