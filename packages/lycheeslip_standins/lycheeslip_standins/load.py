"""Load generator: submits a seeded workload to several entries and records each job's result.

Run it with `python -m lycheeslip_standins.load`.
"""

import asyncio
import json
from hashlib import sha256
from random import Random
from typing import Annotated, Any, NamedTuple

import aiohttp
import typer
import uvloop
from lycheeslip_common.structure.jobs import derive_job_id
from lycheeslip_common.utils.clock import monotonic_ms

from lycheeslip_standins.backend_server_tasks import expected_answer
from lycheeslip_standins.load_workloads import LoadJob, Workload, build_workload

__all__ = ["JobResult", "LoadGenerator", "main"]

LONG_POLL_MS = 5_000
RETRY_INTERVAL_S = 0.2
CALL_TIMEOUT = aiohttp.ClientTimeout(total=10)
ACCEPTED_STATUSES = (200, 202)


class JobResult(NamedTuple):
    """Result of one request; times are in ms since the start of the load, -1 for never."""

    key: str
    kind: str
    label: str
    account: str
    accelerators: int
    run_ms: int
    deadline_in_ms: int
    submitted_ms: int
    accepted_ms: int = -1
    first_start_ms: int = -1
    done_ms: int = -1
    verdict: str = ""
    reason: str = ""
    attempts: int = 0
    ran_ms: int = 0
    digest_matches: bool = False
    refusals: int = 0
    cancelled: bool = False


class LoadGenerator:
    """Submits one workload and follows each job until it ends or the time limit is reached."""

    def __init__(self, addresses: list[str], workload: Workload, run_id: str, limit_s: float):
        """Call the entries at `addresses`; `run_id` makes the idempotency keys of a run unique."""
        self._addresses = addresses
        self._workload = workload
        self._run_id = run_id
        self._limit_ms = round(limit_s * 1000)
        self._random = Random(workload.seed)
        self._started_ms = 0

    async def run(self) -> list[JobResult]:
        """Submit all jobs at their scheduled times and return their results."""
        connector = aiohttp.TCPConnector(limit=0)
        self._started_ms = monotonic_ms()
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT, connector=connector) as http:
            coroutines = (self._submit_and_follow(http, job) for job in self._workload.jobs)
            return list(await asyncio.gather(*coroutines))

    def _now_ms(self) -> int:
        return monotonic_ms() - self._started_ms

    async def _submit_and_follow(self, http: aiohttp.ClientSession, job: LoadJob) -> JobResult:
        await asyncio.sleep(max(0, job.at_ms - self._now_ms()) / 1000)
        result = _new_result(job, self._now_ms())
        canceller = None
        if job.cancel_after_ms:
            canceller = asyncio.create_task(self._cancel(http, job))
            result = result._replace(cancelled=True)
        document: dict[str, Any] | None = None
        while self._now_ms() < self._limit_ms and not _is_done(document):
            if result.accepted_ms < 0:
                status, document = await self._submit(http, job)
                if status in ACCEPTED_STATUSES:
                    result = result._replace(accepted_ms=self._now_ms())
                    continue
                result = _with_refusal(result, document)
                if document is not None and not document.get("retry_at_ms"):
                    break
                document = None
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                document = await self._poll(http, job) or document
        if canceller is not None:
            await canceller
        return _with_document(job, result, document)

    async def _submit(
        self, http: aiohttp.ClientSession, job: LoadJob
    ) -> tuple[int, dict[str, Any] | None]:
        headers = {"Idempotency-Key": self._idempotency_key(job)}
        url = f"http://{self._choose_entry()}/v1/jobs"
        try:
            async with http.post(url, json=job.body, headers=headers) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None

    async def _poll(self, http: aiohttp.ClientSession, job: LoadJob) -> dict[str, Any] | None:
        left_ms = max(1, self._limit_ms - self._now_ms())
        wait_ms = min(LONG_POLL_MS, left_ms)
        url = f"http://{self._choose_entry()}/v1/jobs/{self._job_id(job)}?wait_ms={wait_ms}"
        try:
            async with http.get(url) as response:
                if response.status == 200:
                    document: dict[str, Any] = await response.json()
                    return document
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def _cancel(self, http: aiohttp.ClientSession, job: LoadJob) -> None:
        await asyncio.sleep(job.cancel_after_ms / 1000)
        url = f"http://{self._choose_entry()}/v1/jobs/{self._job_id(job)}"
        try:
            async with http.delete(url) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    def _idempotency_key(self, job: LoadJob) -> str:
        return f"{self._run_id}-{job.key}"

    def _job_id(self, job: LoadJob) -> str:
        return derive_job_id(job.body["account"], self._idempotency_key(job))

    def _choose_entry(self) -> str:
        return self._random.choice(self._addresses)


def _new_result(job: LoadJob, now_ms: int) -> JobResult:
    shape = job.body["shape"]
    return JobResult(
        key=job.key,
        kind=job.body["kind"],
        label=job.body["label"],
        account=job.body["account"],
        accelerators=shape.get("members", 1) * shape.get("accelerators", 1),
        run_ms=job.run_ms,
        deadline_in_ms=job.body["deadline_in_ms"],
        submitted_ms=now_ms,
    )


def _is_done(document: dict[str, Any] | None) -> bool:
    return document is not None and document.get("state") == "done"


def _with_refusal(result: JobResult, document: dict[str, Any] | None) -> JobResult:
    verdict = "refused" if document is not None else "no_answer"
    reason = str(document.get("reason", "")) if document is not None else "connection"
    return result._replace(refusals=result.refusals + 1, verdict=verdict, reason=reason)


def _with_document(job: LoadJob, result: JobResult, document: dict[str, Any] | None) -> JobResult:
    """Return `result` updated with the job's last document."""
    if document is None or "job_id" not in document:
        return result
    attempts = [attempt for attempt in document["attempts"] if attempt["started_at_ms"]]
    clock_offset_ms = result.accepted_ms - document["accepted_at_ms"]
    starts = [attempt["started_at_ms"] for attempt in attempts]
    verdict = document["verdict"] or {"tag": "unfinished", "reason": document["state"]}
    answer = document["answer"] or {}
    expected = sha256(expected_answer(job.body["payload"])).hexdigest()
    done_at_ms = document["done_at_ms"]
    return result._replace(
        first_start_ms=min(starts) + clock_offset_ms if starts else -1,
        done_ms=done_at_ms + clock_offset_ms if done_at_ms else -1,
        verdict=verdict["tag"],
        reason=verdict["reason"],
        attempts=len(attempts),
        ran_ms=sum(attempt["ended_at_ms"] - attempt["started_at_ms"] for attempt in attempts),
        digest_matches=answer.get("digest") == expected,
    )


def main(
    entry: Annotated[list[str], typer.Option(help="HTTP address of an entry; repeat for more.")],
    workload: Annotated[str, typer.Option(help="Name of the workload.")] = "mixed_day",
    seed: Annotated[int, typer.Option(help="Seed of the workload.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time over which jobs are submitted.")] = 10.0,
    limit_s: Annotated[float, typer.Option(help="Time after which jobs are given up.")] = 60.0,
) -> None:
    """Submit a workload and print one JSON document with the result of each job."""
    generator = LoadGenerator(
        entry, build_workload(workload, seed, seconds), f"{workload}-{seed}", limit_s
    )
    results = uvloop.run(generator.run())
    jobs = [result._asdict() for result in results]
    typer.echo(json.dumps({"workload": workload, "seed": seed, "jobs": jobs}, indent=1))


if __name__ == "__main__":
    typer.run(main)
