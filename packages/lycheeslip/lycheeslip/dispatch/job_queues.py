"""Finds the queue that an accepted job belongs to under a later configuration."""

from lycheeslip_common.workload.jobs import JobSpec
from lycheeslip_common.workload.operator import OperatorConfig, Queue

__all__ = ["JobQueues"]


class JobQueues:
    """The queues of one configuration, by what a job's record says of its queue.

    A queue keeps its jobs under a new URL. If no queue has its name any more, the one at its URL
    has replaced it and takes its jobs over.
    """

    def __init__(self, config: OperatorConfig | None) -> None:
        """Index the queues of `config`; there are none without a configuration."""
        self.config = config
        queues = config.queues if config is not None else ()
        self._queue_by_name = {queue.name: queue for queue in queues}
        self._queue_by_url = {(queue.host, queue.prefix): queue for queue in queues}

    def queue_of(self, spec: JobSpec) -> Queue | None:
        """Return the queue that a job belongs to now, None if that was removed."""
        by_url = self._queue_by_url.get((spec.host, spec.prefix))
        return self._queue_by_name.get(spec.queue, by_url)
