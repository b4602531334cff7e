"""Runs the leader's planning rounds and handles worker reports and order results."""

import asyncio
from collections.abc import Iterator

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import EndCause, OrderResult, WorkerReport
from lycheeslip_common.workload.jobs import Demand
from lycheeslip_common.workload.link import Link
from lycheeslip_common.workload.operator import OperatorConfig
from lycheeslip_common.workload.progress import open_occurrences

from lycheeslip.dispatch.advice import Advisor
from lycheeslip.dispatch.board import Board, Leadership, WorkerView
from lycheeslip.dispatch.claims import Claims
from lycheeslip.dispatch.departures import record_departure
from lycheeslip.dispatch.ends import RunEndProcessor
from lycheeslip.dispatch.occupancy import build_worker_capacities
from lycheeslip.dispatch.placement import plan_units
from lycheeslip.dispatch.placement_model import (
    DeclinedPreemption,
    Plan,
    Unit,
    UnitKey,
    WorkerCapacity,
)
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.relocation import relocate
from lycheeslip.dispatch.running import (
    record_speed,
    running_units,
    set_slow_workers_aside,
)
from lycheeslip.dispatch.slices import run_at_once, run_in_slices
from lycheeslip.dispatch.starts import RunStarter
from lycheeslip.dispatch.stops import RunStopper
from lycheeslip.dispatch.validity import may_preempt, may_start
from lycheeslip.dispatch.waiting import accelerator_reserve, collect_units

__all__ = ["Dispatcher"]

# Due times have a tolerance of 0.25 s either way; lost workers are detected by time only.
MAX_PLAN_INTERVAL_S = 0.25
COALESCE_DELAY_S = 0.005  # batches jobs and reports that arrive together into one round
ELECTION_SETTLE_S = 0.1  # the first burst of agents suffices to place urgent units
MIN_VIEW_AGE_MS = 600  # the fleet view counts as incomplete this long after an election
LINK_QUIET_MS = 250  # and for this long after the last new worker: workers connect in a burst
MAX_VIEW_WAIT_MS = 1_500  # the view counts as complete after this; latency objectives are short
CHECKPOINT_WRITE_INTERVAL_MS = 2_000  # limits writes; tasks save them every 0.5 to 2 s
SLOW_ROUND_MS = 50  # the shortest urgent jobs have about 0.5 s in all to start and to be shown
REJECTION_BACKOFF_MS = 500  # a worker that rejected an order gets no other for this long
SILENCE_BACKOFF_MS = 2_000  # a worker that was silent may be so for seconds
REJECTIONS = frozenset({"fence", "late", "no_lease", "room", "silent", "unhealthy", "worker_gone"})


