"""Stand-in for the platform's advice service, which decides one call at a time."""

import asyncio
from collections import Counter

import msgspec
from aiohttp import web

from lycheeslip_standins.platform.listener import Listener

__all__ = ["PlatformAdviceServer"]


class PlatformAdviceServer:
    """Approves the workers in `approved`; `asked` counts the decided calls by step.

    While `statuses` is not empty, each call takes the first status from it and fails with it.
    """

    def __init__(self, decision_ms: int = 20, per_worker_ms: int = 1) -> None:
        """Take `decision_ms`, plus `per_worker_ms` for each worker, to decide a call."""
        self.decision_ms, self.per_worker_ms = decision_ms, per_worker_ms
        self.validity_ms = 1_500
        self.approved: set[str] = set()
        self.statuses: list[int] = []
        self.asked: Counter[str] = Counter()
        self._listener = Listener(self._handle)
        self._decision_lock = asyncio.Lock()

    @property
    def address(self) -> str:
        """Address (host:port) on which the service listens."""
        return self._listener.address

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._listener.stop()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        if self.statuses:
            return web.Response(status=self.statuses.pop(0))
        self.asked[body["step"]] += 1
        async with self._decision_lock:
            duration_ms = self.decision_ms + self.per_worker_ms * len(body["workers"])
            await asyncio.sleep(duration_ms / 1_000)
        rows = [
            [worker_id, f"{body['step']}@{worker_id}@{self.asked[body['step']]}"]
            for worker_id in body["workers"]
            if worker_id in self.approved
        ]
        content = msgspec.json.encode({"approved": rows, "validity_ms": self.validity_ms})
        return web.Response(body=content, content_type="application/json")
