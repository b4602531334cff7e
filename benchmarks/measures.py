"""Computes the measures of a run from the results of its jobs and its samples."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from lycheeslip_standins.load import JobResult

from benchmarks.sampler import Sample

__all__ = ["measure", "percentile"]

REPORTED_PERCENTILES = (50, 95, 99)


def percentile(values: Iterable[float], percent: float) -> float:
    """Return the nearest-rank percentile, or -1 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return -1.0
    rank = max(1, -(-len(ordered) * percent // 100))
    return ordered[int(rank) - 1]


def measure(jobs: list[JobResult], samples: list[Sample], accelerators: int) -> dict[str, Any]:
    """Return the measures of one run by name; times are in ms and -1 means no value."""
    not_cancelled = [job for job in jobs if not job.cancelled]
    measures: dict[str, Any] = {"jobs": len(jobs)}
    labels = sorted({job.label for job in not_cancelled})
    for label in labels:
        done = [job for job in not_cancelled if job.label == label and job.verdict == "answered"]
        completion = [job.done_ms - job.submitted_ms for job in done]
        waits = [job.first_start_ms - job.submitted_ms for job in done]
        for percent in REPORTED_PERCENTILES:
            measures[f"completion_p{percent}_ms.{label}"] = percentile(completion, percent)
            measures[f"start_p{percent}_ms.{label}"] = percentile(waits, percent)
        measures[f"largest_wait_ms.{label}"] = max(waits, default=-1)
        measures[f"unfinished.{label}"] = sum(
            job.verdict in ("unfinished", "") for job in not_cancelled if job.label == label
        )
    done_ms = [job.done_ms - job.submitted_ms for job in not_cancelled if job.verdict == "answered"]
    for percent in REPORTED_PERCENTILES:
        measures[f"completion_p{percent}_ms"] = percentile(done_ms, percent)
    measures["completion_mean_ms"] = sum(done_ms) / max(1, len(done_ms))
    measures |= _deadline_measures(not_cancelled) | _resource_measures(
        not_cancelled, samples, accelerators
    )
    measures["verdicts"] = dict(Counter(f"{job.verdict}.{job.reason}" for job in jobs))
    measures["wrong_digests"] = sum(
        job.verdict == "answered" and not job.digest_matches for job in jobs
    )
    measures["submissions_refused"] = sum(job.refusals for job in jobs)
    measures["peak_busy_by_rack"] = _peak_busy_by_rack(samples)
    return measures


def _deadline_measures(jobs: list[JobResult]) -> dict[str, float]:
    accepted = [job for job in jobs if job.deadline_in_ms and job.accepted_ms >= 0]
    met = [
        job
        for job in accepted
        if job.verdict == "answered" and job.done_ms - job.submitted_ms <= job.deadline_in_ms
    ]
    return {"deadlines": len(accepted), "deadlines_met": len(met) / max(1, len(accepted))}


def _resource_measures(
    jobs: list[JobResult], samples: list[Sample], accelerators: int
) -> dict[str, float]:
    """Return utilisation, fragmentation and the run time spent beyond the answered work.

    Fragmentation is averaged over the samples with waiting jobs.
    """
    answered = [job for job in jobs if job.verdict == "answered"]
    useful = sum(job.run_ms * job.accelerators for job in answered)
    ran = sum(job.ran_ms * job.accelerators for job in jobs)
    makespan_ms = max((job.done_ms for job in answered), default=1)
    fragmentations = [sample.fragmentation for sample in samples if sample.waiting]
    return {
        "makespan_ms": makespan_ms,
        "utilisation": useful / (accelerators * max(1, makespan_ms)),
        "useful_accelerator_s": useful / 1000,
        "overhead_ratio": ran / useful - 1 if useful else -1.0,
        "attempts_per_job": sum(job.attempts for job in answered) / max(1, len(answered)),
        "fragmentation": sum(fragmentations) / len(fragmentations) if fragmentations else 0.0,
    }


def _peak_busy_by_rack(samples: list[Sample]) -> dict[str, int]:
    peaks: dict[str, int] = {}
    for sample in samples:
        for rack, busy in sample.busy_by_rack.items():
            peaks[rack] = max(peaks.get(rack, 0), busy)
    return peaks
