"""Lists the urgent jobs of a log that were late, each with its causes.

Run it with `python -m benchmarks.late_jobs LOG...` on what the entries and agents of one deployment
wrote, lines of all processes in one file, each led by seconds and the instance or not. What a job
should have taken is its queue's stretch times the longest of its usual run times, and the fixed
part of its objective; a step that needs over a quarter of the accelerators counts in waves.
"""

import re
import statistics
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import typer
from lycheeslip.commands.log_lines import LogLine, job_of, read_log

STEP = re.compile(r"(?P<tasks>\d+)_(?P<kind>tasks|gang):[^']*?accelerators=(?P<accelerators>\d+)")
UNUSUAL_RATIO = 1.35  # of the median run time, from which a run is slow
WAVE_RATIO = 0.25  # of the accelerators


@dataclass
class Run:
    """A run of a task, with Unix times in seconds and why it ended."""

    task: str
    started_at_s: float
    ended_at_s: float = 0.0
    cause: str = ""
    node: str = ""

    @property
    def took_s(self) -> float:
        """Duration of the run."""
        return self.ended_at_s - self.started_at_s


@dataclass
class Job:
    """An urgent job with one step, its runs and its end (0: none)."""

    accepted_at_s: float
    tasks: int
    accelerators: int
    is_gang: bool
    runs: dict[tuple[str, str], Run] = field(default_factory=dict)
    done_at_s: float = 0.0
    declined: int = 0


def urgent_jobs(lines: Iterator[LogLine]) -> dict[str, Job]:
    """Return the urgent jobs that were not cancelled, by id."""
    by_id: dict[str, Job] = {}
    for line in lines:
        at_s, event, fields, _ = line
        job_id = job_of(line)
        if event == "job_known" and job_id not in by_id and fields["priority"] == "0":
            if step := STEP.search(fields["steps"]):
                accepted_at_s = at_s - int(fields["delay_ms"]) / 1_000
                is_gang = step["kind"] == "gang"
                by_id[job_id] = Job(
                    accepted_at_s, int(step["tasks"]), int(step["accelerators"]), is_gang
                )
        elif event == "job_cancelled":
            by_id.pop(job_id, None)
        elif job_id in by_id:
            apply_event(by_id[job_id], at_s, event, fields)
    return by_id


def apply_event(job: Job, at_s: float, event: str, fields: dict[str, str]) -> None:
    """Apply a line about a job's runs."""
    match event:
        case "start_ordered":
            key = (fields["task"], fields["run"])
            job.runs.setdefault(key, Run(fields["task"], at_s, node=fields["node"]))
        case "run_ended":
            run = job.runs.get((fields["task"], fields["run"]))
            if run is not None:
                run.ended_at_s, run.cause = at_s, fields["cause"]
            if fields["job_state"] == "completed":
                job.done_at_s = job.done_at_s or at_s
        case "preemption_declined":
            job.declined += 1


def usual_s(job: Job) -> float:
    """Return the longest duration of runs that nothing slowed down, 0 if none is done."""
    done = sorted(run.took_s for run in job.runs.values() if run.cause == "done")
    if not done:
        return 0.0
    limit_s = statistics.median_low(done) * UNUSUAL_RATIO
    return max(took_s for took_s in done if took_s <= limit_s)


def causes(job: Job, latest_start_s: float) -> list[str]:
    """Return why the task that ended last was late."""
    runs = [run for run in job.runs.values() if run.cause]
    last = max(runs, key=lambda run: run.ended_at_s)
    of_task = [run for run in runs if run.task == last.task]
    waited_s = of_task[0].started_at_s - job.accepted_at_s
    found = [f"{run.cause} on {run.node} after {run.took_s:.1f} s" for run in of_task[:-1]]
    if of_task[0].started_at_s > latest_start_s:
        found.insert(0, f"waited {waited_s:.1f} s, {job.declined} preemptions declined")
    if last.cause == "done" and last.took_s > usual_s(job) * UNUSUAL_RATIO:
        found.append(f"slow on {last.node}, {last.took_s:.1f} s")
    return found or ["not known"]


def main(
    logs: list[Path], stretch: float = 1.5, objective_ms: int = 250, accelerators: int = 88
) -> None:
    """Print the late jobs of each log and, in the end, how often each kind of cause came first."""
    totals: Counter[str] = Counter()
    for path in logs:
        for job_id, job in urgent_jobs(read_log(path)).items():
            run_s = usual_s(job)
            share = job.tasks * job.accelerators / accelerators / WAVE_RATIO
            waves = 1.0 if job.is_gang else max(1.0, min(job.tasks, share))
            due_at_s = job.accepted_at_s + stretch * waves * run_s + objective_ms / 1_000
            if not run_s or 0 < job.done_at_s <= due_at_s:
                continue
            found = causes(job, due_at_s - run_s)
            totals[found[0].split()[0]] += 1
            late_s = f"{job.done_at_s - due_at_s:.1f} s late" if job.done_at_s else "not done"
            print(f"{path.name} {job_id} run={run_s:.1f}s {late_s}: {'; '.join(found)}")
    for cause, count in totals.most_common():
        print(f"{count:4d} {cause}")


if __name__ == "__main__":
    typer.run(main)
