"""Learned run times: quantiles by account, kind and size."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from lycheeslip_common.structure.jobs import JobKind, JobSpec

__all__ = ["RunTimes"]

LOWEST_RUN_MS = 1
HIGHEST_RUN_MS = 30 * 24 * 3_600_000
SIGNIFICANT_DIGITS = 2
EXPECTED_PERCENTILE = 75.0
MIN_SAMPLES = 5
MAX_HISTOGRAMS = 2_000


class _Class(NamedTuple):
    """Jobs that are expected to run alike; sizes count as powers of two."""

    account: str
    kind: JobKind
    log2_size: int


class RunTimes:
    """Run times of ended jobs; the declaration counts only until there is enough history."""

    def __init__(self, min_samples: int = MIN_SAMPLES) -> None:
        """Start without history; trust it from `min_samples` jobs of a class on."""
        self._min_samples = min_samples
        self._by_class: dict[_Class, HdrHistogram] = {}

    def record(self, spec: JobSpec, run_ms: int) -> None:
        """Add the run time of a job that ended with an answer."""
        key = _class_of(spec)
        histogram = self._by_class.pop(key, None)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_RUN_MS, HIGHEST_RUN_MS, SIGNIFICANT_DIGITS)
        histogram.record_value(max(LOWEST_RUN_MS, min(run_ms, HIGHEST_RUN_MS)))
        self._by_class[key] = histogram
        if len(self._by_class) > MAX_HISTOGRAMS:
            self._by_class.pop(next(iter(self._by_class)))

    def expected_ms(self, spec: JobSpec, percentile: float = EXPECTED_PERCENTILE) -> int:
        """Return the run time to plan with, the declaration where too little is known."""
        histogram = self._by_class.get(_class_of(spec))
        if histogram is None or histogram.get_total_count() < self._min_samples:
            return spec.expected_run_ms
        return int(histogram.get_value_at_percentile(percentile))


def _class_of(spec: JobSpec) -> _Class:
    return _Class(spec.account, spec.kind, spec.shape.total_accelerators.bit_length())
