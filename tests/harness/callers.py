"""Callers that submit work, follow it through failures and record all that they saw."""

import asyncio
import base64
import json
from hashlib import sha256
from random import Random
from typing import Any, NamedTuple

import aiohttp
from lycheeslip_common.structure.jobs import derive_job_id
from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins.backend_server import expected_answer
from lycheeslip_standins.checker_facts import CallerRecord, RecordedAnswer, RecordedVerdict

__all__ = ["Callers", "JobRequest"]

WAIT_MS = 1_000
RETRY_S = 0.1
CANCEL_TRIES = 20
CALL_TIMEOUT = aiohttp.ClientTimeout(total=4)
PROBLEM_TYPE = "application/problem+json"


class JobRequest(NamedTuple):
    """What a caller asks for; `key` is its idempotency key."""

    key: str
    account: str = "hooghly"
    kind: str = "deferrable"
    members: int = 1
    accelerators: int = 1
    repeatable: bool = True
    run_ms: int = 50
    answer_bytes: int = 0
    deadline_in_ms: int = 0
    wait_ms: int = 1_000

    @property
    def payload(self) -> str:
        """Return the work for the stand-in backend server; it differs for each key."""
        work = {"run_ms": self.run_ms, "answer_bytes": self.answer_bytes}
        return json.dumps(work | {"seed": int(sha256(self.key.encode()).hexdigest()[:8], 16)})

    @property
    def body(self) -> dict[str, Any]:
        """Return the body of the submission."""
        shape = {"members": self.members, "accelerators": self.accelerators}
        return {
            "account": self.account,
            "kind": self.kind,
            "shape": shape,
            "payload": self.payload,
            "repeatable": self.repeatable,
            "deadline_in_ms": self.deadline_in_ms,
        }


class _Seen:
    """What one caller has seen so far of one request.

    A refusal speaks of the submission that it answers. Once an earlier submission under
    the same key was left without an answer, it no longer proves that the job has not run.
    """

    def __init__(self, request: JobRequest) -> None:
        self.request = request
        self.job_id = derive_job_id(request.account, request.key)
        self.accepted = False
        self.verdicts: list[RecordedVerdict] = []
        self.answers: list[RecordedAnswer] = []
        self.cut_off = 0
        self.is_ambiguous = False

    def record(self) -> CallerRecord:
        """Return the facts for the checker."""
        expected = sha256(expected_answer(self.request.payload)).hexdigest()
        return CallerRecord(
            self.job_id,
            self.request.repeatable,
            self.accepted,
            tuple(self.verdicts),
            tuple(self.answers),
            expected,
            self.cut_off,
        )


class Callers:
    """Submits jobs at entries drawn by a seeded generator and keeps one record for each."""

    def __init__(self, addresses: list[str], seed: int) -> None:
        """Call the entries at `addresses`."""
        self.addresses = addresses
        self._random = Random(seed)
        self._seen: list[_Seen] = []

    def records(self) -> list[CallerRecord]:
        """Return the records of all requests so far."""
        return [seen.record() for seen in self._seen]

    async def run_all(self, requests: list[JobRequest], limit_s: float) -> None:
        """Submit all `requests` at once and follow each until it ends or `limit_s` is over."""
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as http:
            await asyncio.gather(*(self._run(http, request, limit_s) for request in requests))

    async def run(self, request: JobRequest, limit_s: float) -> CallerRecord:
        """Submit one request and follow it."""
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as http:
            return await self._run(http, request, limit_s)

    async def cancel(self, request: JobRequest) -> None:
        """Ask for the end of a request until an entry has heard, without following it."""
        job_id = derive_job_id(request.account, request.key)
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as http:
            for _ in range(CANCEL_TRIES):
                try:
                    async with http.delete(f"http://{self._entry()}/v1/jobs/{job_id}") as response:
                        if response.status == 202:
                            return
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                await asyncio.sleep(RETRY_S)

    async def _run(
        self, http: aiohttp.ClientSession, request: JobRequest, limit_s: float
    ) -> CallerRecord:
        seen = _Seen(request)
        self._seen.append(seen)
        until_ms = monotonic_ms() + limit_s * 1000
        while not seen.accepted and not seen.verdicts and monotonic_ms() < until_ms:
            await self._submit(http, seen)
        while not seen.verdicts and seen.accepted and monotonic_ms() < until_ms:
            await self._poll(http, seen)
        if seen.verdicts and seen.verdicts[-1].tag == "answered":
            while not seen.answers and monotonic_ms() < until_ms:
                await self._fetch(http, seen)
        return seen.record()

    async def _submit(self, http: aiohttp.ClientSession, seen: _Seen) -> None:
        headers = {"Idempotency-Key": seen.request.key}
        url = f"http://{self._entry()}/v1/jobs?wait_ms={seen.request.wait_ms}"
        try:
            async with http.post(url, json=seen.request.body, headers=headers) as response:
                document = await response.json()
                self._take(seen, response, document)
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(RETRY_S)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            seen.cut_off += 1
            seen.is_ambiguous = True
            await asyncio.sleep(RETRY_S)
        else:
            if not seen.accepted and not seen.verdicts:
                await asyncio.sleep(RETRY_S)

    async def _poll(self, http: aiohttp.ClientSession, seen: _Seen) -> None:
        url = f"http://{self._entry()}/v1/jobs/{seen.job_id}?wait_ms={WAIT_MS}"
        try:
            async with http.get(url) as response:
                document = await response.json()
                if response.status == 200:
                    self._take(seen, response, document)
                else:
                    await asyncio.sleep(RETRY_S)
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(RETRY_S)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            seen.cut_off += 1
            await asyncio.sleep(RETRY_S)

    async def _fetch(self, http: aiohttp.ClientSession, seen: _Seen) -> None:
        url = f"http://{self._entry()}/v1/jobs/{seen.job_id}/answer"
        try:
            async with http.get(url) as response:
                content = await response.read()
                if response.status == 200:
                    job_id = response.headers["Lycheeslip-Job"]
                    seen.answers.append(RecordedAnswer(job_id, sha256(content).hexdigest()))
                    return
        except aiohttp.ClientConnectorError:
            pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            seen.cut_off += 1
        await asyncio.sleep(RETRY_S)

    def _take(self, seen: _Seen, response: aiohttp.ClientResponse, document: Any) -> None:
        if response.content_type == PROBLEM_TYPE:
            if not document["may_have_run"] and not seen.is_ambiguous:
                seen.verdicts.append(RecordedVerdict("refused", False))
            elif document["reason"] == "wait_expired":
                seen.verdicts.append(RecordedVerdict("unknown", True))
            else:
                seen.is_ambiguous = True
            return
        seen.accepted = True
        inline = (document["answer"] or {}).get("base64")
        if inline is not None:
            digest = sha256(base64.b64decode(inline)).hexdigest()
            seen.answers.append(RecordedAnswer(document["job_id"], digest))
        verdict = document["verdict"]
        if verdict is not None:
            seen.verdicts.append(RecordedVerdict(verdict["tag"], verdict["may_have_run"]))

    def _entry(self) -> str:
        return self._random.choice(self.addresses)
