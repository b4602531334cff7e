"""Submits small jobs in a closed or an open loop and keeps what became of each."""

import asyncio
import json
from random import Random
from typing import Any, NamedTuple

import aiohttp
from lycheeslip_common.structure.jobs import derive_job_id
from lycheeslip_common.utils.clock import monotonic_ms

__all__ = ["OverloadLoad", "Submitted"]

ACCOUNTS = ("hooghly", "kite", "tissue", "ledger")
HOLD_MS = 30_000
CALL_TIMEOUT = aiohttp.ClientTimeout(total=40)
NO_REPLY = "no_reply"


class Submitted(NamedTuple):
    """One submission; `answered_ms` is -1 without an answer, `starts` what its job says."""

    job_id: str
    sent_ms: int
    ended_ms: int
    status: int
    reason: str
    may_have_run: bool
    answered_ms: int
    starts: int


class OverloadLoad:
    """Sends jobs of one size, `run_ms` long on one accelerator, to all entries in turn."""

    def __init__(self, addresses: list[str], run_id: str, seed: int, run_ms: int) -> None:
        """Name the jobs after `run_id` and draw accounts and arrivals from `seed`."""
        self._addresses = addresses
        self._run_id = run_id
        self._random = Random(seed)
        self._run_ms = run_ms
        self._sent = 0
        self._started_ms = 0
        self.results: list[Submitted] = []

    def now_ms(self) -> int:
        """Return the time since the load began."""
        return monotonic_ms() - self._started_ms

    async def closed(self, clients: int, duration_ms: int) -> list[Submitted]:
        """Keep `clients` requests under way, each sent when the one before has ended."""
        self._started_ms = monotonic_ms()

        async def client(http: aiohttp.ClientSession) -> None:
            while self.now_ms() < duration_ms:
                await self._submit(http)

        async with self._session() as http:
            await asyncio.gather(*(client(http) for _ in range(clients)))
        return self.results

    async def open(self, per_second: float, duration_ms: int) -> list[Submitted]:
        """Send at random times, whatever becomes of earlier requests."""
        self._started_ms = monotonic_ms()
        tasks = []
        async with self._session() as http:
            at_ms = 0.0
            while at_ms < duration_ms:
                await asyncio.sleep(max(0.0, at_ms - self.now_ms()) / 1000)
                tasks.append(asyncio.create_task(self._submit(http)))
                at_ms += self._random.expovariate(per_second) * 1000
            await asyncio.gather(*tasks)
        return self.results

    async def burst(self, requests: int, at_once: int, entry: int = 0) -> list[Submitted]:
        """Send `requests` to one entry, `at_once` of them at a time, without a wait."""
        self._started_ms = monotonic_ms()
        limit = asyncio.Semaphore(at_once)

        async def one(http: aiohttp.ClientSession) -> None:
            async with limit:
                await self._submit(http, wait_ms=0, address=self._addresses[entry])

        async with self._session() as http:
            await asyncio.gather(*(one(http) for _ in range(requests)))
        return self.results

    def _session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(limit=0)
        return aiohttp.ClientSession(timeout=CALL_TIMEOUT, connector=connector)

    async def _submit(
        self, http: aiohttp.ClientSession, wait_ms: int = HOLD_MS, address: str = ""
    ) -> None:
        number = self._sent
        self._sent += 1
        account = self._random.choice(ACCOUNTS)
        key = f"{self._run_id}-{number}"
        target = address or self._addresses[number % len(self._addresses)]
        body = {
            "account": account,
            "payload": json.dumps({"run_ms": self._run_ms, "seed": number}),
            "expected_run_ms": self._run_ms,
        }
        url = f"http://{target}/v1/jobs?wait_ms={wait_ms}"
        sent_ms = self.now_ms()
        try:
            headers = {"Idempotency-Key": key}
            async with http.post(url, json=body, headers=headers) as response:
                status, document = response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            status, document = 0, {"reason": NO_REPLY, "may_have_run": True}
        job_id = derive_job_id(account, key)
        self.results.append(_submitted(job_id, sent_ms, self.now_ms(), status, document))


def _submitted(
    job_id: str, sent_ms: int, ended_ms: int, status: int, document: dict[str, Any]
) -> Submitted:
    if "attempts" not in document:
        reason, ran = document["reason"], document["may_have_run"]
        return Submitted(job_id, sent_ms, ended_ms, status, reason, ran, -1, 0)
    verdict = document["verdict"]
    starts = sum(1 for attempt in document["attempts"] if attempt["started_at_ms"])
    if verdict is None:
        return Submitted(job_id, sent_ms, ended_ms, status, "not_done", True, -1, starts)
    answered_ms = ended_ms if verdict["tag"] == "answered" else -1
    reason = "" if answered_ms >= 0 else f"{verdict['tag']}.{verdict['reason']}"
    ran = verdict["may_have_run"]
    return Submitted(job_id, sent_ms, ended_ms, status, reason, ran, answered_ms, starts)
