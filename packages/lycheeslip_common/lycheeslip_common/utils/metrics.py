"""Counters, gauges and timings, sent to StatsD if an address is set."""

from collections import Counter

import statsd

__all__ = ["Metrics"]

STATSD_PREFIX = "lycheeslip"


class Metrics:
    """Counts events by name; docs/operations/counters.md lists the names."""

    def __init__(self, statsd_address: str = "") -> None:
        """Send to `statsd_address` (host:port) by UDP; if empty, only keep counts in memory."""
        self.counts: Counter[str] = Counter()
        self._client = None
        if statsd_address:
            host, _, port = statsd_address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix=STATSD_PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing_ms(self, name: str, value: float) -> None:
        """Record a duration of `value` milliseconds under `name`."""
        if self._client is not None:
            self._client.timing(name, value)
