"""Applies the ends of runs: reported by workers, by expired leases or by new lifetimes."""

from collections.abc import Iterator
from typing import NamedTuple

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import (
    CrashedRun,
    EndCause,
    Lifetime,
    RecordedEnds,
    WorkerReport,
)
from lycheeslip_common.workload.jobs import format_task_name
from lycheeslip_common.workload.progress import (
    EARLY_CRASH_MS,
    CrashEvidence,
    OpenCrash,
    TaskKey,
    apply_crash,
    apply_end,
    failure_counter,
    settle_crash,
)
from lycheeslip_common.workload.times import CLOCK_DRIFT

from lycheeslip.dispatch.board import Board, FoundTask, StoredJob, WorkerView
from lycheeslip.dispatch.crash_log import LoggedCrash
from lycheeslip.dispatch.losses import loss_cause, lost_core_s
from lycheeslip.dispatch.occupancy import FAILURE_MEMORY_MS
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.run_samples import observe_end
from lycheeslip.dispatch.stops import RunStopper

__all__ = ["RunEndProcessor"]

CRASH_SETTLE_MS = 1_500  # agents notice a crash within 0.6 s; a poll that is held open takes 1.5 s
MAX_CRASH_REPORT_MS = 5_000  # after an election; an agent finds a new leader within this
MAX_BLAMED_WORKERS = 3  # by one run of a gang: one that fails everywhere is itself faulty


class CrashOutcome(NamedTuple):
    """What explains a crash ("": nothing), and the node of a worker that crashed with it."""

    explanation: str
    other_node: str = ""

    @property
    def is_explained(self) -> bool:
        """Whether the task is not to blame, as far as can be told."""
        return self.explanation != ""


