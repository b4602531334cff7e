"""Starts member runs, and reports the outcome of a gang when it ends."""

import asyncio
from contextlib import suppress

from lycheeslip_common.structure.fleet import Grant
from lycheeslip_common.structure.jobs import LEASE_MS_PER_MEMBER, AttemptRef
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.wire.messages import AttemptReport, Prepare, ReportState

from lycheeslip_agent.backend import BackendClient, BackendError, TaskLoad
from lycheeslip_agent.background import BackgroundTasks
from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.gang import Anchor, GangCause, GangOutcome, Member
from lycheeslip_agent.gang_link import AnchorLink, LocalLink, RemoteLink
from lycheeslip_agent.grants import MemberKey
from lycheeslip_agent.runner import HOLD_MARGIN_MS, MemberRun
from lycheeslip_agent.tags import TaskTag, encode_tag

__all__ = ["Runs"]

ANCHOR_RETENTION_S = 60.0
_STATE_BY_CAUSE = {
    GangCause.TASK_FAILED: ReportState.TASK_FAILED,
    GangCause.INTERRUPTED: ReportState.INTERRUPTED,
    GangCause.LOST: ReportState.LOST,
    GangCause.NOT_STARTED: ReportState.NOT_STARTED,
}


class Runs:
    """All member runs of this agent."""

    def __init__(self, board: Blackboard, backend: BackendClient) -> None:
        """Create an empty set of runs."""
        self._board = board
        self._backend = backend
        self._background = BackgroundTasks(board.metrics)
        self._loading_by_key: dict[MemberKey, asyncio.Task[str]] = {}

    async def prepare(self, message: Prepare) -> str:
        """Load a reserved member's task; return "" or the reason why it will not start."""
        now_ms = monotonic_ms()
        reason = self._board.grants.prepare(message, now_ms)
        if reason:
            return reason
        key = MemberKey(message.ref.job_id, message.ref.attempt, message.member)
        held = self._board.grants.held_by_key.get(key)
        if key not in self._loading_by_key and held is not None:
            loading = asyncio.create_task(self._load(message, held.grant, held.until_ms))
            self._loading_by_key[key] = loading
            loading.add_done_callback(lambda _: self._loading_by_key.pop(key, None))
        waiting = self._loading_by_key.get(key)
        if waiting is not None:
            return await asyncio.shield(waiting)
        run = self._board.runs_by_key.get(key)
        return run.member.reason if run is not None and not run.may_have_started else ""

    async def _load(self, message: Prepare, grant: Grant, start_by_ms: int) -> str:
        lease_ms = self._lease_ms(grant.members)
        run = self._new_run(message, grant, lease_ms, start_by_ms)
        self._board.mark_changed()
        hold_ms = message.start_within_ms + HOLD_MARGIN_MS
        reason = await run.load(self._load_body(message, grant, lease_ms, hold_ms))
        if reason:
            run.abort(reason)
        worker_ids = tuple(place.worker_id for place in message.placement)
        self._background.spawn(self._run_to_end(run, grant, worker_ids))
        return run.member.reason

    def adopt(self, run: MemberRun, grant: Grant, worker_ids: tuple[str, ...]) -> None:
        """Continue a run whose task an earlier incarnation has started."""
        self._board.runs_by_key[run.key] = run
        self._background.spawn(self._run_to_end(run, grant, worker_ids))

    async def cancel(self) -> None:
        """Cancel all runs; their tasks go on at the backend server until their leases end."""
        await self._background.cancel()

    def report(self, report: AttemptReport) -> None:
        """Queue an outcome for its owner until the owner confirms it."""
        self._board.metrics.count(f"report.{report.state}")
        log_event("attempt_ended", attempt=report.ref.key, state=report.state, why=report.reason)
        self._board.outbox.add(report)
        self._board.mark_changed()

    async def forget_task(self, key: MemberKey) -> None:
        """Delete an ended task and its result at the backend server; failures are ignored."""
        with suppress(BackendError):
            await self._backend.forget(key.task_id)

    def _new_run(
        self, message: Prepare, grant: Grant, lease_ms: int, start_by_ms: int
    ) -> MemberRun:
        link: AnchorLink
        if message.member == 0:
            anchor = Anchor(message.ref, grant.members, lease_ms, start_by_ms)
            self._board.anchors_by_key[_anchor_key(message.ref)] = anchor
            link = LocalLink(self._board, anchor)
        else:
            settings = self._board.settings
            anchor_address = message.placement[0].address
            address = settings.routes.get(anchor_address, anchor_address)
            link = RemoteLink(address, settings.fleet_key, settings.node_id)
        member = Member(message.ref, message.member, start_by_ms)
        run = MemberRun(self._board, self._backend, link, member, grant, lease_ms)
        self._board.runs_by_key[run.key] = run
        return run

    def _load_body(self, message: Prepare, grant: Grant, lease_ms: int, hold_ms: int) -> TaskLoad:
        anchor_address = message.placement[0].address if message.placement else ""
        worker_ids = tuple(place.worker_id for place in message.placement)
        tag = TaskTag(grant, self._board.incarnation, lease_ms, anchor_address, worker_ids)
        return TaskLoad(
            job_id=grant.job_id,
            attempt=grant.attempt,
            member=grant.member,
            members=grant.members,
            accelerators=grant.accelerators,
            payload=message.payload,
            checkpoint=message.checkpoint,
            hold_ms=hold_ms,
            tag=encode_tag(tag),
        )

    def _lease_ms(self, members: int) -> int:
        directive = self._board.permit.directive
        if directive is None:
            return 0
        if members == 1:
            return directive.lease_ms
        return max(directive.gang_lease_ms, members * LEASE_MS_PER_MEMBER)

    async def _run_to_end(self, run: MemberRun, grant: Grant, worker_ids: tuple[str, ...]) -> None:
        anchor = self._board.anchors_by_key.get(run.key)
        try:
            await run.run()
        finally:
            self._board.runs_by_key.pop(run.key, None)
        if anchor is None:
            await self.forget_task(run.key)
            return
        node_id = self._board.settings.node_id
        self.report(_outcome_report(run, anchor, grant, node_id, worker_ids))
        loop = asyncio.get_running_loop()
        loop.call_later(ANCHOR_RETENTION_S, self._board.anchors_by_key.pop, run.key, None)


