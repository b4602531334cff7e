"""An HTTP listener on a free port of the loopback address, for the stand-ins."""

from collections.abc import Awaitable, Callable

from aiohttp import web

__all__ = ["Listener"]

SHUTDOWN_S = 0.05  # stand-ins crash rather than wait for their callers


class Listener:
    """Serves one handler; `address` is known once it has started."""

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]) -> None:
        """Pass every request to `handler`."""
        self._handler = handler
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._runner = web.ServerRunner(
            web.Server(self._handler, access_log=None), shutdown_timeout=SHUTDOWN_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
