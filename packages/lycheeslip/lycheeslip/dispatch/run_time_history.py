"""Run times learned across jobs, and estimates from them: without I/O and without a clock.

A sample is a step of a job, not a task: tasks of a step are alike and the members of a gang take
the same time, so that each task as a sample would let one wide job outweigh all others.

There are two predictors: the declaration times the usual ratio of measured to declared run times,
and the usual run time of the kind of step. Which of them is better differs between queues, so the
estimate is the mean of their logarithms, weighted by their inverse squared errors in the queue.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from lycheeslip_common.utils.quantile_sketch import MAX_RUN_MS, QuantileSketch
from lycheeslip_common.workload.jobs import Demand

__all__ = [
    "MIN_COMPARED",
    "DecayedMean",
    "History",
    "KindKey",
    "KindOfStep",
    "KindRecord",
    "QueueRecord",
    "RunEstimate",
    "RunSample",
    "StepSample",
]

MEDIAN = 50.0
HALF_LIFE = 32  # samples of a kind; a deployment has some 60 jobs in 40 s
MIN_KIND_SAMPLES = 4  # a narrower kind is used from this many samples on
MIN_COMPARED = 8  # finished samples in which estimates must have been better than declarations
# Required ratio of the mean squared errors of estimates and declarations. By chance alone it is
# below 1 in half of all queues whose declarations are accurate.
MAX_ERROR_RATIO = 0.8
PRIOR_SAMPLES = 2.0
PRIOR_SQUARED_ERROR = 0.25  # declarations are off by half before anything is known
MIN_SQUARED_ERROR = 0.0004  # two in a hundred: the resolution of the sketches
RATIO_UNIT = 1_000
MAX_RATIO = 100
MAX_KINDS = 256  # some 10 KB each
MAX_QUEUES = 32
MAX_WORKERS = 4_000
WORKER_PRIOR_SAMPLES = 4.0
MAX_LOG_MS = math.log(MAX_RUN_MS)
MAX_LOG_SPEED = 0.7  # a worker that seems to be off by more than two is faulty, not slow
SPREAD = 1.28  # standard deviations on either side that hold 80 of 100 values


class KindOfStep(NamedTuple):
    """What the run time of a step depends on, as far as its specification tells."""

    queue: str
    account: str
    demand: Demand
    is_gang: bool
    saves_progress: bool


class KindKey(NamedTuple):
    """A kind of steps in a queue; of all accounts if `account` is empty."""

    demand: Demand
    is_gang: bool
    saves_progress: bool
    account: str


class RunSample(NamedTuple):
    """A step's run time, or a run that failed `failed_at_ms` after its start."""

    queue: str
    account: str
    demand: Demand
    is_gang: bool
    saves_progress: bool
    declared_ms: float
    run_ms: float
    worker_id: str = ""
    has_failed: bool = False
    failed_at_ms: float = 0.0

    @property
    def kind(self) -> KindOfStep:
        """The kind of the step."""
        return KindOfStep(*self[:5])


class StepSample(NamedTuple):
    """The sample that was taken of a step, and what was estimated before."""

    sample: RunSample
    estimate_ms: float
    is_finished: bool = False


class RunEstimate(NamedTuple):
    """An estimated run time; four of five runs should take between `low_ms` and `high_ms`.

    `source` is the widest group whose runs it relies on: `account`, `shape` or `queue`, or
    `declared` if there are no samples.
    """

    median_ms: float
    low_ms: float
    high_ms: float
    samples: float
    source: str


@dataclass(slots=True)
class DecayedMean:
    """A mean in which a value counts half as much once `HALF_LIFE` more have followed."""

    weight: float = 0.0
    total: float = 0.0

    def add(self, value: float) -> None:
        """Add a value."""
        decay = 0.5 ** (1 / HALF_LIFE)
        self.weight = self.weight * decay + 1.0
        self.total = self.total * decay + value

    def merge(self, other: "DecayedMean") -> None:
        """Add the values of `other`, up to the weight that values ever reach."""
        self.weight += other.weight
        self.total += other.total
        scale = min(1.0, 2 * HALF_LIFE / self.weight) if self.weight else 1.0
        self.weight *= scale
        self.total *= scale

    def with_prior(self, prior: float, samples: float) -> float:
        """Return the mean, with `prior` counted as `samples` more values."""
        return (self.total + prior * samples) / (self.weight + samples)


