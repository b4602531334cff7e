"""Estimates when a run will be done from the progress that its worker reports."""

from typing import NamedTuple

__all__ = ["Forecast", "RunSpeed"]

DONE_PERCENT = 100
MIN_GAIN_PERCENT = 8  # progress is rounded to whole percents, so the speed is off by an eighth
MIN_SPAN_MS = 250
MAX_SPAN_MS = 1_500  # a change of speed shows within this time
MIN_BOUND_SPAN_MS = 1_000  # with less progress than that, only a bound of the speed is known


class Forecast(NamedTuple):
    """Estimates for a run: the time until it is done, and the duration of the whole run."""

    remaining_ms: int
    whole_run_ms: int


class Sample(NamedTuple):
    """The progress of a run at a time on its worker's clock."""

    clock_ms: int
    percent: int


class RunSpeed:
    """The recent and the best speed of one run.

    While a run makes little progress its remaining time is a lower bound.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._first: Sample | None = None
        self._recent: list[Sample] = []
        self._whole_run_ms = -1

    def add(self, clock_ms: int, percent: int) -> None:
        """Add the progress at `clock_ms`; older samples than the last are ignored."""
        sample = Sample(clock_ms, min(percent, DONE_PERCENT))
        if self._recent and clock_ms <= self._recent[-1].clock_ms:
            return
        self._first = self._first or sample
        self._recent.append(sample)
        self._recent = [one for one in self._recent if clock_ms - one.clock_ms <= MAX_SPAN_MS]
        gain = percent - self._first.percent
        span_ms = clock_ms - self._first.clock_ms
        if gain >= MIN_GAIN_PERCENT and span_ms >= MIN_SPAN_MS:
            whole_run_ms = span_ms * DONE_PERCENT // gain
            is_best = self._whole_run_ms < 0 or whole_run_ms < self._whole_run_ms
            self._whole_run_ms = whole_run_ms if is_best else self._whole_run_ms

    def forecast(self) -> Forecast | None:
        """Return the forecast as of the last sample, or None while too little is known."""
        if len(self._recent) < 2:
            return None
        last = self._recent[-1]
        base = self._base(last)
        gain, span_ms = last.percent - base.percent, last.clock_ms - base.clock_ms
        if gain < MIN_GAIN_PERCENT:
            if span_ms < MIN_BOUND_SPAN_MS:
                return None
            gain = max(0, gain) + 1
        return Forecast((DONE_PERCENT - last.percent) * span_ms // gain, self._whole_run_ms)

    def _base(self, last: Sample) -> Sample:
        """Return the latest sample that is far enough from `last`, else the oldest one."""
        for sample in reversed(self._recent[:-1]):
            is_far = last.clock_ms - sample.clock_ms >= MIN_SPAN_MS
            if is_far and last.percent - sample.percent >= MIN_GAIN_PERCENT:
                return sample
        return self._recent[0]
