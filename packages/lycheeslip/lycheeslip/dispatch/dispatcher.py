"""The leader's decisions: starts, stops, ends and lost workers."""

import asyncio

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.utils.logs import log_event, log_warning
from lycheeslip_common.workload.fleet import (
    EndCause,
    Lifetime,
    OrderResult,
    RecordedEnds,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from lycheeslip_common.workload.jobs import parse_task_name
from lycheeslip_common.workload.link import Link
from lycheeslip_common.workload.progress import (
    TaskKey,
    apply_end,
    begin_runs,
    open_occurrences,
    unit_members,
)
from lycheeslip_common.workload.times import CLOCK_DRIFT

from lycheeslip.dispatch.board import Board, StoredJob, WorkerView
from lycheeslip.dispatch.placement import Occupant, Room, Unit, plan_round
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.view import build_rooms, build_units, reserve_of, task_text

__all__ = ["Dispatcher"]

TICK_S = 0.25  # schedules may start 0.25 s early or late, and lost workers show by time alone
COALESCE_S = 0.005  # one round for jobs and reports that arrive together
GATHER_S = 0.4  # after an election agents link up within this; a fuller view places better
STOP_AGAIN_MS = 1_000  # a stop without an effect by then is sent again
CHECKPOINT_RECORD_MS = 2_000  # one write in this time; tasks save their progress once a second
REJECTED_PAUSE_MS = 500  # a worker that rejected an order gets no other before this
REJECTIONS = frozenset({"fence", "late", "no_lease", "room", "ticket", "unhealthy"})
BLAME_MS = 10_000  # how long a worker is avoided for the failures of its runs


class Dispatcher:
    """Plans while this entry leads; acts only on what is recorded."""

    def __init__(self, board: Board) -> None:
        """Work on `board`; `recorder` is set by the composition root before use."""
        self._board = board
        self.recorder: Recorder
        self._orders: dict[str, list[tuple[str, StartOrder]]] = {}
        self._ends: dict[Lifetime, dict[int, str]] = {}
        self._acknowledged: dict[Lifetime, int] = {}
        self._stop_sent: dict[tuple[str, int], int] = {}
        self._led_since_ms = 0
        self._checkpoints_recorded_ms = 0

    def begin_term(self) -> None:
        """Forget what an earlier term had in progress."""
        self._orders.clear()
        self._ends.clear()
        self._acknowledged.clear()
        self._stop_sent.clear()
        self._led_since_ms = steady_ms()

    async def run(self) -> None:
        """Plan whenever something changed, and at each tick, while leading."""
        await asyncio.sleep(GATHER_S)
        while self._board.leadership is not None:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._board.work_to_plan.wait()
                    await asyncio.sleep(COALESCE_S)
            except TimeoutError:
                pass
            self._board.work_to_plan.clear()
            if self._board.leadership is not None:
                self.plan()

    def plan(self) -> None:
        """Run one planning round."""
        began = steady_ms()
        now_ms = wall_ms()
        for job in self._board.jobs.values():
            if not job.progress.has_ended and open_occurrences(job.progress, now_ms):
                self.recorder.mark(job)
        self._end_lost_runs(began)
        self._stop_orphans()
        self._record_checkpoints(began)
        if self._can_start():
            rooms = build_rooms(self._board)
            units = build_units(self._board, rooms)
            plan = plan_round(units, rooms, reserve_of(self._board))
            for unit, chosen in plan.starts:
                self._begin(unit, chosen)
            for room, occupant in plan.stops:
                self._preempt(room, occupant)
        self._board.counters.observe_ms("planning_round", steady_ms() - began)

    def _can_start(self) -> bool:
        """Return whether the store has confirmed the configuration lately."""
        board = self._board
        return board.config is not None and board.config_age_ms <= board.times.config_valid_ms

    def _begin(self, unit: Unit, chosen: list[Room]) -> None:
        job = self._board.jobs[unit.job_id]
        keys = [(unit.occurrence, unit.step, index) for index in unit.indexes]
        placement = {
            key: (room.node, room.lifetime) for key, room in zip(keys, chosen, strict=True)
        }
        begin_runs(job.progress, placement, unit.is_gang, wall_ms())
        orders = self._orders.setdefault(unit.job_id, [])
        for key, room in zip(keys, chosen, strict=True):
            orders.append((room.node, self._order(job, key)))
        log_event(
            "unit_placed",
            job=unit.job_id,
            unit=f"{unit.occurrence}.{unit.step}",
            tasks=len(keys),
            run=job.progress.tasks[keys[0]].run,
            nodes=",".join(room.node for room in chosen),
            waited_ms=wall_ms() - unit.waiting_since_ms,
        )
        self.recorder.mark(job)

    def _order(self, job: StoredJob, key: TaskKey) -> StartOrder:
        task = job.progress.tasks[key]
        term = self._board.leadership
        return StartOrder(
            term.epoch if term else 0,
            task.lifetime or Lifetime("", 0),
            task_text(job.progress.spec.job_id, key),
            task.run,
            job.progress.spec.payload,
            task.checkpoint,
        )

    def _preempt(self, room: Room, occupant: Occupant) -> None:
        """Stop a run; the rest of its gang is stopped with it."""
        job = self._board.jobs[occupant.job_id]
        _, occurrence, step = occupant.unit
        keys = [parse_task_name(occupant.task)]
        log_event(
            "run_preempted",
            task=occupant.task,
            run=occupant.run,
            node=room.node,
            loss_core_s=round(occupant.loss),
        )
        self._board.counters.count("preemptions")
        if job.progress.spec.steps[step].gang:
            for member in unit_members(job.progress, occurrence, step):
                self._stop(occupant.job_id, job, member)
            return
        for name in keys:
            if name is not None:
                self._stop(occupant.job_id, job, (name.occurrence, name.step, name.position))

    def _stop(self, job_id: str, job: StoredJob, key: TaskKey) -> None:
        task = job.progress.tasks[key]
        if task.lifetime is None:
            return
        name = task_text(job_id, key)
        job.stopping.add((name, task.run))
        sent_at = self._stop_sent.get((name, task.run), 0)
        if steady_ms() - sent_at < STOP_AGAIN_MS:
            return
        self._stop_sent[(name, task.run)] = steady_ms()
        self._send_stop(task.node, task.lifetime, name, task.run)

    def _send_stop(self, node: str, lifetime: Lifetime, task: str, run: int) -> None:
        view = self._board.workers.get(node)
        term = self._board.leadership
        if view is None or view.link is None or term is None:
            return
        log_event("stop_ordered", task=task, run=run, node=node, epoch=term.epoch)
        view.link.post(StopOrder(term.epoch, lifetime, task, run))

    def _stop_orphans(self) -> None:
        """Stop runs of ended jobs, and what is left of gangs that lost a member."""
        for job_id, job in self._board.jobs.items():
            for key, task in list(job.progress.placed()):
                step = job.progress.spec.steps[key[1]]
                if (
                    job.progress.has_ended
                    or (step.gang and self._is_broken(job, key))
                    or (task_text(job_id, key), task.run) in job.stopping
                ):
                    self._stop(job_id, job, key)

    def _is_broken(self, job: StoredJob, key: TaskKey) -> bool:
        members = unit_members(job.progress, key[0], key[1])
        tasks = [job.progress.tasks[member] for member in members]
        return not all(task.is_placed for task in tasks)

    def _end_lost_runs(self, now_ms: int) -> None:
        """End the runs of workers whose leases have certainly lapsed."""
        times = self._board.times
        lease_ms = times.run_lease_ms * (1 + CLOCK_DRIFT) + times.lost_margin_ms
        unheard_ms = self._led_since_ms + times.leader_overhang_ms
        for job_id, job in self._board.jobs.items():
            for key, task in list(job.progress.placed()):
                view = self._board.workers.get(task.node)
                if view is not None and view.link is not None:
                    continue
                heard_ms = view.heard_at_ms if view is not None else unheard_ms
                if now_ms - heard_ms > lease_ms:
                    self._end(job_id, job, key, task.run, EndCause.LOST, "")

    def take_report(self, node: str, link: Link, report: WorkerReport) -> None:
        """Take in all that an agent says of its worker."""
        view = self._board.workers.get(node)
        is_new_link = view is None or view.link is not link
        if view is None:
            view = WorkerView(node, report, steady_ms(), link)
            self._board.workers[node] = view
        if view.lifetime != report.lifetime or is_new_link:
            log_event(
                "worker_known", node=node, lifetime=report.lifetime, running=len(report.running)
            )
        view.report, view.link, view.heard_at_ms = report, link, steady_ms()
        self._end_older_lifetimes(node, report)
        for run in report.running:
            self._take_checkpoint(run.task, run.run, run.checkpoint)
        self._take_ends(view, report)
        if is_new_link:
            self._acknowledged.pop(report.lifetime or Lifetime("", 0), None)
            self._resend_starts(view, report)
        self._stop_strays(view, report)
        self._board.work_to_plan.set()

    def _end_older_lifetimes(self, node: str, report: WorkerReport) -> None:
        for job_id, job in self._board.jobs.items():
            for key, task in list(job.progress.placed()):
                if task.node == node and task.lifetime != report.lifetime:
                    self._end(job_id, job, key, task.run, EndCause.LOST, "")

    def _take_checkpoint(self, text: str, run: int, checkpoint: str) -> None:
        name = parse_task_name(text)
        job = self._board.jobs.get(name.job_id) if name else None
        if job is None or name is None or not checkpoint:
            return
        task = job.progress.tasks.get((name.occurrence, name.step, name.position))
        if task is not None and task.run == run and task.is_placed:
            job.has_newer_checkpoint |= task.checkpoint != checkpoint
            task.checkpoint = checkpoint

    def _record_checkpoints(self, now_ms: int) -> None:
        """Record newer checkpoints now and then, so that a lost leader costs little work."""
        if now_ms - self._checkpoints_recorded_ms < CHECKPOINT_RECORD_MS:
            return
        self._checkpoints_recorded_ms = now_ms
        for job in self._board.jobs.values():
            if job.has_newer_checkpoint and not job.progress.has_ended:
                self.recorder.mark(job)

    def _take_ends(self, view: WorkerView, report: WorkerReport) -> None:
        if report.lifetime is None or not report.ended:
            return
        waiting = self._ends.setdefault(report.lifetime, {})
        for ended in report.ended:
            if ended.number in waiting:
                continue
            name = parse_task_name(ended.task)
            waiting[ended.number] = name.job_id if name else ""
            job = self._board.jobs.get(name.job_id) if name else None
            if name is None or job is None:
                log_warning("end_of_unknown_job", task=ended.task, node=view.node)
                continue
            key = (name.occurrence, name.step, name.position)
            if not self._failed_elsewhere(job, key, view):
                self._blame(view, ended.cause)
            self._end(name.job_id, job, key, ended.run, ended.cause, ended.checkpoint)
        self._acknowledge(view)

    def _failed_elsewhere(self, job: StoredJob, key: TaskKey, view: WorkerView) -> bool:
        """Return whether the task has failed on another worker too, so that it is at fault."""
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

    def _end(
        self, job_id: str, job: StoredJob, key: TaskKey, run: int, cause: EndCause, saved: str
    ) -> None:
        node = job.progress.tasks[key].node if key in job.progress.tasks else ""
        if not apply_end(job.progress, key, run, cause, saved, wall_ms()):
            return
        name = task_text(job_id, key)
        job.stopping.discard((name, run))
        self._stop_sent.pop((name, run), None)
        log_event(
            "run_ended", task=name, run=run, node=node, cause=cause, job_state=job.progress.state
        )
        self._board.counters.count("runs_ended", cause)
        self.recorder.mark(job)
        self._board.work_to_plan.set()

    def _resend_starts(self, view: WorkerView, report: WorkerReport) -> None:
        """Order recorded runs again that a newly linked agent doesn't list."""
        known = {(run.task, run.run) for run in report.running}
        known.update((ended.task, ended.run) for ended in report.ended)
        known.update(report.orders_pending)
        for job_id, job in self._board.jobs.items():
            unsent = {order.task for _, order in self._orders.get(job_id, [])}
            for key, task in job.progress.placed():
                name = task_text(job_id, key)
                if task.lifetime != report.lifetime or name in unsent:
                    continue
                if (name, task.run) not in known and view.link is not None:
                    view.link.post(self._order(job, key))

    def _stop_strays(self, view: WorkerView, report: WorkerReport) -> None:
        """Stop runs that the worker lists but that have been superseded."""
        if report.lifetime is None:
            return
        for run in report.running:
            name = parse_task_name(run.task)
            job = self._board.jobs.get(name.job_id) if name else None
            if job is not None and name is not None:
                task = job.progress.tasks.get((name.occurrence, name.step, name.position))
                if task is not None and task.is_placed and task.run == run.run:
                    continue
            self._send_stop(view.node, report.lifetime, run.task, run.run)

    def take_order_result(self, node: str, result: OrderResult) -> None:
        """Take in that an order ended without a run."""
        name = parse_task_name(result.task)
        job = self._board.jobs.get(name.job_id) if name else None
        if name is None or job is None:
            return
        key = (name.occurrence, name.step, name.position)
        task = job.progress.tasks.get(key)
        if task is None or task.lifetime != result.lifetime:
            return
        log_event(
            "order_without_run", task=result.task, run=result.run, node=node, reason=result.reason
        )
        self._board.counters.count("orders_without_run", result.reason)
        view = self._board.workers.get(node)
        if view is not None and result.reason in REJECTIONS:
            view.avoided_until_ms = steady_ms() + REJECTED_PAUSE_MS
        self._end(name.job_id, job, key, result.run, EndCause.STOPPED, "")

    def note_recorded(self, job_ids: list[str]) -> None:
        """Release what waited for the records of these jobs."""
        for job_id in job_ids:
            for node, order in self._orders.pop(job_id, []):
                view = self._board.workers.get(node)
                if view is not None and view.link is not None and self._is_current(order):
                    log_event("start_ordered", task=order.task, run=order.run, node=node)
                    view.link.post(order)
        for view in self._board.workers.values():
            self._acknowledge(view)

    def _is_current(self, order: StartOrder) -> bool:
        name = parse_task_name(order.task)
        job = self._board.jobs.get(name.job_id) if name else None
        if job is None or name is None or job.progress.has_ended:
            return False
        task = job.progress.tasks[(name.occurrence, name.step, name.position)]
        return task.is_placed and task.run == order.run

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
