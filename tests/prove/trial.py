"""One run of a fault scenario: load, faults, and checks of what was recorded."""

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

__all__ = ["SCENARIOS", "Scenario", "Trial", "format_violations", "run_trial", "scenario"]

ZONE_BOUND_MS = 3_000
CONFIG_BOUND_MS = 3_000
LEAVING_BOUND_MS = 3_000
GANG_LEASE_MS = 1_500
RECORDING_TOLERANCE_MS = 100
RECLAIM_BOUND_MS = 2_500
CALLER_TIMEOUT_S = 60.0
CONFIG_POLL_INTERVAL_S = 0.1
SETTLE_DELAY_S = 0.5


class Trial:
    """The fleet, load and operators of one run, and the facts that the checks need."""

    def __init__(self, fleet: Fleet, seed: str) -> None:
        """Seed the random generator with `seed`, which also prefixes the idempotency keys."""
        self.fleet = fleet
        self.seed = seed
        self.rng = Random(seed)
        self.callers = Callers(list(fleet.http_route_by_entry.values()), self.rng.getrandbits(32))
        self.operator = Operator(list(fleet.http_by_entry.values()), fleet.layout.zones)
        self.departures: list[Leaving] = []
        self.guarantee_demands: list[GuaranteeDemand] = []
        # Entries suspended or cut off from the store, whose configuration is not checked.
        self.isolated_entries: set[str] = set()
        self.expects_no_cut_off = False
        self.extra_findings: list[checker.Finding] = []
        self.started_ms = monotonic_ms()
        self._config_views: list[ConfigView] = []
        self._background_tasks: list[asyncio.Task[Any]] = []
        self._request_count = 0

    def make_request(self, **options: Any) -> JobRequest:
        """Return a request with a new key; fields not in `options` are chosen at random."""
        self._request_count += 1
        random_fields: dict[str, Any] = {
            "account": self.rng.choice(["hooghly", "kite", "tissue", "ledger"]),
            "kind": self.rng.choice(["urgent", "deferrable", "bulk"]),
            "members": self.rng.choice([1, 1, 1, 2, 3]),
            "repeatable": self.rng.random() < 0.5,
            "run_ms": self.rng.randrange(20, 600),
        }
        return JobRequest(f"{self.seed}/{self._request_count}", **(random_fields | options))

    def start_load(self, count: int, over_s: float = 0.0, **options: Any) -> None:
        """Submit `count` requests over `over_s` seconds and poll them in the background."""
        self._background_tasks.append(asyncio.create_task(self._submit(count, over_s, options)))

    def run_in_background(self, work: Awaitable[Any]) -> None:
        """Run `work` in the background; `finish` awaits it before the checks."""
        self._background_tasks.append(asyncio.ensure_future(work))

    async def pause(self, min_s: float, max_s: float | None = None) -> None:
        """Sleep for a random time between `min_s` and `max_s`, or for `min_s`."""
        await asyncio.sleep(self.rng.uniform(min_s, max_s or min_s))

    def random_worker(self, zone: str = "") -> str:
        """Return a random worker of `zone`, or of any zone."""
        zones = self.fleet.zone_by_worker
        return self.rng.choice([w for w, at in zones.items() if zone in ("", at)])

    def random_entry(self) -> str:
        """Return the id of a random entry."""
        return self.rng.choice(list(self.fleet.entries_by_id))

    def end_departures(self) -> None:
        """Record that the workers told to leave may receive work again from now on."""
        now_ms = monotonic_ms()
        self.departures = [departure._replace(until_ms=now_ms) for departure in self.departures]

    async def poll_configurations(self) -> None:
        """Record the configuration revision in force at each reachable entry, until cancelled."""
        while True:
            for entry_id, address in self.fleet.http_by_entry.items():
                process = self.fleet.entries_by_id[entry_id]
                if entry_id in self.isolated_entries or not process.is_running:
                    continue
                asked_ms = monotonic_ms()
                document = await self.fleet.get(address, "/v1/config")
                if document is not None and entry_id not in self.isolated_entries:
                    revision = document["revision"]
                    self._config_views.append(
                        ConfigView(process.incarnation, revision, asked_ms, process.started_ms)
                    )
            await asyncio.sleep(CONFIG_POLL_INTERVAL_S)

    def summarize_verdicts(self) -> str:
        """Return the number of requests per final verdict, as one line."""
        tags = Counter(
            record.verdicts[-1].tag if record.verdicts else "none"
            for record in self.callers.records()
        )
        return " ".join(f"{tag}={count}" for tag, count in sorted(tags.items()))

    async def finish(self) -> list[checker.Finding]:
        """Wait for the background work and check every guarantee."""
        await asyncio.gather(*self._background_tasks)
        await asyncio.sleep(SETTLE_DELAY_S)
        records = self.callers.records()
        job_ids = {record.job_id for record in records}
        all_events = await self.fleet.events()
        recent = [event for event in all_events if event.monotonic_ms >= self.started_ms]
        events = [event for event in recent if event.job_id in job_ids]
        accepted = self.operator.accepted_ms_by_revision
        findings = [
            checker.check_zones(recent, self.operator.changes, ZONE_BOUND_MS),
            checker.check_at_most_once(events, records),
            checker.check_not_run(events, records),
            checker.check_gangs(events, monotonic_ms(), GANG_LEASE_MS + RECORDING_TOLERANCE_MS),
            checker.check_answers(events, records),
            checker.check_one_verdict(records),
            checker.check_configuration(accepted, self._config_views, CONFIG_BOUND_MS),
            checker.check_leaving(recent, self.departures, LEAVING_BOUND_MS),
            checker.check_guarantees(events, self.guarantee_demands, RECLAIM_BOUND_MS),
        ]
        if self.expects_no_cut_off:
            findings.append(checker.check_cut_off(records))
        return findings + self.extra_findings

    async def _submit(self, count: int, over_s: float, options: dict[str, Any]) -> None:
        callers = []
        for _ in range(count):
            run = self.callers.run(self.make_request(**options), CALLER_TIMEOUT_S)
            callers.append(asyncio.create_task(run))
            await asyncio.sleep(over_s / count)
        await asyncio.gather(*callers)