def _run_sketch() -> QuantileSketch:
    return QuantileSketch(MAX_RUN_MS, HALF_LIFE)


def _ratio_sketch() -> QuantileSketch:
    return QuantileSketch(MAX_RATIO * RATIO_UNIT, HALF_LIFE)


@dataclass(slots=True)
class KindRecord:
    """Samples of a kind: run times in ms, their ratios to declarations, and failures.

    `failed` is the share of runs that failed, `failed_at` how late in their expected time.
    """

    run_ms: QuantileSketch = field(default_factory=_run_sketch)
    ratio: QuantileSketch = field(default_factory=_ratio_sketch)
    failed: DecayedMean = field(default_factory=DecayedMean)
    failed_at: DecayedMean = field(default_factory=DecayedMean)

    def merge(self, other: "KindRecord") -> None:
        """Add the samples of `other`."""
        self.run_ms.add_counts(other.run_ms.counts())
        self.ratio.add_counts(other.ratio.counts())
        self.failed.merge(other.failed)
        self.failed_at.merge(other.failed_at)


@dataclass(slots=True)
class QueueRecord:
    """All samples of a queue, and squared errors in logarithms.

    `ratio_error` and `run_error` are those of the two predictors. `declared_error` and
    `estimate_error` are compared over the finished samples, of which `compared` counts all.
    """

    kind: KindRecord = field(default_factory=KindRecord)
    ratio_error: DecayedMean = field(default_factory=DecayedMean)
    run_error: DecayedMean = field(default_factory=DecayedMean)
    declared_error: DecayedMean = field(default_factory=DecayedMean)
    estimate_error: DecayedMean = field(default_factory=DecayedMean)
    compared: int = 0

    def merge(self, other: "QueueRecord") -> None:
        """Add the samples and errors of `other`."""
        self.kind.merge(other.kind)
        self.ratio_error.merge(other.ratio_error)
        self.run_error.merge(other.run_error)
        self.declared_error.merge(other.declared_error)
        self.estimate_error.merge(other.estimate_error)
        self.compared += other.compared


class _Predictions(NamedTuple):
    """Logarithms of both predictions in ms, None where there is nothing to predict from."""

    by_ratio: float | None
    by_run: float | None
    samples: float
    source: str


