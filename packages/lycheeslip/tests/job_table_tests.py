import asyncio

import pytest
from lycheeslip.entry import lifecycle
from lycheeslip.entry.job_table import JobTable
from lycheeslip_common.structure.jobs import JobKind, JobSpec, Shape


@pytest.mark.parametrize(
    ("revisions", "taken"),
    [
        ([1, 1], [1]),
        ([2, 1], [2]),
        ([1, 2], [1, 2]),
        ([0, 0], [0, 0]),
        ([0, 1], [0, 1]),
        ([1, 0], [1]),
    ],
)
def test_only_what_is_new_is_taken_in(revisions, taken):
    changed = asyncio.Event()
    table = JobTable(changed)
    record = lifecycle.new_record("job", JobSpec("a", JobKind.BULK, Shape()), "", "e1", 1)
    seen = []
    for revision in revisions:
        changed.clear()
        table.put(record, revision)
        if changed.is_set():
            seen.append(revision)
    assert seen == taken
