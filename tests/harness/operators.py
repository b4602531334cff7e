"""Operators that apply configurations and record when they asked and were told."""

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
    """Applies whole configurations, each over the revision that it read before."""

    def __init__(self, addresses: list[str], zones: tuple[str, ...]) -> None:
        """Call the entries at `addresses`, the first of them first."""
        self.addresses = addresses
        self.changes: list[ZoneChange] = []
        self.accepted_ms_by_revision: dict[int, int] = {}
        self.last_refusal_is_sure = False
        self.document: dict[str, Any] = {
            "accounts": {account: {} for account in ACCOUNTS},
            "zones": {zone: {} for zone in zones},
        }

    def fork(self, address: str) -> "Operator":
        """Return another operator with the same document, who calls `address`."""
        other = Operator([address], ())
        other.document = copy.deepcopy(self.document)
        return other

    async def set_zone(self, zone: str, in_service: bool, address: str = "") -> int:
        """Take a zone out or bring it back; return the accepted revision, 0 without one."""
        self.document["zones"][zone] = {"in_service": in_service}
        asked_ms = monotonic_ms()
        revision = await self.apply(address)
        accepted_ms = monotonic_ms() if revision else 0
        self.changes.append(ZoneChange(zone, in_service, asked_ms, accepted_ms))
        return revision

    async def apply(self, address: str = "") -> int:
        """Apply the document once; return the accepted revision, 0 without an acceptance."""
        target = address or self.addresses[0]
        self.last_refusal_is_sure = False
        try:
            async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as http:
                async with http.get(f"http://{target}/v1/config") as response:
                    document = await response.json()
                    if response.status != 200:
                        return 0
                    revision = document["revision"]
                headers = {"If-Match": f'"{revision}"'}
                body = yaml.safe_dump(self.document)
                url = f"http://{target}/v1/config"
                async with http.put(url, data=body, headers=headers) as response:
                    document = await response.json()
                    if response.status != 200:
                        self.last_refusal_is_sure = not document["may_have_run"]
                        return 0
                    accepted = document["revision"]
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        self.accepted_ms_by_revision[accepted] = monotonic_ms()
        return accepted
