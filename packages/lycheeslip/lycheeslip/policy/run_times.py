"""Run time estimates: quantiles of past run times by account, job kind and size."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from lycheeslip_common.structure.jobs import JobKind, JobSpec

__all__ = ["RunTimes"]

MIN_RUN_MS = 1
MAX_RUN_MS = 30 * 24 * 3_600_000
SIGNIFICANT_DIGITS = 2
EXPECTED_PERCENTILE = 75.0
MIN_SAMPLES = 5
MAX_HISTOGRAMS = 2_000


class _JobClass(NamedTuple):
    """Jobs with similar expected run times; sizes are grouped by powers of two."""

    account: str
    kind: JobKind
    log2_size: int


class RunTimes:
    """Run times of ended jobs, used instead of declared ones once there are enough samples."""

    def __init__(self, min_samples: int = MIN_SAMPLES) -> None:
        """Start without history; a class is estimated from `min_samples` run times on."""
        self._min_samples = min_samples
        self._by_class: dict[_JobClass, HdrHistogram] = {}
        self._quantile_by_class: dict[_JobClass, int] = {}

    def record(self, spec: JobSpec, run_ms: int) -> None:
        """Record the run time of an answered attempt that did all the work of its job."""
        key = _job_class_of(spec)
        histogram = self._by_class.pop(key, None)
        if histogram is None:
            histogram = HdrHistogram(MIN_RUN_MS, MAX_RUN_MS, SIGNIFICANT_DIGITS)
        histogram.record_value(max(MIN_RUN_MS, min(run_ms, MAX_RUN_MS)))
        self._by_class[key] = histogram
        self._quantile_by_class.pop(key, None)
        if len(self._by_class) > MAX_HISTOGRAMS:
            oldest = next(iter(self._by_class))
            del self._by_class[oldest]
            self._quantile_by_class.pop(oldest, None)

    def expected_ms(self, spec: JobSpec) -> int:
        """Return the estimated run time, or the declared one if there are too few samples."""
        key = _job_class_of(spec)
        known = self._quantile_by_class.get(key)
        if known is not None:
            return known
        histogram = self._by_class.get(key)
        if histogram is None or histogram.get_total_count() < self._min_samples:
            return spec.expected_run_ms
        quantile = int(histogram.get_value_at_percentile(EXPECTED_PERCENTILE))
        self._quantile_by_class[key] = quantile
        return quantile


def _job_class_of(spec: JobSpec) -> _JobClass:
    return _JobClass(spec.account, spec.kind, spec.shape.total_accelerators.bit_length())
