"""Quantiles of positive whole numbers in bounded memory, in which older samples may count less."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

__all__ = ["MAX_RUN_MS", "QuantileSketch"]

MAX_RUN_MS = 30 * 24 * 3_600_000  # longest run time that a sketch of run times tells apart
SIGNIFICANT_DIGITS = 2
SAMPLE_WEIGHT = 16  # counts a sample in sixteenths, so that it can be halved four times
WORD_BYTES = 4


class QuantileSketch:
    """A histogram of samples between 1 and `highest`.

    All counts are halved once the samples count for twice `half_life`; 0 keeps all samples.
    """

    def __init__(self, highest: int, half_life: int = 0) -> None:
        """Start without samples."""
        self._highest = highest
        self._limit = 2 * half_life * SAMPLE_WEIGHT
        self._histogram = self._empty()
        self._values: dict[float, float] = {}
        self._counts: list[tuple[int, int]] | None = None

    def _empty(self) -> HdrHistogram:
        return HdrHistogram(1, self._highest, SIGNIFICANT_DIGITS, word_size=WORD_BYTES)

    @property
    def samples(self) -> float:
        """How many samples the present counts amount to."""
        return float(self._histogram.get_total_count()) / SAMPLE_WEIGHT

    def add(self, value: float) -> None:
        """Add a sample; one out of range counts as the nearest value in range."""
        self._add_count(self._clamp(value), SAMPLE_WEIGHT)

    def replace(self, old: float, new: float) -> None:
        """Replace a sample by another; nothing is done if the old one is forgotten."""
        found = self._clamp(old)
        count = min(SAMPLE_WEIGHT, self._histogram.get_count_at_value(found))
        if count > 0:
            self._histogram.record_value(found, -count)
            self._counts = None
            self._add_count(self._clamp(new), count)

    def quantile(self, percent: float) -> float:
        """Return the value that `percent` of the samples don't exceed, 0 without samples."""
        if self._histogram.get_total_count() <= 0:
            return 0.0
        known = self._values.get(percent)
        if known is None:
            known = float(self._histogram.get_value_at_percentile(percent))
            self._values[percent] = known
        return known

    def counts(self) -> list[tuple[int, int]]:
        """Return the values and their counts, in parts of a sample."""
        if self._counts is None:
            self._counts = [
                (int(self._histogram.get_value_from_index(index)), int(count))
                for index, count in enumerate(self._histogram.counts)
                if count
            ]
        return self._counts

    def add_counts(self, counts: Iterable[tuple[int, int]]) -> None:
        """Add what another sketch's `counts` returned."""
        for value, count in counts:
            if count > 0:
                self._add_count(self._clamp(value), count)

    def _clamp(self, value: float) -> int:
        return max(1, min(round(value), self._highest))

    def _add_count(self, value: int, count: int) -> None:
        limit = self._limit or (1 << 31) - 1
        self._histogram.record_value(value, min(count, limit))
        self._values.clear()
        self._counts = None
        while self._histogram.get_total_count() > limit:
            self._halve()

    def _halve(self) -> None:
        """Halve all counts; values that count for less than a sixteenth are forgotten."""
        halved = self._empty()
        for value, count in self.counts():
            if count > 1:
                halved.record_value(value, count // 2)
        self._histogram = halved
        self._counts = None
