"""One trial of a proof: load, faults, and judgement by recorded facts."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from lycheeslip_common.utils.clock import monotonic_ms
from lycheeslip_standins import checker
from lycheeslip_standins.checker_facts import ConfigView, GuaranteeDemand, Leaving

from tests.harness.callers import Callers, JobRequest
from tests.harness.fleet import Fleet
from tests.harness.operators import Operator

__all__ = ["SCENARIOS", "Scenario", "Trial", "run_trial", "scenario", "violations_of"]

ZONE_BOUND_MS = 3_000
CONFIG_BOUND_MS = 3_000
LEAVING_BOUND_MS = 3_000
GANG_LEASE_MS = 1_500
RECORDING_SLACK_MS = 100
RECLAIM_BOUND_MS = 2_500
FOLLOW_LIMIT_S = 60.0
VIEW_EVERY_S = 0.1
SETTLE_S = 0.5


class Trial:
    """What a scenario may use: the fleet, load, operators and what it expects."""

    def __init__(self, fleet: Fleet, seed: str) -> None:
        """Draw everything random from `seed`, which also names the jobs."""
        self.fleet = fleet
        self.seed = seed
        self.rng = Random(seed)
        self.callers = Callers(list(fleet.http_route_by_entry.values()), self.rng.getrandbits(32))
        self.operator = Operator(list(fleet.http_by_entry.values()), fleet.layout.zones)
        self.leavings: list[Leaving] = []
        self.demands: list[GuaranteeDemand] = []
        self.cut_entries: set[str] = set()
        self.is_graceful = False
        self.extra: list[checker.Finding] = []
        self.started_ms = monotonic_ms()
        self._views: list[ConfigView] = []
        self._load: list[asyncio.Task[Any]] = []
        self._count = 0

    def request(self, **options: Any) -> JobRequest:
        """Return a request of its own; what `options` leave open is drawn."""
        self._count += 1
        drawn: dict[str, Any] = {
            "account": self.rng.choice(["hooghly", "kite", "tissue", "ledger"]),
            "kind": self.rng.choice(["urgent", "deferrable", "bulk"]),
            "members": self.rng.choice([1, 1, 1, 2, 3]),
            "repeatable": self.rng.random() < 0.5,
            "run_ms": self.rng.randrange(20, 600),
        }
        return JobRequest(f"{self.seed}/{self._count}", **(drawn | options))

    def load(self, count: int, over_s: float = 0.0, **options: Any) -> None:
        """Submit `count` requests, spread over a time, and follow them in the background."""
        self._load.append(asyncio.create_task(self._submit(count, over_s, options)))

    def background(self, work: Awaitable[Any]) -> None:
        """Await `work` before the trial is judged."""
        self._load.append(asyncio.ensure_future(work))

    async def pause(self, least_s: float, most_s: float | None = None) -> None:
        """Wait for a time drawn from a range."""
        await asyncio.sleep(self.rng.uniform(least_s, most_s or least_s))

    def worker(self, zone: str = "") -> str:
        """Return a worker drawn from a zone, or from all."""
        zones = self.fleet.zone_by_worker
        return self.rng.choice([w for w, at in zones.items() if zone in ("", at)])

    def entry(self) -> str:
        """Return an entry drawn from all."""
        return self.rng.choice(list(self.fleet.entries_by_id))

    def end_leavings(self) -> None:
        """Say that the leaving backend servers may get work again from now on."""
        now_ms = monotonic_ms()
        self.leavings = [leaving._replace(until_ms=now_ms) for leaving in self.leavings]

    async def watch_configuration(self) -> None:
        """Record for ever which revision each entry has in force."""
        while True:
            for entry_id, address in self.fleet.http_by_entry.items():
                process = self.fleet.entries_by_id[entry_id]
                if entry_id in self.cut_entries or not process.is_running:
                    continue
                asked_ms = monotonic_ms()
                document = await self.fleet.get(address, "/v1/config")
                if document is not None and entry_id not in self.cut_entries:
                    revision = document["revision"]
                    self._views.append(
                        ConfigView(process.incarnation, revision, asked_ms, process.started_ms)
                    )
            await asyncio.sleep(VIEW_EVERY_S)

    def tally(self) -> str:
        """Return how many requests came to each verdict."""
        tags = Counter(
            record.verdicts[-1].tag if record.verdicts else "none"
            for record in self.callers.records()
        )
        return " ".join(f"{tag}={count}" for tag, count in sorted(tags.items()))

    async def finish(self) -> list[checker.Finding]:
        """Wait for all callers and judge every promise."""
        await asyncio.gather(*self._load)
        await asyncio.sleep(SETTLE_S)
        records = self.callers.records()
        jobs = {record.job_id for record in records}
        everything = await self.fleet.events()
        recent = [event for event in everything if event.monotonic_ms >= self.started_ms]
        events = [event for event in recent if event.job_id in jobs]
        accepted = self.operator.accepted_ms_by_revision
        findings = [
            checker.check_zones(recent, self.operator.changes, ZONE_BOUND_MS),
            checker.check_at_most_once(events, records),
            checker.check_not_run(events, records),
            checker.check_gangs(events, monotonic_ms(), GANG_LEASE_MS + RECORDING_SLACK_MS),
            checker.check_answers(events, records),
            checker.check_one_verdict(records),
            checker.check_configuration(accepted, self._views, CONFIG_BOUND_MS),
            checker.check_leaving(recent, self.leavings, LEAVING_BOUND_MS),
            checker.check_guarantees(events, self.demands, RECLAIM_BOUND_MS),
        ]
        if self.is_graceful:
            findings.append(checker.check_cut_off(records))
        return findings + self.extra

    async def _submit(self, count: int, over_s: float, options: dict[str, Any]) -> None:
        follow = []
        for _ in range(count):
            run = self.callers.run(self.request(**options), FOLLOW_LIMIT_S)
            follow.append(asyncio.create_task(run))
            await asyncio.sleep(over_s / count)
        await asyncio.gather(*follow)


class Scenario(NamedTuple):
    """A fault that is brought about against one promise."""

    promise: str
    fault: str
    run: Callable[[Trial], Awaitable[None]]


SCENARIOS: list[Scenario] = []


def scenario(promise: str, fault: str) -> Callable[[Any], Any]:
    """Register the decorated coroutine function as the proof of `promise` under `fault`."""

    def register(run: Callable[[Trial], Awaitable[None]]) -> Callable[[Trial], Awaitable[None]]:
        SCENARIOS.append(Scenario(promise, fault, run))
        return run

    return register


async def run_trial(fleet: Fleet, proof: Scenario, seed: int) -> tuple[list[checker.Finding], str]:
    """Run one trial from a healthy fleet to a healthy fleet; return findings and verdicts."""
    trial = Trial(fleet, f"{proof.promise}/{proof.fault}/{seed}/{monotonic_ms()}")
    trial.rng = Random(f"{proof.fault}/{seed}")
    await trial.operator.apply()
    views = asyncio.create_task(trial.watch_configuration())
    try:
        await proof.run(trial)
        await fleet.heal()
        return await trial.finish(), trial.tally()
    finally:
        views.cancel()
        await fleet.heal()


def violations_of(findings: Iterable[checker.Finding]) -> list[str]:
    """Return every violation as one line."""
    return [
        f"{finding.promise}: {violation.subject}: {violation.detail}"
        for finding in findings
        for violation in finding.violations
    ]
