"""Composition root of the entry's dispatch: creates its controllers and runs them."""

import asyncio
from collections.abc import Awaitable, Callable

from lycheeslip_common.admission.limits import AdmissionLimits
from lycheeslip_common.admission.peers import UnidentifiedPeers
from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.store.port import KeyValueStore
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.utils.supervise import supervise
from lycheeslip_common.workload.fleet import ForwardedAnswer, ForwardedCall, Redirect
from lycheeslip_common.workload.link import listen

from lycheeslip.dispatch.advice import AdvicePort, Advisor
from lycheeslip.dispatch.board import Board
from lycheeslip.dispatch.dispatcher import Dispatcher
from lycheeslip.dispatch.forwarding import CallForwarder, ForwardedCallServer
from lycheeslip.dispatch.intake import Intake
from lycheeslip.dispatch.leadership import Election
from lycheeslip.dispatch.links import LeaderLink, LinkServer
from lycheeslip.dispatch.loader import Loader
from lycheeslip.dispatch.local_intake import LocalIntake
from lycheeslip.dispatch.operator_sync import OperatorKeys, OperatorSync
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.run_time_history import History
from lycheeslip.dispatch.run_time_keeper import RunTimeKeeper

__all__ = ["DispatchEntry"]


class DispatchEntry:
    """One entry's controllers; the caller serves its `intake` over HTTP."""

    def __init__(
        self,
        board: Board,
        store: KeyValueStore,
        operator_keys: OperatorKeys,
        advice: AdvicePort,
        limits: AdmissionLimits | None = None,
    ) -> None:
        """Create the controllers; nothing runs before `start`.

        `limits` bound the peers that have opened a link without identifying themselves.
        """
        self.board = board
        self._peers = UnidentifiedPeers(limits, board.counters)
        self._store = store
        self._recorder = Recorder(board, store, self._on_records_written, self._on_term_lost)
        self._advice = advice
        self._advisor = Advisor(board, advice)
        self._dispatcher = Dispatcher(board, self._recorder, self._advisor)
        self._loader = Loader(board, store, self._recorder)
        self._run_time_keeper = RunTimeKeeper(board, store)
        self._links = LinkServer(
            board,
            self._dispatcher,
            self._loader.apply,
            self._answer_forwarded,
            self._on_leader_announced,
        )
        self._operator = OperatorSync(board, store, operator_keys)
        self._leader_link = LeaderLink(
            board, self._operator.apply, self._on_leader_in_doubt, self._on_leader_announced
        )
        self._election = Election(
            board,
            store,
            self._begin_term,
            self._end_term,
            self._leader_link.follow,
            self._links.notify_lease_in_doubt,
        )
        self._local_intake = LocalIntake(
            board, store, self._operator, self._leader_link, self._on_record_stored
        )
        self.intake = Intake(board, self._local_intake, CallForwarder(board, self._operator.apply))
        self._forwarded_calls = ForwardedCallServer(board, self._local_intake, self._operator)
        self._term_tasks: list[asyncio.Task[None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen for connections and run the controllers."""
        self._server = await listen(self.board.address, self._links.serve, self._peers)
        controllers: tuple[Callable[[], Awaitable[None]], ...] = (
            self._operator.run,
            self._election.run,
            self._recorder.run,
            self._recorder.forget_ended,
        )
        self._tasks = [
            asyncio.create_task(supervise(controller, self.board.counters))
            for controller in controllers
        ]

    async def release_leadership(self) -> None:
        """Give up leadership for good, so that another entry can lead; calls are still served."""
        self.board.is_leaving = True
        await self._election.release()

    async def stop(self) -> None:
        """Release the leader lease and stop all controllers."""
        await self.release_leadership()
        await self.abandon()

    async def abandon(self) -> None:
        """Stop all controllers at once; a lease in the store is left to expire."""
        self._end_term()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._server.close()
        await self._store.close()
        await self._advice.close()

    async def _begin_term(self) -> bool:
        board, term = self.board, self.board.leadership
        board.is_loaded = False
        board.jobs.clear()
        board.workers.clear()
        board.lease_extended_at_ms.clear()
        board.history = History()
        self._dispatcher.begin_term()
        # an entry without the store may have missed an evacuation: leaders confirm versions only
        if not await self._operator.refresh() or not await self._loader.load():
            return False
        if board.leadership is not term:
            return False
        board.is_loaded = True
        self._term_tasks = [
            asyncio.create_task(supervise(controller, self.board.counters))
            for controller in (
                self._loader.run,
                self._dispatcher.run,
                self._advisor.run,
                self._run_time_keeper.run,
            )
        ]
        return True

    def _end_term(self) -> None:
        self.board.is_loaded = False
        for task in self._term_tasks:
            task.cancel()
        self._term_tasks = []
        self._links.close_all()

    def _on_record_stored(self, item: KeyValue) -> None:
        """Pass a record that this entry stored to the leader ahead of the leader's watch."""
        if self.board.is_loaded:
            self._loader.apply(item)
        else:
            self._leader_link.send_stored_record(item)

    def _on_records_written(self, job_ids: list[str]) -> None:
        self._dispatcher.on_records_written(job_ids)

    async def _answer_forwarded(self, message: ForwardedCall) -> ForwardedAnswer:
        return await self._forwarded_calls.answer(message)

    def _on_leader_announced(self, leader: Redirect) -> None:
        self._election.on_leader_announced(leader)

    def _on_leader_in_doubt(self) -> None:
        self._election.on_leader_in_doubt()

    def _on_term_lost(self) -> None:
        self._election.on_term_lost()

    def log_start(self) -> None:
        """Log this entry's node, zone and listening address."""
        log_event(
            "entry_started",
            node=self.board.node,
            zone=self.board.zone,
            address=self.board.address,
        )
