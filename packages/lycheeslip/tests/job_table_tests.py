import asyncio

import pytest
from lycheeslip.entry import lifecycle
from lycheeslip.entry.job_table import JobTable
from lycheeslip_common.structure.jobs import JobKind, JobSpec, Shape


@pytest.mark.parametrize(
    ("revisions", "applied"),
    [
        ([1, 1], [1]),
        ([2, 1], [2]),
        ([1, 2], [1, 2]),
        ([0, 0], [0, 0]),
        ([0, 1], [0, 1]),
        ([1, 0], [1]),
    ],
)
def test_only_newer_revisions_are_applied(revisions, applied):
    changed = asyncio.Event()
    table = JobTable(changed)
    record = lifecycle.new_record("job", JobSpec("a", JobKind.BULK, Shape()), "", "e1", 1)
    observed = []
    for revision in revisions:
        changed.clear()
        table.put(record, revision)
        if changed.is_set():
            observed.append(revision)
    assert observed == applied
