import pytest
from lycheeslip.policy.model import Act, Explain, Place
from lycheeslip.policy.plan import plan

from .builders import Account, config, place, running, shape, view, waiting, worker

WORKERS = {"w0": worker("w0"), "w1": worker("w1")}
ACCOUNTS = config([], [Account("a", shape(1, 8)), Account("b"), Account("c", shape(1, 4))])


def fill(account="b", size=2, **of_spec):
    """Return running jobs of `size` accelerators that fill both workers."""
    return [
        running(
            f"{account}{worker_id}{first}",
            place(WORKERS, (worker_id, range(first, first + size))),
            account=account,
            accelerators=size,
            **of_spec,
        )
        for worker_id in WORKERS
        for first in range(0, 8, size)
    ]


def stopped(actions):
    return {action.ref.job_id for action in actions if isinstance(action, Act)}


def reasons(actions):
    return {action.job_id: action.reason for action in actions if isinstance(action, Explain)}


@pytest.mark.parametrize("kind", ["urgent", "deferrable", "bulk"])
def test_guarantee_reclaims_no_more_than_needed_from_borrowers(kind):
    job = waiting("j", account="a", kind=kind, accelerators=4)
    actions = plan(view(WORKERS, [job], fill(), ACCOUNTS))
    assert len(stopped(actions)) == 2
    assert all(a.grace_ms == 800 for a in actions if isinstance(a, Act))
    assert reasons(actions) == {"j": "reclaiming"}


def test_jobs_that_are_stopping_count_as_reclaimed():
    jobs = fill()
    jobs[0] = jobs[0]._replace(stopping=True)
    jobs[1] = jobs[1]._replace(stopping=True)
    fleet_view = view(WORKERS, [waiting("j", account="a", accelerators=4)], jobs, ACCOUNTS)
    assert not stopped(plan(fleet_view))
    two = [waiting("j", account="a", accelerators=4), waiting("k", account="a", accelerators=4)]
    assert len(stopped(plan(fleet_view._replace(waiting=tuple(two))))) == 2


def test_urgent_job_preempts_only_lower_kinds_of_borrowers():
    urgent = waiting("j", account="d", kind="urgent")
    assert len(stopped(plan(view(WORKERS, [urgent], fill(), ACCOUNTS)))) == 1
    for jobs in (fill(kind="urgent"), fill(repeatable=False)):
        assert not stopped(plan(view(WORKERS, [urgent], jobs, ACCOUNTS)))
    within = running("r", place(WORKERS, ("w0", range(4))), account="c", accelerators=4)
    alone = {"w0": worker("w0", accelerators=4)}
    assert not stopped(plan(view(alone, [urgent], [within], ACCOUNTS)))


def test_fair_share_job_reclaims_nothing():
    job = waiting("j", account="d", kind="deferrable")
    assert reasons(plan(view(WORKERS, [job], fill(), ACCOUNTS))) == {"j": "no_capacity"}


def test_bulk_and_recently_started_jobs_are_preempted_first():
    jobs = fill(size=4)
    jobs[1] = jobs[1]._replace(started_at_ms=jobs[1].started_at_ms + 500)
    job = waiting("j", account="c", accelerators=4)
    assert stopped(plan(view(WORKERS, [job], jobs, ACCOUNTS))) == {"bw04"}
    bulk = jobs[3]._replace(spec=jobs[3].spec._replace(kind="bulk"))
    assert stopped(plan(view(WORKERS, [job], [*jobs[:3], bulk], ACCOUNTS))) == {"bw14"}


def test_victims_that_are_not_needed_keep_running():
    one = {"w0": worker("w0")}
    jobs = [
        running("cheap", place(one, ("w0", range(2))), -10, account="b", accelerators=2),
        running("dear", place(one, ("w0", range(2, 8))), account="b", accelerators=6),
    ]
    job = waiting("j", account="c", accelerators=4)
    assert stopped(plan(view(one, [job], jobs, ACCOUNTS))) == {"dear"}


def test_preempted_gang_frees_all_its_workers():
    gang = running("g", place(WORKERS, ("w0", range(8)), ("w1", range(8))), account="b", members=2,
                   accelerators=8)  # fmt: skip
    jobs = [waiting("j", account="a", accelerators=8), waiting("k", account="c", accelerators=4)]
    actions = plan(view(WORKERS, jobs, [gang], ACCOUNTS))
    assert stopped(actions) == {"g"}
    assert reasons(actions) == {"j": "reclaiming", "k": "reclaiming"}


def test_guarantee_reclaims_its_homes_from_jobs_within_another_guarantee():
    homes = {"w0": ("a",) * 8, "w1": ("c",) * 4 + ("",) * 4}
    guest = running("g", place(WORKERS, ("w0", range(4))), account="c", accelerators=4)
    uninterruptible = running("f", place(WORKERS, ("w1", range(4, 8))), account="b", accelerators=4,
                   repeatable=False)  # fmt: skip
    job = waiting("j", account="a", accelerators=8)
    assert stopped(plan(view(WORKERS, [job], [guest, uninterruptible], ACCOUNTS, homes))) == {"g"}


def test_homes_of_waiting_guaranteed_jobs_are_excluded_for_urgent_jobs():
    homes = {"w0": ("a",) * 8, "w1": ("",) * 8}
    uninterruptible = running("f", place(WORKERS, ("w1", range(8))), account="b", accelerators=8,
                   repeatable=False)  # fmt: skip
    jobs = [
        waiting("u", account="d", kind="urgent", accelerators=2),
        waiting("j", account="a", accelerators=8),
    ]
    actions = plan(view(WORKERS, jobs, [uninterruptible], ACCOUNTS, homes))
    assert [a.job_id for a in actions if isinstance(a, Place)] == ["j"]
    assert reasons(actions) == {"u": "homes_of_others"}


def test_uninterruptible_jobs_leave_slots_and_memory_for_guarantees():
    one = {"w0": worker("w0", slots=2)}
    accounts = config([], [Account("a", shape(1, 4, memory_mb=200_000))])
    jobs = [
        waiting("slots", account="b", accelerators=0, repeatable=False),
        waiting("more", account="b", accelerators=0, repeatable=False),
        waiting("memory", account="b", accelerators=0, repeatable=False, memory_mb=60_000),
    ]
    actions = plan(view(one, jobs, config=accounts))
    assert [a.job_id for a in actions if isinstance(a, Place)] == ["more"]
