"""Adoption of the tasks that earlier incarnations left at the backend server."""

from lycheeslip_common.structure.fleet import GrantState
from lycheeslip_common.structure.jobs import AttemptRef
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.wire.messages import AttemptReport, ReportState

from lycheeslip_agent.backend import BackendClient, BackendError, TaskDocument
from lycheeslip_agent.blackboard import Blackboard
from lycheeslip_agent.gang import Anchor, Member
from lycheeslip_agent.gang_link import AnchorLink, LocalLink, RemoteLink
from lycheeslip_agent.grants import MemberKey
from lycheeslip_agent.runner import MemberRun
from lycheeslip_agent.runs import Runs
from lycheeslip_agent.tags import TaskTag, decode_tag

__all__ = ["Adoption"]

_STATE_BY_TASK_STATE = {
    "finished": ReportState.ANSWERED,
    "failed": ReportState.TASK_FAILED,
    "stopped": ReportState.INTERRUPTED,
    "lapsed": ReportState.LOST,
}


class Adoption:
    """Runs once, before the first session, so that nothing is granted until it is done."""

    def __init__(self, board: Blackboard, backend: BackendClient, runs: Runs) -> None:
        """Prepare the adoption; `run` performs it."""
        self._board = board
        self._backend = backend
        self._runs = runs

    async def run(self) -> None:
        """Adopt, report or delete every task; raises BackendError if a call to the server fails."""
        for document in await self._backend.tasks():
            if document.state == "loaded":
                await self._backend.stop(document.task_id)
                document = await self._backend.task(document.task_id)
            await self._handle_task(document)

    async def _handle_task(self, document: TaskDocument) -> None:
        tag = decode_tag(document.tag)
        log_event("task_found", task=document.task_id, state=document.state, known=tag is not None)
        if tag is None:
            await self._discard(document)
        elif document.state == "running":
            await self._adopt_running(document, tag)
        elif tag.grant.member == 0:
            self._record_start(tag)
            self._runs.report(_report(document, tag))
        else:
            await self._discard(document)

    async def _adopt_running(self, document: TaskDocument, tag: TaskTag) -> None:
        """Adopt a running task, but stop member 0 of a larger gang: its anchor's state is lost."""
        self._board.metrics.count("adopted")
        grant = tag.grant
        if grant.member == 0 and grant.members > 1:
            await self._backend.stop(document.task_id)
            self._record_start(tag)
            self._runs.report(_report(await self._backend.task(document.task_id), tag))
            return
        ref = AttemptRef(grant.job_id, grant.epoch, grant.attempt)
        member = Member(ref, grant.member, 0)
        link = self._link(ref, tag)
        run = MemberRun(self._board, self._backend, link, member, grant, tag.lease_ms)
        self._board.grants.adopt(grant._replace(state=GrantState.RUNNING))
        run.adopt(document.lease_until_ms)
        self._runs.adopt(run, grant, tag.worker_ids)

    def _link(self, ref: AttemptRef, tag: TaskTag) -> AnchorLink:
        settings = self._board.settings
        if tag.grant.member != 0:
            address = settings.routes.get(tag.anchor_address, tag.anchor_address)
            return RemoteLink(address, settings.fleet_key, settings.node_id)
        anchor = Anchor(ref, 1, tag.lease_ms, 0)
        anchor.adopt(monotonic_ms())
        self._board.anchors_by_key[MemberKey(ref.job_id, ref.attempt, 0)] = anchor
        return LocalLink(self._board, anchor)

    def _record_start(self, tag: TaskTag) -> None:
        grant = tag.grant
        self._board.grants.record_start(MemberKey(grant.job_id, grant.attempt, grant.member))

    async def _discard(self, document: TaskDocument) -> None:
        """Stop and delete a task; a failure is only counted."""
        try:
            await self._backend.stop(document.task_id)
            await self._backend.forget(document.task_id)
        except BackendError:
            self._board.metrics.count("backend.forget_failed")


def _report(document: TaskDocument, tag: TaskTag) -> AttemptReport:
    grant = tag.grant
    state = _STATE_BY_TASK_STATE.get(document.state, ReportState.LOST)
    if grant.members > 1:
        state = ReportState.LOST
    elif not document.started:
        state = ReportState.NOT_STARTED
    elif state is ReportState.ANSWERED and document.answer_fault():
        state = ReportState.TASK_FAILED
    answered = state is ReportState.ANSWERED
    return AttemptReport(
        ref=AttemptRef(grant.job_id, grant.epoch, grant.attempt),
        owner=grant.owner,
        worker_id=tag.worker_ids[0] if tag.worker_ids else "",
        state=state,
        answer=document.answer() if answered else b"",
        digest=document.digest if answered else "",
        checkpoint="",
        reason="" if answered else "agent_restarted",
        run_ms=document.ran_ms,
    )
