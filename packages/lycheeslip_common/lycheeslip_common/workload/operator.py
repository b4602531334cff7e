"""Configuration written by operators: queues, client accounts and zone evacuations."""

from typing import NamedTuple

__all__ = [
    "Account",
    "AdviceTiming",
    "ClientLimits",
    "ConfigChange",
    "OperatorChange",
    "OperatorConfig",
    "Queue",
    "ZoneChange",
]


class AdviceTiming(NamedTuple):
    """Decision time of the advice service; its responses state their own validity."""

    decision_ms: int
    per_worker_ms: int

    def duration_ms(self, workers: int) -> int:
        """Return the decision time for `workers` candidates."""
        return self.decision_ms + self.per_worker_ms * workers


class Queue(NamedTuple):
    """One queue: its URL (`host` and `prefix`), the service that runs its jobs, and its policy.

    Its latency objective is `stretch` times the estimated run time plus `objective_ms`. If `advice`
    is set, only workers that the advice service approves may run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    objective_ms: int
    is_public: bool
    advice: AdviceTiming | None = None


class Account(NamedTuple):
    """One client account; its most urgent jobs are guaranteed `guaranteed` accelerators."""

    name: str
    keys: frozenset[str]
    guaranteed: int


class ClientLimits(NamedTuple):
    """Limits on connections of callers; the defaults apply where the configuration has none."""

    max_header_bytes: int = 16_384
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class OperatorConfig(NamedTuple):
    """One version of the configuration; `revision` is that of the store."""

    version: int
    revision: int
    queues: tuple[Queue, ...]
    accounts: tuple[Account, ...]
    max_body_bytes: int
    client_limits: ClientLimits = ClientLimits()

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` with the longest prefix that matches `path`."""
        matching = [
            queue for queue in self.queues if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def account_of(self, key: str) -> Account | None:
        """Return the client account to which the API key belongs, or None."""
        return next((account for account in self.accounts if key in account.keys), None)


class ConfigChange(NamedTuple):
    """An operator wrote a new version of the configuration."""

    config: OperatorConfig


class ZoneChange(NamedTuple):
    """A zone is to be evacuated, or is back in service."""

    zone: str
    is_evacuated: bool


OperatorChange = ConfigChange | ZoneChange