class RunEndProcessor:
    """Applies ends to jobs and acknowledges recorded ends, which workers then discard."""

    def __init__(self, board: Board, recorder: Recorder, run_stopper: RunStopper) -> None:
        """Record job progress with `recorder`; tell `run_stopper` of ended runs."""
        self._board = board
        self._recorder = recorder
        self._run_stopper = run_stopper
        self._job_by_end: dict[Lifetime, dict[int, str]] = {}
        self._acknowledged: dict[Lifetime, int] = {}
        self._term_began_ms = 0

    def begin_term(self) -> None:
        """Discard the ends and acknowledgements of an earlier term."""
        self._job_by_end.clear()
        self._acknowledged.clear()
        self._board.crash_log.clear()
        self._term_began_ms = steady_ms()

    def reset_acknowledgement(self, lifetime: Lifetime | None) -> None:
        """Allow a repeated acknowledgement; a newly connected agent may have missed the last."""
        if lifetime is not None:
            self._acknowledged.pop(lifetime, None)

    def acknowledge_recorded(self) -> None:
        """Acknowledge newly recorded ends to all agents."""
        for view in self._board.workers.values():
            self._acknowledge(view)

    def end_lost_runs(self, now_ms: int) -> Iterator[None]:
        """End the runs of workers whose leases have certainly expired; yields between jobs."""
        times = self._board.times
        lease_ms = times.run_lease_ms * (1 + CLOCK_DRIFT) + times.lost_margin_ms
        term = self._board.leadership
        if term is None:
            return
        # a worker unseen in this term may have had its lease extended by the previous leader
        last_extension_ms = term.predecessor_until_ms + times.leader_grace_ms
        for job_id, job in list(self._board.jobs.items()):
            yield
            for key, task in job.progress.placed():
                view = self._board.workers.get(task.node)
                if view is not None and view.link is not None:
                    continue
                last_heard_ms = view.heard_at_ms if view is not None else last_extension_ms
                extended_at_ms = self._board.lease_extended_at_ms.get(task.node, 0)
                if now_ms - max(last_heard_ms, extended_at_ms) > lease_ms:
                    self.end_run(job_id, job, key, task.run, EndCause.LOST, "")

    def end_older_lifetimes(self, node: str, report: WorkerReport) -> None:
        """End the runs of earlier lifetimes of a node's worker."""
        placed_by_lifetime: dict[Lifetime, list[FoundTask]] = {}
        for job_id, job in self._board.jobs.items():
            for key, task in job.progress.placed():
                if task.node == node and task.lifetime and task.lifetime != report.lifetime:
                    found = FoundTask(job_id, job, key)
                    placed_by_lifetime.setdefault(task.lifetime, []).append(found)
        crash_by_lifetime = {
            crash.lifetime: self._board.crash_log.add(node, crash) for crash in report.crashes
        }
        for lifetime, placed in placed_by_lifetime.items():
            crash = crash_by_lifetime.get(lifetime)
            for found in placed:
                run = found.job.progress.tasks[found.key].run
                if crash is None:
                    self.end_run(*found, run, EndCause.LOST, "")
                elif (seen := _seen_run(crash, found, run)) is None:
                    self.end_run(*found, run, EndCause.CRASHED, "")
                else:
                    self._end_crashed_run(found, run, crash, seen)

    def _end_crashed_run(
        self, found: FoundTask, run: int, crash: LoggedCrash, seen: CrashedRun
    ) -> None:
        """End a run whose worker crashed, and which may have caused that."""
        age_ms = steady_ms() - crash.at_ms
        job = found.job.progress
        node = job.tasks[found.key].node
        evidence = CrashEvidence(seen.since_ms, crash.has_start_beside(found.unit_prefix))
        if not apply_crash(job, found.key, run, evidence, wall_ms() - age_ms):
            return
        log_event(
            "crash_seen",
            task=format_task_name(found.job_id, found.key),
            run=run,
            node=node,
            since_ms=seen.since_ms,
            has_begun=seen.has_begun,
            is_beside_start=evidence.is_beside_start,
            is_suspect=failure_counter(job, found.key).is_suspect,
            age_ms=age_ms,
        )
        self._settle_end(*found, run, node, EndCause.CRASHED)

    def settle_crashes(self, now_ms: int) -> Iterator[None]:
        """Count the crashes for which no other explanation has come; yields between such jobs.

        Crashes that explain others are known once the agents of all workers that crashed at the
        same moment have reported them.
        """
        for job_id, job in list(self._board.jobs.items()):
            if not job.progress.unsettled_keys or job.progress.has_ended:
                continue
            yield
            settled = [
                (outcome, FoundTask(job_id, job, key), crash)
                for key in sorted(job.progress.unsettled_keys)
                for crash in job.progress.tasks[key].open_crashes
                if (outcome := self._crash_outcome(job_id, crash, now_ms)) is not None
            ]
            # a gang remains a suspect if the crash under any member has no explanation
            for outcome, found, crash in sorted(
                settled, key=lambda row: row[0].is_explained, reverse=True
            ):
                self._settle_crash(found, crash, outcome)

    def _crash_outcome(self, job_id: str, crash: OpenCrash, now_ms: int) -> CrashOutcome | None:
        """Return what became of an open crash, None if that isn't known yet."""
        is_late = now_ms - self._term_began_ms >= MAX_CRASH_REPORT_MS
        logged = self._board.crash_log.find(crash.lifetime)
        if logged is None:  # its agent hasn't reported it to this leader, and may have been lost
            return CrashOutcome("unknown") if is_late else None
        other = self._board.crash_log.find_unrelated(logged, job_id)
        if other is not None:
            return CrashOutcome("coincides", other.node)
        is_settled = is_late and now_ms - logged.known_at_ms >= CRASH_SETTLE_MS
        return CrashOutcome("") if is_settled else None

    def _settle_crash(self, found: FoundTask, crash: OpenCrash, outcome: CrashOutcome) -> None:
        job = found.job.progress
        had_ended = job.has_ended
        settle_crash(job, found.key, crash, outcome.is_explained, wall_ms())
        task, name = job.tasks[found.key], format_task_name(found.job_id, found.key)
        self._board.planning_needed.set()
        if outcome.is_explained:
            log_event(
                "crash_explained",
                task=name,
                run=crash.run,
                reason=outcome.explanation,
                other_node=outcome.other_node,
                crash_weight=task.crash_weight,
            )
            self._board.counters.count("crashes_explained", outcome.explanation)
        else:
            log_event(
                "crash_counted",
                task=name,
                run=crash.run,
                is_at_start=crash.is_at_start,
                is_only_start=crash.is_only_start,
                crash_weight=task.crash_weight,
                crashes_at_start=task.crashes_at_start,
                crashes_as_only_start=task.crashes_as_only_start,
            )
            self._board.counters.count("crashes_counted")
        if job.has_ended and not had_ended:
            log_warning("job_given_up", job=found.job_id, task=name, reason=job.reason)
            self._board.counters.count("jobs_given_up", job.reason)
        self._recorder.schedule_write(found.job)

    def apply_reported_ends(self, view: WorkerView, report: WorkerReport) -> None:
        """Apply the ends in a worker's report."""
        if report.lifetime is None or not report.ended:
            return
        job_by_end = self._job_by_end.setdefault(report.lifetime, {})
        for ended in report.ended:
            if ended.number in job_by_end:
                continue
            found = self._board.find_task(ended.task)
            job_by_end[ended.number] = found.job_id if found else ""
            if found is None:
                log_warning("end_of_unknown_job", task=ended.task, node=view.node)
                continue
            if ended.cause == EndCause.FAILED:
                failed_in_run = found.job.failed_in_run
                failed_in_run.setdefault((found.counter_key, ended.run), set()).add(
                    report.lifetime.worker_id
                )
            self._update_failures(view, found, ended.run, ended.cause)
            self.end_run(*found, ended.run, ended.cause, ended.checkpoint)
        self._acknowledge(view)

    def _update_failures(
        self, view: WorkerView, found: FoundTask, run: int, cause: EndCause
    ) -> None:
        """Count a failure of a worker, or forget its failures after a run that is done.

        A run that was started before the last failure says nothing: some faults make workers fail
        all that they start, while what runs already goes on.
        """
        now = steady_ms()
        since_failure_ms = now - view.last_failure_at_ms
        started_at_ms = found.task.started_at_ms if found.task else 0
        is_disproved = cause == EndCause.DONE and wall_ms() - started_at_ms < since_failure_ms
        if since_failure_ms > FAILURE_MEMORY_MS or is_disproved:
            view.failures = 0
            view.failed_units.clear()
        if cause == EndCause.FAILED and not self._is_unrelated_to_worker(view, found, run):
            view.failures += 1
            view.last_failure_at_ms = view.failed_units[found.unit_key] = now

    def _is_unrelated_to_worker(self, view: WorkerView, found: FoundTask, run: int) -> bool:
        """Return whether the failure of a run says nothing about the health of its worker.

        Long-running tasks may end at any time. A task that failed elsewhere before is itself
        faulty, unless other work failed there as well; so is a gang that fails on many workers at
        once.
        """
        job, key = found.job.progress, found.key
        if job.spec.steps[key[1]].long_running:
            return True
        if key not in job.tasks or view.lifetime is None:
            return False
        worker_id = view.lifetime.worker_id
        at_once = found.job.failed_in_run.get((found.counter_key, run), set())
        if len(at_once - {worker_id}) >= MAX_BLAMED_WORKERS:
            return True
        others = set(failure_counter(job, key).failed_on) - at_once - {worker_id}
        return any(not self._has_failed_others(other, found) for other in others)

    def _has_failed_others(self, worker_id: str, found: FoundTask) -> bool:
        """Return whether other units than that of `found` have lately failed on a worker."""
        now = steady_ms()
        return any(
            unit != found.unit_key and now - at_ms <= FAILURE_MEMORY_MS
            for view in self._board.workers.values()
            if view.lifetime is not None and view.lifetime.worker_id == worker_id
            for unit, at_ms in view.failed_units.items()
        )

    def end_run(
        self, job_id: str, job: StoredJob, key: TaskKey, run: int, cause: EndCause, checkpoint: str
    ) -> None:
        """Apply and record the end of a run if that is still the latest run of its task."""
        node = job.progress.tasks[key].node if key in job.progress.tasks else ""
        if apply_end(job.progress, key, run, cause, checkpoint, wall_ms()):
            self._settle_end(job_id, job, key, run, node, cause)

    def _settle_end(
        self, job_id: str, job: StoredJob, key: TaskKey, run: int, node: str, cause: EndCause
    ) -> None:
        """Log an end that was applied and schedule what follows from it."""
        name = format_task_name(job_id, key)
        job.unit_ended_at_ms[FoundTask(job_id, job, key).counter_key] = steady_ms()
        stop_cause = job.stopping.pop((name, run), None)
        self._run_stopper.forget(name, run)
        view = self._board.workers.get(node)
        had_notice = view is not None and view.has_given_notice
        lost = lost_core_s(job.progress, key, cause, wall_ms(), self._board.times.checkpoint_ms)
        why = loss_cause(cause, stop_cause, had_notice) if lost else None
        log_event(
            "run_ended",
            task=name,
            run=run,
            node=node,
            cause=cause,
            job_state=job.progress.state,
            loss=why or "none",
            lost_core_s=round(lost, 1),
        )
        observe_end(self._board, job, key, node, cause)
        self._board.counters.count("runs_ended", cause)
        if why is not None:
            self._board.counters.count("lost_core_seconds", why, lost)
        self._recorder.schedule_write(job)
        self._board.planning_needed.set()

    def _acknowledge(self, view: WorkerView) -> None:
        """Send the agent the number up to which all ends are recorded."""
        lifetime = view.lifetime
        if lifetime is None or lifetime not in self._job_by_end or view.link is None:
            return
        job_by_end = self._job_by_end[lifetime]
        last_number = self._acknowledged.get(lifetime, 0)
        for number in sorted(job_by_end):
            if number <= last_number:
                continue
            job = self._board.jobs.get(job_by_end[number])
            if job is not None and (job.is_dirty or job.is_being_written):
                break
            last_number = number
        if last_number > self._acknowledged.get(lifetime, 0):
            self._acknowledged[lifetime] = last_number
            view.link.post(RecordedEnds(lifetime, last_number))


def _seen_run(crash: LoggedCrash, found: FoundTask, run: int) -> CrashedRun | None:
    """Return what the agent knew of a run when its worker crashed, None if that was not there.

    A start without an answer may have been carried out only if it was sent just before.
    """
    name = format_task_name(found.job_id, found.key)
    for seen in crash.runs:
        if (seen.task, seen.run) == (name, run):
            return seen if seen.has_begun or seen.since_ms < EARLY_CRASH_MS else None
    return None
