"""Writes a Markdown report with plots of benchmark runs: python -m benchmarks.report RESULTS."""

import json
from collections import defaultdict
from pathlib import Path
from statistics import mean
from typing import Any

import matplotlib
import typer

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["mean_measures", "write_report"]

PLOTTED_MEASURES = {
    "completion_p95_ms": "completion p95 (ms)",
    "largest_wait_ms.large": "longest wait of a large gang (ms)",
    "fragmentation": "fragmentation",
    "deadlines_met": "share of deadlines met",
}
TABLE_MEASURES = (
    "completion_mean_ms",
    "completion_p50_ms",
    "completion_p95_ms",
    "completion_p99_ms",
    "completion_p95_ms.urgent",
    "completion_p95_ms.deferrable",
    "completion_p95_ms.bulk",
    "completion_p95_ms.large",
    "start_p99_ms.urgent",
    "largest_wait_ms.large",
    "deadlines_met",
    "utilisation",
    "fragmentation",
    "overhead_ratio",
    "attempts_per_job",
    "makespan_ms",
    "unfinished.large",
    "wrong_digests",
    "submissions_refused",
)


def mean_measures(results: dict[str, Any]) -> dict[tuple[str, str], dict[str, float]]:
    """Return the mean of each measure by workload and policy."""
    values: defaultdict[tuple[str, str], defaultdict[str, list[float]]]
    values = defaultdict(lambda: defaultdict(list))
    for run in results["runs"]:
        for name, value in run["measures"].items():
            if isinstance(value, int | float):
                values[run["workload"], run["policy"]][name].append(value)
    return {key: {k: mean(v) for k, v in found.items()} for key, found in values.items()}


def write_report(results: dict[str, Any], folder: Path) -> None:
    """Write report.md and its plots to `folder`."""
    means = mean_measures(results)
    workloads = list(dict.fromkeys(run["workload"] for run in results["runs"]))
    policies = list(dict.fromkeys(run["policy"] for run in results["runs"]))
    machine = results["machine"]
    lines = [
        "# Results",
        "",
        f"Version {results['version']}, size {results['size']}, seeds {results['seeds']},"
        f" {results['seconds']} s of arrivals; {machine['cores']} cores, load average"
        f" {machine['load_before'][0]:.1f} before and {machine['load_after'][0]:.1f} after."
        " Each figure is the mean over the runs of a workload.",
        "",
    ]
    for workload in workloads:
        lines += _table(workload, policies, means)
    for measure, title in PLOTTED_MEASURES.items():
        name = f"{measure.replace('.', '_')}.png"
        _plot(folder / name, measure, title, workloads, policies, means)
        lines += [f"![{title}]({name})", ""]
    (folder / "report.md").write_text("\n".join(lines))


def _table(
    workload: str, policies: list[str], means: dict[tuple[str, str], dict[str, float]]
) -> list[str]:
    lines = [f"## {workload}", "", f"| measure | {' | '.join(policies)} |"]
    lines.append("|---|" + "---:|" * len(policies))
    for measure in TABLE_MEASURES:
        cells = [f"{means[workload, policy].get(measure, -1):.4g}" for policy in policies]
        lines.append(f"| {measure} | {' | '.join(cells)} |")
    return [*lines, ""]


def _plot(
    path: Path,
    measure: str,
    title: str,
    workloads: list[str],
    policies: list[str],
    means: dict[tuple[str, str], dict[str, float]],
) -> None:
    figure, axes = pyplot.subplots(figsize=(max(6, 1.4 * len(workloads)), 4))
    width = 0.8 / len(policies)
    for offset, policy in enumerate(policies):
        heights = [max(0.0, means[workload, policy].get(measure, 0)) for workload in workloads]
        positions = [index + offset * width for index in range(len(workloads))]
        axes.bar(positions, heights, width, label=policy)
    axes.set_xticks([index + 0.4 - width / 2 for index in range(len(workloads))], workloads)
    axes.tick_params(axis="x", rotation=30)
    axes.set_ylabel(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def main(results: Path) -> None:
    """Write the report of a results file to the folder of the file."""
    write_report(json.loads(results.read_text()), results.parent)


if __name__ == "__main__":
    typer.run(main)
