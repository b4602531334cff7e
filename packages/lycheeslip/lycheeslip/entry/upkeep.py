"""Periodic duties: permits, directives, the home map and the retention of answers."""

import asyncio

from lycheeslip_common.store import Store
from lycheeslip_common.store.outcomes import Conflict, Written
from lycheeslip_common.structure.jobs import JobState
from lycheeslip_common.utils.clock import monotonic_ms, wall_ms
from lycheeslip_common.utils.logs import log_event

from lycheeslip.entry.agent_sessions import AgentSessions
from lycheeslip.entry.blackboard import Blackboard, HomesRecord
from lycheeslip.entry.job_store import JobStore
from lycheeslip.entry.permits import permit_until_ms
from lycheeslip.entry.planner import is_planner
from lycheeslip.entry.records import HOMES_KEY, StoredHomes, encode_homes
from lycheeslip.policy.health import HealthByWorker
from lycheeslip.policy.homes import assign_homes

__all__ = ["Upkeep"]

PERMIT_EVERY_S = 0.1
HOMES_EVERY_S = 1.0
RETENTION_EVERY_S = 30.0
FORGET_WORKER_AFTER_MS = 600_000
MILLISECONDS_PER_SECOND = 1000


class Upkeep:
    """Runs the duties that follow the clock rather than a message."""

    def __init__(
        self,
        board: Blackboard,
        store: Store,
        jobs: JobStore,
        agents: AgentSessions,
        health: HealthByWorker,
        permit_ms: int,
    ) -> None:
        """Issue permits of `permit_ms` from each confirmation."""
        self._board = board
        self._store = store
        self._jobs = jobs
        self._agents = agents
        self._health = health
        self._permit_ms = permit_ms

    async def keep_permits(self) -> None:
        """Work out the permit and push changed directives, for ever."""
        while True:
            self.update_permit()
            await self._agents.push_directives()
            await asyncio.sleep(PERMIT_EVERY_S)

    def update_permit(self) -> None:
        """Set how long this entry's permits last; only a holder may extend them."""
        board = self._board
        is_holder = board.info.entry_id in board.holders_by_id and not board.leaving
        board.permit_until_ms = permit_until_ms(
            board.confirmed_at_ms,
            board.config.revision,
            self._permit_ms,
            board.store_reachable,
            board.expected_peers() if is_holder else frozenset(),
            board.peers_by_id,
            board.info.entry_id,
        )

    async def keep_homes(self) -> None:
        """Agree on a new home map when the topology or the guarantees change, for ever."""
        while True:
            if is_planner(self._board) and self._board.store_reachable:
                await self.renew_homes()
            await asyncio.sleep(HOMES_EVERY_S)

    async def keep_retention(self) -> None:
        """Forget finished jobs after their retention and workers long gone, for ever."""
        while True:
            await asyncio.sleep(RETENTION_EVERY_S)
            self._forget_workers()
            if is_planner(self._board) and self._board.store_reachable:
                await self._forget_jobs()

    async def renew_homes(self) -> None:
        """Write a new home map if the topology or the guarantees call for one."""
        known = self._board.homes
        workers = {worker_id: view.state for worker_id, view in self._board.workers_by_id.items()}
        unfit = frozenset(self._health.by_worker())
        homes = dict(assign_homes(self._board.config, workers, known.homes, unfit))
        if homes == known.homes:
            return
        stored = StoredHomes(version=known.version + 1, homes=homes)
        outcome = await self._store.write_if(HOMES_KEY, encode_homes(stored), known.mod_revision)
        match outcome:
            case Written(revision):
                self._board.homes = HomesRecord(stored["version"], homes, revision)
                log_event("homes_assigned", version=stored["version"], workers=len(homes))
            case Conflict(current):
                # A store restored to an older state holds another revision of an older map.
                revision = current.mod_revision if current is not None else 0
                self._board.homes = self._board.homes._replace(mod_revision=revision)

    async def _forget_jobs(self) -> None:
        retention_ms = self._board.config.limits.answer_retention_s * MILLISECONDS_PER_SECOND
        before_ms = wall_ms() - retention_ms
        for job_id, job in list(self._board.jobs.by_id.items()):
            is_done = job.record["state"] is JobState.DONE
            if is_done and job.record["done_at_ms"] < before_ms:
                await self._jobs.forget(job_id)

    def _forget_workers(self) -> None:
        before_ms = monotonic_ms() - FORGET_WORKER_AFTER_MS
        for worker_id, view in list(self._board.workers_by_id.items()):
            if 0 < view.gone_at_ms < before_ms:
                del self._board.workers_by_id[worker_id]