class Scenario(NamedTuple):
    """The injection of `fault`, which tests the guarantee `promise`."""

    promise: str
    fault: str
    run: Callable[[Trial], Awaitable[None]]


SCENARIOS: list[Scenario] = []


def scenario(promise: str, fault: str) -> Callable[[Any], Any]:
    """Register the decorated coroutine function as the test of `promise` under `fault`."""

    def register(run: Callable[[Trial], Awaitable[None]]) -> Callable[[Trial], Awaitable[None]]:
        SCENARIOS.append(Scenario(promise, fault, run))
        return run

    return register


async def run_trial(fleet: Fleet, case: Scenario, seed: int) -> tuple[list[checker.Finding], str]:
    """Run one scenario, heal the fleet, and return the findings and the verdict summary."""
    trial = Trial(fleet, f"{case.promise}/{case.fault}/{seed}/{monotonic_ms()}")
    # The time in the trial's seed makes its keys unique; faults and requests do not depend on it.
    trial.rng = Random(f"{case.fault}/{seed}")
    await trial.operator.apply()
    polling = asyncio.create_task(trial.poll_configurations())
    try:
        await case.run(trial)
        await fleet.heal()
        return await trial.finish(), trial.summarize_verdicts()
    finally:
        polling.cancel()
        await fleet.heal()


def format_violations(findings: Iterable[checker.Finding]) -> list[str]:
    """Return one line for each violation."""
    return [
        f"{finding.promise}: {violation.subject}: {violation.detail}"
        for finding in findings
        for violation in finding.violations
    ]
