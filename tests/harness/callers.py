"""Simulated callers that submit jobs, retry through failures and record every response."""

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

POLL_WAIT_MS = 1_000
RETRY_DELAY_S = 0.1
CANCEL_ATTEMPTS = 20
CALL_TIMEOUT = aiohttp.ClientTimeout(total=4)
PROBLEM_TYPE = "application/problem+json"


class JobRequest(NamedTuple):
    """A job submission; `key` is its idempotency key."""

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
        """Return the task for the stand-in backend server, with a seed derived from `key`."""
        work = {"run_ms": self.run_ms, "answer_bytes": self.answer_bytes}
        return json.dumps(work | {"seed": int(sha256(self.key.encode()).hexdigest()[:8], 16)})

    @property
    def body(self) -> dict[str, Any]:
        """Return the JSON body of the submission."""
        shape = {"members": self.members, "accelerators": self.accelerators}
        return {
            "account": self.account,
            "kind": self.kind,
            "shape": shape,
            "payload": self.payload,
            "repeatable": self.repeatable,
            "deadline_in_ms": self.deadline_in_ms,
        }


class _RequestState:
    """The responses that one caller has received for one request.

    A refusal applies only to the submission that it answers. If an earlier submission under the
    same key got no response, a refusal no longer proves that the job has not run.
    """

    def __init__(self, request: JobRequest) -> None:
        self.request = request
        self.job_id = derive_job_id(request.account, request.key)
        self.accepted = False
        self.verdicts: list[RecordedVerdict] = []
        self.answers: list[RecordedAnswer] = []
        self.cut_off = 0  # calls without a whole response; failed connects do not count
        self.may_have_run = False

    def record(self) -> CallerRecord:
        """Return the record that the checker evaluates."""
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
    """Submits jobs to entries chosen by a seeded generator and keeps one record per request."""

    def __init__(self, addresses: list[str], seed: int) -> None:
        """Send requests to the entries at `addresses`."""
        self.addresses = addresses
        self._random = Random(seed)
        self._states: list[_RequestState] = []

    def records(self) -> list[CallerRecord]:
        """Return the records of all requests submitted so far."""
        return [state.record() for state in self._states]

    async def run_all(self, requests: list[JobRequest], timeout_s: float) -> None:
        """Submit all `requests` at once and poll each until it ends or `timeout_s` passes."""
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as http:
            await asyncio.gather(*(self._run(http, request, timeout_s) for request in requests))

    async def run(self, request: JobRequest, timeout_s: float) -> CallerRecord:
        """Submit one request and poll it until it ends or `timeout_s` passes."""
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as http:
            return await self._run(http, request, timeout_s)

    async def cancel(self, request: JobRequest) -> None:
        """Request cancellation until an entry accepts it, at most `CANCEL_ATTEMPTS` times.

        Does not wait for the job to end.
        """
        job_id = derive_job_id(request.account, request.key)
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as http:
            for _ in range(CANCEL_ATTEMPTS):
                try:
                    async with http.delete(
                        f"http://{self._pick_address()}/v1/jobs/{job_id}"
                    ) as response:
                        if response.status == 202:
                            return
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                await asyncio.sleep(RETRY_DELAY_S)

    async def _run(
        self, http: aiohttp.ClientSession, request: JobRequest, timeout_s: float
    ) -> CallerRecord:
        state = _RequestState(request)
        self._states.append(state)
        deadline_ms = monotonic_ms() + timeout_s * 1000
        while not state.accepted and not state.verdicts and monotonic_ms() < deadline_ms:
            await self._submit(http, state)
        while not state.verdicts and state.accepted and monotonic_ms() < deadline_ms:
            await self._poll(http, state)
        if state.verdicts and state.verdicts[-1].tag == "answered":
            while not state.answers and monotonic_ms() < deadline_ms:
                await self._fetch_answer(http, state)
        return state.record()

    async def _submit(self, http: aiohttp.ClientSession, state: _RequestState) -> None:
        headers = {"Idempotency-Key": state.request.key}
        url = f"http://{self._pick_address()}/v1/jobs?wait_ms={state.request.wait_ms}"
        try:
            async with http.post(url, json=state.request.body, headers=headers) as response:
                document = await response.json()
                self._record_response(state, response, document)
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(RETRY_DELAY_S)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            state.cut_off += 1
            state.may_have_run = True
            await asyncio.sleep(RETRY_DELAY_S)
        else:
            if not state.accepted and not state.verdicts:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _poll(self, http: aiohttp.ClientSession, state: _RequestState) -> None:
        url = f"http://{self._pick_address()}/v1/jobs/{state.job_id}?wait_ms={POLL_WAIT_MS}"
        try:
            async with http.get(url) as response:
                document = await response.json()
                if response.status == 200:
                    self._record_response(state, response, document)
                else:
                    await asyncio.sleep(RETRY_DELAY_S)
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(RETRY_DELAY_S)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            state.cut_off += 1
            await asyncio.sleep(RETRY_DELAY_S)

    async def _fetch_answer(self, http: aiohttp.ClientSession, state: _RequestState) -> None:
        url = f"http://{self._pick_address()}/v1/jobs/{state.job_id}/answer"
        try:
            async with http.get(url) as response:
                content = await response.read()
                if response.status == 200:
                    job_id = response.headers["Lycheeslip-Job"]
                    state.answers.append(RecordedAnswer(job_id, sha256(content).hexdigest()))
                    return
        except aiohttp.ClientConnectorError:
            pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            state.cut_off += 1
        await asyncio.sleep(RETRY_DELAY_S)

    def _record_response(
        self, state: _RequestState, response: aiohttp.ClientResponse, document: Any
    ) -> None:
        if response.content_type == PROBLEM_TYPE:
            if not document["may_have_run"] and not state.may_have_run:
                state.verdicts.append(RecordedVerdict("refused", False))
            elif document["reason"] == "wait_expired":
                state.verdicts.append(RecordedVerdict("unknown", True))
            else:
                state.may_have_run = True
            return
        state.accepted = True
        inline = (document["answer"] or {}).get("base64")
        if inline is not None:
            digest = sha256(base64.b64decode(inline)).hexdigest()
            state.answers.append(RecordedAnswer(document["job_id"], digest))
        verdict = document["verdict"]
        if verdict is not None:
            state.verdicts.append(RecordedVerdict(verdict["tag"], verdict["may_have_run"]))

    def _pick_address(self) -> str:
        return self._random.choice(self.addresses)
