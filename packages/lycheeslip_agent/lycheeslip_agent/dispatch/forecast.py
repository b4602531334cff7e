"""Estimates when a run will be done from the progress that its worker reports."""

from typing import NamedTuple

__all__ = ["Forecast", "RunSpeed"]

DONE_PERCENT = 100
MIN_GAIN_PERCENT = 8  # progress is rounded to whole percents, so the speed is off by an eighth
MIN_SPAN_MS = 250
BOUND_SPAN_MS = 1_000  # a run that is slowed down or stands still shows within this time
SLOWED_RATIO = 1.3  # a run that takes so much longer than it did at first has been slowed down


class Forecast(NamedTuple):
    """Estimates for a run: the time until it is done, and the duration of a whole run.

    The first is a lower bound (`is_bound`) while the run has made too little progress to tell; the
    second is -1 until then, and doesn't grow if the run is slowed down.
    """

    remaining_ms: int
    whole_run_ms: int
    is_bound: bool = False


class Sample(NamedTuple):
    """The progress of a run at a time on its worker's clock."""

    clock_ms: int
    percent: int


class RunSpeed:
    """The recent speed of one run, and its speed before it was slowed down."""

    def __init__(self) -> None:
        """Start without samples."""
        self._first: Sample | None = None
        self._last: Sample | None = None
        self._marks: list[Sample] = []  # the first sample of each percentage, as far as needed
        self._whole_run_ms = -1
        self._best_run_ms = float("inf")

    def add(self, clock_ms: int, percent: int) -> None:
        """Add the progress at `clock_ms`; a sample that is older than the last is ignored.

        So are all after the first one that is done: a member of a gang then waits for the others.
        """
        last = self._last
        if last is not None and (clock_ms <= last.clock_ms or last.percent == DONE_PERCENT):
            return
        sample = Sample(clock_ms, min(percent, DONE_PERCENT))
        if self._last is None or sample.percent != self._last.percent:
            self._marks.append(sample)
        self._last = sample
        self._first = self._first or sample
        oldest_ms = min(self._base(sample).clock_ms, self._before_bound_span(sample).clock_ms)
        self._marks = [mark for mark in self._marks if mark.clock_ms >= oldest_ms]
        gain = sample.percent - self._first.percent
        span_ms = clock_ms - self._first.clock_ms
        if gain >= MIN_GAIN_PERCENT and span_ms >= MIN_SPAN_MS:
            whole_run_ms = span_ms * DONE_PERCENT // gain
            self._best_run_ms = min(self._best_run_ms, whole_run_ms)
            if whole_run_ms < self._best_run_ms * SLOWED_RATIO:
                self._whole_run_ms = whole_run_ms  # measured over a longer time than the last

    def forecast(self) -> Forecast | None:
        """Return the forecast as of the last sample, or None while too little is known."""
        if self._last is None:
            return None
        last, base = self._last, self._base(self._last)
        gain, span_ms = last.percent - base.percent, last.clock_ms - base.clock_ms
        bound_ms = self._bound_ms(last)
        if gain < MIN_GAIN_PERCENT or span_ms < MIN_SPAN_MS:
            return Forecast(bound_ms, self._whole_run_ms, True) if bound_ms else None
        remaining_ms = (DONE_PERCENT - last.percent) * span_ms // gain
        return Forecast(max(remaining_ms, bound_ms), self._whole_run_ms)

    def _bound_ms(self, last: Sample) -> int:
        """Return the least remaining time that the progress of the last second allows, or 0."""
        before = self._before_bound_span(last)
        if last.clock_ms - before.clock_ms < BOUND_SPAN_MS:
            return 0
        return (DONE_PERCENT - last.percent) * BOUND_SPAN_MS // (last.percent - before.percent + 1)

    def _before_bound_span(self, last: Sample) -> Sample:
        """Return the latest mark that is at least `BOUND_SPAN_MS` old, else the oldest one."""
        for mark in reversed(self._marks):
            if last.clock_ms - mark.clock_ms >= BOUND_SPAN_MS:
                return mark
        return self._marks[0]

    def _base(self, last: Sample) -> Sample:
        """Return the latest mark that is far enough from `last`, else the oldest one."""
        for mark in reversed(self._marks):
            is_far = last.clock_ms - mark.clock_ms >= MIN_SPAN_MS
            if is_far and last.percent - mark.percent >= MIN_GAIN_PERCENT:
                return mark
        return self._marks[0]
