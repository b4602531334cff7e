"""Commands for the fleet: status, drain and undrain."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from lycheeslip.commands.options import Options, OutputFormat, open_client
from lycheeslip.commands.outcomes import ExitCode, Reply, command_error
from lycheeslip.commands.render import print_json, print_result, print_table

__all__ = ["drain_worker", "show_status", "undrain_worker"]


async def show_status(options: Options) -> ExitCode:
    """Print the entries, zones, workers and accounts as known to one entry."""
    async with open_client(options) as client:
        outcome = await client.call("GET", "/v1/fleet")
    if not isinstance(outcome, Reply):
        raise command_error(outcome)
    if options.output is OutputFormat.JSON:
        print_json(outcome.document)
    else:
        _print_fleet(outcome.document)
    return ExitCode.OK


async def drain_worker(options: Options, worker_id: str) -> ExitCode:
    """Stop assigning new work to a worker."""
    path = f"/v1/workers/{quote(worker_id, safe='')}/drain"
    return await _post_worker_action(options, path, f"worker {worker_id} takes no new work")


async def undrain_worker(options: Options, worker_id: str) -> ExitCode:
    """Resume assigning work to a drained worker."""
    path = f"/v1/workers/{quote(worker_id, safe='')}/undrain"
    return await _post_worker_action(options, path, f"worker {worker_id} takes work again")


async def _post_worker_action(options: Options, path: str, message: str) -> ExitCode:
    """Post an action on a worker and print `message` once it has been accepted."""
    async with open_client(options) as client:
        outcome = await client.call("POST", path)
    if not isinstance(outcome, Reply):
        raise command_error(outcome)
    print_result(options.output, outcome.document, [message])
    return ExitCode.OK


def _print_fleet(fleet: Mapping[str, Any]) -> None:
    store = "reachable" if fleet["store_reachable"] else "not reachable"
    print(
        f"entry {fleet['entry_id']}: planner {fleet['planner'] or '-'}, "
        f"configuration {fleet['config_revision']}, store {store}, "
        f"fragmentation {_format_ratio(fleet.get('fragmentation'))}"
    )
    print_table(
        "Entries",
        ("entry", "region", "zone", "address"),
        (
            (item["entry_id"], item["region"], item["zone"], item["http_address"])
            for item in fleet["entries"]
        ),
    )
    print_table(
        "Zones",
        ("zone", "in service", "workers", "accelerators", "busy"),
        (
            (
                item["zone_id"],
                "yes" if item["in_service"] else "no",
                item["workers"],
                item["accelerators"],
                item["busy"],
            )
            for item in fleet["zones"]
        ),
    )
    print_table(
        "Accounts",
        ("account", "guaranteed", "using", "borrowed", "waiting"),
        (
            (
                item["account_id"],
                item["guaranteed"],
                item["using"],
                item["borrowed"],
                item["waiting"],
            )
            for item in fleet["accounts"]
        ),
    )
    print_table(
        "Workers",
        ("worker", "zone", "rack", "accelerators", "busy", "state", "tasks"),
        (
            (
                item["worker_id"],
                item["zone"],
                item["rack"],
                item["accelerators"],
                item["busy"],
                _worker_state(item),
                len(item["grants"]),
            )
            for item in fleet["workers"]
        ),
    )


def _worker_state(worker: Mapping[str, Any]) -> str:
    if worker["leaving"]:
        return "leaving"
    return "quarantined" if worker["quarantined"] else "working"


def _format_ratio(value: float | None) -> str:
    return "unknown" if value is None else f"{value:.2f}"
