"""Run time estimates: quantiles of past run times by account, job kind and size."""

from typing import NamedTuple

from lycheeslip_common.structure.jobs import JobKind, JobSpec
from lycheeslip_common.utils.quantile_sketch import MAX_RUN_MS, QuantileSketch

__all__ = ["RunTimes"]

EXPECTED_PERCENTILE = 75.0
MIN_SAMPLES = 5
MAX_SKETCHES = 2_000


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
        self._by_class: dict[_JobClass, QuantileSketch] = {}

    def record(self, spec: JobSpec, run_ms: int) -> None:
        """Record the run time of an answered attempt that did all the work of its job."""
        key = _job_class_of(spec)
        sketch = self._by_class.pop(key, None) or QuantileSketch(MAX_RUN_MS)
        sketch.add(run_ms)
        self._by_class[key] = sketch
        if len(self._by_class) > MAX_SKETCHES:
            del self._by_class[next(iter(self._by_class))]

    def expected_ms(self, spec: JobSpec) -> int:
        """Return the estimated run time, or the declared one if there are too few samples."""
        sketch = self._by_class.get(_job_class_of(spec))
        if sketch is None or sketch.samples < self._min_samples:
            return spec.expected_run_ms
        return int(sketch.quantile(EXPECTED_PERCENTILE))


def _job_class_of(spec: JobSpec) -> _JobClass:
    return _JobClass(spec.account, spec.kind, spec.shape.total_accelerators.bit_length())