class Dispatcher:
    """Plans while this entry leads; sends start orders only for recorded runs."""

    def __init__(self, board: Board, recorder: Recorder, advisor: Advisor) -> None:
        """Plan the jobs of `board`; `recorder` stores progress, `advisor` fetches approvals."""
        self._board = board
        self._recorder = recorder
        self._advisor = advisor
        self._claims = Claims()
        self._run_starter = RunStarter(board, recorder)
        self._run_stopper = RunStopper(board)
        self._run_ends = RunEndProcessor(board, recorder, self._run_stopper)
        self._checkpoints_written_ms = 0
        self._term_started_ms = 0
        self._last_worker_added_ms = 0
        self._logged_declined: set[tuple[UnitKey, int]] = set()

    def begin_term(self) -> None:
        """Reset the state of an earlier term."""
        self._term_started_ms = self._last_worker_added_ms = steady_ms()
        self._run_starter.begin_term()
        self._advisor.begin_term()
        self._claims.clear()
        self._run_stopper.begin_term()
        self._run_ends.begin_term()

    def on_records_written(self, job_ids: list[str]) -> None:
        """Send the orders and acknowledgements that depend on the records of these jobs."""
        self._run_starter.send_recorded_orders(job_ids)
        self._run_ends.acknowledge_recorded()

    async def run(self) -> None:
        """Plan on each change, and at least every `MAX_PLAN_INTERVAL_S`, while leading.

        Rounds are run in slices, so that a long one leaves time for the renewal of the lease.
        """
        await asyncio.sleep(ELECTION_SETTLE_S)
        term = self._board.leadership
        while self._leads_in(term):
            try:
                async with asyncio.timeout(MAX_PLAN_INTERVAL_S):
                    await self._board.planning_needed.wait()
                    await asyncio.sleep(COALESCE_DELAY_S)
            except TimeoutError:
                pass
            self._board.planning_needed.clear()
            if self._leads_in(term):
                await run_in_slices(self._run_round(), lambda: self._leads_in(term))

    def _leads_in(self, term: Leadership | None) -> bool:
        return term is not None and self._board.leadership is term

    def plan(self) -> None:
        """Run one planning round without a pause."""
        run_at_once(self._run_round())

    def _run_round(self) -> Iterator[None]:
        """Run one planning round; yields where it may pause.

        Once the lease has run out nothing is decided: another entry may lead, and starts can't be
        recorded for which other work would be stopped.
        """
        began = steady_ms()
        yield from self._open_occurrences()
        yield from self._run_ends.end_lost_runs(began)
        yield from self._run_stopper.stop_obsolete()
        self._record_checkpoints(began)
        self._board.is_view_complete = self._is_view_complete(began)
        yield from self._run_ends.settle_crashes(began)
        if self._may_decide(self._board.config):
            yield from self._place_units(began)
        self._board.counters.observe_ms("planning_round", steady_ms() - began)

    def _open_occurrences(self) -> Iterator[None]:
        now_ms = wall_ms()
        for job in list(self._board.jobs.values()):
            yield
            if not job.progress.has_ended and open_occurrences(job.progress, now_ms):
                self._recorder.schedule_write(job)

    def _place_units(self, began: int) -> Iterator[None]:
        """Decide what starts and what is preempted, and order what still holds after a pause."""
        board, config = self._board, self._board.config
        workers = build_worker_capacities(board)
        units: list[Unit] = []
        yield from collect_units(board, workers, self._claims.current(), units)
        plan = Plan()
        yield from plan_units(
            plan, units, workers, accelerator_reserve(board), board.is_view_complete
        )
        if not self._may_decide(config):
            board.planning_needed.set()
            return
        if board.is_view_complete:
            self._relocate(workers, plan)
        for unit, chosen in plan.starts:
            if self._may_decide(config) and may_start(board, unit, chosen):
                self._run_starter.start_unit(unit, chosen)
            yield
        for preemption in plan.stops:
            if may_preempt(board, preemption):
                self._run_stopper.preempt(preemption)
        self._claims.replace(plan.claims)
        self._advisor.replace_requests(plan.advice_requests)
        self._log_declined(plan.declined)
        self._log_if_slow(steady_ms() - began, len(workers), len(units), len(plan.blocked))

    def _may_decide(self, config: OperatorConfig | None) -> bool:
        """Return whether this entry certainly leads, and `config` is known to be in force."""
        board = self._board
        is_confirmed = board.config_age_ms <= board.times.config_valid_ms
        return board.holds_lease and config is not None and board.config is config and is_confirmed

    def _relocate(self, workers: list[WorkerCapacity], plan: Plan) -> None:
        """Stop the runs that do better elsewhere, and keep them from the workers they leave."""
        for running in relocate(running_units(self._board), workers, plan):
            self._run_stopper.relocate(running)
            set_slow_workers_aside(self._board, running)

    def _log_declined(self, declined: list[DeclinedPreemption]) -> None:
        """Log each declined preemption once for each limit."""
        logged, self._logged_declined = self._logged_declined, set()
        for unit, cost, max_cost in declined:
            key = (unit.key, round(max_cost))
            self._logged_declined.add(key)
            if key in logged:
                continue
            log_event(
                "preemption_declined",
                job=unit.job_id,
                unit=f"{unit.occurrence}.{unit.step}",
                cost_core_s=round(cost),
                max_cost_core_s=round(max_cost),
                waited_ms=wall_ms() - unit.waiting_since_ms,
                slack_ms=round(unit.slack_ms),
            )

    def _log_if_slow(self, took_ms: int, workers: int, units: int, blocked: int) -> None:
        """Log a round that took long, in which what is urgent may have waited."""
        if took_ms >= SLOW_ROUND_MS:
            log_event(
                "planning_round_slow",
                took_ms=took_ms,
                workers=workers,
                units=units,
                blocked=blocked,
            )

    def _is_view_complete(self, now_ms: int) -> bool:
        """Return whether all workers have probably connected to this new leader."""
        term_age_ms = now_ms - self._term_started_ms
        is_quiet = now_ms - self._last_worker_added_ms >= LINK_QUIET_MS
        return term_age_ms >= MAX_VIEW_WAIT_MS or (term_age_ms >= MIN_VIEW_AGE_MS and is_quiet)

    def handle_report(self, node: str, link: Link, report: WorkerReport) -> None:
        """Update the view of a worker from its agent's report and reconcile its runs."""
        view = self._board.workers.get(node)
        is_new_link = view is None or view.link is not link
        if view is None:
            view = WorkerView(node, report, steady_ms(), link)
            self._board.workers[node] = view
            self._last_worker_added_ms = steady_ms()
        if view.lifetime != report.lifetime or is_new_link:
            log_event(
                "worker_known", node=node, lifetime=report.lifetime, running=len(report.running)
            )
        if view.lifetime is not None and view.lifetime != report.lifetime:
            view.lost_lifetime_at_ms = steady_ms()
            view.backoff_until_ms = 0  # the new lifetime has rejected nothing
            self._board.history.forget_worker(view.lifetime.worker_id)
        is_only_forecast = _without_forecasts(report) == _without_forecasts(view.report)
        has_shrunk = any(
            now < before
            for now, before in zip(_capacity(report), _capacity(view.report), strict=True)
        )
        view.report, view.link, view.heard_at_ms = report, link, steady_ms()
        self._run_ends.end_older_lifetimes(node, report)
        if report.lifetime is not None:
            self._record_notice(view, report)
        for run in report.running:
            self._update_checkpoint(run.task, run.run, run.checkpoint)
            record_speed(self._board, view, run)
        self._run_ends.apply_reported_ends(view, report)
        if has_shrunk or is_new_link:
            self._run_stopper.withdraw_starts_over_capacity(report)
        if is_new_link:
            self._run_ends.reset_acknowledgement(report.lifetime)
            self._run_starter.resend(view, report)
        self._run_stopper.stop_superseded(view, report)
        if is_new_link or not is_only_forecast:
            self._board.planning_needed.set()

    def _record_notice(self, view: WorkerView, report: WorkerReport) -> None:
        """Record whether the worker has announced that it leaves."""
        if not report.is_ready and not view.has_given_notice:
            by_service = self._board.departures_by_service
            earlier = by_service.get(report.service)
            by_service[report.service] = record_departure(earlier)
        view.has_given_notice = not report.is_ready

    def _update_checkpoint(self, task_name: str, run: int, checkpoint: str) -> None:
        found = self._board.find_task(task_name)
        if found is None or not checkpoint:
            return
        task = found.task
        if task is not None and task.run == run and task.is_placed:
            found.job.has_newer_checkpoint |= task.checkpoint != checkpoint
            task.checkpoint = checkpoint

    def _record_checkpoints(self, now_ms: int) -> None:
        """Record newer checkpoints periodically, to limit the work lost with the leader."""
        if now_ms - self._checkpoints_written_ms < CHECKPOINT_WRITE_INTERVAL_MS:
            return
        self._checkpoints_written_ms = now_ms
        for job in self._board.jobs.values():
            if job.has_newer_checkpoint and not job.progress.has_ended:
                self._recorder.schedule_write(job)

    def handle_order_result(self, node: str, result: OrderResult) -> None:
        """Handle an order that ended without starting a run."""
        found = self._board.find_task(result.task)
        if found is None or found.task is None or found.task.lifetime != result.lifetime:
            return
        log_event(
            "order_without_run", task=result.task, run=result.run, node=node, reason=result.reason
        )
        self._board.counters.count("orders_without_run", result.reason)
        view = self._board.workers.get(node)
        if view is not None and result.reason in REJECTIONS:
            is_silent = result.reason == "silent"
            backoff_ms = SILENCE_BACKOFF_MS if is_silent else REJECTION_BACKOFF_MS
            view.backoff_until_ms = steady_ms() + backoff_ms
        advice = self._board.advice.get((found.job_id, *found.key[:2]))
        if advice is not None and result.reason == "ticket":
            advice.tickets.pop(result.lifetime, None)
        self._run_ends.end_run(*found, result.run, EndCause.STOPPED, "")


def _without_forecasts(report: WorkerReport) -> WorkerReport:
    """Return `report` without what changes all the time and decides nothing before it is due."""
    running = tuple(
        run._replace(progress=0, load=0, remaining_ms=-1, whole_run_ms=-1, checkpoint="")
        for run in report.running
    )
    return report._replace(running=running, remaining_ms=0)


def _capacity(report: WorkerReport) -> Demand:
    return Demand(report.cpu_milli, report.memory_mb, report.accelerators)
