"""Tests of the commands that explain jobs and lost work from logs."""

import json

import pytest
from lycheeslip.cli import app
from typer.testing import CliRunner


def line(second: float, entry: str, event: str, fields: str) -> str:
    return f"{second} {entry} time=2026-01-01T00:00:0{second}00 level=INFO event={event} {fields}\n"


LEADER_1 = "".join(
    [
        line(1.0, "entry-1", "job_known", "job=aa queue=q priority=1"),
        line(2.0, "entry-1", "run_preempted", "task=aa.0.0.0 run=1 for_job=bb"),
        line(2.5, "entry-1", "run_ended", "task=aa.0.0.0 run=1 loss=preempted lost_core_s=40.0"),
        line(2.6, "entry-1", "leader_stepped_down", "epoch=5 reason=leaving"),
    ]
)
LEADER_2 = "not a line of ours\n" + "".join(
    [
        line(2.7, "entry-2", "leader_elected", "epoch=9"),
        line(2.9, "entry-2", "run_ended", "task=aa.0.0.0 run=1 loss=stopped lost_core_s=41.0"),
        line(3.0, "entry-2", "run_ended", "task=aa.0.0.1 run=1 loss=none lost_core_s=0.0"),
        line(3.5, "entry-2", "run_ended", "task=cc.0.0.0 run=2 loss=worker_lost lost_core_s=60.0"),
    ]
)


@pytest.fixture
def logs(tmp_path):
    paths = tmp_path / "entry-1.log", tmp_path / "entry-2.log"
    for path, text in zip(paths, (LEADER_1, LEADER_2), strict=True):
        path.write_text(text)
    return [str(path) for path in paths]


def run(*arguments):
    return CliRunner().invoke(app, arguments)


def test_lost_work_is_summed_by_cause_and_each_run_counts_once(logs):
    document = json.loads(run("--output", "json", "lost-work", *logs).stdout)
    assert document["by_cause"] == {"preempted": 40.0, "worker_lost": 60.0}
    assert document["jobs_by_cause"] == {"preempted": ["aa"], "worker_lost": ["cc"]}
    assert document["preempted_for"] == {"bb": 40.0}


def test_lost_work_is_shown_largest_first(logs):
    shown = run("lost-work", *logs).stdout
    assert "lost work: 100 core-seconds" in shown
    assert shown.index("worker_lost") < shown.index("preempted")


def test_logs_without_lost_work_are_shown_as_such(tmp_path):
    (tmp_path / "empty.log").write_text("")
    result = run("lost-work", str(tmp_path / "empty.log"))
    assert (result.exit_code, "lost work: 0 core-seconds" in result.stdout) == (0, True)


def test_explain_follows_a_job_over_a_change_of_leader(logs):
    lines = run("explain", "aa", "--log", logs[1], "--log", logs[0]).stdout.splitlines()
    assert [line.split()[3] for line in lines] == [
        "job_known",
        "run_preempted",
        "run_ended",
        "leader_stepped_down",
        "leader_elected",
        "run_ended",
        "run_ended",
    ]


def test_explain_tells_the_estimated_run_time_with_its_spread_and_source(tmp_path):
    path = tmp_path / "entry.log"
    fields = (
        "job=aa step=1 declared_ms=60000 estimate_ms=5000 low_ms=4000 high_ms=6250 samples=12"
        " source=shape"
    )
    path.write_text(line(1.0, "entry-1", "run_time_estimated", fields))
    shown = run("explain", "aa", "--log", str(path)).stdout.splitlines()
    assert shown[-1] == (
        "step 1: estimated at 5.0 s (4.0 to 6.2 s) from 12 earlier runs by shape, declared 60.0 s"
    )


@pytest.mark.parametrize("command", [("explain", "zz", "--log"), ("lost-work", "/absent")])
def test_wrong_use_is_told(logs, command):
    result = run(*command, logs[0])
    assert result.exit_code == 2