def _anchor_key(ref: AttemptRef) -> MemberKey:
    return MemberKey(ref.job_id, ref.attempt, 0)


def _outcome_report(
    run: MemberRun, anchor: Anchor, grant: Grant, node_id: str, worker_ids: tuple[str, ...]
) -> AttemptReport:
    outcome = anchor.outcome or GangOutcome(GangCause.LOST, 0, "anchor_ended")
    result = run.result
    state = _report_state(outcome, run, anchor.members)
    answer, digest = b"", ""
    if state is ReportState.ANSWERED and result is not None:
        answer, digest = result.answer(), result.digest
    return AttemptReport(
        ref=anchor.ref,
        owner=grant.owner,
        worker_id=node_id,
        state=state,
        answer=answer,
        digest=digest,
        checkpoint=run.checkpoint if state is ReportState.INTERRUPTED else "",
        reason=outcome.reason,
        run_ms=result.ran_ms if result is not None else 0,
        blamed=_blamed_worker(outcome, worker_ids),
    )


def _blamed_worker(outcome: GangOutcome, worker_ids: tuple[str, ...]) -> str:
    if outcome.cause is None or outcome.member >= len(worker_ids):
        return ""
    return worker_ids[outcome.member]


def _report_state(outcome: GangOutcome, run: MemberRun, members: int) -> ReportState:
    """Return the state to report; for a gang of one, its backend server's result decides."""
    if outcome.cause is None:
        return ReportState.ANSWERED
    result = run.result
    if members == 1 and result is not None and result.state == "finished":
        return ReportState.TASK_FAILED if result.answer_fault() else ReportState.ANSWERED
    is_unstarted = result is not None and not result.started
    if members == 1 and (is_unstarted or not run.may_have_started):
        return ReportState.NOT_STARTED
    return _STATE_BY_CAUSE[outcome.cause]
