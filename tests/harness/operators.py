"""Simulated operators that apply configurations and record request and response times."""

import copy
from typing import Any

import aiohttp
import yaml
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins.checker_facts import ZoneChange

__all__ = ["Operator"]

CALL_TIMEOUT = aiohttp.ClientTimeout(total=8)
ACCOUNTS = ("hooghly", "kite", "tissue", "ledger")


class Operator:
    """Applies complete configurations, each conditional on the revision read just before."""

    def __init__(self, addresses: list[str], zones: tuple[str, ...]) -> None:
        """Send requests to the first of `addresses` unless a call names another."""
        self.addresses = addresses
        self.changes: list[ZoneChange] = []
        self.accepted_ms_by_revision: dict[int, int] = {}
        self.last_refusal_is_definite = False  # whether it proves that nothing changed
        self._requested_ms = 0
        self.document: dict[str, Any] = {
            "accounts": {account: {} for account in ACCOUNTS},
            "zones": {zone: {} for zone in zones},
        }

    def fork(self, address: str) -> "Operator":
        """Return an operator that sends a copy of the document to `address`."""
        operator = Operator([address], ())
        operator.document = copy.deepcopy(self.document)
        return operator

    async def set_zone(self, zone: str, in_service: bool, address: str = "") -> int:
        """Set whether a zone is in service; return the accepted revision, or 0 if none was."""
        self.document["zones"][zone] = {"in_service": in_service}
        self._requested_ms = monotonic_ms()
        revision = 0
        try:
            revision = await self.apply(address)
        finally:
            accepted_ms = self.accepted_ms_by_revision.get(revision, 0)
            refused = self.last_refusal_is_definite
            change = ZoneChange(
                zone, in_service, self._requested_ms, accepted_ms, revision, refused
            )
            self.changes.append(change)
        return revision

    async def apply(self, address: str = "") -> int:
        """Apply the document once; return the accepted revision, or 0 if it was not accepted."""
        target = address or self.addresses[0]
        self.last_refusal_is_definite = False
        try:
            async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as http:
                async with http.get(f"http://{target}/v1/config") as response:
                    document = await response.json()
                if response.status != 200:
                    self.last_refusal_is_definite = True
                    return 0
                accepted = await self._put(http, target, document["revision"])
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        if accepted:
            self.accepted_ms_by_revision[accepted] = monotonic_ms()
        return accepted

    async def _put(self, http: aiohttp.ClientSession, target: str, expected: int) -> int:
        headers = {"If-Match": f'"{expected}"'}
        body = yaml.safe_dump(self.document)
        self._requested_ms = monotonic_ms()
        async with http.put(f"http://{target}/v1/config", data=body, headers=headers) as response:
            document = await response.json()
            if response.status == 200:
                return document["revision"]
            self.last_refusal_is_definite = not document["may_have_run"]
            return 0
