"""Counters, gauges and histograms of a process, in the Prometheus exposition format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["Counters"]

METRIC_PREFIX = "lycheeslip"
LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class Counters:
    """Registers metrics on first use; label values must come from a fixed set."""

    def __init__(self) -> None:
        """Create a separate registry, so that a process can hold several instances."""
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, reason: str = "", amount: float = 1) -> None:
        """Add `amount` to the counter `name` with the label `reason`."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(f"{METRIC_PREFIX}_{name}", name, ["reason"], registry=self._registry)
            self._counters[name] = counter
        counter.labels(reason).inc(amount)

    def value(self, name: str, reason: str = "") -> float:
        """Return the value of the counter `name` with the label `reason`, 0 if never counted."""
        labels = {"reason": reason}
        return self._registry.get_sample_value(f"{METRIC_PREFIX}_{name}_total", labels) or 0.0

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"{METRIC_PREFIX}_{name}", name, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(value)

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Add a duration in milliseconds to the histogram `name`, which is in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                f"{METRIC_PREFIX}_{name}_seconds",
                name,
                registry=self._registry,
                buckets=LATENCY_BUCKETS_S,
            )
            self._histograms[name] = histogram
        histogram.observe(value_ms / 1_000)

    def text(self) -> bytes:
        """Return all metrics in the exposition format."""
        return generate_latest(self._registry)
