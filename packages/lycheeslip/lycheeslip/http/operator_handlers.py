"""HTTP handlers for operators: configuration, fleet, worker draining, health and counters."""

import asyncio
from hashlib import sha256

from aiohttp import web
from lycheeslip_common.store.outcomes import Unreachable
from lycheeslip_common.structure.jobs import AttemptRef
from lycheeslip_common.utils.logs import log_event
from lycheeslip_common.wire.messages import Control, ControlAction

from lycheeslip.entry.blackboard import Blackboard
from lycheeslip.entry.config_apply import (
    Applied,
    ConfigApply,
    Invalid,
    RevisionConflict,
    UnaccountedEntries,
)
from lycheeslip.entry.router import Router
from lycheeslip.http.access import caller_of
from lycheeslip.http.fleet_document import fleet_document
from lycheeslip.http.problems import ProblemItem, problem, store_problem
from lycheeslip.policy.health import HealthByWorker

__all__ = ["OperatorHandlers"]

MAX_REVISION_DIGITS = 15
SYNC_RETRY_MS = 1_000


class OperatorHandlers:
    """Handles `/v1/config`, `/v1/fleet`, `/v1/workers`, `/v1/counters` and the health checks."""

    def __init__(
        self,
        board: Blackboard,
        router: Router,
        config_apply: ConfigApply,
        health: HealthByWorker,
    ) -> None:
        """Apply configurations through `config_apply`; `health` gives the quarantined workers."""
        self._board = board
        self._router = router
        self._config_apply = config_apply
        self._health = health

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of these handlers to `app`."""
        app.router.add_get("/v1/fleet", self.fleet)
        app.router.add_get("/v1/config", self.show_config)
        app.router.add_put("/v1/config", self.apply_config)
        app.router.add_get("/v1/config/history", self.history)
        app.router.add_post("/v1/workers/{worker_id}/drain", self.drain)
        app.router.add_post("/v1/workers/{worker_id}/undrain", self.undrain)
        app.router.add_get("/v1/counters", self.counters)
        app.router.add_get("/healthz", self.health)
        app.router.add_get("/readyz", self.ready)

    async def fleet(self, request: web.Request) -> web.StreamResponse:
        """Return the fleet document."""
        return web.json_response(
            fleet_document(self._board, caller_of(request), self._health.by_worker())
        )

    async def show_config(self, request: web.Request) -> web.StreamResponse:
        """Return the active configuration."""
        if not self._board.synced:
            detail = "This entry has not loaded the store yet."
            return problem(503, "not_synced", detail, retry_in_ms=SYNC_RETRY_MS)
        applied = self._board.applied
        return web.json_response(
            {
                "revision": applied.config.revision,
                "text": applied.text,
                "applied_at_ms": applied.applied_at_ms,
            }
        )

    async def apply_config(self, request: web.Request) -> web.StreamResponse:
        """Apply a configuration.

        Shielded from cancellation, so that a client that disconnects can't leave a new revision
        announced to only some of the entries.
        """
        expected = request.headers.get("If-Match", "").strip('"')
        if not expected.isascii() or not expected.isdigit() or len(expected) > MAX_REVISION_DIGITS:
            detail = 'If-Match must give the revision to replace, such as "3".'
            return problem(428, "revision_required", detail)
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError:
            return problem(400, "malformed_body", "The configuration is not UTF-8 text.")
        without = frozenset(request.query.get("without", "").split(",")) - {""}
        outcome = await asyncio.shield(self._config_apply.apply(text, int(expected), without))
        match outcome:
            case Applied(revision, confirmed_by):
                return web.json_response({"revision": revision, "confirmed_by": list(confirmed_by)})
            case RevisionConflict(expected_revision, current):
                detail = (
                    f"Revision {expected_revision} was expected but {current} is in force; "
                    "nothing changed."
                )
                return problem(412, "revision_conflict", detail)
            case UnaccountedEntries(entry_ids):
                detail = (
                    f"Entries were lost without deregistering and may still permit starts: "
                    f"{', '.join(entry_ids)}. Make sure that they have stopped and list them "
                    "in the query parameter `without`; nothing changed."
                )
                return problem(409, "entries_unaccounted", detail, retry_in_ms=SYNC_RETRY_MS)
            case Invalid(error):
                items = [
                    ProblemItem(line=item.line, key=item.key, message=item.message)
                    for item in error.problems
                ]
                return problem(422, "invalid_config", "Nothing changed.", errors=items)
            case Unreachable():
                return store_problem(outcome)

    async def history(self, request: web.Request) -> web.StreamResponse:
        """Return the applied revisions."""
        outcome = await self._config_apply.history()
        if isinstance(outcome, Unreachable):
            return store_problem(outcome)
        items = [
            {
                "revision": item["revision"],
                "applied_at_ms": item["applied_at_ms"],
                "digest": sha256(item["text"].encode()).hexdigest(),
            }
            for item in outcome
        ]
        return web.json_response({"items": items})

    async def drain(self, request: web.Request) -> web.StreamResponse:
        """Ask a worker's agent to accept no new work."""
        return await self._send_control(request, ControlAction.STOP, "drain")

    async def undrain(self, request: web.Request) -> web.StreamResponse:
        """Ask a drained worker's agent to accept work again."""
        return await self._send_control(request, ControlAction.UNTHROTTLE, "undrain")

    async def _send_control(
        self, request: web.Request, action: ControlAction, reason: str
    ) -> web.StreamResponse:
        """Send a control without an attempt: STOP drains the worker, UNTHROTTLE undrains it."""
        worker_id = request.match_info["worker_id"]
        if worker_id not in self._board.workers_by_id:
            return problem(404, "unknown_worker", f"No worker {worker_id!r} is known.")
        no_attempt = AttemptRef("", 0, 0)
        control = Control(no_attempt, 0, action, 0, reason)
        if not await self._router.to_worker(worker_id, control):
            return problem(503, "worker_unreachable", "Nothing changed.", retry_in_ms=1_000)
        log_event(f"worker_{reason}_asked", worker=worker_id)
        return web.json_response({"worker_id": worker_id}, status=202)

    async def counters(self, request: web.Request) -> web.StreamResponse:
        """Return the counters of this entry and the traffic of its open sessions."""
        counts = dict(self._board.metrics.counts)
        return web.json_response({"counts": counts, "sessions": self._router.traffic()})

    async def health(self, request: web.Request) -> web.StreamResponse:
        """Liveness check: the process serves requests."""
        return web.json_response({"healthy": True})

    async def ready(self, request: web.Request) -> web.StreamResponse:
        """Readiness check: tells whether the load balancer should send requests to this entry."""
        if self._board.leaving:
            return problem(503, "entry_leaving", "This entry is shutting down.")
        if not self._board.synced:
            return problem(503, "not_synced", "This entry has not loaded the store yet.")
        return web.json_response({"ready": True})
