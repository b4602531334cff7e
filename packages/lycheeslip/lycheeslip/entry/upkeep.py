"""Periodic tasks: permits, directives, the home map and the retention of finished jobs."""

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

PERMIT_INTERVAL_S = 0.1
HOMES_INTERVAL_S = 1.0
RETENTION_INTERVAL_S = 30.0
WORKER_RETENTION_MS = 600_000
MILLISECONDS_PER_SECOND = 1000


class Upkeep:
    """Runs the tasks that are triggered by time rather than by a message."""

    def __init__(
        self,
        board: Blackboard,
        store: Store,
        jobs: JobStore,
        agents: AgentSessions,
        health: HealthByWorker,
        permit_ms: int,
    ) -> None:
        """Issue permits that last `permit_ms` from each confirmation."""
        self._board = board
        self._store = store
        self._jobs = jobs
        self._agents = agents
        self._health = health
        self._permit_ms = permit_ms

    async def keep_permits(self) -> None:
        """Update the permit and push changed directives until cancelled."""
        while True:
            self.update_permit()
            await self._agents.push_directives()
            await asyncio.sleep(PERMIT_INTERVAL_S)

    def update_permit(self) -> None:
        """Set the end of this entry's permits; only a holder may extend them without the store."""
        board = self._board
        is_holder = board.info.entry_id in board.permit_holders_by_id and not board.leaving
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
        """Update the home map periodically until cancelled, on the planning entry."""
        while True:
            if is_planner(self._board) and self._board.store_reachable:
                await self.renew_homes()
            await asyncio.sleep(HOMES_INTERVAL_S)

    async def keep_retention(self) -> None:
        """Delete finished jobs after their retention and remove workers long disconnected."""
        while True:
            await asyncio.sleep(RETENTION_INTERVAL_S)
            self._remove_disconnected_workers()
            if is_planner(self._board) and self._board.store_reachable:
                await self._delete_expired_jobs()

    async def renew_homes(self) -> None:
        """Write a new home map if workers, their health or the configuration require one."""
        known = self._board.homes
        workers = {worker_id: view.state for worker_id, view in self._board.workers_by_id.items()}
        unhealthy = frozenset(self._health.by_worker())
        homes = dict(assign_homes(self._board.config, workers, known.homes, unhealthy))
        if homes == known.homes:
            return
        stored = StoredHomes(version=known.version + 1, homes=homes)
        outcome = await self._store.write_if(HOMES_KEY, encode_homes(stored), known.mod_revision)
        match outcome:
            case Written(revision):
                self._board.homes = HomesRecord(stored["version"], homes, revision)
                log_event("homes_assigned", version=stored["version"], workers=len(homes))
            case Conflict(current):
                # A store restored to an older state holds an older map under another revision.
                revision = current.mod_revision if current is not None else 0
                self._board.homes = self._board.homes._replace(mod_revision=revision)

    async def _delete_expired_jobs(self) -> None:
        retention_ms = self._board.config.limits.answer_retention_s * MILLISECONDS_PER_SECOND
        before_ms = wall_ms() - retention_ms
        for job_id, job in list(self._board.jobs.by_id.items()):
            is_done = job.record["state"] is JobState.DONE
            if is_done and job.record["done_at_ms"] < before_ms:
                await self._jobs.forget(job_id)

    def _remove_disconnected_workers(self) -> None:
        before_ms = monotonic_ms() - WORKER_RETENTION_MS
        for worker_id, view in list(self._board.workers_by_id.items()):
            if 0 < view.disconnected_at_ms < before_ms:
                del self._board.workers_by_id[worker_id]
