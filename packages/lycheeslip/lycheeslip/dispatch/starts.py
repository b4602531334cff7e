"""Records the runs of placed units and then sends their start orders."""

from typing import NamedTuple

from lycheeslip_common.utils.clock import wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import Lifetime, RunTraits, StartOrder, WorkerReport
from lycheeslip_common.workload.jobs import format_task_name
from lycheeslip_common.workload.progress import TaskKey, begin_runs

from lycheeslip.dispatch.board import Board, StoredJob, WorkerView
from lycheeslip.dispatch.placement_model import Unit, WorkerCapacity
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.validity import find_whole_gangs, may_begin

__all__ = ["RunStarter"]


class UnsentOrder(NamedTuple):
    """A start order that waits for the record of its run."""

    node: str
    key: TaskKey
    order: StartOrder


class RunStarter:
    """Sends a start order only after the record of its run is in the store.

    The job may end, or the run may have to stop, between the record and the order. Nothing is
    ordered then; `RunStopper` ends such a run.
    """

    def __init__(self, board: Board, recorder: Recorder) -> None:
        """Record runs with `recorder`; send orders over the links in `board`."""
        self._board = board
        self._recorder = recorder
        self._unsent_orders: dict[str, list[UnsentOrder]] = {}

    def begin_term(self) -> None:
        """Discard the unsent orders of an earlier term."""
        self._unsent_orders.clear()

    def start_unit(self, unit: Unit, chosen: list[WorkerCapacity]) -> None:
        """Begin and record the next run of each member of `unit`."""
        job = self._board.jobs[unit.job_id]
        keys = [(unit.occurrence, unit.step, index) for index in unit.indexes]
        placement = {
            key: (worker.node, worker.lifetime) for key, worker in zip(keys, chosen, strict=True)
        }
        begin_runs(job.progress, placement, unit.is_gang, wall_ms())
        orders = self._unsent_orders.setdefault(unit.job_id, [])
        for key, worker in zip(keys, chosen, strict=True):
            orders.append(UnsentOrder(worker.node, key, self._build_order(job, key)))
        log_event(
            "unit_placed",
            job=unit.job_id,
            unit=f"{unit.occurrence}.{unit.step}",
            tasks=len(keys),
            run=job.progress.tasks[keys[0]].run,
            nodes=",".join(worker.node for worker in chosen),
            waited_ms=wall_ms() - unit.waiting_since_ms,
            slack_ms=round(unit.slack_ms),
        )
        self._recorder.schedule_write(job)

    def _build_order(self, job: StoredJob, key: TaskKey) -> StartOrder:
        task = job.progress.tasks[key]
        term = self._board.leadership
        return StartOrder(
            term.epoch if term else 0,
            task.lifetime or Lifetime("", 0),
            format_task_name(job.progress.spec.job_id, key),
            task.run,
            job.progress.spec.payload,
            task.checkpoint,
            self._ticket(job.progress.spec.job_id, key, task.lifetime),
        )

    def _ticket(self, job_id: str, key: TaskKey, lifetime: Lifetime | None) -> str:
        advice = self._board.advice.get((job_id, key[0], key[1]))
        ticket = advice.tickets.get(lifetime) if advice and lifetime else None
        return ticket.text if ticket else ""

    def send_recorded_orders(self, job_ids: list[str]) -> None:
        """Send the orders that depend on the records of these jobs."""
        for job_id in job_ids:
            orders = self._unsent_orders.pop(job_id, [])
            job = self._board.jobs.get(job_id)
            if job is None or not orders:
                continue
            whole_gangs = find_whole_gangs(job)
            for node, key, order in orders:
                view = self._board.workers.get(node)
                if view is None or view.link is None:
                    continue
                if may_begin(job, key, order.run, whole_gangs):
                    log_event("start_ordered", task=order.task, run=order.run, node=node)
                    view.link.post(order)
                    self._send_traits(view, order)

    def _send_traits(self, view: WorkerView, order: StartOrder) -> None:
        """Send the run's traits if it has a latency target or fills idle capacity."""
        found = self._board.find_task(order.task)
        if found is None or view.link is None:
            return
        step = found.job.progress.spec.steps[found.key[1]]
        if step.target_ms or step.fills_idle:
            traits = RunTraits(
                order.lifetime, order.task, order.run, step.target_ms, step.fills_idle
            )
            view.link.post(traits)

    def resend(self, view: WorkerView, report: WorkerReport) -> None:
        """Send a newly connected agent all traits, and the recorded orders that it doesn't list."""
        agent_runs = {(run.task, run.run) for run in report.running}
        agent_runs.update((ended.task, ended.run) for ended in report.ended)
        agent_runs.update(report.orders_pending)
        for job_id, job in self._board.jobs.items():
            unsent = {key for _, key, _ in self._unsent_orders.get(job_id, [])}
            whole_gangs = find_whole_gangs(job)
            for key, task in job.progress.placed():
                if task.lifetime != report.lifetime or key in unsent:
                    continue
                order = self._build_order(job, key)._replace(is_repeated=True)
                is_listed = (order.task, order.run) in agent_runs
                if not may_begin(job, key, order.run, whole_gangs):
                    self._log_withheld(view, order, job, is_listed)
                    continue
                self._send_traits(view, order)
                if not is_listed and view.link is not None:
                    log_event("start_repeated", task=order.task, run=order.run, node=view.node)
                    view.link.post(order)

    def _log_withheld(
        self, view: WorkerView, order: StartOrder, job: StoredJob, is_listed: bool
    ) -> None:
        log_event(
            "start_withheld",
            task=order.task,
            run=order.run,
            node=view.node,
            job_state=job.progress.state,
            is_listed=is_listed,
        )
        self._board.counters.count("starts_withheld")
