"""What operators have declared: queues, client accounts, services and zones being emptied."""

from typing import NamedTuple

__all__ = [
    "Account",
    "AdviceTerms",
    "ConfigChange",
    "OperatorChange",
    "OperatorConfig",
    "Queue",
    "ZoneChange",
]


class AdviceTerms(NamedTuple):
    """How long the advice service takes to decide; its answers state how long they hold."""

    decision_ms: int
    per_worker_ms: int

    def duration_ms(self, workers: int) -> int:
        """Return how long a decision on so many workers takes."""
        return self.decision_ms + self.per_worker_ms * workers


class Queue(NamedTuple):
    """One queue: where callers reach it, which service runs it, and its rules.

    Where there is `advice`, only workers that the advice service approves may run a step.
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
    advice: AdviceTerms | None = None


class Account(NamedTuple):
    """One client account; `guaranteed` counts accelerators for its most urgent jobs."""

    name: str
    keys: frozenset[str]
    guaranteed: int


class OperatorConfig(NamedTuple):
    """One version of the configuration; `revision` is the store's."""

    version: int
    revision: int
    queues: tuple[Queue, ...]
    accounts: tuple[Account, ...]
    max_body_bytes: int

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` with the longest prefix that `path` begins with."""
        matching = [
            queue for queue in self.queues if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue with this name."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def account_of(self, key: str) -> Account | None:
        """Return the client account that holds `key`."""
        return next((account for account in self.accounts if key in account.keys), None)


class ConfigChange(NamedTuple):
    """A configuration was written."""

    config: OperatorConfig


class ZoneChange(NamedTuple):
    """A zone is to be emptied, or is in service again."""

    zone: str
    is_evacuated: bool


OperatorChange = ConfigChange | ZoneChange
