import pytest
import uvloop
from lycheeslip_standins.demo_fleet import DemoFleet
from lycheeslip_standins.load import LoadGenerator
from lycheeslip_standins.load_workloads import WORKLOADS, Workload, build_workload


@pytest.mark.parametrize("name", WORKLOADS)
def test_equal_seeds_give_equal_workloads(name):
    first = build_workload(name, 7, 5)
    assert first == build_workload(name, 7, 5)
    assert first != build_workload(name, 8, 5)
    assert all(0 <= job.at_ms < 5000 for job in first.jobs)
    assert len({job.key for job in first.jobs}) == len(first.jobs)


def test_results_distinguish_answers_refusals_and_cancellations():
    jobs = build_workload("impossible_jobs", 1, 1).jobs
    small = [job for job in jobs if job.body["kind"] == "urgent"][:3]
    oversized = [job for job in jobs if job.body["shape"] == {"accelerators": 9}][:1]
    long = small[0]._replace(key="long", run_ms=60_000, cancel_after_ms=300)
    long.body["payload"] = '{"run_ms": 60000}'
    workload = Workload("test", 1, [*small[1:], *oversized, long], [])

    async def run():
        fleet = DemoFleet(["east-1"])
        await fleet.start()
        try:
            return await LoadGenerator(fleet.entry_addresses, workload, "r", 10).run()
        finally:
            await fleet.stop()

    answered, other, refused, cancelled = uvloop.run(run())
    assert answered.verdict == other.verdict == "answered"
    assert answered.digest_matches
    assert answered.submitted_ms <= answered.first_start_ms < answered.done_ms
    assert refused.verdict in ("refused", "cannot_run")
    assert cancelled.verdict == "cancelled"
