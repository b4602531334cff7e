"""Commands that explain from logs what happened to jobs, and why work was lost."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from lycheeslip.commands.log_lines import LogLine, job_of, read_logs
from lycheeslip.commands.options import Options, OutputFormat
from lycheeslip.commands.outcomes import CommandError, ExitCode
from lycheeslip.commands.render import print_json, print_table

__all__ = ["LostWork", "explain_from_logs", "show_lost_work", "sum_lost_work"]

Key = TypeVar("Key")

NO_LOSS = "none"
LEADER_EVENTS = frozenset({"leader_elected", "leader_stepped_down"})
MAX_ROWS = 10  # of jobs, largest first


@dataclass
class LostWork:
    """Lost work in core-seconds: by cause, by queue and cause, and by the job it was stopped for.

    `runs` and `jobs` count by cause what lost it.
    """

    by_cause: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    by_queue: defaultdict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    by_job: defaultdict[tuple[str, str], float] = field(default_factory=lambda: defaultdict(float))
    by_beneficiary: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    runs: Counter[str] = field(default_factory=Counter)
    jobs: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))


def sum_lost_work(lines: Iterable[LogLine]) -> LostWork:
    """Return what the runs of these lines have lost; an end that two leaders log counts once."""
    lost = LostWork()
    queues: dict[str, str] = {}
    beneficiaries: dict[str, str] = {}
    counted: set[tuple[str, str]] = set()
    for line in lines:
        match line.event:
            case "job_known":
                queues[line.fields["job"]] = line.fields["queue"]
            case "run_preempted":
                beneficiaries[job_of(line)] = line.fields["for_job"]
            case "run_ended":
                run = (line.fields["task"], line.fields["run"])
                if line.fields.get("loss", NO_LOSS) != NO_LOSS and run not in counted:
                    counted.add(run)
                    _add(lost, line, queues, beneficiaries)
    return lost


def _add(
    lost: LostWork, line: LogLine, queues: dict[str, str], beneficiaries: dict[str, str]
) -> None:
    cause, core_s, job = line.fields["loss"], float(line.fields["lost_core_s"]), job_of(line)
    lost.by_cause[cause] += core_s
    lost.by_queue[(queues.get(job, "-"), cause)] += core_s
    lost.by_job[(job, cause)] += core_s
    lost.runs[cause] += 1
    lost.jobs[cause].add(job)
    if cause == "preempted":
        lost.by_beneficiary[beneficiaries.get(job, "-")] += core_s


def show_lost_work(options: Options, paths: Sequence[Path]) -> ExitCode:
    """Print why work was lost, by cause, queue and job, largest first."""
    lost = sum_lost_work(read_logs(paths))
    if options.output is OutputFormat.JSON:
        print_json(_document(lost))
        return ExitCode.OK
    total = sum(lost.by_cause.values())
    print_table(
        f"lost work: {total:.0f} core-seconds",
        ("cause", "core-seconds", "share", "runs", "jobs"),
        [
            (
                cause,
                f"{core_s:.0f}",
                f"{core_s / total:.0%}",
                lost.runs[cause],
                len(lost.jobs[cause]),
            )
            for cause, core_s in _largest_first(lost.by_cause)
        ],
    )
    for title, core_s_by_pair in (("by queue", lost.by_queue), ("by job", lost.by_job)):
        rows = [(*pair, f"{core_s:.0f}") for pair, core_s in _largest_first(core_s_by_pair)]
        print_table(title, ("name", "cause", "core-seconds"), rows[:MAX_ROWS])
    beneficiaries = [(job, f"{core_s:.0f}") for job, core_s in _largest_first(lost.by_beneficiary)]
    print_table("preempted for", ("job", "core-seconds"), beneficiaries[:MAX_ROWS])
    return ExitCode.OK


def _largest_first(amounts: Mapping[Key, float]) -> list[tuple[Key, float]]:
    return sorted(amounts.items(), key=lambda item: -item[1])


def _document(lost: LostWork) -> dict[str, Any]:
    return {
        "by_cause": dict(lost.by_cause),
        "runs_by_cause": dict(lost.runs),
        "jobs_by_cause": {cause: sorted(jobs) for cause, jobs in lost.jobs.items()},
        "preempted_for": dict(lost.by_beneficiary),
    }


def explain_from_logs(job: str, paths: Sequence[Path]) -> ExitCode:
    """Print all lines about a job and the changes of leader meanwhile, in seconds since the first.

    The estimated run times of its steps follow, each with its spread and source.

    Raises CommandError if no line is about the job.
    """
    lines = read_logs(paths)
    about = [line for line in lines if job_of(line) == job]
    if not about:
        raise CommandError(f"no line of these logs is about job {job}", ExitCode.USAGE)
    first_s, last_s = about[0].at_s, about[-1].at_s
    for line in lines:
        is_meanwhile = line.event in LEADER_EVENTS and first_s <= line.at_s <= last_s
        if is_meanwhile or job_of(line) == job:
            fields = " ".join(
                f"{key}={value}" for key, value in line.fields.items() if key != "job"
            )
            print(f"{line.at_s - first_s:8.3f} {line.origin} {line.event} {fields}")
    for line in about:
        if line.event == "run_time_estimated":
            print(_estimate_text(line.fields))
    return ExitCode.OK


def _estimate_text(fields: Mapping[str, str]) -> str:
    """Return a sentence on a step's estimated run time, from a `run_time_estimated` line."""
    declared_s, estimate_s, low_s, high_s = (
        f"{float(fields[key]) / 1_000:.1f}"
        for key in ("declared_ms", "estimate_ms", "low_ms", "high_ms")
    )
    return (
        f"step {fields['step']}: estimated at {estimate_s} s ({low_s} to {high_s} s) from"
        f" {fields['samples']} earlier runs by {fields['source']}, declared {declared_s} s"
    )
