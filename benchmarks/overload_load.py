"""Submits small jobs in a closed or open loop and records the outcome of each."""

import asyncio
import json
from random import Random
from typing import Any, NamedTuple

import aiohttp
from lycheeslip_common.structure.jobs import derive_job_id
from lycheeslip_common.utils.clock import monotonic_ms

__all__ = ["OverloadLoad", "Submission"]

ACCOUNTS = ("hooghly", "kite", "tissue", "ledger")
WAIT_MS = 30_000
CALL_TIMEOUT = aiohttp.ClientTimeout(total=40)
NO_REPLY = "no_reply"


class Submission(NamedTuple):
    """The outcome of one submission; times are relative to the start of the load.

    `answered_ms` is -1 without an answer; `starts` is the number of started attempts that the
    response lists.
    """

    job_id: str
    sent_ms: int
    ended_ms: int
    status: int
    reason: str
    may_have_run: bool
    answered_ms: int
    starts: int


class OverloadLoad:
    """Submits single-accelerator jobs of `run_ms` to the entries in round-robin order."""

    def __init__(self, addresses: list[str], run_id: str, seed: int, run_ms: int) -> None:
        """Prefix idempotency keys with `run_id`; seed the choice of accounts and arrival times."""
        self._addresses = addresses
        self._run_id = run_id
        self._random = Random(seed)
        self._run_ms = run_ms
        self._sent = 0
        self._started_ms = 0
        self.results: list[Submission] = []

    def now_ms(self) -> int:
        """Return the time in ms since the load started."""
        return monotonic_ms() - self._started_ms

    async def run_closed_loop(self, clients: int, duration_ms: int) -> list[Submission]:
        """Run `clients` concurrent clients that each send a request when the last has ended."""
        self._started_ms = monotonic_ms()

        async def client(http: aiohttp.ClientSession) -> None:
            while self.now_ms() < duration_ms:
                await self._submit(http)

        async with self._session() as http:
            await asyncio.gather(*(client(http) for _ in range(clients)))
        return self.results

    async def run_open_loop(self, per_second: float, duration_ms: int) -> list[Submission]:
        """Send requests with exponential arrival intervals, regardless of earlier responses."""
        self._started_ms = monotonic_ms()
        tasks = []
        async with self._session() as http:
            send_at_ms = 0.0
            while send_at_ms < duration_ms:
                await asyncio.sleep(max(0.0, send_at_ms - self.now_ms()) / 1000)
                tasks.append(asyncio.create_task(self._submit(http)))
                send_at_ms += self._random.expovariate(per_second) * 1000
            await asyncio.gather(*tasks)
        return self.results

    async def run_burst(self, requests: int, concurrency: int, entry: int = 0) -> list[Submission]:
        """Send `requests` to one entry, at most `concurrency` at a time, with `wait_ms` 0."""
        self._started_ms = monotonic_ms()
        limit = asyncio.Semaphore(concurrency)

        async def send(http: aiohttp.ClientSession) -> None:
            async with limit:
                await self._submit(http, wait_ms=0, address=self._addresses[entry])

        async with self._session() as http:
            await asyncio.gather(*(send(http) for _ in range(requests)))
        return self.results

    def _session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(limit=0)
        return aiohttp.ClientSession(timeout=CALL_TIMEOUT, connector=connector)

    async def _submit(
        self, http: aiohttp.ClientSession, wait_ms: int = WAIT_MS, address: str = ""
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
        self.results.append(_parse_response(job_id, sent_ms, self.now_ms(), status, document))


def _parse_response(
    job_id: str, sent_ms: int, ended_ms: int, status: int, document: dict[str, Any]
) -> Submission:
    if "attempts" not in document:
        reason, may_have_run = document["reason"], document["may_have_run"]
        return Submission(job_id, sent_ms, ended_ms, status, reason, may_have_run, -1, 0)
    verdict = document["verdict"]
    starts = sum(1 for attempt in document["attempts"] if attempt["started_at_ms"])
    if verdict is None:
        return Submission(job_id, sent_ms, ended_ms, status, "not_done", True, -1, starts)
    answered_ms = ended_ms if verdict["tag"] == "answered" else -1
    reason = "" if answered_ms >= 0 else f"{verdict['tag']}.{verdict['reason']}"
    may_have_run = verdict["may_have_run"]
    return Submission(job_id, sent_ms, ended_ms, status, reason, may_have_run, answered_ms, starts)
