"""Health checks of the backend server."""

from lycheeslip_common.structure.fleet import WorkerInfo
from lycheeslip_common.utils.logs import log_event, log_warning

from lycheeslip_agent.backend import BackendClient, BackendError, ServerDocument
from lycheeslip_agent.blackboard import Blackboard

__all__ = ["BackendHealth"]

MAX_FAILURES = 3


class BackendHealth:
    """Marks the worker as leaving while its backend server is leaving or does not answer."""

    def __init__(self, board: Blackboard, backend: BackendClient) -> None:
        """Check the server that `backend` calls."""
        self._board = board
        self._backend = backend
        self._failures = 0

    async def check(self) -> None:
        """Query the server once."""
        try:
            document = await self._backend.server()
        except BackendError as error:
            self._failures += 1
            if self._failures == MAX_FAILURES:
                log_warning("backend_server_silent", reason=error.reason)
                self._set_leaving(True)
            return
        self._failures = 0
        info = self._worker_info(document)
        if info != self._board.info:
            self._board.grants.info = info
            self._board.mark_changed()
        self._set_leaving(document.leaving)

    def _set_leaving(self, leaving: bool) -> None:
        if leaving != self._board.backend_leaving:
            log_event("backend_server_leaving", leaving=leaving)
            self._board.backend_leaving = leaving
            self._board.set_leaving()

    def _worker_info(self, document: ServerDocument) -> WorkerInfo:
        settings = self._board.settings
        return WorkerInfo(
            worker_id=settings.node_id,
            region=settings.region,
            zone=settings.zone,
            rack=settings.rack,
            address=self._board.address,
            accelerators=document.accelerators,
            processors=document.processors,
            memory_mb=document.memory_mb,
            slots=document.slots,
        )
