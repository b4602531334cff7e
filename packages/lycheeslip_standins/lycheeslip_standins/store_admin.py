"""Admin interface of the stand-in store: faults, counters and direct reads for checkers."""

import base64
from typing import Protocol

from aiohttp import web
from pydantic import TypeAdapter, ValidationError

from lycheeslip_standins.store_faults import CallCounts, StoreFaults
from lycheeslip_standins.store_state import StoreState

__all__ = ["add_admin_routes"]

_faults_adapter = TypeAdapter(StoreFaults)


class AdministeredStore(Protocol):
    """The state that the admin interface reads and changes."""

    state: StoreState
    faults: StoreFaults
    counts: CallCounts
    open_watches: int

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the active faults by `faults`."""

    def notify_watches(self) -> None:
        """Wake all watches to check for changes."""


def add_admin_routes(application: web.Application, store: AdministeredStore) -> None:
    """Add the routes of the admin interface of `store`; injected faults do not affect them."""

    async def set_faults(request: web.Request) -> web.Response:
        try:
            faults = _faults_adapter.validate_python(await request.json())
        except ValidationError as error:
            return web.json_response({"error": str(error)}, status=422)
        store.set_faults(faults)
        return web.json_response(faults._asdict())

    async def get_faults(_: web.Request) -> web.Response:
        return web.json_response(store.faults._asdict())

    async def get_counters(_: web.Request) -> web.Response:
        counts = {
            "calls": store.counts.calls_by_operation,
            "peak_per_s": store.counts.peak_per_s_by_operation,
            "open_watches": store.open_watches,
        }
        return web.json_response(counts)

    async def reset_counters(_: web.Request) -> web.Response:
        store.counts = CallCounts()
        return web.json_response({})

    async def get_keys(request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "").encode()
        entries = store.state.entries_by_key
        items = [
            {
                "key": key.decode(),
                "value_base64": base64.b64encode(entries[key].value).decode(),
                "mod_revision": entries[key].mod_revision,
                "lease_id": entries[key].lease_id,
            }
            for key in sorted(entries)
            if key.startswith(prefix)
        ]
        return web.json_response({"revision": store.state.revision, "items": items})

    async def lapse_leases(_: web.Request) -> web.Response:
        for lease_id in list(store.state.leases_by_id):
            store.state.revoke(lease_id)
        store.notify_watches()
        return web.json_response({})

    async def compact(_: web.Request) -> web.Response:
        store.state.compact()
        store.notify_watches()
        return web.json_response({})

    application.router.add_post("/admin/faults", set_faults)
    application.router.add_get("/admin/faults", get_faults)
    application.router.add_get("/admin/counters", get_counters)
    application.router.add_post("/admin/counters/reset", reset_counters)
    application.router.add_get("/admin/keys", get_keys)
    application.router.add_post("/admin/lapse_leases", lapse_leases)
    application.router.add_post("/admin/compact", compact)