class History:
    """Run times by kind of step, speeds by worker.

    The least recently used kinds, queues and workers are evicted.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.version = 0
        """Changes with each sample, so that estimates can be kept meanwhile."""
        self.changed_queues: dict[str, None] = {}
        """The queues with changes that are not stored yet, in the order of their changes."""
        self.queues: OrderedDict[str, QueueRecord] = OrderedDict()
        self.kinds: OrderedDict[tuple[str, KindKey], KindRecord] = OrderedDict()
        self._workers: OrderedDict[str, DecayedMean] = OrderedDict()
        self._estimates: dict[tuple[KindOfStep, float], RunEstimate] = {}

    def record(self, sample: RunSample) -> None:
        """Record a sample; one of a single worker also tells of that worker's speed."""
        self._changed()
        kind = sample.kind
        if sample.has_failed:
            expected_ms = self.estimate(kind, sample.declared_ms).median_ms
            share = min(1.0, sample.failed_at_ms / expected_ms) if expected_ms > 0 else 0.0
            self.record_end(kind, True, share)
            return
        if sample.run_ms <= 0:
            return
        if sample.worker_id:
            expected_ms = self.estimate(kind, sample.declared_ms).median_ms
            self.record_worker(sample.worker_id, sample.run_ms, expected_ms)
        queue = self._queue(sample.queue)
        found = self._predictions(kind, sample.declared_ms)
        log_ms = _log_ms(sample.run_ms)
        if found.by_ratio is not None:
            queue.ratio_error.add((found.by_ratio - log_ms) ** 2)
        if found.by_run is not None:
            queue.run_error.add((found.by_run - log_ms) ** 2)
        for record in self._records(kind):
            record.run_ms.add(sample.run_ms)
            if sample.declared_ms > 0:
                record.ratio.add(_ratio(sample.run_ms, sample.declared_ms))
        self._changed()

    def replace(self, old: RunSample, run_ms: float) -> None:
        """Replace the run time of a recorded sample, which is better known now."""
        if run_ms <= 0 or run_ms == old.run_ms:
            return
        self._changed()
        for record in self._records(old.kind):
            record.run_ms.replace(old.run_ms, run_ms)
            if old.declared_ms > 0:
                before = _ratio(old.run_ms, old.declared_ms)
                record.ratio.replace(before, _ratio(run_ms, old.declared_ms))

    def compare(
        self, kind: KindOfStep, declared_ms: float, estimate_ms: float, run_ms: float
    ) -> None:
        """Compare a declaration and an earlier estimate with the run time of a finished sample."""
        if min(declared_ms, estimate_ms, run_ms) <= 0:
            return
        queue = self._queue(kind.queue)
        queue.declared_error.add((_log_ms(declared_ms) - _log_ms(run_ms)) ** 2)
        queue.estimate_error.add((_log_ms(estimate_ms) - _log_ms(run_ms)) ** 2)
        queue.compared += 1
        self._changed()

    def is_proven(self, queue: str) -> bool:
        """Return whether the estimates of a queue have been better than its declarations."""
        found = self.queues.get(queue)
        if found is None or found.compared < MIN_COMPARED:
            return False
        return found.estimate_error.total < MAX_ERROR_RATIO * found.declared_error.total

    def record_end(self, kind: KindOfStep, has_failed: bool, share: float = 0.0) -> None:
        """Record that a run is done, or has failed after a `share` of its expected time."""
        for record in self._records(kind):
            record.failed.add(float(has_failed))
            if has_failed:
                record.failed_at.add(share)

    def record_worker(self, worker_id: str, run_ms: float, expected_ms: float) -> None:
        """Record the time of a run on a worker, and the time expected on any worker."""
        if not worker_id or min(run_ms, expected_ms) <= 0:
            return
        slowness = _log_ms(run_ms) - _log_ms(expected_ms)
        mean = self._workers.setdefault(worker_id, DecayedMean())
        mean.add(max(-MAX_LOG_SPEED, min(slowness, MAX_LOG_SPEED)))
        self._workers.move_to_end(worker_id)
        if len(self._workers) > MAX_WORKERS:
            self._workers.popitem(last=False)

    def forget_worker(self, worker_id: str) -> None:
        """Discard what is known of a worker whose lifetime is over."""
        self._workers.pop(worker_id, None)

    def worker_speed(self, worker_id: str) -> float:
        """Return how much faster than usual a worker is: 1 if nothing is known."""
        mean = self._workers.get(worker_id)
        return 1.0 if mean is None else math.exp(-mean.with_prior(0.0, WORKER_PRIOR_SAMPLES))

    def failure_chance(self, kind: KindOfStep) -> float:
        """Return the share of runs of a kind that fail, 0 if nothing is known."""
        record, _ = self._narrowest(kind)
        return record.failed.total / record.failed.weight if record and record.failed.weight else 0

    def failure_share(self, kind: KindOfStep) -> float:
        """Return after which share of their expected time the runs that fail do so, 0 if none."""
        record, _ = self._narrowest(kind)
        mean = record.failed_at if record else DecayedMean()
        return mean.total / mean.weight if mean.weight else 0.0

    def estimate(self, kind: KindOfStep, declared_ms: float) -> RunEstimate:
        """Return the estimated run time of a step; as declared if there are no samples."""
        key = (kind, declared_ms)
        known = self._estimates.get(key)
        if known is None:
            known = self._estimates[key] = self._estimate(kind, declared_ms)
        return known

    def _estimate(self, kind: KindOfStep, declared_ms: float) -> RunEstimate:
        found = self._predictions(kind, declared_ms)
        queue = self.queues.get(kind.queue)
        if queue is None or found.by_run is None:
            spread = math.exp(SPREAD * math.sqrt(PRIOR_SQUARED_ERROR))
            return RunEstimate(
                declared_ms, declared_ms / spread, declared_ms * spread, 0.0, "declared"
            )
        weights, total = _weight(queue.run_error), _weight(queue.run_error) * found.by_run
        predictors = 1
        if found.by_ratio is not None:
            weights += _weight(queue.ratio_error)
            total += _weight(queue.ratio_error) * found.by_ratio
            predictors = 2
        median_ms = _clamp_ms(math.exp(total / weights))
        # the errors of both predictors are taken for correlated: their mean isn't much better
        spread = math.exp(SPREAD * math.sqrt(predictors / weights))
        return RunEstimate(
            median_ms, median_ms / spread, median_ms * spread, found.samples, found.source
        )

    def _predictions(self, kind: KindOfStep, declared_ms: float) -> _Predictions:
        record, source = self._narrowest(kind)
        if record is None:
            by_ratio = _log_ms(declared_ms) if declared_ms > 0 else None
            return _Predictions(by_ratio, None, 0.0, source)
        by_ratio = None
        if declared_ms > 0:
            # the logarithm of the ratio is drawn towards 0, as if some had been as declared
            count, ratio = record.ratio.samples, record.ratio.quantile(MEDIAN) / RATIO_UNIT
            usual = math.log(ratio) * count / (count + PRIOR_SAMPLES) if ratio > 0 else 0.0
            # a prediction out of range would be an error that its record can't hold
            by_ratio = max(0.0, min(_log_ms(declared_ms) + usual, MAX_LOG_MS))
        median_ms = record.run_ms.quantile(MEDIAN)
        by_run = math.log(median_ms) if median_ms > 0 else None
        return _Predictions(by_ratio, by_run, record.run_ms.samples, source)

    def _narrowest(self, kind: KindOfStep) -> tuple[KindRecord | None, str]:
        """Return the narrowest kind with enough samples, else the queue's if it has any."""
        for source, key in zip(("account", "shape"), _keys(kind), strict=True):
            record = self.kinds.get((kind.queue, key))
            if record is not None and record.run_ms.samples >= MIN_KIND_SAMPLES:
                return record, source
        queue = self.queues.get(kind.queue)
        if queue is None or queue.kind.run_ms.samples <= 0:
            return None, "declared"
        return queue.kind, "queue"

    def _records(self, kind: KindOfStep) -> list[KindRecord]:
        """Return the records that a sample of a kind counts in, created where missing."""
        records = [self._queue(kind.queue).kind]
        for key in _keys(kind):
            records.append(self.kinds.setdefault((kind.queue, key), KindRecord()))
            self.kinds.move_to_end((kind.queue, key))
        self._evict()
        return records

    def _queue(self, name: str) -> QueueRecord:
        queue = self.queues.setdefault(name, QueueRecord())
        self.queues.move_to_end(name)
        self.changed_queues[name] = None
        if len(self.queues) > MAX_QUEUES:
            evicted, _ = self.queues.popitem(last=False)
            self.changed_queues.pop(evicted, None)
            for key in [key for key in self.kinds if key[0] == evicted]:
                del self.kinds[key]
        return queue

    def _evict(self) -> None:
        while len(self.kinds) > MAX_KINDS:
            self.kinds.popitem(last=False)

    def merge(self, other: "History") -> None:
        """Add the samples and errors of `other`, which counts for no more than its own kinds."""
        for name, queue in other.queues.items():
            self._queue(name).merge(queue)
        for key, record in other.kinds.items():
            if key[0] in self.queues:
                self.kinds.setdefault(key, KindRecord()).merge(record)
        self._evict()
        self._changed()

    def _changed(self) -> None:
        self.version += 1
        self._estimates.clear()


def _clamp_ms(value: float) -> float:
    return max(1.0, min(value, float(MAX_RUN_MS)))


def _ratio(run_ms: float, declared_ms: float) -> float:
    return _clamp_ms(run_ms) / _clamp_ms(declared_ms) * RATIO_UNIT


def _log_ms(value: float) -> float:
    return math.log(_clamp_ms(value))


def _weight(error: DecayedMean) -> float:
    return 1 / max(MIN_SQUARED_ERROR, error.with_prior(PRIOR_SQUARED_ERROR, PRIOR_SAMPLES))


def _keys(kind: KindOfStep) -> tuple[KindKey, KindKey]:
    """Return the keys of the kind, narrowest first."""
    wide = KindKey(kind.demand, kind.is_gang, kind.saves_progress, "")
    return wide._replace(account=kind.account), wide
