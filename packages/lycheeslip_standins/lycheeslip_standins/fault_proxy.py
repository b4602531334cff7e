"""TCP proxy for several routes, with fault injection over HTTP.

Run it with `python -m lycheeslip_standins.fault_proxy --admin 127.0.0.1:9000`.
"""

import asyncio
from typing import Annotated, NamedTuple

import typer
import uvloop
from aiohttp import web
from lycheeslip_common.utils.logs import configure_logs, log_event
from pydantic import TypeAdapter, ValidationError

from lycheeslip_standins.proxy_route import ProxyRoute, RouteFaults

__all__ = ["FaultProxy"]

STOP_TIMEOUT_S = 0.2


class RouteRequest(NamedTuple):
    """Body of `POST /routes`."""

    name: str
    target: str
    listen: str = "127.0.0.1:0"


_faults_adapter = TypeAdapter(RouteFaults)
_route_adapter = TypeAdapter(RouteRequest)


class FaultProxy:
    """Manages routes by name and serves the admin interface that adds them and sets faults."""

    def __init__(self, admin_address: str = "") -> None:
        """Serve the admin interface at `admin_address` (host:port) unless it is empty."""
        self.admin_address = admin_address
        self.routes_by_name: dict[str, ProxyRoute] = {}
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start serving and update `admin_address` with the bound port."""
        if not self.admin_address:
            return
        host, _, port = self.admin_address.rpartition(":")
        runner = web.AppRunner(
            self._application(), access_log=None, shutdown_timeout=STOP_TIMEOUT_S
        )
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        self._runner = runner
        self.admin_address = f"{host}:{runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        for route in self.routes_by_name.values():
            await route.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def add_route(self, name: str, target: str, listen: str = "127.0.0.1:0") -> ProxyRoute:
        """Add a route from `listen` to `target`; raises `ValueError` if `name` exists."""
        if name in self.routes_by_name:
            raise ValueError(f"route {name} already exists")
        route = ProxyRoute(name, listen, target)
        await route.start()
        self.routes_by_name[name] = route
        return route

    def _application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/routes", self._list)
        application.router.add_post("/routes", self._add)
        application.router.add_post("/routes/{name}/faults", self._set_faults)
        application.router.add_post("/routes/{name}/reset", self._reset)
        return application

    async def _list(self, _: web.Request) -> web.Response:
        routes = {name: _describe(route) for name, route in self.routes_by_name.items()}
        return web.json_response(routes)

    async def _add(self, request: web.Request) -> web.Response:
        try:
            route_request = _route_adapter.validate_python(await request.json())
            route = await self.add_route(
                route_request.name, route_request.target, route_request.listen
            )
        except (ValidationError, ValueError, OSError) as error:
            return web.json_response({"error": str(error)}, status=422)
        return web.json_response(_describe(route))

    async def _set_faults(self, request: web.Request) -> web.Response:
        route = self._route(request)
        try:
            faults = _faults_adapter.validate_python(await request.json())
        except ValidationError as error:
            return web.json_response({"error": str(error)}, status=422)
        await route.set_faults(faults)
        return web.json_response(_describe(route))

    async def _reset(self, request: web.Request) -> web.Response:
        route = self._route(request)
        route.reset()
        return web.json_response(_describe(route))

    def _route(self, request: web.Request) -> ProxyRoute:
        route = self.routes_by_name.get(request.match_info["name"])
        if route is None:
            raise web.HTTPNotFound(text="no such route")
        return route


def _describe(route: ProxyRoute) -> dict[str, object]:
    return {
        "listen": route.listen,
        "target": route.target,
        "faults": route.faults._asdict(),
        "counts": route.counts,
        "open_connections": len(route.connections),
    }


async def _serve(admin: str) -> None:
    proxy = FaultProxy(admin)
    await proxy.start()
    log_event("proxy_listening", admin=proxy.admin_address)
    await asyncio.Event().wait()


def main(admin: Annotated[str, typer.Option(help="host:port of the admin interface")]) -> None:
    """Serve the routes added over the admin interface until the process is terminated."""
    configure_logs()
    uvloop.run(_serve(admin))


if __name__ == "__main__":
    typer.run(main)
