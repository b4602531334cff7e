"""Client of a key-value store with the etcd v3 HTTP/JSON gateway."""

from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, TypeVar

from lycheeslip_common.store.gateway import (
    Compare,
    Put,
    delete_operation,
    parse_read,
    parse_transaction,
    put_operation,
    range_request,
    transaction_request,
)
from lycheeslip_common.store.outcomes import (
    Conflict,
    ReadResult,
    Unreachable,
    WatchEvent,
    WriteOutcome,
)
from lycheeslip_common.store.transport import StoreTransport
from lycheeslip_common.store.watch import watch_prefix
from lycheeslip_common.utils.metrics import Metrics

__all__ = ["Store"]

RANGE_PATH = "/v3/kv/range"
TRANSACTION_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEP_ALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"

Result = TypeVar("Result")


class Store:
    """Reads, conditional writes, leases and watches.

    Failures of the store are returned as `Unreachable`; only watches raise.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        metrics: Metrics,
        timeout_s: float = 1.0,
        watch_idle_s: float = 10.0,
    ) -> None:
        """Use the store at `addresses` (host:port), waiting `timeout_s` for each response.

        A watch without data for `watch_idle_s` is reopened, as its connection may be half-open.
        """
        self._watch_idle_s = watch_idle_s
        self._metrics = metrics
        self._transport = StoreTransport(addresses, metrics, timeout_s)

    async def read(self, key: str) -> ReadResult | Unreachable:
        """Return `key` in a state no older than this call."""
        return await self._range(range_request(key))

    async def read_prefix(self, prefix: str) -> ReadResult | Unreachable:
        """Return all keys that begin with `prefix` in a state no older than this call."""
        return await self._range(range_request(prefix, is_prefix=True))

    async def write_if(
        self, key: str, value: bytes, expected_mod_revision: int, lease_id: int = 0
    ) -> WriteOutcome:
        """Set `key` if its revision is `expected_mod_revision` (0: the key doesn't exist)."""
        compares = (Compare(key, expected_mod_revision),)
        return await self.write_many_if(compares, (Put(key, value, lease_id),))

    async def write_many_if(self, compares: Sequence[Compare], puts: Sequence[Put]) -> WriteOutcome:
        """Apply all `puts` atomically if all `compares` hold, otherwise none."""
        operations = [put_operation(put) for put in puts]
        return await self._transaction("write", compares, operations)

    async def delete_if(self, key: str, mod_revision: int) -> WriteOutcome:
        """Delete `key` if its revision is `mod_revision`."""
        compares = (Compare(key, mod_revision),)
        return await self._transaction("delete", compares, [delete_operation(key)])

    async def grant_lease(self, ttl_s: int) -> int | Unreachable:
        """Return the id of a new lease, which expires after `ttl_s` unless it is renewed."""
        body = {"TTL": str(ttl_s)}
        response = await self._transport.call("lease_grant", GRANT_PATH, body, is_read=False)
        return _parse_response(response, lambda fields: int(fields["ID"]), is_read=False)

    async def keep_alive(self, lease_id: int) -> int | Unreachable:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""
        body = {"ID": str(lease_id)}
        response = await self._transport.call(
            "lease_keepalive", KEEP_ALIVE_PATH, body, is_read=True
        )
        return _parse_response(response, lambda fields: int(fields.get("TTL", 0)), is_read=True)

    async def revoke_lease(self, lease_id: int) -> Unreachable | None:
        """Revoke a lease and delete its keys; an expired lease is no error."""
        body = {"ID": str(lease_id)}
        response = await self._transport.call("lease_revoke", REVOKE_PATH, body, is_read=False)
        if isinstance(response, Unreachable) and "lease not found" not in response.detail:
            return response
        return None

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[list[WatchEvent]]:
        """Iterate over batches of changes under `prefix`; raises WatchEnded if the watch ends."""
        return watch_prefix(
            self._transport, self._metrics, prefix, from_revision, self._watch_idle_s
        )

    async def close(self) -> None:
        """Close all connections to the store."""
        await self._transport.close()

    async def _range(self, request: dict[str, Any]) -> ReadResult | Unreachable:
        response = await self._transport.call("read", RANGE_PATH, request, is_read=True)
        return _parse_response(response, parse_read, is_read=True)

    async def _transaction(
        self, operation: str, compares: Sequence[Compare], operations: list[dict[str, Any]]
    ) -> WriteOutcome:
        body = transaction_request(compares, operations)
        response = await self._transport.call(operation, TRANSACTION_PATH, body, is_read=False)
        outcome = _parse_response(
            response, lambda fields: parse_transaction(fields, compares), is_read=False
        )
        if isinstance(outcome, Conflict):
            self._metrics.count("store.conflict")
        return outcome


def _parse_response(
    response: dict[str, Any] | Unreachable,
    parse: Callable[[dict[str, Any]], Result],
    *,
    is_read: bool,
) -> Result | Unreachable:
    if isinstance(response, Unreachable):
        return response
    try:
        return parse(response)
    except (KeyError, TypeError, ValueError) as error:
        return Unreachable(not is_read, f"unexpected response: {error!r}")
