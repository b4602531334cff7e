"""The leader's decisions: when to plan, and what reports and results lead to."""

import asyncio

from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.workload.fleet import EndCause, OrderResult, WorkerReport
from lycheeslip_common.workload.link import Link
from lycheeslip_common.workload.progress import open_occurrences

from lycheeslip.dispatch.advice import Advisor
from lycheeslip.dispatch.board import Board, WorkerView
from lycheeslip.dispatch.claims import Claims
from lycheeslip.dispatch.ends import Ends
from lycheeslip.dispatch.occupancy import build_rooms
from lycheeslip.dispatch.placement import plan_round
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.starts import Starts
from lycheeslip.dispatch.stops import Stops
from lycheeslip.dispatch.waiting import build_units, reserve_of

__all__ = ["Dispatcher"]

TICK_S = 0.25  # schedules may start 0.25 s early or late, and lost workers show by time alone
COALESCE_S = 0.005  # one round for jobs and reports that arrive together
GATHER_S = 0.1  # after an election: a first burst of agents; urgent units place well enough on it
SETTLE_MS = 600  # after an election no view of the fleet is held to be whole before this
QUIET_LINKS_MS = 250  # and none while workers came up this lately: they link up in a burst
GATHER_LIMIT_MS = 1_500  # past this the view counts as whole whatever comes; objectives are short
CHECKPOINT_RECORD_MS = 2_000  # one write in this time; tasks save their progress once a second
REJECTED_PAUSE_MS = 500  # a worker that rejected an order gets no other before this
REJECTIONS = frozenset({"fence", "late", "no_lease", "room", "unhealthy"})


class Dispatcher:
    """Plans while this entry leads; acts only on what is recorded."""

    def __init__(self, board: Board, recorder: Recorder, advisor: Advisor) -> None:
        """Work on `board`, recording with `recorder` and asking `advisor` where queues need it."""
        self._board = board
        self._recorder = recorder
        self._advisor = advisor
        self._claims = Claims()
        self._starts = Starts(board, recorder)
        self._stops = Stops(board)
        self._ends = Ends(board, recorder, self._stops)
        self._checkpoints_recorded_ms = 0
        self._led_since_ms = 0
        self._worker_met_ms = 0

    def begin_term(self) -> None:
        """Forget what an earlier term had in progress."""
        self._led_since_ms = self._worker_met_ms = steady_ms()
        self._starts.begin_term()
        self._advisor.begin_term()
        self._claims.clear()
        self._stops.begin_term()
        self._ends.begin_term()

    def note_recorded(self, job_ids: list[str]) -> None:
        """Release what waited for the records of these jobs."""
        self._starts.release(job_ids)
        self._ends.acknowledge_recorded()

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
                self._recorder.mark(job)
        self._ends.end_lost_runs(began)
        self._stops.stop_orphans()
        self._record_checkpoints(began)
        if self._can_start():
            rooms = build_rooms(self._board)
            units = build_units(self._board, rooms, self._claims.current())
            plan = plan_round(units, rooms, reserve_of(self._board), self._is_view_whole(began))
            for unit, chosen in plan.starts:
                self._starts.begin(unit, chosen)
            for preemption in plan.stops:
                self._stops.preempt(preemption)
            self._claims.replace(plan.claims)
            self._advisor.want(plan.advice_requests)
        self._board.counters.observe_ms("planning_round", steady_ms() - began)

    def _is_view_whole(self, now_ms: int) -> bool:
        """Return whether all workers have probably linked up with this new leader."""
        led_ms = now_ms - self._led_since_ms
        is_quiet = now_ms - self._worker_met_ms >= QUIET_LINKS_MS
        return led_ms >= GATHER_LIMIT_MS or (led_ms >= SETTLE_MS and is_quiet)

    def _can_start(self) -> bool:
        """Return whether the store has confirmed the configuration lately."""
        board = self._board
        return board.config is not None and board.config_age_ms <= board.times.config_valid_ms

    def take_report(self, node: str, link: Link, report: WorkerReport) -> None:
        """Take in all that an agent says of its worker."""
        view = self._board.workers.get(node)
        is_new_link = view is None or view.link is not link
        if view is None:
            view = WorkerView(node, report, steady_ms(), link)
            self._board.workers[node] = view
            self._worker_met_ms = steady_ms()
        if view.lifetime != report.lifetime or is_new_link:
            log_event(
                "worker_known", node=node, lifetime=report.lifetime, running=len(report.running)
            )
        if view.lifetime is not None and view.lifetime != report.lifetime:
            view.lost_life_at_ms = steady_ms()
        view.report, view.link, view.heard_at_ms = report, link, steady_ms()
        self._ends.end_older_lifetimes(node, report)
        for run in report.running:
            self._take_checkpoint(run.task, run.run, run.checkpoint)
        self._ends.take_listed(view, report)
        if is_new_link:
            self._ends.acknowledge_again(report.lifetime)
            self._starts.resend(view, report)
        self._stops.stop_strays(view, report)
        self._board.work_to_plan.set()

    def _take_checkpoint(self, text: str, run: int, checkpoint: str) -> None:
        found = self._board.find_task(text)
        if found is None or not checkpoint:
            return
        task = found.task
        if task is not None and task.run == run and task.is_placed:
            found.job.has_newer_checkpoint |= task.checkpoint != checkpoint
            task.checkpoint = checkpoint

    def _record_checkpoints(self, now_ms: int) -> None:
        """Record newer checkpoints now and then, so that a lost leader costs little work."""
        if now_ms - self._checkpoints_recorded_ms < CHECKPOINT_RECORD_MS:
            return
        self._checkpoints_recorded_ms = now_ms
        for job in self._board.jobs.values():
            if job.has_newer_checkpoint and not job.progress.has_ended:
                self._recorder.mark(job)

    def take_order_result(self, node: str, result: OrderResult) -> None:
        """Take in that an order ended without a run."""
        found = self._board.find_task(result.task)
        if found is None or found.task is None or found.task.lifetime != result.lifetime:
            return
        log_event(
            "order_without_run", task=result.task, run=result.run, node=node, reason=result.reason
        )
        self._board.counters.count("orders_without_run", result.reason)
        view = self._board.workers.get(node)
        if view is not None and result.reason in REJECTIONS:
            view.avoided_until_ms = steady_ms() + REJECTED_PAUSE_MS
        advice = self._board.advice.get((found.job_id, *found.key[:2]))
        if advice is not None and result.reason == "ticket":
            advice.tickets.pop(result.lifetime, None)
        self._ends.end(*found, result.run, EndCause.STOPPED, "")
