"""HTTP listener of the platform stand-ins, on a free port of the loopback address."""

from collections.abc import Awaitable, Callable

from aiohttp import web

__all__ = ["Listener"]

SHUTDOWN_TIMEOUT_S = 0.05  # Short, since stopping a stand-in simulates a crash.


class Listener:
    """Serves one handler; `address` is set by `start`."""

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]) -> None:
        """Pass every request to `handler`."""
        self._handler = handler
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port, or on the same one again."""
        self._runner = web.ServerRunner(
            web.Server(self._handler, access_log=None), shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        port = int(self.address.rpartition(":")[2] or 0)
        await web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
