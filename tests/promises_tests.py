"""Runs a fixed selection of the fault scenarios with one seed; `make prove` runs all of them."""

import pytest
import pytest_asyncio

from tests.harness.fleet import Fleet, FleetLayout
from tests.prove import all_scenarios
from tests.prove.trial import format_violations, run_trial

pytestmark = [pytest.mark.processes, pytest.mark.asyncio(loop_scope="module")]

SEED = 1
CASES = [
    ("no start in a zone taken out", "its agents cut off from all entries"),
    ("no start in a zone taken out", "a new entry while all others are cut off from the store"),
    ("not repeatable: at most once", "an entry frozen past its lease"),
    ("not repeatable: at most once", "one key at two entries at once"),
    ("not run is true", "a wave of cancellations under lost answers"),
    ("no partial gang", "agents killed and restarted at once"),
    ("whole answer, right caller", "large answers on connections that break"),
    ("configuration in force, never reverts", "a write that lands after it was refused"),
]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(tmp_path_factory):
    fleet = Fleet(FleetLayout(), tmp_path_factory.mktemp("fleet"))
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


@pytest.mark.parametrize(("promise", "fault"), CASES)
async def test_promise_holds_under_fault(fleet, promise, fault):
    scenario = next(s for s in all_scenarios() if (s.promise, s.fault) == (promise, fault))
    findings, _ = await run_trial(fleet, scenario, SEED)
    assert format_violations(findings) == []
    assert any(finding.cases for finding in findings if finding.promise == promise)
